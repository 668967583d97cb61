"""One attempt to serve a request at an endpoint, up to its verdict."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from anyio import CancelScope, create_task_group, move_on_after, sleep
from anyio.lowlevel import checkpoint_if_cancelled
from attrs import define, evolve, field, frozen

from pistachiolever.core.verdict import Verdict
from pistachiolever.gateway.const import (
    DRAINING,
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_EVENT_BYTES,
    MAX_EVENT_PARTS,
    MAX_FOREIGN_RESPONSES,
    MAX_RESPONSE_BYTES,
    MAX_RESPONSE_PARTS,
    MIN_RESPONSE_TIMEOUT_SECONDS,
    MIN_STREAM_TIMEOUT_SECONDS,
    PREFILL_TIMEOUT_FACTOR,
    QUARANTINED,
    RESPONSE_TIMEOUT_TARGET_FRACTION,
    STALL_CHECK_SECONDS,
    TAKE_OVER_RETRY_SECONDS,
    UNRECORDED,
)
from pistachiolever.gateway.drain_window import DrainWindow
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.event_stream import EventBoundary, EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat, keep_alive_seconds
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import Framing, Header, ResponseHead
from pistachiolever.quarantine.const import SOUND_RUN_SECONDS
from pistachiolever.routing.models import RequestKind
from pistachiolever.streams.models import StreamOrigin

# The media type of a stream of events.
EVENT_STREAM: Final = b"text/event-stream"


class ResponseSink(Protocol):
    """Receives the response: the caller's connection."""

    started: bool

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """Complete the response."""

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""


@frozen
class BufferedResponse:
    """An endpoint's error response, sent to the caller if no attempt succeeds."""

    status: int
    headers: list[Header]
    body: bytes


@frozen
class AttemptResult:
    """The result of an attempt: answered, or what is known of its execution.

    `sent` is false if nothing was sent to the endpoint. `endpoint_at_fault` is false if
    the failure must not lower the endpoint's health. `is_local` is true if this process
    has no descriptor for another connection. `connection_ended` is true if the endpoint
    closed or reset the connection before the response was complete, or ended a stream
    without a length in that way, which is the same if it crashes.
    """

    verdict: Verdict
    answered: bool = False
    sent: bool = True
    reason: str = ""
    status: int = 0
    response: BufferedResponse | None = None
    endpoint_at_fault: bool = True
    is_local: bool = False
    connection_ended: bool = False


class UnusableResponseError(Exception):
    """A response can't be forwarded; carries the attempt's result."""

    def __init__(self, result: AttemptResult) -> None:
        """Keep the result of the attempt."""
        super().__init__(result.reason)
        self.result = result


def continues_stream(response: ResponseHead) -> bool:
    """Return whether the head of a response can be that of a stream's rest."""
    content_type = response.value(b"content-type")
    media_type = (content_type or EVENT_STREAM).split(b";")[0].strip().lower()
    return (
        response.status == 200
        and media_type == EVENT_STREAM
        and response.value(b"content-encoding") is None
    )


async def keep_waiting(is_stalled: Callable[[], bool]) -> bool:
    """Find no endpoint that takes over."""
    return False


