"""Counters, histograms and gauges of a process, cheap enough for every request.

`metrics.exposition` serves them to Prometheus; docs/METRICS.md lists them.
"""

from bisect import bisect_left
from collections.abc import Callable
from typing import Final

from absl import logging
from attrs import define, field, frozen

# Distinct values of a label, to bound the number of time series; further values
# are counted as OTHER.
MAX_LABEL_VALUES: Final = 64
OTHER: Final = "other"
# Upper bounds of the histogram buckets.
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
    """Name, help text and label names of a metric."""

    name: str
    documentation: str
    label_names: Labels = ()


REQUESTS: Final = Instrument(
    "pistachiolever_requests", "Requests that ended", ("kind", "account", "outcome")
)
ATTEMPTS: Final = Instrument(
    "pistachiolever_sends", "Attempts at endpoints that ended", ("endpoint", "verdict")
)
RETRIES: Final = Instrument(
    "pistachiolever_repeats",
    "Retries requested from the retry budget",
    ("service", "allowed"),
)
STREAM_ENDS: Final = Instrument(
    "pistachiolever_stream_ends",
    "Event streams of endpoints that ended within or between events",
    ("framing", "place"),
)
HELD_BACK: Final = Instrument(
    "pistachiolever_held_back",
    "Dispatches that an endpoint's notice, or an evacuation, prevented",
    ("endpoint", "notice"),
)
SHED: Final = Instrument(
    "pistachiolever_shed", "Requests refused for lack of processor time", ("account",)
)
FORWARDED: Final = Instrument(
    "pistachiolever_forwarded", "Connections forwarded to siblings", ("outcome",)
)
UNREAD: Final = Instrument(
    "pistachiolever_unread", "Requests whose callers left before they were read"
)
CUT: Final = Instrument(
    "pistachiolever_cut",
    "Clients that lost their request or connection for lack of a resource",
    ("reason",),
)
FIRST_CHUNK: Final = Instrument(
    "pistachiolever_first_part_seconds",
    "Time from arrival to the first chunk",
    ("kind",),
)
QUEUED: Final = Instrument(
    "pistachiolever_queued_seconds", "Time queued for a grant", ("kind",)
)
ENGINE_FIRST_CHUNK: Final = Instrument(
    "pistachiolever_engine_first_part_seconds",
    "Time from sending an attempt to its first chunk",
    ("endpoint",),
)
GRANTS: Final = Instrument(
    "pistachiolever_grants", "Bids decided by an agent", ("account", "outcome")
)
GRANT_WAIT: Final = Instrument(
    "pistachiolever_grant_wait_seconds",
    "Time from a bid to its grant at an agent",
    ("kind",),
)
SPILLOVER: Final = Instrument(
    "pistachiolever_spillover",
    "Bids by the router's and the endpoint's failure domain and what set the price",
    ("domain", "to", "reason"),
)
DOMAIN_EXPECTED: Final = Instrument(
    "pistachiolever_domain_expected_seconds",
    "Expected time from a bid to the first chunk, of requests that got one",
    ("to",),
)
DOMAIN_FIRST_CHUNK: Final = Instrument(
    "pistachiolever_domain_first_part_seconds",
    "Time from a bid to the first chunk",
    ("to",),
)
CONFIGURATIONS: Final = Instrument(
    "pistachiolever_configurations",
    "Configurations submitted by operators",
    ("outcome",),
)
ANNOUNCEMENTS: Final = Instrument(
    "pistachiolever_announcements", "Endpoint announcements received", ("outcome",)
)
# Those with a time series for each endpoint come last: a large fleet has many, and
# monitoring may cut a scrape.
COUNTERS: Final = (
    REQUESTS,
    SHED,
    FORWARDED,
    UNREAD,
    CUT,
    RETRIES,
    STREAM_ENDS,
    SPILLOVER,
    GRANTS,
    CONFIGURATIONS,
    ANNOUNCEMENTS,
    ATTEMPTS,
    HELD_BACK,
)
HISTOGRAMS: Final = (
    FIRST_CHUNK,
    QUEUED,
    DOMAIN_EXPECTED,
    DOMAIN_FIRST_CHUNK,
    ENGINE_FIRST_CHUNK,
    GRANT_WAIT,
)
GAUGES: Final = (
    Instrument(
        "pistachiolever_configuration_version",
        "Configuration version in force in this process",
    ),
    Instrument(
        "pistachiolever_request_limit",
        "Concurrent requests that there is processor time for",
    ),
    Instrument("pistachiolever_endpoints", "Known endpoints that are not gone"),
    Instrument(
        "pistachiolever_busy_connections", "Connections with a request being served"
    ),
    Instrument(
        "pistachiolever_overload",
        "1 while callers are sent to other routers, 2 while requests are refused",
    ),
    Instrument(
        "pistachiolever_forwarded_connections", "Connections that siblings serve"
    ),
    Instrument("pistachiolever_connections", "Open connections of callers"),
    Instrument("pistachiolever_endpoint_connections", "Open connections to endpoints"),
    Instrument(
        "pistachiolever_quarantined_parts",
        "Prompt parts that are not sent, since endpoints crashed under them",
    ),
    Instrument("pistachiolever_routers", "Routers that share the endpoints"),
    Instrument(
        "pistachiolever_registry_in_touch", "1 while a registry member responds"
    ),
    Instrument(
        "pistachiolever_evacuated_domains", "Failure domains that get no requests"
    ),
    Instrument("pistachiolever_leads", "1 while this member is the leader"),
    Instrument("pistachiolever_members", "Voting members"),
    Instrument(
        "pistachiolever_streams",
        "Streams that callers may resume and whose version this member knows",
    ),
    Instrument("pistachiolever_term", "Current Raft term"),
    Instrument("pistachiolever_waiting", "Bids waiting at this agent"),
    Instrument("pistachiolever_running", "Granted requests still in flight"),
    Instrument("pistachiolever_unread_tokens", "Prompt tokens pending prefill"),
    Instrument(
        "pistachiolever_reading_share", "Fraction of the prefill rate that is allowed"
    ),
    Instrument("pistachiolever_cold", "1 while the engine is or may be cold"),
    Instrument("pistachiolever_token_seconds", "Recent time per generated token"),
    Instrument(
        "pistachiolever_loop_delay_seconds", "Latest measured delay of the event loop"
    ),
)


