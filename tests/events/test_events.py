"""Tests of the event catalogue and of the timeline."""

import re
from pathlib import Path
from unittest import TestCase

from hypothesis import given, strategies as st

from pistachiolever.core.clock import HybridClock
from pistachiolever.events.const import EventCode
from pistachiolever.events.models import Event
from pistachiolever.events.recorder import EventRecorder
from pistachiolever.events.timeline import TimelineFilter, merge_events
from tests.support.profile import STATEFUL

CATALOGUE = Path(__file__).parents[2] / "docs" / "EVENTS.md"


class CatalogueTest(TestCase):
    """docs/EVENTS.md lists exactly the event codes of the code."""

    def test_catalogue_matches_code(self) -> None:
        rows = re.findall(r"^\| E(\d+) \| (\w+) \|", CATALOGUE.read_text(), re.M)
        documented = {(int(number), name) for number, name in rows}
        self.assertEqual(documented, {(code.value, code.name) for code in EventCode})


class TimelineTest(TestCase):
    """Clock skew between VMs must not put an effect before its cause."""

    @STATEFUL
    @given(
        skews_ms=st.lists(st.integers(-100_000, 100_000), min_size=3, max_size=3),
        path=st.lists(st.integers(0, 2), min_size=2, max_size=20),
    )
    def test_cause_precedes_effect_under_clock_skew(
        self, skews_ms: list[int], path: list[int]
    ) -> None:
        base_ms = 1_000_000
        recorders = [
            EventRecorder(f"p{n}", lambda n=n: base_ms + skews_ms[n], HybridClock())  # type: ignore[misc]
            for n in range(3)
        ]
        for step, sender in enumerate(path):
            recorders[sender].record(EventCode.REQUEST_ACCEPTED, detail=str(step))
            receiver = path[step + 1] if step + 1 < len(path) else sender
            recorders[receiver].observe(recorders[sender].stamp())
        events: list[Event] = []
        for recorder in recorders:
            events.extend(recorder.recent)
        merged = merge_events(events + events, TimelineFilter())
        self.assertEqual(
            [event.detail for event in merged], [str(n) for n in range(len(path))]
        )

    def test_filter_by_request(self) -> None:
        recorder = EventRecorder("p", lambda: 1)
        recorder.record(EventCode.REQUEST_ACCEPTED, request_id="a")
        recorder.record(EventCode.REQUEST_ACCEPTED, request_id="b")
        found = merge_events(recorder.after(0), TimelineFilter(request_id="b"))
        self.assertEqual([event.request_id for event in found], ["b"])
