"""An endpoint that may have restarted is not taken for the announced incarnation."""

from anyio import run
from attrs import evolve
from nose2.tools import params

from pistachiolever.edge.errors import PeerError
from pistachiolever.gateway.const import INCARNATION_CHECK_SECONDS
from pistachiolever.gateway.incarnations import IncarnationCheck
from tests.gateway.test_notices import ENDPOINT
from tests.support.cases import CaseTest

ANNOUNCED = evolve(ENDPOINT, born_ms=7)


class IncarnationCheckTest(CaseTest):
    """Answers are compared with the announcement, and used for a short time."""

    # A restarted endpoint continued streams that another version had begun.
    @params((7, True), (8, False), (6, False), (None, False))
    def test_start_time_is_compared(self, told_ms: int | None, expected: bool) -> None:
        async def tell(address: str) -> int:
            """Return the start time."""
            if told_ms is None:
                raise PeerError("no answer", True)
            return told_ms

        check = IncarnationCheck(lambda: 1.0, tell)
        self.assertEqual(run(check.is_current, ANNOUNCED), expected)

    # An endpoint that restarted after it was asked would be taken for the old one.
    def test_answer_is_used_for_a_short_time(self) -> None:
        now = [1.0]
        told = [7, 8]

        async def tell(address: str) -> int:
            """Return the next start time."""
            return told.pop(0)

        check = IncarnationCheck(lambda: now[0], tell)
        self.assertTrue(run(check.is_current, ANNOUNCED))
        now[0] += INCARNATION_CHECK_SECONDS / 2
        self.assertTrue(run(check.is_current, ANNOUNCED))
        now[0] += INCARNATION_CHECK_SECONDS
        self.assertFalse(run(check.is_current, ANNOUNCED))
