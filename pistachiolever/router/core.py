"""The router core: a state machine without I/O, clock or randomness of its own."""

from collections.abc import Callable
from heapq import heapify, heappop
from typing import Any

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.fairness.const import STARVATION_SECONDS
from pistachiolever.router.account_queues import QueuedRequest
from pistachiolever.router.const import (
    DISCONNECT_RETENTION_SECONDS,
    MAX_ATTEMPTS,
    SLOW_READER_RETENTION_SECONDS,
    UNAVAILABLE_RETRY_AFTER_SECONDS,
)
from pistachiolever.router.endpoints import RouterEndpointState
from pistachiolever.router.in_flight import InFlightRequest
from pistachiolever.router.models import (
    CallerRequest,
    CancelRequest,
    CommandsFailed,
    Deliver,
    Drain,
    EndpointGone,
    EndpointListed,
    FromSidecar,
    HeartbeatAnswered,
    NewRevision,
    ReaderReady,
    ReaderSlow,
    ResumeRequest,
    RouterAction,
    RouterInput,
    SidecarConnected,
    SidecarDisconnected,
    Submit,
    Tick,
)
from pistachiolever.router.recovery import RecoveryLayer
from pistachiolever.router.service_queue import ServiceQueue
from pistachiolever.router.state import draining_refusal
from pistachiolever.wire.const import (
    NO_ROOM_REASON,
    OVERLOADED_REASON,
    REJECTED_REASON,
)
from pistachiolever.wire.models import (
    Cancel,
    Chunk,
    Chunks,
    Detach,
    Dispatch,
    Draining,
    Grant,
    Refused,
    Resume,
    ReturnGrant,
    SidecarHello,
    SpareCredits,
)


