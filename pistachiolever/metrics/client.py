"""Sends metrics to a statsd server, if one is configured."""

from typing import Protocol

from statsd import StatsClient

from pistachiolever.settings.models import StatsdSettings


class Metrics(Protocol):
    """The operations of a statsd client that the program uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def make_metrics(settings: StatsdSettings, role: str) -> Metrics:
    """Return the statsd client of a role, or one that discards all metrics."""
    if settings.port == 0:
        return NoMetrics()
    prefix = f"{settings.prefix}.{role}"
    client: Metrics = StatsClient(settings.host, settings.port, prefix=prefix)
    return client
