"""Tests of metrics: exposition, bounded labels, documentation."""

import re
from pathlib import Path

from pistachiolever.metrics.exposition import render
from pistachiolever.metrics.instruments import (
    ATTEMPTS,
    COUNTERS,
    FIRST_CHUNK,
    GAUGES,
    HISTOGRAMS,
    MAX_LABEL_VALUES,
    SHED,
    UNREAD,
    Instruments,
)
from tests.support.cases import CaseTest

# Of a scrape, monitoring kept about so much.
MOST_KEPT_CHARACTERS = 4000
PAGE = Path(__file__).parents[2] / "docs" / "METRICS.md"


class InstrumentsTest(CaseTest):
    """Recorded values appear in the Prometheus text."""

    def test_prometheus_text(self) -> None:
        instruments = Instruments()
        instruments.count(ATTEMPTS, "e1", "RAN")
        instruments.count(ATTEMPTS, "e1", "RAN")
        instruments.observe(FIRST_CHUNK, 0.07, "stream")
        instruments.observe(FIRST_CHUNK, 99.0, "stream")
        instruments.gauge("pistachiolever_leads", lambda: True)
        text = render(instruments, instruments.read_gauges()).decode()
        for line in (
            'pistachiolever_sends_total{endpoint="e1",verdict="RAN"} 2.0',
            'pistachiolever_first_part_seconds_bucket{kind="stream",le="0.05"} 0.0',
            'pistachiolever_first_part_seconds_bucket{kind="stream",le="0.1"} 1.0',
            'pistachiolever_first_part_seconds_bucket{kind="stream",le="+Inf"} 2.0',
            'pistachiolever_first_part_seconds_sum{kind="stream"} 99.07',
            "pistachiolever_leads 1.0",
        ):
            self.assertIn(line, text)

    # Monitoring kept only the beginning of a scrape, which were counts by endpoint.
    def test_overload_was_not_among_the_first_metrics(self) -> None:
        instruments = Instruments()
        instruments.count(SHED, "a1")
        instruments.count(UNREAD)
        instruments.gauge("pistachiolever_overload", lambda: 2)
        for number in range(MAX_LABEL_VALUES):
            instruments.count(ATTEMPTS, f"e{number}", "RAN")
        text = render(instruments, instruments.read_gauges()).decode()
        for line in (
            "pistachiolever_overload 2.0",
            'pistachiolever_shed_total{account="a1"} 1.0',
            "pistachiolever_unread_total 1.0",
        ):
            self.assertIn(line, text[:MOST_KEPT_CHARACTERS])

    def test_label_values_are_bounded(self) -> None:
        instruments = Instruments()
        for number in range(MAX_LABEL_VALUES * 3):
            instruments.count(ATTEMPTS, f"e{number}", "RAN")
        counts = instruments.count_by_name[ATTEMPTS.name]
        self.assertEqual(len(counts), MAX_LABEL_VALUES + 1)
        self.assertEqual(counts["other", "RAN"], MAX_LABEL_VALUES * 2)

    def test_documentation_lists_all_metrics(self) -> None:
        rows = re.findall(r"^\| `(pistachiolever_\w+)` \|", PAGE.read_text(), re.M)
        names = [i.name for i in (*COUNTERS, *HISTOGRAMS, *GAUGES)]
        self.assertEqual(rows, names)
