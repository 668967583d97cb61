"""Health of endpoints, judged by the results of attempts."""

from math import exp

from attrs import define

from pistachiolever.gateway.const import (
    HEALTH_DECAY_SECONDS,
    INITIAL_EJECTION_SECONDS,
    MAX_EJECTION_SECONDS,
)


@define
class EndpointHealth:
    """Decaying counts of an endpoint's results, and its ejection when unreachable."""

    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    ejected_until: float = 0.0
    unreachable_count: int = 0

    def record_success(self, now: float) -> None:
        """Count a successful attempt; reset the ejection backoff."""
        self._decay(now)
        self.successes += 1.0
        self.unreachable_count = 0

    def record_failure(self, now: float) -> None:
        """Count a failed attempt."""
        self._decay(now)
        self.failures += 1.0

    def record_unreachable(self, now: float) -> None:
        """Eject an endpoint that accepts no connection, with exponential backoff."""
        self.record_failure(now)
        ejection_seconds = INITIAL_EJECTION_SECONDS * 2**self.unreachable_count
        self.unreachable_count = min(self.unreachable_count + 1, 10)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, ejection_seconds)

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint gets no requests for now."""
        return now < self.ejected_until

    def failure_fraction(self, now: float) -> float:
        """Return the recent fraction of failures, damped while results are few."""
        self._decay(now)
        return self.failures / (self.successes + self.failures + 2.0)

    def _decay(self, now: float) -> None:
        """Decay the counts to the current time."""
        weight = exp(-max(0.0, now - self.updated_at) / HEALTH_DECAY_SECONDS)
        self.successes *= weight
        self.failures *= weight
        self.updated_at = now
