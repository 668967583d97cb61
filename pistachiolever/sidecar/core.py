"""The sidecar's decisions, without sockets, clocks or randomness of its own."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from pistachiolever.core.ids import new_id
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service
from pistachiolever.edge.sse import final_event, part_event, result_event
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.const import (
    SEEN_ATTEMPTS_MOST,
    TOMBSTONE_SECONDS,
)
from pistachiolever.sidecar.grants import GrantTable
from pistachiolever.sidecar.limiter import ConcurrencyLimiter
from pistachiolever.sidecar.models import (
    CancelRun,
    Drain,
    FromRouter,
    LimitNoted,
    LoadReported,
    NewRevision,
    OutputReceived,
    ReportClaim,
    ResultReceived,
    RouterConnected,
    RouterDisconnected,
    RunEnded,
    RunNoted,
    SendToRouter,
    SidecarAction,
    SidecarInput,
    StartRun,
    Tick,
)
from pistachiolever.sidecar.runs import Run, RunBook
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
    """All decisions beside one endpoint: a message in, actions out."""

    settings: SidecarSettings
    rng: Random
    service: Service
    concurrency_factor: float = 1.0
    credits_by_router: dict[str, int] = field(factory=dict)
    tombstone_by_request: dict[str, float] = field(factory=dict)
    seen_attempts: dict[str, bool] = field(factory=dict)
    draining: bool = False
    now: float = 0.0
    grants: GrantTable = field(init=False)
    runs: RunBook = field(init=False)
    limiter: ConcurrencyLimiter = field(init=False)
    _actions: list[SidecarAction] = field(factory=list)
    _router_id: str = ""
    _handler_by_type: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the parts and the look-up of handlers."""
        self.grants = GrantTable(self.settings.grant_seconds)
        self.runs = RunBook(self.settings.replay_bytes, self.settings.replay_seconds)
        self.limiter = ConcurrencyLimiter(
            self.service.kind, self.service.max_concurrency
        )
        self._handler_by_type = {
            RouterConnected: self._router_up,
            RouterDisconnected: self._router_down,
            FromRouter: self._from_router,
            OutputReceived: self._part_arrived,
            ResultReceived: self._result_arrived,
            RunEnded: self._run_ended,
            LoadReported: self._load_reported,
            NewRevision: self._new_revision,
            Drain: self._drain,
            Tick: self._tick,
            Bids: self._bids,
            Dispatch: self._dispatch,
            ReturnGrant: self._return_grant,
            Cancel: self._cancel,
            Detach: self._detach,
            Resume: self._resume,
        }

    def handle(self, message: SidecarInput, now: float) -> list[SidecarAction]:
        """Take one message at a time in seconds; return what to do, in order."""
        self.now = now
        self._actions = []
        self._handler_by_type[type(message)](message)
        self._give_room()
        return self._actions

    def is_idle(self) -> bool:
        """Tell whether nothing runs."""
        return self.runs.running == 0

    def room(self) -> int:
        """Return how many more requests may start or be promised."""
        if self.draining:
            return 0
        taken = self.runs.running + len(self.grants.open_by_id)
        return self.limiter.allowed() - taken

    def has_router(self, router_id: str) -> bool:
        """Tell whether the router has a session."""
        return router_id in self.credits_by_router

    def status(self, request_id: str, account_id: str) -> RunStatus:
        """Return how an account's request stands here."""
        run = self.runs.run_by_id.get(request_id)
        endpoint_id = self.settings.endpoint_id
        if run is None or run.dispatch.account_id != account_id:
            return RunStatus(False, endpoint_id)
        return RunStatus(True, endpoint_id, len(run.buffer.events), run.outcome)

    # Routers.

    def _router_up(self, message: RouterConnected) -> None:
        """Start to work with a router."""
        self.grants.forget_router(message.router_id)
        self.credits_by_router[message.router_id] = 0
        if self.draining:
            self._send(message.router_id, Draining())

    def _router_down(self, message: RouterDisconnected) -> None:
        """Keep the answers of a router that is gone, for a while."""
        self.grants.forget_router(message.router_id)
        self.credits_by_router.pop(message.router_id, None)
        for run in self.runs.run_by_id.values():
            if run.router_id == message.router_id:
                run.router_id = ""
                run.abandoned_at = self.now + self.settings.orphan_seconds

    def _from_router(self, message: FromRouter) -> None:
        """Pass a router's message to its handler."""
        self._router_id = message.router_id
        self._handler_by_type[type(message.message)](message.message)

    def _bids(self, message: Bids) -> None:
        """Take in who waits at a router."""
        self.grants.replace_bids(self._router_id, message.bids, self.now)

    def _dispatch(self, message: Dispatch) -> None:
        """Start a request, or refuse it with the truth about it."""
        if message.bids is not None:
            self._bids(message.bids)
        had_grant = self.grants.close(message.grant_id)
        if not had_grant and self.room() <= 0:
            had_grant = self.grants.close_oldest(self._router_id)
        known = self.runs.run_by_id.get(message.request_id)
        if known is not None and self._attach_again(known):
            return
        refused = self._refusal_of(message, had_grant)
        if refused is not None:
            self._send(self._router_id, refused)
            return
        credits = self.credits_by_router.get(self._router_id, 0)
        if not had_grant and credits > 0:
            self.credits_by_router[self._router_id] = credits - 1
        if message.attempt_id:
            self._remember_attempt(message.attempt_id)
        self.runs.add(Run(message, self._router_id, self.now))
        self.limiter.see_running(self.runs.running)
        self._actions.append(StartRun(message))

    def _attach_again(self, run: Run) -> bool:
        """Serve a request that was sent here before; tell whether that was done.

        A run that goes on or is whole is sent again; one that failed may be
        repeated, which its router decides by the verdict.
        """
        if run.outcome is not None and not run.outcome.complete:
            self.runs.drop(run)
            return False
        run.router_id = self._router_id
        run.abandoned_at = None
        run.sent = 0
        self._send_events(run)
        return True

    def _refusal_of(self, message: Dispatch, had_grant: bool) -> Refused | None:
        """Return why a request must not start, or None."""
        request_id = message.request_id
        if message.attempt_id in self.seen_attempts:
            return Refused(request_id, Verdict.MAY_HAVE_RUN, "attempt-seen")
        if request_id in self.tombstone_by_request:
            return Refused(request_id, Verdict.NOT_RUN, "withdrawn")
        if self.draining:
            return Refused(request_id, Verdict.NOT_RUN, "endpoint-draining")
        if not had_grant and self.room() <= 0:
            self.credits_by_router[self._router_id] = 0
            return Refused(
                request_id, Verdict.NOT_RUN, NO_ROOM_REASON, message.grant_id
            )
        return None

    def _remember_attempt(self, attempt_id: str) -> None:
        """Never start this attempt again in this incarnation."""
        self.seen_attempts[attempt_id] = True
        if len(self.seen_attempts) > SEEN_ATTEMPTS_MOST:
            del self.seen_attempts[next(iter(self.seen_attempts))]

    def _return_grant(self, message: ReturnGrant) -> None:
        """Take back room that a router could not use."""
        self.grants.close(message.grant_id)

    def _cancel(self, message: Cancel) -> None:
        """Stop a run that nobody wants; a claimed one goes on to its outcome."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is None:
            self.tombstone_by_request[message.request_id] = self.now
            return
        if run.router_id != self._router_id:
            return
        run.router_id = ""
        self._stop(run)

    def _detach(self, message: Detach) -> None:
        """Keep the events of a run for later."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is not None and run.router_id == self._router_id:
            run.router_id = ""
            run.abandoned_at = self.now + message.keep_seconds

    def _resume(self, message: Resume) -> None:
        """Send the rest of an answer to the router that asks."""
        run = self.runs.run_by_id.get(message.request_id)
        if run is None:
            self.tombstone_by_request[message.request_id] = self.now
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
            run.base_cost = run.told_cost
        run.router_id = self._router_id
        run.abandoned_at = None
        run.sent = message.after
        self._send_events(run)

    def _refuse(self, request_id: str, verdict: Verdict, reason: str) -> None:
        """Refuse a resumption."""
        self._send(self._router_id, Refused(request_id, verdict, reason))

    # The endpoint.

    def _part_arrived(self, message: OutputReceived) -> None:
        """Number, keep and send one part."""
        run = self._running(message.request_id)
        if run is None:
            return
        if run.parts == 0:
            self.limiter.see_first_part(self.now - run.started_at)
        else:
            self.limiter.see_gap(self.now - run.last_part_at)
        run.last_part_at = self.now
        run.parts += 1
        run.output_tokens += message.output_tokens
        run.hash.update(message.text.encode())
        number = len(run.buffer.events) + 1
        event = part_event(number, self.settings.endpoint_id, message.text)
        run.buffer.append(event)
        run.cost = run.estimate_cost(self.service.cost)
        self._send_events(run)
        if run.buffer.size_bytes > self.settings.max_answer_bytes:
            self._actions.append(CancelRun(message.request_id))
            self._end(run, Verdict.MAY_HAVE_RUN, False, "answer-too-large")

    def _result_arrived(self, message: ResultReceived) -> None:
        """Number, keep and send the result of a plain service."""
        run = self._running(message.request_id)
        if run is None:
            return
        self.limiter.see_first_part(self.now - run.started_at)
        run.parts += 1
        run.hash.update(message.result_json.encode())
        number = len(run.buffer.events) + 1
        endpoint_id = self.settings.endpoint_id
        run.buffer.append(result_event(number, endpoint_id, message.result_json))
        run.cost = run.estimate_cost(self.service.cost)
        self._send_events(run)

    def _run_ended(self, message: RunEnded) -> None:
        """Write the explicit end of an answer."""
        run = self._running(message.request_id)
        if run is None:
            return
        if message.input_tokens or message.output_tokens:
            run.cost = max(
                run.cost,
                self.service.cost.cost_of(message.input_tokens, message.output_tokens),
            )
        if message.reason == OVERLOADED_REASON:
            self.limiter.see_overload()
        self._end(run, message.verdict, message.complete, message.reason)

    def _load_reported(self, message: LoadReported) -> None:
        """Take in the endpoint's late report."""
        self.limiter.see_report(message.waiting)

    def _end(self, run: Run, verdict: Verdict, complete: bool, reason: str) -> None:
        """End a run: the final event, the claim, the note."""
        digest = f"sha256:{run.hash.hexdigest()}"
        outcome = Outcome(verdict, complete, reason, digest)
        number = len(run.buffer.events) + 1
        run.buffer.append(
            final_event(number, self.settings.endpoint_id, run.parts, outcome)
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
            RunNoted(
                dispatch.request_id,
                dispatch.account_id,
                verdict,
                complete,
                reason,
                run.parts,
            )
        )

    def _stop(self, run: Run) -> None:
        """Cancel a run, unless its outcome must be known."""
        if run.outcome is not None or run.dispatch.attempt_id:
            return
        self._actions.append(CancelRun(run.dispatch.request_id))
        self._end(run, Verdict.MAY_HAVE_RUN, False, "cancelled")

    def _send_events(self, run: Run) -> None:
        """Send what the run's router has not had yet."""
        if not run.router_id:
            return
        part = run.buffer.after(run.sent)
        if part is None:
            return
        run.sent = part.last
        run.told_cost = run.cost
        chunk = Chunk(
            run.dispatch.request_id,
            part.first,
            part.last,
            run.cost,
            part.sse,
            run.outcome,
            run.base_cost,
        )
        self._send(run.router_id, Chunks([chunk]))

    def _running(self, request_id: str) -> Run | None:
        """Return a run that has not ended."""
        run = self.runs.run_by_id.get(request_id)
        if run is None or run.outcome is not None:
            return None
        return run

    # Time, declarations, leaving.

    def _new_revision(self, message: NewRevision) -> None:
        """Use new limits and cost rules."""
        service = message.revision.service_by_id.get(self.settings.service_id)
        if service is None:
            return
        self.service = service
        self.concurrency_factor = message.revision.preset.concurrency_factor
        most = int(service.max_concurrency * self.concurrency_factor)
        self.limiter.most = max(1, most)
        self.limiter.kind = service.kind

    def _drain(self, message: Drain) -> None:
        """Take no new work."""
        self.draining = True
        for router_id in self.credits_by_router:
            self._send(router_id, Draining())

    def _tick(self, message: Tick) -> None:
        """Do what is due."""
        self.grants.expire(self.now)
        self.runs.forget_old(self.now)
        for request_id, at in list(self.tombstone_by_request.items()):
            if self.now - at <= TOMBSTONE_SECONDS:
                break
            del self.tombstone_by_request[request_id]
        for run in list(self.runs.run_by_id.values()):
            if self._is_abandoned(run):
                self._stop(run)
        if self.limiter.adjust(self.now):
            self._actions.append(LimitNoted(self.limiter.allowed()))
        self._renew_credits()

    def _is_abandoned(self, run: Run) -> bool:
        """Tell whether a running answer has had no reader for too long."""
        if run.outcome is not None or run.abandoned_at is None:
            return False
        return self.now >= run.abandoned_at

    # Room.

    def _give_room(self) -> None:
        """Promise free room to the lowest bids; spare room is given as credits."""
        while self.room() > 0:
            open_grant = self.grants.issue(new_id(self.rng), self.now)
            if open_grant is None:
                break
            self._send(open_grant.router_id, open_grant.grant)
        if self.room() > 0:
            self._offer_credits()

    def _offer_credits(self) -> None:
        """Give spare credits to routers that have none left."""
        share = self._credit_share()
        for router_id, credits in self.credits_by_router.items():
            if credits == 0:
                self._send_credits(router_id, share)

    def _renew_credits(self) -> None:
        """Correct credits that are far from what there is."""
        share = self._credit_share()
        for router_id, credits in self.credits_by_router.items():
            if credits * 2 < share or credits > share * 2:
                self._send_credits(router_id, share)

    def _credit_share(self) -> int:
        """Return each router's part of the spare room, at least one if any."""
        room = self.room()
        if room <= 0 or not self.credits_by_router:
            return 0
        return max(1, room // len(self.credits_by_router))

    def _send_credits(self, router_id: str, credits: int) -> None:
        """Tell a router how much it may send without a grant."""
        self.credits_by_router[router_id] = credits
        self._send(router_id, SpareCredits(credits))

    def _send(self, router_id: str, message: SidecarMessage) -> None:
        """Send a message to a router."""
        self._actions.append(SendToRouter(router_id, message))
