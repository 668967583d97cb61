"""Judges endpoints by the outcomes of requests that were sent to them."""

from math import exp

from attrs import define

from pistachiolever.gateway.const import (
    FIRST_EJECTION_SECONDS,
    HEALTH_MEMORY_SECONDS,
    MOST_EJECTION_SECONDS,
)


@define
class EndpointHealth:
    """Recent good and bad outcomes of one endpoint, and whether it is left alone."""

    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0
    ejected_until: float = 0.0
    unreached: int = 0

    def see_good(self, now: float) -> None:
        """Count a request that was answered as it should be."""
        self._fade(now)
        self.good += 1.0
        self.unreached = 0

    def see_bad(self, now: float) -> None:
        """Count a request that failed at the endpoint."""
        self._fade(now)
        self.bad += 1.0

    def see_unreached(self, now: float) -> None:
        """Leave an endpoint alone that takes no connection."""
        self.see_bad(now)
        wait = FIRST_EJECTION_SECONDS * 2**self.unreached
        self.unreached = min(self.unreached + 1, 10)
        self.ejected_until = now + min(MOST_EJECTION_SECONDS, wait)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the endpoint is left alone."""
        return now < self.ejected_until

    def failure_share(self, now: float) -> float:
        """Return the recent share of failures; few outcomes weigh little."""
        self._fade(now)
        return self.bad / (self.good + self.bad + 2.0)

    def _fade(self, now: float) -> None:
        """Let older outcomes weigh less."""
        weight = exp(-max(0.0, now - self.at) / HEALTH_MEMORY_SECONDS)
        self.good *= weight
        self.bad *= weight
        self.at = now
