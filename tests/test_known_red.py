"""Tests of the list of known failures and of how a run treats them."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import Mock

from nose2.result import ERROR, FAIL, PASS, SUBTEST

from tests.known_red import KnownRedError, read_known_red
from tests.summary import SummaryPlugin
from tests.support.cases import CaseTest

ENTRY = "test: a.B.c\ncommand: script/test a.B.c\nseed: 4\nseen: x != y\nissue: 20\n"


def read(text: str) -> set[str]:
    """Return the ids of the tests that a list names."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "list.txt"
        path.write_text(text)
        return set(read_known_red(path).by_test)


class ListTest(CaseTest):
    """Entries are complete and name a test once."""

    def test_valid(self) -> None:
        self.assertEqual(read(""), set())
        other = ENTRY.replace("a.B.c", "a.B.d")
        self.assertEqual(read(f"{ENTRY}\n{other}"), {"a.B.c", "a.B.d"})
        self.assertEqual(read_known_red(Path("/no/such/file")).by_test, {})

    def test_malformed(self) -> None:
        for text in (
            "nonsense",
            ENTRY + "\n" + ENTRY,
            ENTRY.replace("seed: 4\n", ""),
            ENTRY.replace("seed: 4", "seed: "),
            ENTRY.replace("seed: 4", "seed: 4\nseed: 5"),
            ENTRY + "other: 1\n",
        ):
            with self.subTest(text), self.assertRaises(KnownRedError):
                read(text)


class SummaryTest(CaseTest):
    """Only failures of listed tests are passed over."""

    def outcomes(self, *events: tuple[str, str, bool]) -> tuple[SummaryPlugin, str]:
        """Return the plugin and its last line after outcomes of tests."""
        plugin = SummaryPlugin.__new__(SummaryPlugin)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "list.txt"
            path.write_text(ENTRY)
            plugin.known_red = read_known_red(path)
        plugin.passed, plugin.failed, plugin.known = set(), set(), set()
        for name, outcome, failed in events:
            test = Mock(spec=["id"])
            test.id.return_value = name
            error = (AssertionError, AssertionError(), None) if failed else None
            event = Mock(
                test=test,
                outcome=outcome,
                exc_info=error,
                expected=outcome == PASS,
            )
            plugin.setTestOutcome(event)
            plugin.testOutcome(event)
        report = Mock()
        plugin.afterSummaryReport(report)
        lines = [call.args[0] for call in report.stream.writeln.call_args_list]
        return plugin, "\n".join(lines)

    def test_table(self) -> None:
        listed = "known red: a.B.c (issue 20)\n"
        cases: list[tuple[list[tuple[str, str, bool]], str]] = [
            ([("a", PASS, False)], "1 passed, 0 failed"),
            ([("a", FAIL, True), ("b", ERROR, True)], "0 passed, 2 failed"),
            ([("a", SUBTEST, True), ("a", SUBTEST, True)], "0 passed, 1 failed"),
            ([("a", SUBTEST, False), ("a", PASS, False)], "1 passed, 0 failed"),
            ([("a.B.c", FAIL, True)], listed + "0 passed, 0 failed"),
            ([("a.B.c", ERROR, True)], listed + "0 passed, 0 failed"),
            ([("a.B.c", SUBTEST, True)], listed + "0 passed, 0 failed"),
            (
                [("a.B.c", PASS, False)],
                "known red, but passed: a.B.c\n1 passed, 0 failed",
            ),
            ([("a.B.cd", FAIL, True)], "0 passed, 1 failed"),
        ]
        for events, text in cases:
            with self.subTest(events):
                self.assertEqual(self.outcomes(*events)[1], text)
