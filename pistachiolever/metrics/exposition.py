"""Exposes the metrics of a process in the Prometheus text format.

prometheus_client is imported at the first scrape, because importing it takes as long
as all other imports of a starting process together.
"""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from anyio import current_time, sleep, to_thread
from attrs import define

from pistachiolever.http1.connection import Exchange
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

LOOP_DELAY_INTERVAL_SECONDS = 0.25


@define
class MetricsApi:
    """Serves the metrics at one path."""

    path: str
    instruments: Instruments

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a scrape."""
        exchange.discard_body()
        if exchange.head.path != self.path:
            await exchange.respond(404, [], b"")
            return
        # Gauges are read here, as they may use the event loop's clock.
        gauges = self.instruments.read_gauges()
        text = await to_thread.run_sync(render, self.instruments, gauges)
        content_type = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
        await exchange.respond(200, [content_type], text)


def render(instruments: Instruments, gauges: dict[str, float]) -> bytes:
    """Return all metrics in the Prometheus text format, with these gauge values."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(instruments, gauges))
    return generate_latest(registry)


@define(eq=False)
class _Collector:
    """Converts the metrics for prometheus_client."""

    instruments: Instruments
    gauges: dict[str, float]

    def collect(self) -> "Iterator[Metric]":
        """Yield the metric families; gauges only if this process reports them."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        family: Any
        for gauge in GAUGES:
            value = self.gauges.get(gauge.name)
            if value is not None:
                yield GaugeMetricFamily(gauge.name, gauge.documentation, value)
        for counter in COUNTERS:
            family = CounterMetricFamily(
                counter.name, counter.documentation, labels=counter.label_names
            )
            counts = self.instruments.count_by_name.get(counter.name, {})
            for labels, count in list(counts.items()):
                family.add_metric(labels, count)
            yield family
        for histogram in HISTOGRAMS:
            family = HistogramMetricFamily(
                histogram.name, histogram.documentation, labels=histogram.label_names
            )
            durations_by_labels = self.instruments.durations_by_name.get(
                histogram.name, {}
            )
            for labels, durations in list(durations_by_labels.items()):
                family.add_metric(
                    labels, _cumulative_buckets(durations), durations.total
                )
            yield family


def _cumulative_buckets(durations: Durations) -> list[tuple[str, float]]:
    """Return the cumulative counts by upper bound."""
    buckets: list[tuple[str, float]] = []
    total = 0
    bounds = [str(bound) for bound in BUCKET_SECONDS] + ["+Inf"]
    for bound, count in zip(bounds, durations.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


@define
class LoopDelay:
    """Measures by how many seconds the event loop resumes a sleeping task late."""

    seconds: float = 0.0

    async def run(self) -> None:
        """Measure the delay periodically."""
        while True:
            started_at = current_time()
            await sleep(LOOP_DELAY_INTERVAL_SECONDS)
            self.seconds = max(
                0.0, current_time() - started_at - LOOP_DELAY_INTERVAL_SECONDS
            )
