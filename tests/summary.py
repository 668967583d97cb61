"""A nose2 plugin that closes the run with a line that CI can read."""

from nose2.events import Plugin, ReportSummaryEvent, ResultCreatedEvent


class SummaryPlugin(Plugin):
    """Print `N passed, N failed` after the report of nose2."""

    configSection = "summary"

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.passed = 0
        self.failed = 0

    def testOutcome(self, event: ResultCreatedEvent) -> None:
        """Count one outcome."""
        if event.outcome == "passed":
            self.passed += 1
        elif event.outcome in ("failed", "error"):
            self.failed += 1

    def afterSummaryReport(self, event: ReportSummaryEvent) -> None:
        """Print the closing line."""
        event.stream.writeln(f"{self.passed} passed, {self.failed} failed")
