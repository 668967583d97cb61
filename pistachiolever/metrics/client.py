"""Sends metrics by statsd, or nowhere."""

from typing import Protocol

from statsd import StatsClient

from pistachiolever.settings.models import StatsdSettings


class Metrics(Protocol):
    """What the program counts and measures."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Report a duration in milliseconds."""


class NoMetrics:
    """Counts nothing."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


def make_metrics(settings: StatsdSettings, role: str) -> Metrics:
    """Return the statsd client of a role, or one that drops all."""
    if settings.port == 0:
        return NoMetrics()
    prefix = f"{settings.prefix}.{role}"
    client: Metrics = StatsClient(settings.host, settings.port, prefix=prefix)
    return client
