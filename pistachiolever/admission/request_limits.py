"""The stricter of the limits on the requests that an endpoint gets, without I/O."""

from attrs import define

from pistachiolever.admission.cold_start import ColdStart
from pistachiolever.admission.rate_limit import RateLimit


@define
class RequestLimits:
    """The rate that an endpoint named, and that of a cold engine."""

    rate_limit: RateLimit
    cold_start: ColdStart

    def set_fraction(self, fraction: float) -> None:
        """Let this process grant a part of what all routers may grant together."""
        self.rate_limit.fraction = fraction
        self.cold_start.fraction = fraction

    def record_demand(self, now: float) -> None:
        """Record that a request comes or waits."""
        self.rate_limit.record_demand(now)
        self.cold_start.refill(now)

    def refill(self, now: float) -> None:
        """Add the credit since the last call."""
        self.rate_limit.refill(now)
        self.cold_start.refill(now)

    def allows(self, now: float) -> bool:
        """Return whether a request may be granted now."""
        return self.rate_limit.allows() and self.cold_start.allows(now)

    def consume(self, now: float) -> None:
        """Take a granted request from the credits."""
        self.rate_limit.consume()
        self.cold_start.consume(now)

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Return the time until a request may be granted, after those `ahead` of it."""
        return max(
            self.rate_limit.wait_seconds(ahead),
            self.cold_start.wait_seconds(ahead, now),
        )
