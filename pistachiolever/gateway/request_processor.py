"""Processes a caller's request: grants, attempts, retries and the final response."""

from collections.abc import Callable

from anyio import CancelScope, move_on_after, sleep
from attrs import define, field

from pistachiolever.core.verdict import Verdict
from pistachiolever.events.const import EventCode
from pistachiolever.gateway.attempt import (
    Attempt,
    AttemptResult,
    ResponseSink,
)
from pistachiolever.gateway.attempt_records import output_tokens, record_attempt
from pistachiolever.gateway.bidding import Bidding
from pistachiolever.gateway.const import (
    DRAINING,
    MAX_PREFERRED_RESUMPTIONS,
    MIN_ATTEMPT_SECONDS,
    QUARANTINED,
    UNRECORDED,
    VERSION_GONE,
    VERSION_UNKNOWN,
)
from pistachiolever.gateway.drain_window import DrainWindow
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.failures import FailureResponder
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.stream_origins import NoOrigins, OriginFinder
from pistachiolever.metrics.instruments import (
    RETRIES,
)
from pistachiolever.routing.models import RequestKind
from pistachiolever.streams.const import (
    CONFIRM_POLL_SECONDS,
    CONFIRM_WAIT_SECONDS,
    LOOKUP_RETRY_SECONDS,
    LOOKUPS,
)
from pistachiolever.streams.origins import Resolution


@define(eq=False)
class RequestProcessor:
    """Processes one request from arrival to response.

    `successor` has granted what the endpoint in use leaves unanswered.
    """

    fleet: FleetView
    header_format: HeaderFormat
    request: ProxyRequest
    sink: ResponseSink
    origins: OriginFinder = field(factory=NoOrigins)
    drain_window: DrainWindow = field(factory=DrainWindow)
    splitter: EventSplitter = field(init=False)
    bidding: Bidding = field(init=False)
    failures: FailureResponder = field(init=False)
    successor: EndpointHandle | None = None

    def __attrs_post_init__(self) -> None:
        """Prepare the bids; skip events that the caller has already received."""
        self.bidding = Bidding(self.fleet, self.request)
        self.failures = FailureResponder(
            self.fleet, self.request, self.sink, self.bidding
        )
        last = self.request.metadata.last_event_id
        self.splitter = EventSplitter(
            last_id=last, skip_through=last, is_continued=last > 0
        )

    async def run(self) -> None:
        """Process the request; return once its response is complete or broken off."""
        request = self.request
        self.fleet.budget.record_request(request.service.service_id, self.fleet.now())
        if self.fleet.parts.quarantined_part(request.suspect_ids):
            await self.failures.respond(QUARANTINED)
            return
        if request.is_resumed and (reason := await self._find_origin()):
            await self.failures.respond(reason)
            return
        if request.service.engine:
            self.fleet.shares.own.record_demand(
                request.account_id, request.cost, self.fleet.now()
            )
        await self._wait_for_version()
        try:
            await self._run_attempts()
        finally:
            self._release_successor()

    async def _wait_for_version(self) -> None:
        """Wait for a while if the versions of the service are not confirmed yet.

        That is so when this router has started beside several versions, or just before
        the members have told the base version.
        """
        if not self.request.begins_resumable_stream or self._is_version_known():
            return
        remaining = self.request.remaining_seconds(self.fleet.now())
        with move_on_after(min(CONFIRM_WAIT_SECONDS, remaining)):
            while not self._is_version_known():
                await sleep(CONFIRM_POLL_SECONDS)

    def _is_version_known(self) -> bool:
        """Return whether a stream may begin, as far as the versions are concerned."""
        fleet, service_id = self.fleet, self.request.service.service_id
        if fleet.bases.may_settle_soon(service_id, fleet.now()):
            return False
        return fleet.versions.is_any_confirmed(service_id)

    async def _find_origin(self) -> str:
        """Find out which version began the stream that the caller resumes.

        Return why the request can't be served; empty if it can.
        """
        request, fleet = self.request, self.fleet
        resolution = Resolution(reason="the members did not reply in time")
        with move_on_after(request.remaining_seconds(fleet.now())):
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
                await self.failures.respond("deadline")
                return
            handle, self.successor = self.successor, None
            if handle is None:
                with self.drain_window.waiting():
                    handle = await self.bidding.acquire()
            if not self._may_finish():
                self._release(handle)
                await self.failures.respond(DRAINING)
                return
            if handle is None:
                await self.failures.respond(self.failures.no_grant_reason())
                return
            result = await self._send_attempt(handle)
            if result.answered:
                return
            if result.reason == QUARANTINED or not self._may_retry(result):
                await self.failures.respond(result.reason)
                return

    def _may_finish(self) -> bool:
        """Return whether this process can finish the request, or has begun to."""
        window, now = self.drain_window, self.fleet.now()
        return self.sink.started or window.may_send(self.request, now)

    # Grants.

    async def _find_successor(self, is_stalled: Callable[[], bool]) -> bool:
        """Return whether another endpoint will take over a stalled response.

        The endpoint in use may go on until the other one has granted the request.
        """
        self.successor = await self.bidding.acquire(elsewhere=True)
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
        self._release(handle)

    def _release(self, handle: EndpointHandle | None) -> None:
        """Give back a grant, if there is one."""
        if handle is not None:
            handle.admission.report_end(self.request.bid_id, 0)

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
            self.bidding.expected_prefill_seconds,
            bid_id,
            self._find_successor,
            is_repeated,
            self.drain_window,
        )
        result = AttemptResult(Verdict.MAY_HAVE_RUN, reason="cancelled")
        try:
            result = await attempt.run()
        finally:
            tokens = output_tokens(request, attempt)
            handle.admission.report_end(bid_id, tokens)
            if request.service.engine and attempt.first_chunk_at is not None:
                now = fleet.now()
                held = request.metadata.prompt_tokens + request.output_tokens
                fleet.runs.record(now - sent_at, held, now)
            record_attempt(
                fleet,
                request,
                handle,
                attempt,
                result,
                sent_at,
                tokens,
                self.bidding.queued_seconds,
            )
        if result.connection_ended and not attempt.has_run():
            # A caller that has its whole response may leave at once.
            with CancelScope(shield=True):
                is_there = await fleet.parts.check_crash(
                    handle, request.request_id, request.suspect_ids
                )
            if result.answered and is_there:
                fleet.parts.record_sound_run(request.suspect_ids)
        if result.answered and request.route.kind is not RequestKind.STREAM:
            seconds = fleet.now() - sent_at
            response_times = self.drain_window.response_times
            response_times.record(request.route.route_id, seconds, fleet.now())
        if not result.sent:
            request.attempt_count -= 1
        elif result.verdict is not Verdict.NOT_RUN:
            request.may_have_run = True
        if result.response is not None:
            self.failures.failure = result.response
        return result

    def _may_retry(self, result: AttemptResult) -> bool:
        """Return whether to try another endpoint; uses up the retry budget."""
        request, now = self.request, self.fleet.now()
        if result.is_local or result.reason == UNRECORDED:
            # Some member may have a record of an unrecorded stream.
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