@define(eq=False)
class Attempt:
    """Sends a request to one endpoint and forwards the response.

    `bid_id` is the bid that the endpoint granted. `find_successor` returns whether
    another endpoint has granted the request while the response was still stalled.
    `is_repeated` is true if the request was sent to this endpoint before.
    """

    fleet: FleetView
    header_format: HeaderFormat
    request: ProxyRequest
    handle: EndpointHandle
    sink: ResponseSink
    splitter: EventSplitter
    expected_prefill_seconds: float = 0.0
    bid_id: str = ""
    find_successor: Callable[[Callable[[], bool]], Awaitable[bool]] = keep_waiting
    is_repeated: bool = False
    drain_window: DrainWindow = field(factory=DrainWindow)
    connection: ClientConnection | None = None
    first_chunk_at: float | None = None
    framing: Framing | None = None
    boundary: EventBoundary = field(factory=EventBoundary)
    sent_at: float = 0.0
    first_due_at: float = 0.0
    progressed_at: float = float("-inf")
    is_sending: bool = False
    data_event_count: int = 0
    sending_seconds: float = 0.0
    run_seconds: float = 0.0
    sound_recorded_at: float = float("-inf")
    scopes: list[CancelScope] = field(factory=list)

    async def run(self) -> AttemptResult:
        """Send the request and forward the response.

        Raises only on cancellation or when the caller's connection is lost.
        """
        address = self.handle.endpoint.address
        remaining = self.request.remaining_seconds(self.fleet.now())
        try:
            self.connection = await self._connect(address, min(1.0, remaining))
        except PeerClosedError as error:
            if error.is_local:
                return AttemptResult(
                    Verdict.NOT_RUN, sent=False, reason="no-descriptor", is_local=True
                )
            self.fleet.record_unreachable(self.handle, error.detail)
            return AttemptResult(Verdict.NOT_RUN, sent=False, reason="unreached")
        try:
            # News may have arrived while the connection was opened.
            if reason := self._held_back_reason():
                return AttemptResult(Verdict.NOT_RUN, sent=False, reason=reason)
            self.sent_at = self.fleet.now()
            self.fleet.notices.record_send(self.handle.endpoint, self.sent_at)
            with move_on_after(
                self.request.remaining_seconds(self.fleet.now())
            ) as deadline:
                self.scopes.append(deadline)
                result = await self._exchange_unless_stalled(self.connection)
            if deadline.cancelled_caught:
                return self._unknown_outcome(
                    "deadline", at_fault=self.first_chunk_at is None
                )
            return result
        except UnusableResponseError as error:
            return error.result
        except PeerClosedError as error:
            if not error.sent:
                return AttemptResult(Verdict.NOT_RUN, sent=False, reason=error.detail)
            return evolve(self._unknown_outcome(error.detail), connection_ended=True)
        finally:
            if self.connection is not None:
                await self.connection.close()

    async def _connect(self, address: str, seconds: float) -> ClientConnection:
        """Return a connection; raise PeerClosedError.

        On a kept one, a copy of the endpoint's earlier response to the same request
        could not be told from the response to this attempt.
        """
        pool = self.fleet.pool
        connect = pool.open if self.is_repeated else pool.acquire
        return await connect(address, seconds)

    def _held_back_reason(self) -> str:
        """Return why the request must not be sent now; empty if it may be."""
        if not self.fleet.selection.may_send(self.handle):
            return "held-back"
        if not self.request.may_run_at(self.handle.endpoint):
            return "version"
        if not self.fleet.parts.may_send_parts(self.request.suspect_ids):
            return QUARANTINED
        window, now = self.drain_window, self.fleet.now()
        if not self.sink.started and not window.may_send(self.request, now):
            return DRAINING
        return ""

    def _unknown_outcome(self, reason: str, at_fault: bool = True) -> AttemptResult:
        """Return the result of an attempt whose request may have been executed."""
        return AttemptResult(
            Verdict.MAY_HAVE_RUN, reason=reason, endpoint_at_fault=at_fault
        )

    async def _exchange_unless_stalled(
        self, connection: ClientConnection
    ) -> AttemptResult:
        """Send the request and handle the response.

        Give up once the response is overdue and another endpoint takes over.
        """
        self.first_due_at = self.fleet.now() + self._response_timeout_seconds()
        if not self._may_ever_move():
            return await self._exchange(connection)
        result: AttemptResult | None = None
        failure: Exception | None = None
        async with create_task_group() as group:
            self.scopes.append(group.cancel_scope)
            group.start_soon(self._watch_silence, group.cancel_scope)
            # Caught here because the task group would wrap it in an exception group.
            try:
                result = await self._exchange(connection)
            except Exception as error:  # noqa: BLE001
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if result is not None:
            return result
        where = "" if self.first_chunk_at is None else " within a stream"
        return self._unknown_outcome(f"silent{where}")

    async def _watch_silence(self, scope: CancelScope) -> None:
        """Cancel a scope once the response is overdue and granted elsewhere.

        Until then it may still come from here.
        """
        while True:
            pause = self._stalled_at() - self.fleet.now()
            await sleep(max(STALL_CHECK_SECONDS, pause))
            if not self._is_stalled():
                continue
            if await self.find_successor(self._is_stalled):
                scope.cancel()
                return
            await sleep(TAKE_OVER_RETRY_SECONDS)

    async def _exchange(self, connection: ClientConnection) -> AttemptResult:
        """Send the request and handle the response."""
        request = self.request
        head = self.header_format.endpoint_request_head(
            request,
            self.handle.endpoint.endpoint_id,
            request.remaining_seconds(self.fleet.now()),
            self.splitter.last_id,
        )
        is_reused = connection.requests > 0
        response = await connection.exchange(head, request.body)
        for _ in range(MAX_FOREIGN_RESPONSES if is_reused else 0):
            if not self._is_foreign(response):
                break
            # A late copy of an earlier response; the own one follows.
            response = await connection.skip_response(MAX_BUFFERED_RESPONSE_BYTES)
        if not self._is_own(response, is_reused):
            return self._unknown_outcome("an answer to another request")
        self.framing = response.framing
        metadata = self.header_format.parse_response(response)
        # Status 421 comes from another endpoint, which has taken over the address.
        if response.status != 421:
            self.fleet.notice_recorder.record(
                self.handle, request.request_id, metadata, self.sent_at
            )
            if metadata.load is not None:
                self.fleet.record_seen_load(self.handle, metadata.load)
        if metadata.not_run or response.status == 421:
            await self._discard_body(connection, response)
            return AttemptResult(
                Verdict.NOT_RUN,
                reason=f"refused {response.status}",
                status=response.status,
                endpoint_at_fault=metadata.retry_after is None,
            )
        if not 200 <= response.status < 300:
            return await self._handle_error_response(
                connection, response, metadata.signed
            )
        if not metadata.signed:
            return self._unknown_outcome("an unsigned answer")
        if request.route.kind is RequestKind.STREAM:
            return await self._forward_stream(connection, response)
        return await self._forward_buffered(connection, response)

    def _is_own(self, response: ResponseHead, is_reused: bool) -> bool:
        """Return whether a response answers this request.

        Without a request id it can only be trusted on a new connection.
        """
        if not self.header_format.parse_response(response).request_id:
            return not is_reused
        return not self._is_foreign(response)

    def _is_foreign(self, response: ResponseHead) -> bool:
        """Return whether a response names another request."""
        request_id = self.header_format.parse_response(response).request_id
        return request_id not in ("", self.request.request_id)

    def _may_ever_move(self) -> bool:
        """Return whether the route and its attempts allow another endpoint."""
        request = self.request
        return (
            request.route.retryable and request.attempt_count < request.route.attempts
        )

    def _may_move(self) -> bool:
        """Return whether another endpoint could take over if this one is silent.

        Otherwise the only response that the caller can get may still come from here.
        """
        request, fleet = self.request, self.fleet
        if not self._may_ever_move() or not self.splitter.resumable:
            return False
        service_id, now = request.service.service_id, fleet.now()
        if fleet.budget.remaining(service_id, now) < 1.0:
            return False
        if not fleet.quarantine.may_repeat(request.suspect_ids, now):
            return False
        return fleet.selection.has_usable(
            service_id, request.tried_endpoint_ids, request.version
        )

    def _response_timeout_seconds(self) -> float:
        """Return how long to wait for the head of the response.

        An endpoint sends nothing during prefill, so the timeout covers several times
        the prefill time that was expected at the grant.
        """
        request = self.request
        remaining = request.remaining_seconds(self.fleet.now())
        target = request.route.target_seconds
        timeout_seconds = max(
            MIN_RESPONSE_TIMEOUT_SECONDS
            + PREFILL_TIMEOUT_FACTOR * self.expected_prefill_seconds,
            request.target_at
            - self.fleet.now()
            + RESPONSE_TIMEOUT_TARGET_FRACTION * target,
        )
        return min(remaining, timeout_seconds)

    async def _discard_body(
        self, connection: ClientConnection, response: ResponseHead
    ) -> None:
        """Read a short response to its end, so that the connection can be reused."""
        await connection.read_all(MAX_BUFFERED_RESPONSE_BYTES)
        await self._release_connection(response)

    async def _release_connection(self, response: ResponseHead) -> None:
        """Return the connection to the pool after a complete response."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await self.fleet.pool.release(connection, keep_alive_seconds(response))

    async def _handle_error_response(
        self, connection: ClientConnection, response: ResponseHead, signed: bool
    ) -> AttemptResult:
        """Handle an error response: the endpoint may have run the request."""
        body = await connection.read_all(MAX_BUFFERED_RESPONSE_BYTES)
        await self._release_connection(response)
        buffered = None
        # These statuses would tell the caller that the request did not run, but the
        # endpoint did not mark the response so.
        if signed and response.status not in (408, 421, 429, 503):
            headers = self.header_format.response_headers(response, whole=True)
            buffered = BufferedResponse(response.status, headers, body)
        return AttemptResult(
            Verdict.MAY_HAVE_RUN,
            reason=f"failure {response.status}",
            status=response.status,
            response=buffered,
        )

    async def _forward_buffered(
        self, connection: ClientConnection, response: ResponseHead
    ) -> AttemptResult:
        """Forward a plain response once it is complete, or streamed if it is long."""
        chunks: list[bytes] = []
        size = 0
        while (chunk := await connection.read_chunk()) is not None:
            chunks.append(chunk)
            size += len(chunk)
            connection.keep(size)
            if len(chunks) > MAX_RESPONSE_PARTS:
                return self._unknown_outcome("a response has too many chunks")
            if size > MAX_BUFFERED_RESPONSE_BYTES:
                return await self._forward_unbuffered(connection, response, chunks)
        connection.keep(0)
        await self._release_connection(response)
        self._record_first_chunk(self.fleet.now())
        headers = self.header_format.response_headers(response, whole=True)
        self.is_sending = True
        await self.sink.respond(response.status, headers, b"".join(chunks))
        return AttemptResult(Verdict.RAN, answered=True, status=response.status)

    async def _forward_unbuffered(
        self, connection: ClientConnection, response: ResponseHead, chunks: list[bytes]
    ) -> AttemptResult:
        """Forward a response that is too long for the buffer, chunk by chunk."""
        self._record_first_chunk(self.fleet.now())
        headers = self.header_format.response_headers(response, whole=False)
        # Once it has begun, no other endpoint can continue it.
        self.is_sending = True
        await self.sink.start(response.status, headers)
        for buffered in chunks:
            await self.sink.send(buffered)
        chunks.clear()
        connection.keep(0)
        size = 0
        while (chunk := await connection.read_chunk()) is not None:
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                return self._unknown_outcome("a response is too long")
            await self.sink.send(chunk)
        await self.sink.finish()
        await self._release_connection(response)
        return AttemptResult(Verdict.RAN, answered=True, status=response.status)

    async def _forward_stream(
        self, connection: ClientConnection, response: ResponseHead
    ) -> AttemptResult:
        """Forward an event stream, in whole events if it is resumable."""
        if self._is_continued() and not continues_stream(response):
            return self._unknown_outcome("not the rest of a stream")
        while (data := await connection.read_chunk()) is not None:
            if self._is_given_up():
                # Events that come then would count as sent.
                await checkpoint_if_cancelled()
            events = self._accept_stream(data)
            if len(self.splitter.buffer) != connection.kept_bytes:
                connection.keep(len(self.splitter.buffer))
            if events:
                await self._send_events(response, events)
            if self.splitter.fault:
                return self._unknown_outcome(self.splitter.fault)
        if reason := self._find_unfinished(response):
            return evolve(self._unknown_outcome(reason), connection_ended=True)
        self.is_sending = True
        if not self.sink.started:
            await self.sink.start(response.status, self._stream_headers(response))
        await self.sink.finish()
        await self._release_connection(response)
        return AttemptResult(
            Verdict.RAN,
            answered=True,
            status=response.status,
            connection_ended=response.framing is Framing.CLOSE,
        )

    def _is_continued(self) -> bool:
        """Return whether the caller has a part of the stream already."""
        return self.request.route.resumable and self.splitter.is_continued

    def _find_unfinished(self, response: ResponseHead) -> str:
        """Return why the stream has not ended here; empty if it has."""
        if self.boundary.unfinished_bytes:
            return "the stream ended within an event"
        if self._is_continued() and not self.splitter.is_whole():
            return "the rest of the stream has no event"
        if response.framing is Framing.CLOSE and not self.boundary.received_bytes:
            return "the stream ended before its first event"
        return ""

    def _is_given_up(self) -> bool:
        """Return whether the attempt may be cancelled, though it has data to send.

        Once the response has begun, only the attempt itself is a reason.
        """
        if not self.sink.started:
            return True
        # A loop, since this is asked for each event.
        for scope in self.scopes:  # noqa: SIM110
            if scope.cancel_called:
                return True
        return False

    def _accept_stream(self, data: bytes) -> bytes:
        """Track received data; return what can be forwarded now.

        Raise UnusableResponseError if it can't be a part of the stream.
        """
        self.boundary.feed(data)
        reason = ""
        if self.boundary.unfinished_bytes > MAX_EVENT_BYTES:
            reason = "an event is too long"
        elif self.boundary.unfinished_chunks > MAX_EVENT_PARTS:
            reason = "an event has too many chunks"
        elif self.boundary.received_bytes > MAX_RESPONSE_BYTES:
            reason = "a response is too long"
        if reason:
            raise UnusableResponseError(self._unknown_outcome(reason))
        return self.splitter.feed(data) if self.request.route.resumable else data

    def _is_stalled(self) -> bool:
        """Return whether the response is overdue and another endpoint can take over.

        Time in which the caller does not read is not the endpoint's.
        """
        if self.is_sending or self.fleet.now() < self._stalled_at():
            return False
        return self._may_move()

    def _stalled_at(self) -> float:
        """Return when the response will be overdue.

        Only events with data count, however many other bytes come meanwhile.
        """
        if self.first_chunk_at is None:
            return self.first_due_at
        return max(self.progressed_at, self.first_chunk_at) + self._max_pause()

    def _max_pause(self) -> float:
        """Return the longest pause of a stream, in seconds.

        That is three times the route's target for pauses, but no less than the minimum.
        """
        return max(MIN_STREAM_TIMEOUT_SECONDS, 3 * self.request.route.gap_seconds)

    async def _send_events(self, response: ResponseHead, events: bytes) -> None:
        """Send events, preceded by the head if it was not sent yet."""
        request = self.request
        # From here on the events count as sent, so they must not be left out.
        self.is_sending = True
        if request.origin is None:
            await self._keep_origin()
        started_at = self.fleet.now()
        self._record_run(self._record_first_chunk(started_at), started_at)
        request.is_continued = True
        if not self.sink.started:
            await self.sink.start(response.status, self._stream_headers(response))
        if self.splitter.data_event_count > self.data_event_count:
            self.data_event_count = self.splitter.data_event_count
            self.progressed_at = started_at
        await self.sink.send(events)
        self.is_sending = False
        sending_seconds = self.fleet.now() - started_at
        self.progressed_at += sending_seconds
        self.sending_seconds += sending_seconds

    async def _keep_origin(self) -> None:
        """Bind the request to the version that begins its stream.

        Raise UnusableResponseError if no other router could know that version.
        """
        request = self.request
        service_id, version = request.service.service_id, self.handle.endpoint.version
        origin = StreamOrigin(service_id, version)
        if not await self.fleet.keep_origin(request, origin):
            self.is_sending = False
            raise UnusableResponseError(
                self._unknown_outcome(UNRECORDED, at_fault=False)
            )
        request.origin = origin
        self.fleet.record_stream(request, origin)

    def _stream_headers(self, response: ResponseHead) -> list[Header]:
        """Return a stream's headers; its length is dropped, as it may be resumed."""
        return self.header_format.response_headers(response, whole=True)

    def has_run(self) -> bool:
        """Return whether the endpoint has sent events for some time."""
        return self.run_seconds >= SOUND_RUN_SECONDS

    def _record_run(self, first_chunk_at: float, now: float) -> None:
        """Record now and then that the prompt is sound, while it runs.

        Time in which the caller does not read is not the endpoint's.
        """
        self.run_seconds = now - first_chunk_at - self.sending_seconds
        if self.has_run() and now - self.sound_recorded_at >= SOUND_RUN_SECONDS:
            self.sound_recorded_at = now
            self.fleet.parts.record_sound_run(self.request.suspect_ids)

    def _record_first_chunk(self, now: float) -> float:
        """Return the time of the first chunk; report it to admission at first."""
        if self.first_chunk_at is None:
            self.first_chunk_at = now
            self.handle.admission.report_start(self.bid_id)
        return self.first_chunk_at
