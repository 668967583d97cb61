"""Tests of the pauses that endpoints ask for."""

from pistachiolever.core.pause import MAX_PAUSE_SECONDS, pause_seconds
from tests.support.cases import CaseTest


class PauseValueTest(CaseTest):
    """Absurd values of Retry-After are bounded or ignored."""

    def test_table(self) -> None:
        cases = [
            ("2", 2.0),
            (" 0.25 ", 0.25),
            ("864000", MAX_PAUSE_SECONDS),
            ("inf", MAX_PAUSE_SECONDS),
            ("0", None),
            ("-3", None),
            ("nan", None),
            ("", None),
            ("soon", None),
            ("Wed, 21 Oct 2026 07:28:00 GMT", None),
        ]
        for value, seconds in cases:
            with self.subTest(value):
                self.assertEqual(pause_seconds(value), seconds)
