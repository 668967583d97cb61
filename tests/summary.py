"""A nose2 plugin that reports known failures and ends with a summary line for CI."""

from unittest import TestCase

from nose2.events import Plugin, ReportSummaryEvent, TestOutcomeEvent
from nose2.result import ERROR, FAIL, PASS, SUBTEST

from tests.known_red import KnownRed, read_known_red


class SummaryPlugin(Plugin):
    """Prints `N passed, N failed` after the report of nose2.

    Tests listed in KNOWN-RED.txt may fail: they are printed and count neither as
    passed nor as failed.
    """

    configSection = "summary"

    def __init__(self) -> None:
        """Read the list of known failures."""
        self.known_red: KnownRed = read_known_red()
        self.passed: set[str] = set()
        self.failed: set[str] = set()
        self.known: set[str] = set()

    def setTestOutcome(self, event: TestOutcomeEvent) -> None:
        """Mark the failure of a listed test as expected."""
        if not is_failure(event) or test_id(event.test) not in self.known_red.by_test:
            return
        event.outcome = FAIL
        event.expected = True

    def testOutcome(self, event: TestOutcomeEvent) -> None:
        """Record the outcome of a test; errors and failed subtests are failures."""
        name = test_id(event.test)
        if event.outcome == PASS:
            self.passed.add(name)
        elif event.outcome == FAIL and event.expected:
            self.known.add(name)
        elif is_failure(event):
            self.failed.add(name)

    def afterSummaryReport(self, event: ReportSummaryEvent) -> None:
        """Print the known failures and the summary line."""
        for name, entry in self.known_red.by_test.items():
            if name in self.known:
                event.stream.writeln(f"known red: {name} (issue {entry.issue})")
            elif name in self.passed:
                event.stream.writeln(f"known red, but passed: {name}")
        failed = self.failed - self.known
        event.stream.writeln(f"{len(self.passed)} passed, {len(failed)} failed")


def is_failure(event: TestOutcomeEvent) -> bool:
    """Return whether a test or one of its subtests failed."""
    if event.outcome == SUBTEST:
        return event.exc_info is not None
    return event.outcome in (FAIL, ERROR)


def test_id(test: TestCase) -> str:
    """Return the id of a test, for a subtest that of its test.

    The id of a parameterised test has its number; further lines show its parameters.
    """
    whole: TestCase = getattr(test, "test_case", test)
    return whole.id().partition("\n")[0]
