"""Which requests a router that stops can still finish."""

from collections.abc import Iterator
from contextlib import contextmanager

from anyio import CancelScope
from attrs import define, field

from pistachiolever.capacity.estimate import RunStatistics
from pistachiolever.gateway.const import (
    PLAIN_RESPONSE_SECONDS,
    RESPONSE_TARGETS,
    RESPONSE_TIME_MARGIN,
    RESPONSE_TIME_SECONDS,
)
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.routing.models import RequestKind


@define
class ResponseTimes:
    """The longest recent response time of each route of plain services, in seconds.

    `previous_by_route` are those of the interval before the current one.
    """

    longest_by_route: dict[str, float] = field(factory=dict)
    previous_by_route: dict[str, float] = field(factory=dict)
    started_at: float = float("-inf")

    def record(self, route_id: str, seconds: float, now: float) -> None:
        """Record the time of one response."""
        self._start_interval(now)
        longest = self.longest_by_route.get(route_id, 0.0)
        self.longest_by_route[route_id] = max(longest, seconds)

    def longest(self, route_id: str, now: float) -> float:
        """Return the longest recent response time; 0 if none is known."""
        self._start_interval(now)
        return max(
            self.longest_by_route.get(route_id, 0.0),
            self.previous_by_route.get(route_id, 0.0),
        )

    def _start_interval(self, now: float) -> None:
        """Start a new interval if the current one has ended."""
        age = now - self.started_at
        if age < RESPONSE_TIME_SECONDS:
            return
        is_recent = age < 2 * RESPONSE_TIME_SECONDS
        self.previous_by_route = self.longest_by_route if is_recent else {}
        self.longest_by_route = {}
        self.started_at = now


@define
class DrainWindow:
    """Refuses what could not be finished; a refused request has not run.

    `ends_at` is when responses have to be complete. Until `balancer_leaves_at` callers
    have no other router. Both are infinite unless the router stops.
    """

    runs: RunStatistics = field(factory=RunStatistics)
    response_times: ResponseTimes = field(factory=ResponseTimes)
    ends_at: float = float("inf")
    balancer_leaves_at: float = float("inf")
    waiting_scopes: set[CancelScope] = field(factory=set)

    def close(self, now: float) -> None:
        """Take nothing more: the process ends as soon as it has answered."""
        self.ends_at = min(self.ends_at, now)
        self.balancer_leaves_at = float("-inf")
        self.end_waits()

    def may_take(self, request: ProxyRequest, now: float) -> bool:
        """Return whether a request that comes now is taken."""
        if now < self.balancer_leaves_at:
            return True
        # How long a stream will take is not known well enough.
        is_stream = request.route.kind is RequestKind.STREAM
        return not is_stream and self.may_send(request, now)

    def may_send(self, request: ProxyRequest, now: float) -> bool:
        """Return whether the response to a request that is sent now will be complete.

        As far as recent ones tell.
        """
        return now + self._expected_seconds(request, now) <= self.ends_at

    def shorten_deadline(self, request: ProxyRequest) -> None:
        """Let a request that comes during a drain end before the process does.

        Its caller then gets an answer in place of a closed connection.
        """
        request.deadline_at = min(request.deadline_at, self.ends_at)

    def is_closing(self, now: float) -> bool:
        """Return whether too little time is left for any request."""
        return now + PLAIN_RESPONSE_SECONDS > self.ends_at

    @contextmanager
    def waiting(self) -> Iterator[CancelScope]:
        """Return a scope for the wait for a grant, which `end_waits` cancels."""
        with CancelScope() as scope:
            self.waiting_scopes.add(scope)
            try:
                yield scope
            finally:
                self.waiting_scopes.discard(scope)

    def end_waits(self) -> None:
        """Let the requests that wait for a grant be refused, as they have not run."""
        for scope in list(self.waiting_scopes):
            scope.cancel()

    def _expected_seconds(self, request: ProxyRequest, now: float) -> float:
        """Return how long the response to a request may take."""
        route = request.route
        if route.kind is RequestKind.STREAM:
            return self.runs.mean(now).seconds
        return max(
            PLAIN_RESPONSE_SECONDS,
            RESPONSE_TARGETS * route.target_seconds,
            RESPONSE_TIME_MARGIN * self.response_times.longest(route.route_id, now),
        )
