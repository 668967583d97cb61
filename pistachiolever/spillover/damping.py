"""Limits how fast, and how much, routers react to the same loads."""

from random import Random

from attrs import define

from pistachiolever.spillover.const import (
    CALM_PRESSURE,
    MAX_CHANGE_PER_SECOND,
    PERIOD_FRACTION,
    SHORT_BEGINS,
    SHORT_ENDS,
    SHORT_PRESSURE,
    VIEW_SECONDS,
)


def shortage_of(pressure: float) -> float:
    """Return 0 for a domain that has room, 1 for one that is short."""
    raw = (pressure - CALM_PRESSURE) / (SHORT_PRESSURE - CALM_PRESSURE)
    return min(1.0, max(0.0, raw))


@define
class DampedShortage:
    """The shortage of a domain, which follows its pressure at a limited rate."""

    level: float = 0.0
    changed_at: float = float("-inf")
    is_short: bool = False

    def follow(self, pressure: float, now: float) -> bool:
        """Move towards a pressure; return whether the domain begins or stops short.

        After a time without loads the level starts again at 0, the one without effect.
        """
        limit = MAX_CHANGE_PER_SECOND * min(VIEW_SECONDS, now - self.changed_at)
        change = shortage_of(pressure) - self.level
        self.level += max(-limit, min(limit, change))
        self.changed_at = now
        was_short = self.is_short
        threshold = SHORT_ENDS if was_short else SHORT_BEGINS
        self.is_short = self.level > threshold if was_short else self.level >= threshold
        return self.is_short != was_short


@define
class Allowance:
    """This router's part of a domain's spare capacity, by period.

    In each period a router uses half of its part. A request larger than that is sent by
    a random few of the routers, by their `draw`, so that all together use no more.
    """

    rng: Random
    started_at: float = float("-inf")
    used: float = 0.0
    draw: float = 1.0

    def allows(self, size: float, spare: float, router_count: int, now: float) -> bool:
        """Return whether a request of a size may leave, in endpoints."""
        self._start_period(now)
        part = PERIOD_FRACTION * spare / max(1, router_count)
        if size <= part:
            return self.used + size <= part
        return self.used == 0.0 and self.draw < part / size

    def use(self, size: float, now: float) -> None:
        """Count a request that has left."""
        self._start_period(now)
        self.used += size

    def _start_period(self, now: float) -> None:
        """Begin a new period when the last one is over."""
        if now - self.started_at >= VIEW_SECONDS:
            self.started_at, self.used = now, 0.0
            self.draw = self.rng.random()
