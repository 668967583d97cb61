"""What a router knows, and the few steps that all its decisions share."""

from random import Random

from attrs import define, field, frozen

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Revision, Service
from pistachiolever.router.account_queues import MemoryPool, WaitingRequest
from pistachiolever.router.const import DRAIN_RETRY_AFTER_SECONDS
from pistachiolever.router.endpoints import EndpointBook, EndpointState
from pistachiolever.router.flights import Flight, FlightBook
from pistachiolever.router.models import (
    CallerRequest,
    EndRequest,
    FreeClaim,
    RouterAction,
    SendCommand,
)
from pistachiolever.router.retry import RetryBudget
from pistachiolever.router.service_queue import ServiceQueue
from pistachiolever.settings.models import RouterSettings
from pistachiolever.wire.models import AccountService, RouterMessage, ServiceBacklog


@frozen(order=True)
class DelayedRetry:
    """A request that waits for its retry time."""

    at: float
    order: int
    item: WaitingRequest = field(order=False)


@define
class RouterState:
    """All that the decisions of one router work on.

    `now` is the time of the message in hand, `_actions` what it led to so far.
    """

    settings: RouterSettings
    rng: Random
    revision: Revision
    endpoints: EndpointBook = field(factory=EndpointBook)
    flights: FlightBook = field(factory=FlightBook)
    budget: RetryBudget = field(factory=RetryBudget)
    queue_by_service: dict[str, ServiceQueue] = field(factory=dict)
    request_by_id: dict[str, CallerRequest] = field(factory=dict)
    delayed: list[DelayedRetry] = field(factory=list)
    delayed_count: int = 0
    draining: bool = False
    pool: MemoryPool = field(init=False)
    now: float = 0.0
    _actions: list[RouterAction] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Size the memory of the queues."""
        self.pool = MemoryPool(self.settings.max_queue_bytes)

    def collect_account_updates(self, full: bool) -> list[AccountService]:
        """Return the counters to publish."""
        accounts: list[AccountService] = []
        for service_id, queue in self.queue_by_service.items():
            accounts.extend(queue.ledger.report(service_id, full))
        return accounts

    def heartbeat_failed(self) -> None:
        """Publish everything again with the next heartbeat."""
        for queue in self.queue_by_service.values():
            queue.ledger.republish_all()

    def service_backlogs(self) -> list[ServiceBacklog]:
        """Return how many requests wait, by service."""
        return [
            ServiceBacklog(service_id, queue.account_queues.count)
            for service_id, queue in self.queue_by_service.items()
            if queue.account_queues.count
        ]

    def is_idle(self) -> bool:
        """Tell whether nothing waits and nothing is in flight."""
        waiting = any(
            queue.account_queues.count for queue in self.queue_by_service.values()
        )
        return not waiting and not self.delayed and not self.flights.flight_by_id

    def _finish_flight(self, flight: Flight, learn: bool) -> None:
        """Drop a flight that ended."""
        self._remove_flight(flight)
        queue = self.queue_by_service[flight.request.service_id]
        queue.settle(flight, learn=learn and not flight.resumed)

    def _add_flight(self, flight: Flight, state: EndpointState) -> None:
        """Keep a new flight."""
        self.flights.add(flight)
        state.in_flight += 1

    def _remove_flight(self, flight: Flight) -> None:
        """Forget a flight."""
        self.flights.remove(flight.request.request_id)
        state = self.endpoints.state_by_id.get(flight.endpoint_id)
        if state is not None:
            state.in_flight -= 1

    def _end(self, request_id: str, refusal: Refusal) -> None:
        """End the caller's request; free the key of one that was not run."""
        request = self.request_by_id.pop(request_id, None)
        self._actions.append(EndRequest(request_id, refusal))
        if request is not None and refusal.verdict is Verdict.NOT_RUN:
            self._free_claim(request)

    def _free_claim(self, request: CallerRequest) -> None:
        """Free the idempotency key of a request that was not run."""
        if request.attempt_id:
            self._actions.append(FreeClaim(request.attempt_id))

    def _command(self, endpoint_id: str, message: RouterMessage) -> None:
        """Send a message to a sidecar."""
        self._actions.append(SendCommand(endpoint_id, message))

    def _queue(self, service_id: str) -> ServiceQueue | None:
        """Return the queue of a declared service, made at its first use."""
        queue = self.queue_by_service.get(service_id)
        if queue is not None:
            return queue
        service: Service | None = self.revision.service_by_id.get(service_id)
        if service is None:
            return None
        queue = ServiceQueue(service, self.revision, self.pool)
        self.queue_by_service[service_id] = queue
        return queue

    def _seconds_each(self, request: CallerRequest) -> float:
        """Guess the seconds between two requests of an account, for Retry-After."""
        states = self.endpoints.of_service(request.service_id)
        return 1.0 / max(1, sum(state.in_flight for state in states))


def draining_refusal() -> Refusal:
    """Return the end of what a leaving router hands back."""
    return Refusal(
        Verdict.NOT_RUN,
        "draining",
        "this router is leaving; ask another",
        DRAIN_RETRY_AFTER_SECONDS,
    )
