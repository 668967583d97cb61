"""Keeps repeats within a budget that all routers share, without asking them."""

from collections import deque

from attrs import define, field

from pistachiolever.gateway.const import BUDGET_SHARE, UNKNOWN_ROUTERS


@define
class ServiceCounts:
    """Times of first sends and of repeats within the window, in seconds."""

    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)


@define
class RetryBudget:
    """Repeats to each service: a ratio of the own requests and a part of the slack.

    Summed over the routers, the own parts never exceed the whole.
    """

    ratio: float
    window_seconds: float
    slack: float
    router_count: int = UNKNOWN_ROUTERS
    counts_by_service: dict[str, ServiceCounts] = field(factory=dict)

    def note_request(self, service_id: str, now: float) -> None:
        """Count a request of a caller."""
        self._counts(service_id, now).requests.append(now)

    def left(self, service_id: str, now: float) -> float:
        """Return how many repeats are left now."""
        counts = self._counts(service_id, now)
        allowed = self.ratio * len(counts.requests) + self.slack / max(
            1, self.router_count
        )
        return allowed * BUDGET_SHARE - len(counts.repeats)

    def take(self, service_id: str, now: float) -> bool:
        """Count a repeat, if there is room for it."""
        if self.left(service_id, now) < 1.0:
            return False
        self._counts(service_id, now).repeats.append(now)
        return True

    def _counts(self, service_id: str, now: float) -> ServiceCounts:
        """Return the counts of a service within the window."""
        counts = self.counts_by_service.setdefault(service_id, ServiceCounts())
        limit = now - self.window_seconds
        for times in (counts.requests, counts.repeats):
            while times and times[0] < limit:
                times.popleft()
        return counts
