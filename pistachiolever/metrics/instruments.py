"""Counters, histograms and gauges of a process, cheap enough for every request.

Served as Prometheus text by `metrics.exposition`; docs/METRICS.md lists them.
"""

from bisect import bisect_left
from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

# Values of one label that are told apart; later ones count as OTHER.
MAX_LABEL_VALUES: Final = 64
OTHER: Final = "other"
# Upper bounds of the buckets of durations, in seconds.
BUCKET_SECONDS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
    16.0,
)

Labels = tuple[str, ...]


@frozen
class Instrument:
    """Name, meaning and label names of a family of figures."""

    name: str
    meaning: str
    label_names: Labels = ()


REQUESTS: Final = Instrument(
    "pistachiolever_requests", "Requests that ended", ("kind", "account", "outcome")
)
ATTEMPTS: Final = Instrument(
    "pistachiolever_sends", "Sends to endpoints that ended", ("endpoint", "verdict")
)
RETRIES: Final = Instrument(
    "pistachiolever_repeats", "Repeats asked of the budget", ("service", "allowed")
)
FIRST_CHUNK: Final = Instrument(
    "pistachiolever_first_part_seconds", "Arrival to the first part", ("kind",)
)
QUEUED: Final = Instrument(
    "pistachiolever_queued_seconds", "Time spent waiting for a grant", ("kind",)
)
ENGINE_FIRST_CHUNK: Final = Instrument(
    "pistachiolever_engine_first_part_seconds",
    "Send to the first part of an endpoint",
    ("endpoint",),
)
GRANTS: Final = Instrument(
    "pistachiolever_grants", "Bids that an agent decided", ("account", "outcome")
)
GRANT_WAIT: Final = Instrument(
    "pistachiolever_grant_wait_seconds", "Bid to grant at an agent", ("kind",)
)
CONFIGURATIONS: Final = Instrument(
    "pistachiolever_configurations", "Configurations sent by operators", ("outcome",)
)
ANNOUNCEMENTS: Final = Instrument(
    "pistachiolever_announcements", "Announcements of endpoints", ("outcome",)
)
COUNTERS: Final = (REQUESTS, ATTEMPTS, RETRIES, GRANTS, CONFIGURATIONS, ANNOUNCEMENTS)
HISTOGRAMS: Final = (FIRST_CHUNK, QUEUED, ENGINE_FIRST_CHUNK, GRANT_WAIT)
GAUGES: Final = (
    Instrument("pistachiolever_configuration_version", "Version in force here"),
    Instrument("pistachiolever_endpoints", "Endpoints that are known and not gone"),
    Instrument("pistachiolever_busy_connections", "Requests that are being served"),
    Instrument("pistachiolever_routers", "Routers that share the endpoints"),
    Instrument("pistachiolever_registry_in_touch", "1 while some member answers"),
    Instrument("pistachiolever_leads", "1 while this member leads"),
    Instrument("pistachiolever_members", "Members that count"),
    Instrument("pistachiolever_term", "Term of the agreement"),
    Instrument("pistachiolever_waiting", "Bids that wait at this agent"),
    Instrument("pistachiolever_running", "Granted requests that have not ended"),
    Instrument("pistachiolever_unread_tokens", "Prompt tokens the engine must read"),
    Instrument("pistachiolever_reading_share", "Share of the engine that reads"),
    Instrument("pistachiolever_token_seconds", "Time a running answer's token takes"),
    Instrument("pistachiolever_loop_delay_seconds", "Delay of the event loop lately"),
)


@define
class Durations:
    """Counts of durations by bucket, and their sum in seconds."""

    counts: list[int] = field(factory=lambda: [0] * (len(BUCKET_SECONDS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_SECONDS, seconds)] += 1
        self.total += seconds


@define
class Instruments:
    """The figures of one process."""

    count_by_name: dict[str, dict[Labels, float]] = field(factory=dict)
    durations_by_name: dict[str, dict[Labels, Durations]] = field(factory=dict)
    gauge_by_name: dict[str, Callable[[], float]] = field(factory=dict)
    values_by_label: dict[tuple[str, str], set[str]] = field(factory=dict)

    def count(self, instrument: Instrument, *values: str, amount: float = 1.0) -> None:
        """Add to a counter."""
        labels = self._bounded(instrument, values)
        counts = self.count_by_name.setdefault(instrument.name, {})
        counts[labels] = counts.get(labels, 0.0) + amount

    def observe(self, instrument: Instrument, seconds: float, *values: str) -> None:
        """Count a duration."""
        labels = self._bounded(instrument, values)
        known = self.durations_by_name.setdefault(instrument.name, {})
        if labels not in known:
            known[labels] = Durations()
        known[labels].observe(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Read a gauge by a function whenever it is asked for."""
        assert any(instrument.name == name for instrument in GAUGES), name
        self.gauge_by_name[name] = read

    def _bounded(self, instrument: Instrument, values: Labels) -> Labels:
        """Return label values, those beyond the bound as OTHER."""
        return tuple(
            self._bounded_value(instrument.name, name, value)
            for name, value in zip(instrument.label_names, values, strict=True)
        )

    def _bounded_value(self, name: str, label: str, value: str) -> str:
        """Return a label value, or OTHER."""
        known = self.values_by_label.setdefault((name, label), set())
        if value not in known:
            if len(known) >= MAX_LABEL_VALUES:
                return OTHER
            known.add(value)
        return value
