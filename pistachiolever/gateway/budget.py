"""A retry budget shared by all routers without communication between them."""

from collections import deque

from attrs import define, field

from pistachiolever.gateway.const import BUDGET_FRACTION, INITIAL_ROUTER_COUNT


@define
class ServiceCounts:
    """Times of requests and of retries within the window, in seconds."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)


@define
class RetryBudget:
    """Limits retries to each service in a sliding window.

    A router may retry a ratio of its own requests, plus an equal part of the fleet's
    slack (a number of retries). The sum over all routers never exceeds the fleet's
    budget.
    """

    ratio: float
    window_seconds: float
    slack: float
    router_count: int = INITIAL_ROUTER_COUNT
    counts_by_service: dict[str, ServiceCounts] = field(factory=dict)

    def record_request(self, service_id: str, now: float) -> None:
        """Count a caller's request."""
        self._counts(service_id, now).requests.append(now)

    def remaining(self, service_id: str, now: float) -> float:
        """Return how many retries are left in the window."""
        counts = self._counts(service_id, now)
        allowed = self.ratio * len(counts.requests) + self.slack / max(
            1, self.router_count
        )
        return allowed * BUDGET_FRACTION - len(counts.retries)

    def try_acquire(self, service_id: str, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self.remaining(service_id, now) < 1.0:
            return False
        self._counts(service_id, now).retries.append(now)
        return True

    def _counts(self, service_id: str, now: float) -> ServiceCounts:
        """Return the counts of a service without those before the window."""
        counts = self.counts_by_service.setdefault(service_id, ServiceCounts())
        limit = now - self.window_seconds
        for times in (counts.requests, counts.retries):
            while times and times[0] < limit:
                times.popleft()
        return counts
