"""Counts of a router's work between two log lines, without network."""

from pistachiolever.gateway.work_counts import WorkCounts, WorkReporter
from tests.support.cases import CaseTest


class WorkReporterTest(CaseTest):
    """Work is told by interval."""

    def test_intervals(self) -> None:
        reporter = WorkReporter()
        cases = [
            (5.0, WorkCounts(1.0, 10, 20, 0, 20, 0, 5), None),
            (5.9, WorkCounts(1.2, 12, 30, 0, 30, 0, 6), None),
            (
                6.5,
                WorkCounts(1.4, 15, 40, 7, 31, 2, 9, 3),
                {
                    "seconds": 1.5,
                    "processor": 0.4,
                    "accepted": 5,
                    "requests": 20,
                    "shed": 7,
                    "bids": 11,
                    "withdrawn": 2,
                    "opened": 4,
                    "forwarded": 3,
                },
            ),
            (7.4, WorkCounts(1.5, 15, 40, 7, 31, 2, 9, 3), None),
        ]
        for now, counts, expected in cases:
            with self.subTest(now):
                self.assertEqual(reporter.take(counts, now), expected)
