"""The router's decisions, without sockets, clocks or randomness of its own."""

from collections.abc import Callable
from heapq import heappop
from typing import Any

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.fairness.const import STARVATION_SECONDS
from pistachiolever.router.account_queues import WaitingRequest
from pistachiolever.router.const import (
    EMPTY_SERVICE_RETRY_SECONDS,
    HANGUP_KEEP_SECONDS,
    MAX_ATTEMPTS,
    SLOW_READER_KEEP_SECONDS,
)
from pistachiolever.router.endpoints import EndpointState
from pistachiolever.router.flights import Flight
from pistachiolever.router.models import (
    CallerRequest,
    CancelRequest,
    CommandsFailed,
    Deliver,
    Drain,
    EndpointGone,
    EndpointSeen,
    FromSidecar,
    HeartbeatAnswered,
    NewRevision,
    ReaderReady,
    ReaderSlow,
    ResumeRequest,
    RouterAction,
    RouterInput,
    SessionLost,
    SessionUp,
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
    """All decisions of one router: a message in, actions out."""

    _source: EndpointState = field(init=False)
    _handler_by_type: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the look-up of handlers."""
        super().__attrs_post_init__()
        self._handler_by_type = {
            Submit: self._submit,
            CancelRequest: self._cancel,
            ResumeRequest: self._resume,
            ReaderSlow: self._reader_slow,
            ReaderReady: self._reader_ready,
            SessionUp: self._session_up,
            SessionLost: self._session_lost,
            EndpointSeen: self._endpoint_seen,
            EndpointGone: self._endpoint_gone,
            FromSidecar: self._from_sidecar,
            CommandsFailed: self._commands_failed,
            HeartbeatAnswered: self._heartbeat_answered,
            NewRevision: self._new_revision,
            Drain: self._drain,
            Tick: self._tick,
            Grant: self._grant,
            SpareCredits: self._spare_credits,
            Refused: self._refused,
            Chunks: self._chunks,
            Draining: self._endpoint_draining,
            SidecarHello: self._nothing,
        }

    def handle(self, message: RouterInput, now: float) -> list[RouterAction]:
        """Take one message at a time in seconds; return what to do, in order."""
        self.now = now
        self._actions = []
        self._handler_by_type[type(message)](message)
        return self._actions

    # Callers.

    def _submit(self, message: Submit) -> None:
        """Queue a request and send it at once if there is room."""
        request = message.request
        self.request_by_id[request.request_id] = request
        if self.draining:
            self._end(request.request_id, draining_refusal())
            return
        queue = self._queue(request.service_id)
        if queue is None:
            self._end(
                request.request_id,
                Refusal(Verdict.NOT_RUN, "unknown-service", request.service_id),
            )
            return
        refusal = queue.submit(request, self.now, self._seconds_each(request))
        if refusal is not None:
            self._end(request.request_id, refusal)
            return
        self.budget.deposit(self.revision.preset.retry_fraction)
        self._pump(request.service_id)

    def _cancel(self, message: CancelRequest) -> None:
        """Forget a request that nobody wants any more."""
        flight = self.flights.get(message.request_id)
        if flight is not None:
            self._finish_flight(flight, learn=False)
            self._command(flight.endpoint_id, _withdrawal(message))
            self._end(message.request_id, _cancelled(Verdict.MAY_HAVE_RUN))
            return
        request = self.request_by_id.get(message.request_id)
        if request is None:
            return
        queue = self.queue_by_service[request.service_id]
        queue.cancel(request.account_id, message.request_id, self.now)
        self.delayed = [
            entry
            for entry in self.delayed
            if entry.item.request.request_id != message.request_id
        ]
        self._end(message.request_id, _cancelled(Verdict.NOT_RUN))

    def _resume(self, message: ResumeRequest) -> None:
        """Ask an endpoint for the rest of an answer."""
        known = self.flights.get(message.request_id)
        if known is not None and known.request.account_id == message.account_id:
            known.last = message.after
            known.detached = False
            known.resumed = True
            self._ask_rest(known)
            return
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None or not state.connected:
            self._end(
                message.request_id,
                Refusal(
                    Verdict.MAY_HAVE_RUN,
                    "endpoint-unknown",
                    "the endpoint that holds the answer is not connected",
                    EMPTY_SERVICE_RETRY_SECONDS,
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
        flight = Flight(
            request,
            message.endpoint_id,
            state.incarnation,
            weight,
            0.0,
            MAX_ATTEMPTS,
            self.now,
        )
        flight.last = message.after
        flight.resumed = True
        flight.cost = float("inf")
        self._queue(state.entry.service_id)
        self._add_flight(flight, state)
        self._command(
            message.endpoint_id,
            Resume(message.request_id, message.account_id, message.after),
        )

    def _reader_slow(self, message: ReaderSlow) -> None:
        """Let the sidecar keep the events while the caller catches up."""
        flight = self.flights.get(message.request_id)
        if flight is None or flight.detached:
            return
        flight.detached = True
        self._command(
            flight.endpoint_id, Detach(message.request_id, SLOW_READER_KEEP_SECONDS)
        )

    def _reader_ready(self, message: ReaderReady) -> None:
        """Ask for the events that the sidecar kept."""
        flight = self.flights.get(message.request_id)
        if flight is None or not flight.detached:
            return
        flight.detached = False
        self._ask_rest(flight)

    # Sessions with sidecars.

    def _session_up(self, message: SessionUp) -> None:
        """Use an endpoint; ask it for answers that it held before."""
        state = self.endpoints.ensure(message.entry)
        state.connected = True
        state.leased = True
        state.draining = False
        state.incarnation = message.incarnation
        state.credits = 0
        state.bids_sent = []
        for flight in self.flights.at_endpoint(message.entry.endpoint_id):
            if flight.incarnation != message.incarnation:
                self._flight_lost(flight, "the endpoint's sidecar restarted")
            else:
                flight.lost_at = None
                self._ask_rest(flight)
        queue = self._queue(message.entry.service_id)
        if queue is not None:
            self._pump(message.entry.service_id)
            self._correct_bids(state)

    def _session_lost(self, message: SessionLost) -> None:
        """Stop using an endpoint; its flights wait a little for its return."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        state.connected = False
        state.credits = 0
        state.bids_sent = []
        for flight in self.flights.at_endpoint(message.endpoint_id):
            flight.lost_at = self.now

    def _endpoint_gone(self, message: EndpointGone) -> None:
        """Forget an endpoint whose lease ended, unless a session still works."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        state.leased = False
        if state.connected:
            return
        for flight in self.flights.at_endpoint(message.endpoint_id):
            self._flight_lost(flight, "the endpoint's lease ended")
        self.endpoints.forget(message.endpoint_id)

    def _endpoint_seen(self, message: EndpointSeen) -> None:
        """Note that control still lists the endpoint."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is not None:
            state.leased = True

    def _from_sidecar(self, message: FromSidecar) -> None:
        """Pass a sidecar's message to its handler."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is None:
            return
        self._source = state
        self._handler_by_type[type(message.message)](message.message)

    def _commands_failed(self, message: CommandsFailed) -> None:
        """Queue again what never left; wait for the session for the rest."""
        state = self.endpoints.state_by_id.get(message.endpoint_id)
        if state is not None:
            state.note_failure(self.now)
        for command in message.messages:
            if not isinstance(command, Dispatch):
                continue
            flight = self.flights.get(command.request_id)
            if flight is None or flight.endpoint_id != message.endpoint_id:
                continue
            if message.may_have_arrived:
                flight.lost_at = self.now
            else:
                self._requeue(flight)

    def _grant(self, message: Grant) -> None:
        """Send the request of the account that stands lowest now."""
        state = self._source
        queue = self.queue_by_service.get(state.entry.service_id)
        item = self._pick_for(queue, message) if queue and not self.draining else None
        if item is None:
            self._command(state.entry.endpoint_id, ReturnGrant(message.grant_id))
            if queue is not None:
                self._correct_bids(state)
            return
        self._dispatch(item, state, message.grant_id)

    def _pick_for(self, queue: ServiceQueue, grant: Grant) -> WaitingRequest | None:
        """Take the granted account's request if it starves, else the lowest's.

        The lowest may have moved since the bid: then other routers go first.
        """
        counter = queue.ledger.counter(grant.account_id)
        unserved = self.now - counter.last_dispatch
        if counter.backlogged and unserved > STARVATION_SECONDS:
            return queue.next_request_of(grant.account_id, self.now)
        return queue.next_request(self.now, grant.limit)

    def _spare_credits(self, message: SpareCredits) -> None:
        """Note how much may be sent without a grant, and use it."""
        self.endpoints.give_credit(self._source, message.count)
        if message.count > 0:
            self._pump(self._source.entry.service_id)

    def _refused(self, message: Refused) -> None:
        """Queue a refused request again, or end it by its verdict."""
        flight = self.flights.get(message.request_id)
        if flight is None or flight.endpoint_id != self._source.entry.endpoint_id:
            return
        if message.reason == NO_ROOM_REASON:
            self._source.credits = 0
            self._requeue(flight)
            return
        if flight.resumed:
            self._finish_flight(flight, learn=False)
            self._end(message.request_id, Refusal(message.verdict, message.reason))
            return
        self._retry_or_end(flight, Refusal(message.verdict, message.reason))

    def _chunks(self, message: Chunks) -> None:
        """Pass events on, each once and in order."""
        for chunk in message.chunks:
            self._chunk(chunk)

    def _chunk(self, chunk: Chunk) -> None:
        """Charge and pass on one chunk, or ask again after a gap."""
        flight = self.flights.get(chunk.request_id)
        endpoint_id = self._source.entry.endpoint_id
        if flight is None or flight.endpoint_id != endpoint_id:
            self._command(endpoint_id, Cancel(chunk.request_id))
            return
        self._charge(flight, chunk)
        if flight.detached or (chunk.last <= flight.last and chunk.outcome is None):
            return
        if chunk.first != flight.last + 1:
            self._ask_rest(flight)
            return
        if self._retries_unrun(flight, chunk):
            return
        flight.last = chunk.last
        self._actions.append(
            Deliver(chunk.request_id, chunk.last, chunk.sse, chunk.outcome)
        )
        if chunk.outcome is not None:
            if chunk.outcome.verdict is Verdict.NOT_RUN:
                self._free_claim(flight.request)
            if chunk.outcome.verdict is Verdict.RAN and chunk.outcome.complete:
                self._source.note_success()
            self._finish_flight(flight, learn=chunk.outcome.complete)
            self.request_by_id.pop(chunk.request_id, None)
            self._pump(flight.request.service_id)

    def _retries_unrun(self, flight: Flight, chunk: Chunk) -> bool:
        """Try elsewhere when the endpoint failed before the first event."""
        if chunk.outcome is None or chunk.outcome.complete:
            return False
        if chunk.first != 1 or chunk.last != 1 or flight.has_delivered():
            return False
        if chunk.outcome.reason == REJECTED_REASON:
            # The request itself is at fault; other endpoints would say the same.
            return False
        if not self._may_retry(flight, chunk.outcome.verdict):
            return False
        if chunk.outcome.reason != OVERLOADED_REASON:
            self._source.note_failure(self.now)
        self._retry(flight)
        return True

    def _charge(self, flight: Flight, chunk: Chunk) -> None:
        """Charge what the chunk adds to the cost of its request."""
        if flight.cost == float("inf"):
            flight.cost = chunk.base_cost
        self.queue_by_service[flight.request.service_id].charge_progress(
            flight, chunk.cost
        )

    def _endpoint_draining(self, message: Draining) -> None:
        """Send nothing new to an endpoint that leaves."""
        self._source.draining = True
        self._source.credits = 0

    def _nothing(self, message: object) -> None:
        """Take note of nothing."""

    # Control.

    def _heartbeat_answered(self, message: HeartbeatAnswered) -> None:
        """Take in totals and floors."""
        reply = message.reply
        if reply.expired:
            for service_id, queue in self.queue_by_service.items():
                closed = [e for e in reply.closed if e.service_id == service_id]
                queue.ledger.start_incarnation(closed)
            return
        for floor in reply.floors:
            queue_or_none = self.queue_by_service.get(floor.service_id)
            if queue_or_none is not None:
                queue_or_none.ledger.apply_floor(floor.floor)
        for total in reply.totals:
            queue_or_none = self.queue_by_service.get(total.service_id)
            if queue_or_none is not None:
                queue_or_none.apply_total(total)

    def _new_revision(self, message: NewRevision) -> None:
        """Use new declarations, all at once; never older ones."""
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
                self._end(item.request.request_id, refusal)

    def _drain(self, message: Drain) -> None:
        """Hand back what waits; what is in flight goes on."""
        self.draining = True
        waiting = [entry.item for entry in self.delayed]
        self.delayed = []
        for queue in self.queue_by_service.values():
            waiting.extend(queue.pop_all(self.now))
        for item in waiting:
            self._end(item.request.request_id, draining_refusal())

    def _tick(self, message: Tick) -> None:
        """Do what is due: retries, deadlines, lost flights, bids."""
        while self.delayed and self.delayed[0].at <= self.now:
            item = heappop(self.delayed).item
            self.queue_by_service[item.request.service_id].put_back(item, self.now)
        for queue in self.queue_by_service.values():
            for item in queue.pop_overdue(self.now):
                self._end_overdue(item)
        self._end_lost_flights()
        for service_id, queue in self.queue_by_service.items():
            if queue.account_queues.count:
                self._pump(service_id)
            if self._bids_are_due(queue):
                self._send_bids(queue)

    def _end_overdue(self, item: WaitingRequest) -> None:
        """End a request that waited too long."""
        refusal = Refusal(
            Verdict.NOT_RUN,
            "queue-timeout",
            "no room within the queue time of the preset",
            EMPTY_SERVICE_RETRY_SECONDS,
        )
        self._end(item.request.request_id, refusal)


def _cancelled(verdict: Verdict) -> Refusal:
    """Return the end of a request that its caller gave up."""
    return Refusal(verdict, "cancelled", "the caller asked to stop")


def _withdrawal(message: CancelRequest) -> Cancel | Detach:
    """Return what tells a sidecar that the caller left; it may come back."""
    if message.hung_up:
        return Detach(message.request_id, HANGUP_KEEP_SECONDS)
    return Cancel(message.request_id)
