"""A nose2 plugin that ends the output with a summary line for CI."""

from nose2.events import Plugin, ReportSummaryEvent, ResultCreatedEvent


class SummaryPlugin(Plugin):
    """Prints `N passed, N failed` after the report of nose2."""

    configSection = "summary"

    def __init__(self) -> None:
        """Set both counts to zero."""
        self.passed = 0
        self.failed = 0

    def testOutcome(self, event: ResultCreatedEvent) -> None:
        """Count the outcome of a test; errors count as failures."""
        if event.outcome == "passed":
            self.passed += 1
        elif event.outcome in ("failed", "error"):
            self.failed += 1

    def afterSummaryReport(self, event: ReportSummaryEvent) -> None:
        """Print the summary line."""
        event.stream.writeln(f"{self.passed} passed, {self.failed} failed")
