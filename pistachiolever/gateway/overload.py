"""Decides from the delay of the event loop what an overloaded router still takes."""

from enum import IntEnum

from attrs import define

from pistachiolever.gateway.const import (
    BUSY_DELAY_SECONDS,
    CALM_DELAY_SECONDS,
    DELAY_SAMPLE_SECONDS,
    DELAY_SAMPLE_WEIGHT,
    MIN_BUSY_SECONDS,
    SHED_DELAY_SECONDS,
)


class Overload(IntEnum):
    """How a router protects the requests that it has taken.

    A `BUSY` one is not ready and asks callers to close their connections, so that they
    go to other routers. A `SHEDDING` one also refuses new requests at once.
    """

    NONE = 0
    BUSY = 1
    SHEDDING = 2


@define
class OverloadGuard:
    """Follows the smoothed delay of the event loop, in seconds.

    The delay is the time that a task waits for the processor; callers see it once per
    step of their request. A single long step does not count.
    """

    delay: float = 0.0
    last_sample: float = 0.0
    level: Overload = Overload.NONE
    raised_at: float = float("-inf")

    def observe(self, delay: float, now: float) -> Overload:
        """Add a sample; return the level from now on.

        It rises at once, and falls step by step once the delay is low again.
        """
        lasting, self.last_sample = min(delay, self.last_sample), delay
        # A slow loop takes fewer samples, each of which stands for more time.
        intervals = 1.0 + delay / DELAY_SAMPLE_SECONDS
        weight = 1.0 - (1.0 - DELAY_SAMPLE_WEIGHT) ** intervals
        self.delay += weight * (lasting - self.delay)
        wanted = Overload.NONE
        if self.delay > SHED_DELAY_SECONDS:
            wanted = Overload.SHEDDING
        elif self.delay > BUSY_DELAY_SECONDS:
            wanted = Overload.BUSY
        if wanted > self.level:
            self.level, self.raised_at = wanted, now
        elif wanted < self.level and self._may_fall(now):
            self.level = Overload(self.level - 1)
            self.raised_at = now
        return self.level

    def _may_fall(self, now: float) -> bool:
        """Return whether the level may fall by one."""
        if self.level is Overload.SHEDDING:
            return self.delay < BUSY_DELAY_SECONDS
        is_settled = now - self.raised_at >= MIN_BUSY_SECONDS
        return is_settled and self.delay < CALM_DELAY_SECONDS
