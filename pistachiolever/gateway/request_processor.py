"""Processes a caller's request: grants, attempts, retries and the final response."""

from collections.abc import Callable

from anyio import CancelScope, sleep
from attrs import define, field

from pistachiolever.admission.models import Bid, BidReply
from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.core.timeouts import move_on_after_peer
from pistachiolever.core.verdict import Verdict
from pistachiolever.events.const import EventCode
from pistachiolever.gateway.attempt import (
    Attempt,
    AttemptResult,
    BufferedResponse,
    ResponseSink,
)
from pistachiolever.gateway.const import (
    BID_TURNS,
    CONTINUED_TARGET_FACTOR,
    DEFAULT_RETRY_AFTER_SECONDS,
    INCARNATION_UNKNOWN,
    MAX_PREFERRED_RESUMPTIONS,
    MIN_ATTEMPT_SECONDS,
    QUARANTINED,
    RETRY_AFTER_FRACTION,
    VERSION_GONE,
    VERSION_UNKNOWN,
)
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fair_shares import OwnGrant
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.placement import RankedEndpoint
from pistachiolever.gateway.stream_origins import NoOrigins, OriginFinder
from pistachiolever.http1.models import Header
from pistachiolever.metrics.instruments import (
    ATTEMPTS,
    ENGINE_FIRST_CHUNK,
    FIRST_CHUNK,
    QUEUED,
    REQUESTS,
    RETRIES,
    STREAM_ENDS,
)
from pistachiolever.routing.models import RequestKind
from pistachiolever.streams.const import LOOKUP_RETRY_SECONDS, LOOKUPS
from pistachiolever.streams.models import StreamOrigin
from pistachiolever.streams.origins import Resolution


