"""State of the router core and helpers shared by all its handlers."""

from random import Random

from attrs import define, field, frozen

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Revision, Service
from pistachiolever.router.account_queues import MemoryPool, QueuedRequest
from pistachiolever.router.const import DRAIN_RETRY_AFTER_SECONDS
from pistachiolever.router.endpoints import EndpointTable, RouterEndpointState
from pistachiolever.router.in_flight import InFlightRequest, InFlightTable
from pistachiolever.router.models import (
    CallerRequest,
    EndRequest,
    ReleaseClaim,
    RouterAction,
    SendCommand,
)
from pistachiolever.router.retry import RetryBudget
from pistachiolever.router.service_queue import ServiceQueue
from pistachiolever.settings.models import RouterSettings
from pistachiolever.wire.models import AccountService, RouterMessage, ServiceBacklog


@frozen(order=True)
class DelayedRetry:
    """A request to queue again at `retry_at`; `sequence` breaks ties."""

    retry_at: float
    sequence: int
    item: QueuedRequest = field(order=False)


@define
class RouterState:
    """The state of one router.

    `now` is the time of the current input in seconds, `_actions` the actions it has
    caused so far.
    """

    settings: RouterSettings
    rng: Random
    revision: Revision
    endpoints: EndpointTable = field(factory=EndpointTable)
    in_flight_requests: InFlightTable = field(factory=InFlightTable)
    retry_budget: RetryBudget = field(factory=RetryBudget)
    queue_by_service: dict[str, ServiceQueue] = field(factory=dict)
    request_by_id: dict[str, CallerRequest] = field(factory=dict)
    delayed_retries: list[DelayedRetry] = field(factory=list)
    retry_count: int = 0
    draining: bool = False
    memory_pool: MemoryPool = field(init=False)
    now: float = 0.0
    _actions: list[RouterAction] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the memory pool of the queues."""
        self.memory_pool = MemoryPool(self.settings.max_queue_bytes)

    def collect_account_updates(self, full: bool) -> list[AccountService]:
        """Return the counters to publish in a heartbeat."""
        accounts: list[AccountService] = []
        for service_id, queue in self.queue_by_service.items():
            accounts.extend(queue.counters.collect_updates(service_id, full))
        return accounts

    def heartbeat_failed(self) -> None:
        """Publish all counters again, since the last heartbeat may have been lost."""
        for queue in self.queue_by_service.values():
            queue.counters.republish_all()

    def service_backlogs(self) -> list[ServiceBacklog]:
        """Return the number of queued requests of each service that has any."""
        return [
            ServiceBacklog(service_id, queue.account_queues.count)
            for service_id, queue in self.queue_by_service.items()
            if queue.account_queues.count
        ]

    def is_idle(self) -> bool:
        """Return whether no request is queued, delayed or in flight."""
        has_queued = any(
            queue.account_queues.count for queue in self.queue_by_service.values()
        )
        return (
            not has_queued
            and not self.delayed_retries
            and not self.in_flight_requests.request_by_id
        )

    def _finish_in_flight(
        self, in_flight: InFlightRequest, update_estimate: bool
    ) -> None:
        """Remove a request that ended and settle its charges."""
        self._remove_in_flight(in_flight)
        queue = self.queue_by_service[in_flight.request.service_id]
        queue.settle(
            in_flight, update_estimate=update_estimate and not in_flight.resumed
        )

    def _add_in_flight(
        self, in_flight: InFlightRequest, state: RouterEndpointState
    ) -> None:
        """Add a dispatched request."""
        self.in_flight_requests.add(in_flight)
        state.in_flight_count += 1

    def _remove_in_flight(self, in_flight: InFlightRequest) -> None:
        """Remove an in-flight request."""
        self.in_flight_requests.remove(in_flight.request.request_id)
        state = self.endpoints.state_by_id.get(in_flight.endpoint_id)
        if state is not None:
            state.in_flight_count -= 1

    def _end_request(self, request_id: str, refusal: Refusal) -> None:
        """End the caller's request; release its key if it did not run."""
        request = self.request_by_id.pop(request_id, None)
        self._actions.append(EndRequest(request_id, refusal))
        if request is not None and refusal.verdict is Verdict.NOT_RUN:
            self._release_claim(request)

    def _release_claim(self, request: CallerRequest) -> None:
        """Release the idempotency key of a request that did not run."""
        if request.attempt_id:
            self._actions.append(ReleaseClaim(request.attempt_id))

    def _send_command(self, endpoint_id: str, message: RouterMessage) -> None:
        """Send a message to a sidecar."""
        self._actions.append(SendCommand(endpoint_id, message))

    def _service_queue(self, service_id: str) -> ServiceQueue | None:
        """Return the queue of a declared service, creating it on first use."""
        queue = self.queue_by_service.get(service_id)
        if queue is not None:
            return queue
        service: Service | None = self.revision.service_by_id.get(service_id)
        if service is None:
            return None
        queue = ServiceQueue(service, self.revision, self.memory_pool)
        self.queue_by_service[service_id] = queue
        return queue

    def _estimate_seconds_per_request(self, request: CallerRequest) -> float:
        """Estimate the seconds per queued request, for Retry-After.

        Assumes that each request in flight takes one second.
        """
        states = self.endpoints.of_service(request.service_id)
        return 1.0 / max(1, sum(state.in_flight_count for state in states))


def draining_refusal() -> Refusal:
    """Return the refusal of requests that a draining router does not process."""
    return Refusal(
        Verdict.NOT_RUN,
        "draining",
        "this router is shutting down; retry at another router",
        DRAIN_RETRY_AFTER_SECONDS,
    )
