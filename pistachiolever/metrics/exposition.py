"""Serves a process's figures as Prometheus text.

The library is loaded at the first scrape: it takes as long to import as all else that
a process needs to start.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from anyio import current_time, sleep, to_thread
from attrs import define

from pistachiolever.http1.server import Exchange
from pistachiolever.metrics.instruments import (
    BUCKET_SECONDS,
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    Durations,
    Instruments,
)

if TYPE_CHECKING:
    from prometheus_client import Metric

LOOP_CHECK_SECONDS = 0.25


@define
class MetricsApi:
    """Answers scrapes of one path."""

    path: str
    instruments: Instruments

    async def handle(self, exchange: Exchange) -> None:
        """Answer a scrape."""
        await exchange.read_body()
        if exchange.head.path != self.path:
            await exchange.respond(404, [], b"")
            return
        text = await to_thread.run_sync(render, self.instruments)
        content_type = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        await exchange.respond(200, [content_type], text)


def render(instruments: Instruments) -> bytes:
    """Return all figures as Prometheus text."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(instruments))
    return generate_latest(registry)


@define(eq=False)
class _Collector:
    """Hands the figures to the library, one family after the other."""

    instruments: Instruments

    def collect(self) -> "Iterator[Metric]":
        """Return the families that have figures."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        family: Any
        for counter in COUNTERS:
            family = CounterMetricFamily(
                counter.name, counter.meaning, labels=counter.label_names
            )
            counts = self.instruments.count_by_name.get(counter.name, {})
            for labels, count in list(counts.items()):
                family.add_metric(labels, count)
            yield family
        for histogram in HISTOGRAMS:
            family = HistogramMetricFamily(
                histogram.name, histogram.meaning, labels=histogram.label_names
            )
            known = self.instruments.durations_by_name.get(histogram.name, {})
            for labels, durations in list(known.items()):
                family.add_metric(labels, _buckets(durations), durations.total)
            yield family
        for gauge in GAUGES:
            read = self.instruments.gauge_by_name.get(gauge.name)
            if read is not None:
                yield GaugeMetricFamily(gauge.name, gauge.meaning, read())


def _buckets(durations: Durations) -> list[tuple[str, float]]:
    """Return cumulative counts by upper bound."""
    buckets: list[tuple[str, float]] = []
    total = 0
    bounds = [str(bound) for bound in BUCKET_SECONDS] + ["+Inf"]
    for bound, count in zip(bounds, durations.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


@define
class LoopDelay:
    """Measures how late the event loop wakes a task."""

    seconds: float = 0.0

    async def run(self) -> None:
        """Measure again and again."""
        while True:
            begun = current_time()
            await sleep(LOOP_CHECK_SECONDS)
            self.seconds = max(0.0, current_time() - begun - LOOP_CHECK_SECONDS)