@define(eq=False)
class RequestProcessor:
    """Processes one request from arrival to response.

    `refusal` is the last refused bid, `failure` the last error response of an
    endpoint; both determine the response if no attempt succeeds. `successor` has
    granted what the endpoint in use leaves unanswered.
    `expected_prefill_seconds` is the prefill time that was pending at the endpoint
    when it granted the request.
    """

    fleet: FleetView
    header_format: HeaderFormat
    request: ProxyRequest
    sink: ResponseSink
    origins: OriginFinder = field(factory=NoOrigins)
    splitter: EventSplitter = field(init=False)
    refusal: BidReply | None = None
    failure: BufferedResponse | None = None
    successor: EndpointHandle | None = None
    queued_seconds: float = 0.0
    expected_prefill_seconds: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Skip events that the caller has already received."""
        last = self.request.metadata.last_event_id
        self.splitter = EventSplitter(
            last_id=last, skip_through=last, is_continued=last > 0
        )

    async def run(self) -> None:
        """Process the request; return once its response is complete or broken off."""
        request = self.request
        self.fleet.budget.record_request(request.service.service_id, self.fleet.now())
        if self.fleet.quarantined_part(request.suspect_ids):
            await self._fail(QUARANTINED)
            return
        if request.is_resumed and (reason := await self._find_origin()):
            await self._fail(reason)
            return
        if request.service.engine:
            self.fleet.shares.own.record_demand(
                request.account_id, request.cost, self.fleet.now()
            )
        try:
            await self._run_attempts()
        finally:
            self._release_successor()

    async def _find_origin(self) -> str:
        """Find out which version began the stream that the caller resumes.

        Return why the request can't be served; empty if it can.
        """
        request, fleet = self.request, self.fleet
        resolution = Resolution()
        for number in range(LOOKUPS):
            if number:
                await sleep(LOOKUP_RETRY_SECONDS)
            resolution = await self.origins.find(request)
            if resolution.origin is not None:
                break
        request.origin = resolution.origin
        fleet.events.record(
            EventCode.STREAM_RESUMED,
            request.request_id,
            begun_as=request.metadata.resumes,
            after=request.metadata.last_event_id,
            version=request.version,
            reason=resolution.reason,
        )
        if request.origin is None:
            return VERSION_UNKNOWN
        fleet.record_stream(request, request.origin)
        resumptions = fleet.streams.count_resumption(request.stream_key)
        request.is_continued = (
            resolution.is_recorded and resumptions <= MAX_PREFERRED_RESUMPTIONS
        )
        return "" if self._use_service(request.origin.service_id) else VERSION_GONE

    def _use_service(self, service_id: str) -> bool:
        """Return whether the route still leads to the service that began the stream."""
        request, table = self.request, self.fleet.table
        ids = [choice.service_id for choice in request.route.services if choice.weight]
        if table is None or service_id not in ids:
            return False
        request.service = table.service_by_id[service_id]
        return True

    async def _run_attempts(self) -> None:
        """Send attempts until one is answered or the request fails."""
        request = self.request
        while True:
            if request.remaining_seconds(self.fleet.now()) < MIN_ATTEMPT_SECONDS:
                await self._fail("deadline")
                return
            handle, self.successor = self.successor, None
            if handle is None:
                handle = await self._acquire_grant()
            if handle is None:
                await self._fail(self._no_grant_reason())
                return
            result = await self._send_attempt(handle)
            if result.answered:
                return
            if result.reason == QUARANTINED or not self._may_retry(result):
                await self._fail(result.reason)
                return

    # Grants.

    async def _find_successor(self, is_stalled: Callable[[], bool]) -> bool:
        """Return whether another endpoint will take over a stalled response.

        The endpoint in use may go on until the other one has granted the request.
        """
        self.successor = await self._acquire_grant(elsewhere=True)
        if self.successor is None:
            return False
        # The first event may have come from the stalled endpoint meanwhile.
        may_continue = self.request.may_run_at(self.successor.endpoint)
        if may_continue and is_stalled() and self._use_retry_budget("silent"):
            return True
        self._release_successor()
        return False

    def _release_successor(self) -> None:
        """Give back a grant that will not be used."""
        handle, self.successor = self.successor, None
        if handle is not None:
            handle.admission.report_end(self.request.bid_id, 0)

    async def _acquire_grant(self, elsewhere: bool = False) -> EndpointHandle | None:
        """Return an endpoint with a grant; None if the tried endpoints refused.

        `elsewhere` leaves out those to which the request was sent before.
        """
        refused: set[str] = set()
        undecided_count = 0
        request = self.request
        started_at = self.fleet.now()
        try:
            while len(refused) < self._max_bids():
                ranked = self._rank_choices(refused, elsewhere)
                if not ranked:
                    return None
                choice = ranked[0]
                bid_handle = self.fleet.handle_by_id[choice.endpoint.endpoint_id]
                may_withdraw = undecided_count < self.fleet.policy.most_bids
                timeout_seconds = self._bid_timeout_seconds(
                    may_withdraw and len(ranked) > 1
                )
                reply = await self._submit_bid(choice, timeout_seconds)
                undecided_count += reply is None
                handle = self.fleet.handle_by_id.get(choice.endpoint.endpoint_id)
                if reply is not None and reply.granted and handle is None:
                    # The endpoint is gone: release the grant.
                    bid_handle.admission.report_end(request.bid_id, 0)
                if reply is None or handle is None:
                    if (
                        request.remaining_seconds(self.fleet.now())
                        < MIN_ATTEMPT_SECONDS
                    ):
                        return None
                    continue
                if reply.granted and not self.fleet.may_send(handle):
                    handle.admission.report_end(request.bid_id, 0)
                    continue
                if reply.granted and not await self._is_known_incarnation(handle):
                    handle.admission.report_end(request.bid_id, 0)
                    reply = BidReply(False, reply.load, INCARNATION_UNKNOWN)
                if reply.granted:
                    load = reply.load
                    self.expected_prefill_seconds = load.unread_tokens / max(
                        1.0, load.speed
                    )
                    return handle
                self.refusal = reply
                refused.add(choice.endpoint.endpoint_id)
            return None
        finally:
            if not elsewhere:
                self.queued_seconds += self.fleet.now() - started_at

    async def _is_known_incarnation(self, handle: EndpointHandle) -> bool:
        """Return whether an endpoint has the version that its announcement names.

        Only streams that can be resumed depend on it. An agent compares the start time
        of the bid with that of its engine itself.
        """
        if not self.request.route.resumable or not handle.endpoint.agent:
            return True
        if not handle.is_without_agent():
            return True
        is_current = await self.fleet.incarnations.is_current(handle.endpoint)
        if not is_current:
            self.fleet.events.record(
                EventCode.BID_REFUSED,
                self.request.request_id,
                endpoint=handle.endpoint.endpoint_id,
                born=handle.endpoint.born_ms,
                reason=INCARNATION_UNKNOWN,
            )
        return is_current

    def _no_grant_reason(self) -> str:
        """Return why no endpoint granted the request."""
        service_id = self.request.service.service_id
        version = self.request.version
        if self.fleet.pause_remaining(service_id, version) is not None:
            return "paused"
        if version is None or self.fleet.index(service_id, version).ready.ids:
            return "no-room"
        is_served = self.fleet.has_usable(service_id, set(), version)
        return "no-room" if is_served else VERSION_GONE

    def _max_bids(self) -> int:
        """Return how many endpoints may refuse before the request is refused."""
        policy = self.fleet.policy
        return policy.beyond_bids if self._is_over_share() else policy.most_bids

    def _is_over_share(self) -> bool:
        """Return whether the account has received more than its fair share."""
        share = self._share()
        if share is None or not self.request.service.engine:
            return False
        return (
            self.fleet.shares.total(self.request.account_id, self.fleet.now()) > share
        )

    def _share(self) -> float | None:
        """Return the fair share that limits the request, None if none does.

        The rest of a stream was admitted with its beginning.
        """
        return None if self.request.is_continued else self.fleet.fair_share()

    def _rank_choices(self, refused: set[str], elsewhere: bool) -> list[RankedEndpoint]:
        """Return the endpoints to bid to next, the best first."""
        ranked = self._rank_endpoints(refused | self.request.tried_endpoint_ids)
        if not ranked and not refused and not elsewhere:
            # Retry an endpoint that failed before rather than none.
            ranked = self._rank_endpoints(refused)
        if not refused or self.request.is_continued:
            return ranked
        return self._filter_short_waits(ranked)

    def _rank_endpoints(self, avoid: set[str]) -> list[RankedEndpoint]:
        """Return the endpoints to consider for the request, the best first."""
        metadata, fleet = self.request.metadata, self.fleet
        service_id, now = self.request.service.service_id, fleet.now()
        plan = fleet.placement.plan(
            metadata.model,
            metadata.prompt_tokens,
            metadata.parts,
            fleet.index(service_id, self.request.version),
            now,
        )
        candidates = fleet.candidates(
            service_id,
            avoid,
            plan.shared_part_id,
            list(plan.cached_by_endpoint),
            self.request.version,
        )
        return fleet.placement.rank(plan, candidates, now)

    def _filter_short_waits(self, ranked: list[RankedEndpoint]) -> list[RankedEndpoint]:
        """Return the endpoints with a short expected wait.

        Moving a refused request to another busy endpoint would only repeat the prefill
        of its prompt there.
        """
        max_wait = self.fleet.policy.idle_share * self.request.route.target_seconds
        return [choice for choice in ranked if choice.wait < max_wait]

    def _bid_timeout_seconds(self, may_withdraw: bool) -> float:
        """Return how long to wait for a reply before trying another endpoint.

        An agent decides within the target, unless the bid is withdrawn before.
        The delay of this process says nothing about the endpoint's agent.
        """
        remaining = self.request.remaining_seconds(self.fleet.now())
        if not may_withdraw:
            return remaining
        fraction = self.fleet.policy.rebid_share
        seconds = fraction * self.request.route.target_seconds
        return min(remaining, seconds + BID_TURNS * self.fleet.loop_delay)

    async def _submit_bid(
        self, choice: RankedEndpoint, timeout_seconds: float
    ) -> BidReply | None:
        """Submit a bid to an endpoint; return None if it is undecided in time."""
        request, fleet = self.request, self.fleet
        endpoint_id = choice.endpoint.endpoint_id
        handle = fleet.handle_by_id[endpoint_id]
        tokens = request.metadata.prompt_tokens
        handle.bidding_tokens += tokens
        reply: BidReply | None = None
        submitted_at = fleet.now()
        try:
            rest = request.remaining_seconds(submitted_at) - timeout_seconds
            with move_on_after_peer(timeout_seconds, rest) as scope:
                handle.bid_scopes.add(scope)
                reply = await handle.admission.acquire(self._make_bid(endpoint_id))
        finally:
            handle.bid_scopes.discard(scope)
            handle.bidding_tokens -= tokens
        if reply is None:
            fleet.withdrawn_count += 1
            return None
        fleet.update_free(handle)
        if reply.granted and request.service.engine:
            fleet.shares.own.record_grant(
                OwnGrant(fleet.now(), request.account_id, endpoint_id, request.cost)
            )
        fleet.events.record(
            EventCode.REQUEST_GRANTED if reply.granted else EventCode.BID_REFUSED,
            request.request_id,
            endpoint=endpoint_id,
            waited=round(fleet.now() - submitted_at, 4),
            bids=request.bid_count,
            reason=reply.reason,
            cost=round(choice.cost, 4),
            wait=round(choice.wait, 4),
            reread=round(choice.prefill, 4),
            failures=round(choice.failures, 4),
            cached=reply.cached_tokens,
        )
        return reply

    def _make_bid(self, endpoint_id: str) -> Bid:
        """Return a new bid of this request for one endpoint."""
        request, now = self.request, self.fleet.now()
        engine = request.service.engine
        handle = self.fleet.handle_by_id[endpoint_id]
        endpoint = handle.endpoint
        is_resumable = request.route.resumable
        request.bid_count += 1
        request.bid_id = self.fleet.next_bid_id()
        return Bid(
            request.bid_id,
            request.request_id,
            request.account_id,
            request.route.route_id,
            request.priority,
            self._remaining_target_seconds(),
            request.remaining_seconds(now),
            request.metadata.prompt_tokens if engine else 0,
            request.output_tokens if engine else 0,
            request.metadata.model,
            request.metadata.parts if engine else [],
            self.fleet.shares.total(request.account_id, now, endpoint_id),
            self._share(),
            request.bid_count > 1,
            engine.slots if engine else handle.endpoint.slots,
            engine.memory_tokens if engine else 0,
            engine.event_tokens if engine else 1,
            handle.rate_notice.pack(now),
            request.stream_key if is_resumable else "",
            StreamOrigin(request.service.service_id, endpoint.version)
            if is_resumable
            else None,
            endpoint.born_ms if is_resumable else 0,
        )

    def _remaining_target_seconds(self) -> float:
        """Return the seconds until the first chunk is due.

        It is at least half of the target, as far as the deadline allows: a late request
        still deserves a response. Callers wait longer for the rest of a stream.
        """
        now = self.fleet.now()
        remaining = self.request.remaining_seconds(now)
        target = self.request.route.target_seconds
        if self.request.is_continued:
            return min(remaining, CONTINUED_TARGET_FACTOR * target)
        return min(remaining, max(self.request.target_at - now, target / 2))

    # Attempts.

    async def _send_attempt(self, handle: EndpointHandle) -> AttemptResult:
        """Send the request to an endpoint that granted it."""
        request, fleet = self.request, self.fleet
        endpoint_id = handle.endpoint.endpoint_id
        is_repeated = endpoint_id in request.tried_endpoint_ids
        request.tried_endpoint_ids.add(endpoint_id)
        if request.attempt_count:
            self.splitter.resume()
        request.attempt_count += 1
        sent_at, bid_id = fleet.now(), request.bid_id
        attempt = Attempt(
            fleet,
            self.header_format,
            request,
            handle,
            self.sink,
            self.splitter,
            self.expected_prefill_seconds,
            bid_id,
            self._find_successor,
            is_repeated,
        )
        result = AttemptResult(Verdict.MAY_HAVE_RUN, reason="cancelled")
        try:
            result = await attempt.run()
        finally:
            tokens = self._output_tokens(attempt)
            handle.admission.report_end(bid_id, tokens)
            self._record_result(handle, attempt, result, sent_at, tokens)
        if result.connection_ended and not attempt.has_run():
            # A caller that has its whole response may leave at once.
            with CancelScope(shield=True):
                is_there = await fleet.check_crash(
                    handle, request.request_id, request.suspect_ids
                )
            if result.answered and is_there:
                fleet.record_sound_run(request.suspect_ids)
        if not result.sent:
            request.attempt_count -= 1
        elif result.verdict is not Verdict.NOT_RUN:
            request.may_have_run = True
        if result.response is not None:
            self.failure = result.response
        return result

    def _output_tokens(self, attempt: Attempt) -> int:
        """Return the approximate number of generated tokens."""
        engine = self.request.service.engine
        return attempt.boundary.event_count * engine.event_tokens if engine else 0

    def _record_result(
        self,
        handle: EndpointHandle,
        attempt: Attempt,
        result: AttemptResult,
        sent_at: float,
        tokens: int,
    ) -> None:
        """Record a result in health, affinity, metrics and the event log."""
        fleet, request = self.fleet, self.request
        now = fleet.now()
        if attempt.has_run() or (result.answered and not result.connection_ended):
            fleet.record_sound_run(request.suspect_ids)
        if result.answered:
            handle.health.record_success(now)
            fleet.placement.prefix_affinity.record_use(
                handle.endpoint.endpoint_id,
                request.metadata.model,
                request.metadata.parts[:-1],
                now,
            )
        elif result.sent and result.endpoint_at_fault and result.reason != "cancelled":
            handle.health.record_failure(now)
        first = attempt.first_chunk_at
        kind = request.route.kind.value
        instruments = fleet.instruments
        if attempt.framing is not None and request.route.kind is RequestKind.STREAM:
            place = "within" if attempt.boundary.unfinished_bytes else "between"
            instruments.count(STREAM_ENDS, attempt.framing.value, place)
        instruments.count(ATTEMPTS, handle.endpoint.endpoint_id, result.verdict.value)
        if first is not None:
            instruments.observe(FIRST_CHUNK, first - request.arrived_at, kind)
            instruments.observe(
                ENGINE_FIRST_CHUNK, first - sent_at, handle.endpoint.endpoint_id
            )
        if result.answered:
            instruments.count(REQUESTS, kind, request.account_id, "answered")
            instruments.observe(QUEUED, self.queued_seconds, kind)
        fleet.events.record(
            EventCode.REQUEST_FINISHED if result.answered else EventCode.ATTEMPT_FAILED,
            request.request_id,
            endpoint=handle.endpoint.endpoint_id,
            version=handle.endpoint.version,
            route=request.route.route_id,
            account=request.account_id,
            attempt=request.attempt_count,
            verdict=result.verdict.value,
            reason=result.reason,
            status=result.status,
            framing=attempt.framing.value if attempt.framing else "",
            unfinished=attempt.boundary.unfinished_bytes,
            queued=round(self.queued_seconds, 4),
            first=round(first - request.arrived_at, 4) if first is not None else None,
            engine=round(first - sent_at, 4) if first is not None else None,
            total=round(now - request.arrived_at, 4),
            prompt=request.metadata.prompt_tokens,
            tokens=tokens,
            left=round(request.remaining_seconds(now), 3),
            parts=[] if result.answered else request.shared_part_ids,
            content="" if result.answered else request.content_id,
        )

    def _may_retry(self, result: AttemptResult) -> bool:
        """Return whether to try another endpoint; uses up the retry budget."""
        request, now = self.request, self.fleet.now()
        if result.is_local:
            return False
        if not result.sent:
            return True
        if self.sink.started and not self._may_resume():
            return False
        if not result.verdict.allows_retry(request.route.retryable):
            return False
        if request.attempt_count >= request.route.attempts:
            return False
        if request.remaining_seconds(now) < MIN_ATTEMPT_SECONDS:
            return False
        if not self.fleet.quarantine.may_repeat(request.suspect_ids, now):
            return False
        return self.successor is not None or self._use_retry_budget(result.reason)

    def _use_retry_budget(self, reason: str) -> bool:
        """Return whether the retry budget allows another attempt, which it counts."""
        request, now = self.request, self.fleet.now()
        allowed = self.fleet.budget.try_acquire(request.service.service_id, now)
        self.fleet.instruments.count(
            RETRIES, request.service.service_id, str(allowed).lower()
        )
        self.fleet.events.record(
            EventCode.REQUEST_RETRIED,
            request.request_id,
            allowed=allowed,
            reason=reason,
            sends=request.attempt_count,
            budget=round(
                self.fleet.budget.remaining(request.service.service_id, now), 1
            ),
            last_event=self.splitter.last_id,
        )
        return allowed

    def _may_resume(self) -> bool:
        """Return whether another endpoint can continue the started response."""
        route = self.request.route
        is_resumable = route.kind is RequestKind.STREAM and route.resumable
        return is_resumable and self.splitter.resumable

    # Failure.

    async def _fail(self, reason: str) -> None:
        """End an unsuccessful request with the status that fits what is known of it.

        A started response is broken off; otherwise the caller gets an endpoint's error,
        502 or 504 if the request may have run, and 503 if it has not.
        """
        request = self.request
        status = 0
        notes: dict[str, str | list[str]] = {}
        notes.update(self.fleet.held_back(request.service.service_id))
        if reason == QUARANTINED:
            notes["part"] = self.fleet.quarantined_part(request.suspect_ids)
        if self.sink.started:
            # The server closes the connection without completing the response.
            reason = f"broken off: {reason}"
        elif self.failure is not None:
            status = self.failure.status
            await self.sink.respond(status, self.failure.headers, self.failure.body)
        elif request.may_have_run:
            expired = request.remaining_seconds(self.fleet.now()) <= MIN_ATTEMPT_SECONDS
            status = 504 if expired else 502
            await self.sink.respond(status, [], b"")
        else:
            status = 503
            await self.sink.respond(status, [self._retry_after_header(reason)], b"")
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
            bids=request.bid_count,
            queued=round(self.queued_seconds, 4),
            prompt=request.metadata.prompt_tokens,
            total=round(self.fleet.now() - request.arrived_at, 4),
            **notes,
        )

    def _retry_after_header(self, reason: str) -> Header:
        """Return a Retry-After header that the caller can still honour.

        While all endpoints pause, or the request is quarantined, it names the
        end of that, as an earlier retry would be refused again. If no endpoint can
        continue a stream, it names the caller's deadline.
        """
        part_id = self.fleet.quarantined_part(self.request.suspect_ids)
        if part_id:
            seconds = self.fleet.quarantine.remaining_seconds(part_id, self.fleet.now())
            return (b"retry-after", b"%.2f" % seconds)
        paused_seconds = self.fleet.pause_remaining(
            self.request.service.service_id, self.request.version
        )
        if paused_seconds is not None:
            # Spread, since callers would otherwise return at the same moment.
            spread = self.fleet.rng.random() * PAUSE_RAMP_SECONDS
            return (b"retry-after", b"%.2f" % (paused_seconds + spread))
        remaining = self.request.remaining_seconds(self.fleet.now())
        if reason == VERSION_GONE:
            return (b"retry-after", b"%.2f" % max(0.05, remaining))
        seconds = DEFAULT_RETRY_AFTER_SECONDS
        if self.refusal is not None and self.refusal.retry_after_seconds:
            seconds = self.refusal.retry_after_seconds
        seconds = max(0.05, min(seconds, RETRY_AFTER_FRACTION * remaining))
        return (b"retry-after", b"%.2f" % seconds)