@define
class RouterCore(RecoveryLayer):
    """Queues requests and assigns them to endpoints; turns inputs into actions."""

    _source_endpoint: RouterEndpointState = field(init=False)
    _handler_by_type: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Map the types of inputs and messages to their handlers."""
        super().__attrs_post_init__()
        self._handler_by_type = {
            Submit: self._handle_submit,
            CancelRequest: self._handle_cancel,
            ResumeRequest: self._handle_resume,
            ReaderSlow: self._handle_reader_slow,
            ReaderReady: self._handle_reader_ready,
            SidecarConnected: self._handle_sidecar_connected,
            SidecarDisconnected: self._handle_sidecar_disconnected,
            EndpointListed: self._handle_endpoint_listed,
            EndpointGone: self._handle_endpoint_gone,
            FromSidecar: self._handle_sidecar_message,
            CommandsFailed: self._handle_commands_failed,
            HeartbeatAnswered: self._handle_heartbeat_answered,
            NewRevision: self._handle_new_revision,
            Drain: self._handle_drain,
            Tick: self._handle_tick,
            Grant: self._handle_grant,
            SpareCredits: self._handle_spare_credits,
            Refused: self._handle_refused,
            Chunks: self._handle_chunks,
            Draining: self._handle_endpoint_draining,
            SidecarHello: self._ignore,
        }

    def handle(self, message: RouterInput, now: float) -> list[RouterAction]:
        """Handle an input at time `now` in seconds; return the actions in order."""
        self.now = now
        self._actions = []
        self._handler_by_type[type(message)](message)
        return self._actions

    # Callers.

    def _handle_submit(self, message: Submit) -> None:
        """Queue a request and dispatch it at once if an endpoint has a spare credit."""
        request = message.request
        self.request_by_id[request.request_id] = request
        if self.draining:
            self._end_request(request.request_id, draining_refusal())
            return
        queue = self._service_queue(request.service_id)
        if queue is None:
            self._end_request(
                request.request_id,
                Refusal(Verdict.NOT_RUN, "unknown-service", request.service_id),
            )
            return
        refusal = queue.submit(
            request, self.now, self._estimate_seconds_per_request(request)
        )
        if refusal is not None:
            self._end_request(request.request_id, refusal)
            return
        self.retry_budget.deposit(self.revision.preset.retry_fraction)
        self._dispatch_queued(request.service_id)

    def _handle_cancel(self, message: CancelRequest) -> None:
        """Cancel a queued, delayed or in-flight request."""
        in_flight = self.in_flight_requests.get(message.request_id)
        if in_flight is not None:
            self._finish_in_flight(in_flight, update_estimate=False)
            self._send_command(in_flight.endpoint_id, _cancel_command(message))
            self._end_request(
                message.request_id, _cancelled_refusal(Verdict.MAY_HAVE_RUN)
            )
            return
        request = self.request_by_id.get(message.request_id)
        if request is None:
            return
        queue = self.queue_by_service[request.service_id]
        queue.cancel(request.account_id, message.request_id, self.now)
        self.delayed_retries = [
            entry
            for entry in self.delayed_retries
            if entry.item.request.request_id != message.request_id
        ]
        heapify(self.delayed_retries)
        self._end_request(message.request_id, _cancelled_refusal(Verdict.NOT_RUN))

    def _handle_resume(self, message: ResumeRequest) -> None:
        """Request the remaining events of an answer from its endpoint."""
        existing = self.in_flight_requests.get(message.request_id)
        if existing is not None and existing.request.account_id == message.account_id:
            existing.last_event = message.after
            existing.detached = False
            existing.resumed = True
            self._request_missing_events(existing)
            return
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None or not state.connected:
            self._end_request(
                message.request_id,
                Refusal(
                    Verdict.MAY_HAVE_RUN,
                    "endpoint-unknown",
                    "the endpoint that holds the answer is not connected",
                    UNAVAILABLE_RETRY_AFTER_SECONDS,
                ),
            )
            return
        request = CallerRequest(
            message.request_id,
            message.account_id,
            state.entry.service_id,
            "",
            0,
            0,
        )
        weight = self.revision.weight_of(message.account_id)
        in_flight = InFlightRequest(
            request,
            message.endpoint_id,
            state.incarnation,
            weight,
            0.0,
            MAX_ATTEMPTS,
            self.now,
        )
        in_flight.last_event = message.after
        in_flight.resumed = True
        # Set by the first chunk: its base_cost was charged by another router.
        in_flight.charged_cost = float("inf")
        self._service_queue(state.entry.service_id)
        self._add_in_flight(in_flight, state)
        self._send_command(
            message.endpoint_id,
            Resume(message.request_id, message.account_id, message.after),
        )

    def _handle_reader_slow(self, message: ReaderSlow) -> None:
        """Have the sidecar buffer the events until the caller has caught up."""
        in_flight = self.in_flight_requests.get(message.request_id)
        if in_flight is None or in_flight.detached:
            return
        in_flight.detached = True
        self._send_command(
            in_flight.endpoint_id,
            Detach(message.request_id, SLOW_READER_RETENTION_SECONDS),
        )

    def _handle_reader_ready(self, message: ReaderReady) -> None:
        """Request the events that the sidecar buffered."""
        in_flight = self.in_flight_requests.get(message.request_id)
        if in_flight is None or not in_flight.detached:
            return
        in_flight.detached = False
        self._request_missing_events(in_flight)

    # Sessions with sidecars.

    def _handle_sidecar_connected(self, message: SidecarConnected) -> None:
        """Start to use an endpoint and resume the answers that it holds."""
        state = self.endpoints.add_or_update(message.entry)
        state.connected = True
        state.leased = True
        state.draining = False
        state.incarnation = message.incarnation
        state.credits = 0
        state.bids_sent = []
        for in_flight in self.in_flight_requests.at_endpoint(message.entry.endpoint_id):
            if in_flight.incarnation != message.incarnation:
                self._handle_lost_request(in_flight, "the endpoint's sidecar restarted")
            else:
                in_flight.disconnected_at = None
                self._request_missing_events(in_flight)
        queue = self._service_queue(message.entry.service_id)
        if queue is not None:
            self._dispatch_queued(message.entry.service_id)
            self._update_bids(state)

    def _handle_sidecar_disconnected(self, message: SidecarDisconnected) -> None:
        """Stop using an endpoint; keep its requests until the reattach timeout."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        state.connected = False
        state.credits = 0
        state.bids_sent = []
        for in_flight in self.in_flight_requests.at_endpoint(message.endpoint_id):
            in_flight.disconnected_at = self.now

    def _handle_endpoint_gone(self, message: EndpointGone) -> None:
        """Remove an endpoint whose lease ended, unless its session is still up."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        state.leased = False
        if state.connected:
            return
        for in_flight in self.in_flight_requests.at_endpoint(message.endpoint_id):
            self._handle_lost_request(in_flight, "the endpoint's lease ended")
        self.endpoints.remove(message.endpoint_id)

    def _handle_endpoint_listed(self, message: EndpointListed) -> None:
        """Mark the endpoint as leased, since control lists it."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is not None:
            state.leased = True

    def _handle_sidecar_message(self, message: FromSidecar) -> None:
        """Call the handler of a sidecar's message."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        self._source_endpoint = state
        self._handler_by_type[type(message.message)](message.message)

    def _handle_commands_failed(self, message: CommandsFailed) -> None:
        """Requeue dispatches that did not arrive; others get the reattach timeout."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is not None:
            state.record_failure(self.now)
        for command in message.messages:
            if not isinstance(command, Dispatch):
                continue
            in_flight = self.in_flight_requests.get(command.request_id)
            if in_flight is None or in_flight.endpoint_id != message.endpoint_id:
                continue
            if message.may_have_arrived:
                in_flight.disconnected_at = self.now
            else:
                self._requeue(in_flight)

    def _handle_grant(self, message: Grant) -> None:
        """Dispatch a request on a grant, or return the grant."""
        state = self._source_endpoint
        queue = self.queue_by_service.get(state.entry.service_id)
        item = (
            self._select_for_grant(queue, message)
            if queue and not self.draining
            else None
        )
        if item is None:
            self._send_command(state.entry.endpoint_id, ReturnGrant(message.grant_id))
            if queue is not None:
                self._update_bids(state)
            return
        self._dispatch(item, state, message.grant_id)

    def _select_for_grant(
        self, queue: ServiceQueue, grant: Grant
    ) -> QueuedRequest | None:
        """Return the request to dispatch on a grant, or None to return the grant.

        This is a request of the granted account if that account is starving, else
        of the account with the lowest counter. If that counter has risen above the
        grant's limit since the bid, other routers have precedence.
        """
        counter = queue.counters.counter(grant.account_id)
        unserved = self.now - counter.last_dispatch
        if counter.backlogged and unserved > STARVATION_SECONDS:
            return queue.next_request_of(grant.account_id, self.now)
        return queue.next_request(self.now, grant.limit)

    def _handle_spare_credits(self, message: SpareCredits) -> None:
        """Store the endpoint's spare credits and dispatch queued requests on them."""
        self.endpoints.set_credits(self._source_endpoint, message.count)
        if message.count > 0:
            self._dispatch_queued(self._source_endpoint.entry.service_id)

    def _handle_refused(self, message: Refused) -> None:
        """Requeue, retry or end a request that a sidecar refused."""
        in_flight = self.in_flight_requests.get(message.request_id)
        if (
            in_flight is None
            or in_flight.endpoint_id != self._source_endpoint.entry.endpoint_id
        ):
            return
        if message.reason == NO_ROOM_REASON:
            self._source_endpoint.credits = 0
            self._requeue(in_flight)
            return
        if in_flight.resumed:
            self._finish_in_flight(in_flight, update_estimate=False)
            self._end_request(
                message.request_id, Refusal(message.verdict, message.reason)
            )
            return
        self._retry_or_end(in_flight, Refusal(message.verdict, message.reason))

    def _handle_chunks(self, message: Chunks) -> None:
        """Deliver events to callers, each once and in order."""
        for chunk in message.chunks:
            self._handle_chunk(chunk)

    def _handle_chunk(self, chunk: Chunk) -> None:
        """Charge and deliver one chunk, or request missing events after a gap."""
        in_flight = self.in_flight_requests.get(chunk.request_id)
        endpoint_id = self._source_endpoint.entry.endpoint_id
        if in_flight is None or in_flight.endpoint_id != endpoint_id:
            self._send_command(endpoint_id, Cancel(chunk.request_id))
            return
        self._charge(in_flight, chunk)
        if in_flight.detached or (
            chunk.last <= in_flight.last_event and chunk.outcome is None
        ):
            return
        if chunk.first != in_flight.last_event + 1:
            self._request_missing_events(in_flight)
            return
        if self._retry_before_first_event(in_flight, chunk):
            return
        in_flight.last_event = chunk.last
        self._actions.append(
            Deliver(chunk.request_id, chunk.last, chunk.sse, chunk.outcome)
        )
        if chunk.outcome is not None:
            if chunk.outcome.verdict is Verdict.NOT_RUN:
                self._release_claim(in_flight.request)
            if chunk.outcome.verdict is Verdict.RAN and chunk.outcome.complete:
                self._source_endpoint.record_success()
            self._finish_in_flight(in_flight, update_estimate=chunk.outcome.complete)
            self.request_by_id.pop(chunk.request_id, None)
            self._dispatch_queued(in_flight.request.service_id)

    def _retry_before_first_event(
        self, in_flight: InFlightRequest, chunk: Chunk
    ) -> bool:
        """Retry a request that failed before its first event, if that is allowed.

        Return whether a retry was scheduled.
        """
        if chunk.outcome is None or chunk.outcome.complete:
            return False
        if chunk.first != 1 or chunk.last != 1 or in_flight.has_delivered():
            return False
        if chunk.outcome.reason == REJECTED_REASON:
            # The request is invalid; other endpoints would reject it as well.
            return False
        if not self._may_retry(in_flight, chunk.outcome.verdict):
            return False
        if chunk.outcome.reason != OVERLOADED_REASON:
            self._source_endpoint.record_failure(self.now)
        self._retry(in_flight)
        return True

    def _charge(self, in_flight: InFlightRequest, chunk: Chunk) -> None:
        """Charge the cost that the chunk adds to its request."""
        if in_flight.charged_cost == float("inf"):
            in_flight.charged_cost = chunk.base_cost
        self.queue_by_service[in_flight.request.service_id].charge_progress(
            in_flight, chunk.cost
        )

    def _handle_endpoint_draining(self, message: Draining) -> None:
        """Stop sending new requests to a draining endpoint."""
        self._source_endpoint.draining = True
        self._source_endpoint.credits = 0

    def _ignore(self, message: object) -> None:
        """Ignore a message that needs no action."""

    # Control.

    def _handle_heartbeat_answered(self, message: HeartbeatAnswered) -> None:
        """Apply totals and floors; start a new incarnation if the lease expired."""
        reply = message.reply
        if reply.expired:
            for service_id, queue in self.queue_by_service.items():
                closed = [e for e in reply.closed if e.service_id == service_id]
                queue.counters.start_incarnation(closed)
            return
        for floor in reply.floors:
            queue_or_none = self.queue_by_service.get(floor.service_id)
            if queue_or_none is not None:
                queue_or_none.counters.apply_floor(floor.floor)
        for total in reply.totals:
            queue_or_none = self.queue_by_service.get(total.service_id)
            if queue_or_none is not None:
                queue_or_none.apply_total(total)

    def _handle_new_revision(self, message: NewRevision) -> None:
        """Switch to a newer revision of the declarations; ignore an older one."""
        if message.revision.number < self.revision.number:
            return
        self.revision = message.revision
        for service_id, queue in self.queue_by_service.items():
            service = message.revision.service_by_id.get(service_id)
            if service is not None:
                queue.apply_revision(service, message.revision)
                continue
            for item in queue.pop_all(self.now):
                refusal = Refusal(Verdict.NOT_RUN, "unknown-service", service_id)
                self._end_request(item.request.request_id, refusal)

    def _handle_drain(self, message: Drain) -> None:
        """Refuse all queued requests; those in flight continue."""
        self.draining = True
        queued = [entry.item for entry in self.delayed_retries]
        self.delayed_retries = []
        for queue in self.queue_by_service.values():
            queued.extend(queue.pop_all(self.now))
        for item in queued:
            self._end_request(item.request.request_id, draining_refusal())

    def _handle_tick(self, message: Tick) -> None:
        """Process due retries, deadlines, lost sessions and bids."""
        while self.delayed_retries and self.delayed_retries[0].retry_at <= self.now:
            item = heappop(self.delayed_retries).item
            self.queue_by_service[item.request.service_id].requeue(item, self.now)
        for queue in self.queue_by_service.values():
            for item in queue.pop_timed_out(self.now):
                self._end_timed_out(item)
        self._end_unreachable_requests()
        for service_id, queue in self.queue_by_service.items():
            if queue.account_queues.count:
                self._dispatch_queued(service_id)
            if self._bids_are_due(queue):
                self._send_bids(queue)

    def _end_timed_out(self, item: QueuedRequest) -> None:
        """End a request that exceeded the queue time."""
        refusal = Refusal(
            Verdict.NOT_RUN,
            "queue-timeout",
            "not dispatched within the queue time of the preset",
            UNAVAILABLE_RETRY_AFTER_SECONDS,
        )
        self._end_request(item.request.request_id, refusal)


def _cancelled_refusal(verdict: Verdict) -> Refusal:
    """Return the refusal that ends a cancelled request."""
    return Refusal(verdict, "cancelled", "cancelled by the caller")


def _cancel_command(message: CancelRequest) -> Cancel | Detach:
    """Return the command to a sidecar; a disconnected caller may come back."""
    if message.caller_disconnected:
        return Detach(message.request_id, DISCONNECT_RETENTION_SECONDS)
    return Cancel(message.request_id)
