"""One caller's request: waits for room, is sent, perhaps again, and is answered."""

from anyio import move_on_after
from attrs import define, field

from pistachiolever.admission.models import Bid, BidReply
from pistachiolever.core.verdict import Verdict
from pistachiolever.events.const import EventCode
from pistachiolever.gateway.attempt import AnswerSink, Attempt, AttemptEnd, WholeAnswer
from pistachiolever.gateway.const import (
    DEFAULT_RETRY_SECONDS,
    LEAST_SEND_SECONDS,
    RETRY_AFTER_SHARE,
)
from pistachiolever.gateway.dialect import Dialect
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import EndpointHandle, FleetView
from pistachiolever.gateway.models import PassRequest
from pistachiolever.gateway.placement import Choice
from pistachiolever.http1.models import Header
from pistachiolever.metrics.instruments import (
    ATTEMPTS,
    ENGINE_FIRST_CHUNK,
    FIRST_CHUNK,
    QUEUED,
    REQUESTS,
    RETRIES,
)


@define(eq=False)
class Journey:
    """What happens to one request of a caller."""

    fleet: FleetView
    dialect: Dialect
    request: PassRequest
    sink: AnswerSink
    splitter: EventSplitter = field(init=False)
    refusal: BidReply | None = None
    failure: WholeAnswer | None = None
    queued_seconds: float = 0.0
    reading_seconds: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Resume where the caller left off."""
        last = self.request.facts.last_event_id
        self.splitter = EventSplitter(last_id=last, skip_through=last)

    async def run(self) -> None:
        """Answer the request."""
        request = self.request
        self.fleet.budget.note_request(request.service.service_id, self.fleet.now())
        while True:
            if request.left(self.fleet.now()) < LEAST_SEND_SECONDS:
                await self._give_up("deadline")
                return
            handle = await self._find_room()
            if handle is None:
                await self._give_up("no-room")
                return
            end = await self._send(handle)
            if end.answered:
                return
            if not self._may_repeat(end):
                await self._give_up(end.reason)
                return

    # Finding room.

    async def _find_room(self) -> EndpointHandle | None:
        """Return an endpoint that granted room; None when all refused."""
        refused: set[str] = set()
        request = self.request
        begun = self.fleet.now()
        try:
            while len(refused) < self._most_bids():
                choices = self._rank(refused | request.tried)
                if not choices and not refused:
                    # Better the same endpoint again than none.
                    choices = self._rank(refused)
                if refused:
                    choices = self._idle(choices)
                if not choices:
                    return None
                choice = choices[0]
                asked = self.fleet.handle_by_id[choice.endpoint.endpoint_id]
                patience = self._patience(len(choices) > 1)
                reply = await self._bid(choice, patience)
                handle = self.fleet.handle_by_id.get(choice.endpoint.endpoint_id)
                if reply is not None and reply.granted and handle is None:
                    # The endpoint left meanwhile; its agent should not wait for it.
                    asked.gate.ended(request.bid_id, 0)
                if reply is None or handle is None:
                    if request.left(self.fleet.now()) < LEAST_SEND_SECONDS:
                        return None
                    continue
                if reply.granted:
                    load = reply.load
                    self.reading_seconds = load.unread_tokens / max(1.0, load.speed)
                    return handle
                self.refusal = reply
                refused.add(choice.endpoint.endpoint_id)
            return None
        finally:
            self.queued_seconds += self.fleet.now() - begun

    def _most_bids(self) -> int:
        """Return how many endpoints are asked for room."""
        policy = self.fleet.policy
        return policy.beyond_bids if self._is_beyond_share() else policy.most_bids

    def _is_beyond_share(self) -> bool:
        """Tell whether the account had its fair share of the engines lately."""
        share = self.fleet.share()
        if share is None or not self.request.service.engine:
            return False
        got = self.fleet.shares.elsewhere(self.request.account_id, "", self.fleet.now())
        return got > share

    def _rank(self, avoid: set[str]) -> list[Choice]:
        """Return the endpoints for the request, the best first."""
        facts = self.request.facts
        return self.fleet.placement.rank(
            facts.model,
            facts.prompt_tokens,
            facts.parts,
            self.fleet.candidates(self.request.service.service_id, avoid),
            self.fleet.now(),
        )

    def _idle(self, choices: list[Choice]) -> list[Choice]:
        """Return the endpoints that have room at once.

        Work that a busy endpoint refused would only be read anew at another one.
        """
        most = self.fleet.policy.idle_share * self.request.route.target_seconds
        return [choice for choice in choices if choice.wait < most]

    def _patience(self, has_others: bool) -> float:
        """Return how long to wait at one endpoint before looking around, in seconds."""
        left = self.request.left(self.fleet.now())
        if not has_others:
            return left
        share = self.fleet.policy.rebid_share
        return min(left, share * self.request.route.target_seconds)

    async def _bid(self, choice: Choice, patience: float) -> BidReply | None:
        """Ask for room at one endpoint; None when it did not decide in time."""
        request, fleet = self.request, self.fleet
        endpoint_id = choice.endpoint.endpoint_id
        handle = fleet.handle_by_id[endpoint_id]
        tokens = request.facts.prompt_tokens
        handle.bidding_tokens += tokens
        reply: BidReply | None = None
        granted_at = fleet.now()
        try:
            with move_on_after(patience):
                reply = await handle.gate.acquire(self._make_bid(endpoint_id))
        finally:
            handle.bidding_tokens -= tokens
        if reply is None:
            return None
        fleet.shares.note_got(
            request.account_id, endpoint_id, reply.service, fleet.now()
        )
        fleet.events.record(
            EventCode.REQUEST_GRANTED if reply.granted else EventCode.BID_REFUSED,
            request.request_id,
            endpoint=endpoint_id,
            waited=round(fleet.now() - granted_at, 4),
            reason=reply.reason,
            cost=round(choice.cost, 4),
            wait=round(choice.wait, 4),
            reread=round(choice.reread, 4),
            failures=round(choice.failures, 4),
            cached=reply.cached_tokens,
        )
        return reply

    def _make_bid(self, endpoint_id: str) -> Bid:
        """Return the bid of this request for one endpoint."""
        request, now = self.request, self.fleet.now()
        engine = request.service.engine
        handle = self.fleet.handle_by_id[endpoint_id]
        request.bids += 1
        return Bid(
            request.bid_id,
            request.request_id,
            request.account_id,
            request.route.route_id,
            request.priority,
            self._target_left(),
            request.left(now),
            request.facts.prompt_tokens if engine else 0,
            request.output_tokens if engine else 0,
            request.facts.model,
            request.facts.parts if engine else [],
            self.fleet.shares.elsewhere(request.account_id, endpoint_id, now),
            self.fleet.share(),
            request.bids > 1,
            engine.slots if engine else handle.endpoint.slots,
            engine.memory_tokens if engine else 0,
            engine.event_tokens if engine else 1,
        )

    def _target_left(self) -> float:
        """Return the seconds within which the first part should come.

        A request that is late already still deserves an answer, a good while on.
        """
        now = self.fleet.now()
        left = self.request.left(now)
        target = self.request.route.target_seconds
        return min(left, max(self.request.target_at - now, target / 2))

    # Sending.

    async def _send(self, handle: EndpointHandle) -> AttemptEnd:
        """Send the request to an endpoint that granted room."""
        request, fleet = self.request, self.fleet
        endpoint_id = handle.endpoint.endpoint_id
        request.tried.add(endpoint_id)
        if request.sends:
            self.splitter.restart()
        request.sends += 1
        sent_at = fleet.now()
        attempt = Attempt(
            fleet,
            self.dialect,
            request,
            handle,
            self.sink,
            self.splitter,
            self.reading_seconds,
        )
        end = AttemptEnd(Verdict.MAY_HAVE_RUN, reason="cancelled")
        try:
            end = await attempt.run()
        finally:
            tokens = self._output_tokens(attempt)
            handle.gate.ended(request.bid_id, tokens)
            self._note_end(handle, attempt, end, sent_at, tokens)
        if not end.sent:
            request.sends -= 1
        elif end.verdict is not Verdict.NOT_RUN:
            request.may_have_run = True
        if end.answer is not None:
            self.failure = end.answer
        return end

    def _output_tokens(self, attempt: Attempt) -> int:
        """Return about how many tokens were generated."""
        engine = self.request.service.engine
        return attempt.output_events * engine.event_tokens if engine else 0

    def _note_end(
        self,
        handle: EndpointHandle,
        attempt: Attempt,
        end: AttemptEnd,
        sent_at: float,
        tokens: int,
    ) -> None:
        """Record how a send ended and what it says of the endpoint."""
        fleet, request = self.fleet, self.request
        now = fleet.now()
        if end.answered:
            handle.health.see_good(now)
            fleet.placement.homes.use(
                handle.endpoint.endpoint_id,
                request.facts.model,
                request.facts.parts[:-1],
                now,
            )
        elif end.sent and end.endpoint_at_fault and end.reason != "cancelled":
            handle.health.see_bad(now)
        first = attempt.first_at
        kind = request.route.kind.value
        figures = fleet.instruments
        figures.count(ATTEMPTS, handle.endpoint.endpoint_id, end.verdict.value)
        if first is not None:
            figures.observe(FIRST_CHUNK, first - request.arrived_at, kind)
            figures.observe(
                ENGINE_FIRST_CHUNK, first - sent_at, handle.endpoint.endpoint_id
            )
        if end.answered:
            figures.count(REQUESTS, kind, request.account_id, "answered")
            figures.observe(QUEUED, self.queued_seconds, kind)
        fleet.events.record(
            EventCode.REQUEST_FINISHED if end.answered else EventCode.ATTEMPT_FAILED,
            request.request_id,
            endpoint=handle.endpoint.endpoint_id,
            route=request.route.route_id,
            account=request.account_id,
            attempt=request.sends,
            verdict=end.verdict.value,
            reason=end.reason,
            status=end.status,
            queued=round(self.queued_seconds, 4),
            first=round(first - request.arrived_at, 4) if first is not None else None,
            engine=round(first - sent_at, 4) if first is not None else None,
            total=round(now - request.arrived_at, 4),
            prompt=request.facts.prompt_tokens,
            tokens=tokens,
            left=round(request.left(now), 3),
        )

    def _may_repeat(self, end: AttemptEnd) -> bool:
        """Tell whether the request may be sent to another endpoint."""
        request, now = self.request, self.fleet.now()
        if not end.sent:
            return True
        if not end.verdict.allows_retry(request.route.retryable):
            return False
        if request.sends >= request.route.attempts:
            return False
        if request.left(now) < LEAST_SEND_SECONDS:
            return False
        allowed = self.fleet.budget.take(request.service.service_id, now)
        self.fleet.instruments.count(
            RETRIES, request.service.service_id, str(allowed).lower()
        )
        self.fleet.events.record(
            EventCode.REQUEST_RETRIED,
            request.request_id,
            allowed=allowed,
            reason=end.reason,
            sends=request.sends,
            budget=round(self.fleet.budget.left(request.service.service_id, now), 1),
            last_event=self.splitter.last_id,
        )
        return allowed

    # Giving up.

    async def _give_up(self, reason: str) -> None:
        """End the request with what is true of it."""
        request = self.request
        status = 0
        if self.sink.started:
            # The connection is closed without the end of the answer.
            reason = f"broken off: {reason}"
        elif self.failure is not None:
            status = self.failure.status
            await self.sink.respond(status, self.failure.headers, self.failure.body)
        elif request.may_have_run:
            expired = request.left(self.fleet.now()) <= LEAST_SEND_SECONDS
            status = 504 if expired else 502
            await self.sink.respond(status, [], b"")
        else:
            status = 503
            await self.sink.respond(status, [self._retry_after()], b"")
        self.fleet.instruments.count(
            REQUESTS,
            request.route.kind.value,
            request.account_id,
            "refused" if status == 503 else "failed",
        )
        self.fleet.events.record(
            EventCode.REQUEST_REFUSED,
            request.request_id,
            route=request.route.route_id,
            account=request.account_id,
            status=status,
            reason=reason,
            queued=round(self.queued_seconds, 4),
            prompt=request.facts.prompt_tokens,
            total=round(self.fleet.now() - request.arrived_at, 4),
        )

    def _retry_after(self) -> Header:
        """Return when the caller should come back, within what it honours."""
        left = self.request.left(self.fleet.now())
        seconds = DEFAULT_RETRY_SECONDS
        if self.refusal is not None and self.refusal.retry_after_seconds:
            seconds = self.refusal.retry_after_seconds
        seconds = max(0.05, min(seconds, RETRY_AFTER_SHARE * left))
        return (b"retry-after", b"%.2f" % seconds)