@define
class Durations:
    """A histogram of durations; `total` is their sum in seconds."""

    counts: list[int] = field(factory=lambda: [0] * (len(BUCKET_SECONDS) + 1))
    total: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(BUCKET_SECONDS, seconds)] += 1
        self.total += seconds


@define
class Instruments:
    """The metrics of a process, by name and label values."""

    count_by_name: dict[str, dict[Labels, float]] = field(factory=dict)
    durations_by_name: dict[str, dict[Labels, Durations]] = field(factory=dict)
    gauge_by_name: dict[str, Callable[[], float]] = field(factory=dict)
    values_by_label: dict[tuple[str, str], set[str]] = field(factory=dict)

    def count(self, instrument: Instrument, *values: str, amount: float = 1.0) -> None:
        """Add to a counter."""
        labels = self._limit_labels(instrument, values)
        counts = self.count_by_name.setdefault(instrument.name, {})
        counts[labels] = counts.get(labels, 0.0) + amount

    def observe(self, instrument: Instrument, seconds: float, *values: str) -> None:
        """Add a duration to a histogram."""
        labels = self._limit_labels(instrument, values)
        known = self.durations_by_name.setdefault(instrument.name, {})
        if labels not in known:
            known[labels] = Durations()
        known[labels].observe(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register the function that returns the current value of a gauge."""
        assert any(instrument.name == name for instrument in GAUGES), name
        self.gauge_by_name[name] = read

    def read_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges; call it on the event loop.

        A gauge that fails is logged and left out.
        """
        values: dict[str, float] = {}
        for name, read in self.gauge_by_name.items():
            try:
                values[name] = float(read())
            except Exception:  # noqa: BLE001
                logging.exception("the gauge %s cannot be read", name)
        return values

    def _limit_labels(self, instrument: Instrument, values: Labels) -> Labels:
        """Return the label values, replaced by OTHER above MAX_LABEL_VALUES."""
        return tuple(
            self._limit_label(instrument.name, name, value)
            for name, value in zip(instrument.label_names, values, strict=True)
        )

    def _limit_label(self, name: str, label: str, value: str) -> str:
        """Return the label value, or OTHER above MAX_LABEL_VALUES."""
        known = self.values_by_label.setdefault((name, label), set())
        if value not in known:
            if len(known) >= MAX_LABEL_VALUES:
                return OTHER
            known.add(value)
        return value
