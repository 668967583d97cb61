"""The sidecar core: a state machine without I/O, clock or randomness of its own."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from pistachiolever.admission.rate_limit import RateLimit
from pistachiolever.core.ids import new_id
from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service
from pistachiolever.edge.sse import final_event, part_event, result_event
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.const import (
    MAX_SEEN_ATTEMPTS,
    TOMBSTONE_SECONDS,
)
from pistachiolever.sidecar.grants import GrantTable
from pistachiolever.sidecar.limiter import ConcurrencyLimiter
from pistachiolever.sidecar.models import (
    CancelRun,
    Drain,
    EndpointNotice,
    FromRouter,
    LeaveWithEndpoint,
    LoadReported,
    NewRevision,
    OutputReceived,
    RateNamed,
    RecordLimit,
    RecordPause,
    RecordRate,
    RecordRunEnd,
    ReportClaim,
    ResultReceived,
    RouterConnected,
    RouterDisconnected,
    RunEnded,
    SendToRouter,
    SidecarAction,
    SidecarInput,
    StartRun,
    Tick,
)
from pistachiolever.sidecar.runs import Run, RunTable
from pistachiolever.wire.const import NO_ROOM_REASON, OVERLOADED_REASON
from pistachiolever.wire.models import (
    Bids,
    Cancel,
    Chunk,
    Chunks,
    Detach,
    Dispatch,
    Draining,
    Outcome,
    Refused,
    Resume,
    ReturnGrant,
    RunStatus,
    SidecarMessage,
    SpareCredits,
)


@define
class SidecarCore:
    """Admits and runs requests at one endpoint; turns inputs into actions.

    `tombstone_by_request` holds, with the time in seconds, requests that a router
    cancelled or tried to resume before their dispatch arrived; a late dispatch must not
    start them. `seen_attempts` holds the claimed attempts that may have run, oldest
    first. Until `paused_until` the endpoint gets no requests. `rate_limit` holds the
    request rate that it has named.
    """

    settings: SidecarSettings
    rng: Random
    service: Service
    concurrency_factor: float = 1.0
    credits_by_router: dict[str, int] = field(factory=dict)
    tombstone_by_request: dict[str, float] = field(factory=dict)
    seen_attempts: dict[str, bool] = field(factory=dict)
    draining: bool = False
    leaving: bool = False
    paused_until: float = float("-inf")
    now: float = 0.0
    grants: GrantTable = field(init=False)
    runs: RunTable = field(init=False)
    limiter: ConcurrencyLimiter = field(init=False)
    rate_limit: RateLimit = field(init=False)
    _actions: list[SidecarAction] = field(factory=list)
    _router_id: str = ""
    _handler_by_type: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts; map the types of inputs and messages to their handlers."""
        self.grants = GrantTable(self.settings.grant_seconds)
        self.runs = RunTable(self.settings.replay_bytes, self.settings.replay_seconds)
        self.limiter = ConcurrencyLimiter(
            self.service.kind, self.service.max_concurrency
        )
        self.rate_limit = RateLimit(self.rng)
        self._handler_by_type = {
            RouterConnected: self._handle_router_connected,
            RouterDisconnected: self._handle_router_disconnected,
            FromRouter: self._handle_router_message,
            OutputReceived: self._handle_output,
            ResultReceived: self._handle_result,
            RunEnded: self._handle_run_ended,
            EndpointNotice: self._handle_notice,
            RateNamed: self._handle_rate,
            LoadReported: self._handle_load,
            NewRevision: self._handle_new_revision,
            Drain: self._handle_drain,
            Tick: self._handle_tick,
            Bids: self._handle_bids,
            Dispatch: self._handle_dispatch,
            ReturnGrant: self._handle_return_grant,
            Cancel: self._handle_cancel,
            Detach: self._handle_detach,
            Resume: self._handle_resume,
        }

    def handle(self, message: SidecarInput, now: float) -> list[SidecarAction]:
        """Handle an input at time `now` in seconds; return the actions in order."""
        self.now = now
        self.rate_limit.refill(now)
        self._actions = []
        self._handler_by_type[type(message)](message)
        self._grant_free_slots()
        return self._actions

    def is_idle(self) -> bool:
        """Return whether no request is running."""
        return self.runs.running == 0

    def free_slots(self) -> int:
        """Return how many more requests may start or be granted."""
        if self.draining or self._is_paused():
            return 0
        granted = len(self.grants.open_by_id)
        free = self._allowed_runs() - self.runs.running
        if self.rate_limit.is_limited():
            free = min(free, int(self.rate_limit.credit))
        return free - granted

    def _allowed_runs(self) -> int:
        """Return how many requests may run; after a pause this rises gradually."""
        allowed = self.limiter.allowed()
        ramp = (self.now - self.paused_until) / PAUSE_RAMP_SECONDS
        return allowed if ramp >= 1 else max(1, int(allowed * ramp))

    def status(self, request_id: str, account_id: str) -> RunStatus:
        """Return the status of an account's request; other accounts find nothing."""
        run = self.runs.run_by_id.get(request_id)
        endpoint_id = self.settings.endpoint_id
        if run is None or run.dispatch.account_id != account_id:
            return RunStatus(False, endpoint_id)
        return RunStatus(True, endpoint_id, len(run.buffer.events), run.outcome)

    # Routers.

    def _handle_router_connected(self, message: RouterConnected) -> None:
        """Add a router without credits; one that reconnects loses its open grants."""
        self.grants.remove_router(message.router_id)
        self.credits_by_router[message.router_id] = 0
        if self.draining:
            self._send(message.router_id, Draining())

    def _handle_router_disconnected(self, message: RouterDisconnected) -> None:
        """Remove a router; keep its runs for a while for another router to resume."""
        self.grants.remove_router(message.router_id)
        self.credits_by_router.pop(message.router_id, None)
        for run in self.runs.run_by_id.values():
            if run.router_id == message.router_id:
                run.router_id = ""
                run.cancel_at = self.now + self.settings.orphan_seconds

    def _handle_router_message(self, message: FromRouter) -> None:
        """Call the handler of a router's message."""
        self._router_id = message.router_id
        self._handler_by_type[type(message.message)](message.message)

    def _handle_bids(self, message: Bids) -> None:
        """Replace the router's bids."""
        self.grants.replace_bids(self._router_id, message.bids, self.now)

    def _handle_dispatch(self, message: Dispatch) -> None:
        """Start a request, or refuse it and state whether it may have run."""
        if message.bids is not None:
            self._handle_bids(message.bids)
        had_grant = self.grants.close(message.grant_id)
        if not had_grant and self.free_slots() <= 0:
            had_grant = self.grants.close_oldest(self._router_id)
        existing = self.runs.run_by_id.get(message.request_id)
        if existing is not None and existing.dispatch.account_id != message.account_id:
            self._refuse(message.request_id, Verdict.NOT_RUN, "id-in-use")
            return
        if existing is not None and self._reattach(existing):
            return
        refused = self._check_refusal(message, had_grant)
        if refused is not None:
            self._send(self._router_id, refused)
            return
        credits = self.credits_by_router.get(self._router_id, 0)
        if not had_grant and credits > 0:
            self.credits_by_router[self._router_id] = credits - 1
        if message.attempt_id:
            self._record_attempt(message.attempt_id)
        self.runs.add(Run(message, self._router_id, self.now))
        self.rate_limit.consume()
        self.limiter.observe_running(self.runs.running)
        self._actions.append(StartRun(message))

    def _reattach(self, run: Run) -> bool:
        """Attach the router to an earlier run of its request; return whether it did.

        A run that is in progress or complete is sent from the start. A failed one
        is removed, so that the request can run again; whether it may is decided by
        its router from the verdict.
        """
        if run.outcome is not None and not run.outcome.complete:
            self.runs.remove(run)
            return False
        if run.router_id != self._router_id:
            run.base_cost = run.reported_cost
        run.router_id = self._router_id
        run.cancel_at = None
        run.last_sent = 0
        self._send_events(run)
        return True

    def _check_refusal(self, message: Dispatch, had_grant: bool) -> Refused | None:
        """Return the refusal of a request that must not start, or None."""
        request_id = message.request_id
        if message.attempt_id in self.seen_attempts:
            return Refused(request_id, Verdict.MAY_HAVE_RUN, "attempt-seen")
        if request_id in self.tombstone_by_request:
            return Refused(request_id, Verdict.NOT_RUN, "withdrawn")
        if self.draining:
            return Refused(request_id, Verdict.NOT_RUN, "endpoint-draining")
        if self._is_paused() or (not had_grant and self.free_slots() <= 0):
            self.credits_by_router[self._router_id] = 0
            return Refused(
                request_id, Verdict.NOT_RUN, NO_ROOM_REASON, message.grant_id
            )
        return None

    def _record_attempt(self, attempt_id: str) -> None:
        """Remember an attempt, so that this incarnation never starts it again."""
        self.seen_attempts[attempt_id] = True
        if len(self.seen_attempts) > MAX_SEEN_ATTEMPTS:
            del self.seen_attempts[next(iter(self.seen_attempts))]

    def _handle_return_grant(self, message: ReturnGrant) -> None:
        """Close a grant that the router could not use."""
        self.grants.close(message.grant_id)

    def _handle_cancel(self, message: Cancel) -> None:
        """Cancel a run; a claimed one continues, since its outcome is needed."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is None:
            self._add_tombstone(message.request_id)
            return
        if run.router_id != self._router_id:
            return
        run.router_id = ""
        self._cancel_unless_claimed(run)

    def _add_tombstone(self, request_id: str) -> None:
        """Remember that a request must not start; the newest tombstone comes last."""
        self.tombstone_by_request.pop(request_id, None)
        self.tombstone_by_request[request_id] = self.now

    def _handle_detach(self, message: Detach) -> None:
        """Stop sending events to the router; cancel the run if nobody resumes it."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is not None and run.router_id == self._router_id:
            run.router_id = ""
            run.cancel_at = self.now + message.keep_seconds

    def _handle_resume(self, message: Resume) -> None:
        """Send the rest of an answer to the requesting router."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is None:
            # A late dispatch must not start the request after this NOT_RUN.
            self._add_tombstone(message.request_id)
            self._refuse(message.request_id, Verdict.NOT_RUN, "unknown-request")
            return
        if run.dispatch.account_id != message.account_id:
            self._refuse(message.request_id, Verdict.NOT_RUN, "unknown-request")
            return
        if message.after > len(run.buffer.events):
            self._refuse(message.request_id, Verdict.MAY_HAVE_RUN, "bad-event-number")
            return
        if run.outcome is not None and message.after == len(run.buffer.events):
            self._refuse(message.request_id, run.outcome.verdict, "already-complete")
            return
        if run.router_id != self._router_id:
            run.base_cost = run.reported_cost
        run.router_id = self._router_id
        run.cancel_at = None
        run.last_sent = message.after
        self._send_events(run)

    def _refuse(self, request_id: str, verdict: Verdict, reason: str) -> None:
        """Refuse a request of the router whose message is handled."""
        self._send(self._router_id, Refused(request_id, verdict, reason))

    # The endpoint.

    def _handle_output(self, message: OutputReceived) -> None:
        """Append one chunk to the answer and send it."""
        run = self._find_running(message.request_id)
        if run is None:
            return
        if run.chunk_count == 0:
            self.limiter.observe_first_chunk(self.now - run.started_at)
        else:
            self.limiter.observe_token_interval(self.now - run.last_chunk_at)
        run.last_chunk_at = self.now
        run.chunk_count += 1
        run.output_tokens += message.output_tokens
        run.content_hash.update(message.text.encode())
        number = len(run.buffer.events) + 1
        event = part_event(number, self.settings.endpoint_id, message.text)
        run.buffer.append(event)
        run.cost = run.estimate_cost(self.service.cost)
        self._send_events(run)
        if run.buffer.size_bytes > self.settings.max_answer_bytes:
            self._actions.append(CancelRun(message.request_id))
            self._finish(run, Verdict.MAY_HAVE_RUN, False, "answer-too-large")

    def _handle_result(self, message: ResultReceived) -> None:
        """Append the result of a plain service to the answer and send it."""
        run = self._find_running(message.request_id)
        if run is None:
            return
        self.limiter.observe_first_chunk(self.now - run.started_at)
        run.chunk_count += 1
        run.content_hash.update(message.result_json.encode())
        number = len(run.buffer.events) + 1
        endpoint_id = self.settings.endpoint_id
        run.buffer.append(result_event(number, endpoint_id, message.result_json))
        run.cost = run.estimate_cost(self.service.cost)
        self._send_events(run)

    def _handle_run_ended(self, message: RunEnded) -> None:
        """Finish an answer with what the endpoint reported."""
        run = self._find_running(message.request_id)
        if run is None:
            return
        if message.input_tokens or message.output_tokens:
            run.cost = max(
                run.cost,
                self.service.cost.cost_of(message.input_tokens, message.output_tokens),
            )
        if message.reason == OVERLOADED_REASON:
            self.limiter.record_overload()
        self._finish(run, message.verdict, message.complete, message.reason)

    def _handle_load(self, message: LoadReported) -> None:
        """Pass the endpoint's reported load to the limiter."""
        self.limiter.observe_reported_waiting(message.waiting)

    def _finish(self, run: Run, verdict: Verdict, complete: bool, reason: str) -> None:
        """End a run: append the final event, report its claim and log it."""
        digest = f"sha256:{run.content_hash.hexdigest()}"
        outcome = Outcome(verdict, complete, reason, digest)
        number = len(run.buffer.events) + 1
        run.buffer.append(
            final_event(number, self.settings.endpoint_id, run.chunk_count, outcome)
        )
        self.runs.end(run, outcome, self.now)
        dispatch = run.dispatch
        if dispatch.attempt_id and verdict is not Verdict.NOT_RUN:
            sse = "".join(run.buffer.events)
            self._actions.append(ReportClaim(dispatch.attempt_id, verdict, sse))
        if verdict is Verdict.NOT_RUN:
            self.seen_attempts.pop(dispatch.attempt_id, None)
        self._send_events(run)
        self._actions.append(
            RecordRunEnd(
                dispatch.request_id,
                dispatch.account_id,
                verdict,
                complete,
                reason,
                run.chunk_count,
            )
        )

    def _cancel_unless_claimed(self, run: Run) -> None:
        """Cancel a run, unless it is claimed and its outcome must be known."""
        if run.outcome is not None or run.dispatch.attempt_id:
            return
        self._actions.append(CancelRun(run.dispatch.request_id))
        self._finish(run, Verdict.MAY_HAVE_RUN, False, "cancelled")

    def _send_events(self, run: Run) -> None:
        """Send the events that the run's router has not received yet."""
        if not run.router_id:
            return
        events = run.buffer.after(run.last_sent)
        if events is None:
            return
        run.last_sent = events.last
        run.reported_cost = run.cost
        chunk = Chunk(
            run.dispatch.request_id,
            events.first,
            events.last,
            run.cost,
            events.sse,
            run.outcome,
            run.base_cost,
        )
        self._send(run.router_id, Chunks([chunk]))

    def _find_running(self, request_id: str) -> Run | None:
        """Return the run of a request if it has not ended."""
        run = self.runs.run_by_id.get(request_id)
        if run is None or run.outcome is not None:
            return None
        return run

    # Declarations, draining, timers.

    def _handle_new_revision(self, message: NewRevision) -> None:
        """Apply the service's new limits and cost rule."""
        service = message.revision.service_by_id.get(self.settings.service_id)
        if service is None:
            return
        self.service = service
        self.concurrency_factor = message.revision.preset.concurrency_factor
        max_limit = int(service.max_concurrency * self.concurrency_factor)
        self.limiter.max_limit = max(1, max_limit)
        self.limiter.kind = service.kind

    def _handle_notice(self, message: EndpointNotice) -> None:
        """Start no requests for the time the endpoint names, or any more if it leaves.

        Of overlapping pauses the one that ends last counts.
        """
        if message.pause_seconds:
            until = self.now + message.pause_seconds
            self.paused_until = max(self.paused_until, until)
            self._actions.append(RecordPause(message.pause_seconds))
        if message.leaving and not self.leaving:
            self.leaving = True
            self._actions.append(LeaveWithEndpoint())

    def _handle_rate(self, message: RateNamed) -> None:
        """Apply the request rate that the endpoint accepts, as a response named it."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is None:
            return
        rate = message.requests_per_second
        if self.rate_limit.observe(rate, run.started_at, self.now):
            self._actions.append(RecordRate(rate))

    def _is_paused(self) -> bool:
        """Return whether the endpoint wants no requests now."""
        return self.now < self.paused_until

    def _handle_drain(self, message: Drain) -> None:
        """Refuse new requests from now on and notify the routers."""
        self.draining = True
        for router_id in self.credits_by_router:
            self._send(router_id, Draining())

    def _handle_tick(self, message: Tick) -> None:
        """Expire grants, answers and tombstones; adjust the limit and the credits."""
        self.grants.expire(self.now)
        self.runs.evict(self.now)
        for request_id, at in list(self.tombstone_by_request.items()):
            if self.now - at <= TOMBSTONE_SECONDS:
                break
            del self.tombstone_by_request[request_id]
        for run in list(self.runs.run_by_id.values()):
            if self._is_cancel_due(run):
                self._cancel_unless_claimed(run)
        if self.limiter.adjust(self.now):
            self._actions.append(RecordLimit(self.limiter.allowed()))
        self._rebalance_credits()

    def _is_cancel_due(self, run: Run) -> bool:
        """Return whether a run has been without a receiver for too long."""
        if run.outcome is not None or run.cancel_at is None:
            return False
        return self.now >= run.cancel_at

    # Capacity.

    def _grant_free_slots(self) -> None:
        """Grant free slots to the lowest bids; offer the rest as spare credits."""
        while self.free_slots() > 0:
            open_grant = self.grants.issue(new_id(self.rng), self.now)
            if open_grant is None:
                break
            self._send(open_grant.router_id, open_grant.grant)
        if self.free_slots() > 0:
            self._replenish_credits()

    def _replenish_credits(self) -> None:
        """Send spare credits to routers that have used theirs up."""
        target = self._credits_per_router()
        for router_id, credits in self.credits_by_router.items():
            if credits == 0:
                self._send_credits(router_id, target)

    def _rebalance_credits(self) -> None:
        """Replace credits that are off their target by more than a factor of 2."""
        target = self._credits_per_router()
        for router_id, credits in self.credits_by_router.items():
            if credits * 2 < target or credits > target * 2:
                self._send_credits(router_id, target)

    def _credits_per_router(self) -> int:
        """Return each router's part of the free slots, at least one if there is any."""
        free_slots = self.free_slots()
        if free_slots <= 0 or not self.credits_by_router:
            return 0
        return max(1, free_slots // len(self.credits_by_router))

    def _send_credits(self, router_id: str, credits: int) -> None:
        """Set and send the number of requests a router may dispatch without a grant."""
        self.credits_by_router[router_id] = credits
        self._send(router_id, SpareCredits(credits))

    def _send(self, router_id: str, message: SidecarMessage) -> None:
        """Send a message to a router."""
        self._actions.append(SendToRouter(router_id, message))
