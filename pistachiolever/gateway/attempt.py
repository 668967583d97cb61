"""One send of a request to an endpoint, up to its verdict."""

from typing import Protocol

from anyio import move_on_after
from attrs import define, field, frozen

from pistachiolever.core.verdict import Verdict
from pistachiolever.gateway.const import (
    GAP_SILENCE_SECONDS,
    LEAST_SILENCE_SECONDS,
    READING_SPREAD,
    SILENCE_SHARE,
    WHOLE_ANSWER_BYTES,
)
from pistachiolever.gateway.dialect import Dialect, keep_seconds
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import EndpointHandle, FleetView
from pistachiolever.gateway.models import PassRequest
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import Header, ResponseHead
from pistachiolever.routing.models import RequestKind


class AnswerSink(Protocol):
    """Where an answer goes: the caller's connection."""

    started: bool

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the answer."""

    async def send(self, data: bytes) -> None:
        """Send some of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer."""


@frozen
class WholeAnswer:
    """A failure that an endpoint answered, kept in case nothing better comes."""

    status: int
    headers: list[Header]
    body: bytes


@frozen
class AttemptEnd:
    """How a send ended: answered, or what is known of the run.

    `sent` is false when nothing reached the endpoint.
    """

    verdict: Verdict
    answered: bool = False
    sent: bool = True
    reason: str = ""
    status: int = 0
    answer: WholeAnswer | None = None
    endpoint_at_fault: bool = True


class AnswerFaultError(Exception):
    """An answer can't be passed on; carries how the send ended."""

    def __init__(self, end: AttemptEnd) -> None:
        """Keep the end of the send."""
        super().__init__(end.reason)
        self.end = end


@define(eq=False)
class Attempt:
    """Sends a request to one endpoint and passes its answer on."""

    fleet: FleetView
    dialect: Dialect
    request: PassRequest
    handle: EndpointHandle
    sink: AnswerSink
    splitter: EventSplitter
    reading_seconds: float = 0.0
    connection: ClientConnection | None = None
    first_at: float | None = None
    output_events: int = 0
    _silent: bool = field(default=False)

    async def run(self) -> AttemptEnd:
        """Send and pass on; never raises but for cancellation and the caller's end."""
        address = self.handle.endpoint.address
        left = self.request.left(self.fleet.now())
        try:
            self.connection = await self.fleet.pool.acquire(address, min(1.0, left))
        except PeerClosedError as error:
            self.fleet.note_unreached(self.handle, error.detail)
            return AttemptEnd(Verdict.NOT_RUN, sent=False, reason="unreached")
        try:
            with move_on_after(self.request.left(self.fleet.now())) as limit:
                end = await self._exchange(self.connection)
            if limit.cancelled_caught:
                return self._failed("deadline", at_fault=self.first_at is None)
            return end
        except AnswerFaultError as error:
            return error.end
        except PeerClosedError as error:
            if not error.sent:
                return AttemptEnd(Verdict.NOT_RUN, sent=False, reason=error.detail)
            return self._failed(error.detail)
        finally:
            if self.connection is not None:
                await self.connection.close()

    def _failed(self, reason: str, at_fault: bool = True) -> AttemptEnd:
        """Return the end of a send of which nothing is known."""
        return AttemptEnd(
            Verdict.MAY_HAVE_RUN, reason=reason, endpoint_at_fault=at_fault
        )

    async def _exchange(self, connection: ClientConnection) -> AttemptEnd:
        """Send the request and handle whatever answer comes."""
        request = self.request
        head = self.dialect.engine_head(
            request,
            self.handle.endpoint.endpoint_id,
            request.left(self.fleet.now()),
            self.splitter.last_id,
        )
        with move_on_after(self._silence_seconds()) as silence:
            answer = await connection.exchange(head, request.body)
        if silence.cancelled_caught:
            return self._failed("silent")
        facts = self.dialect.answer_facts(answer)
        if facts.request_id and facts.request_id != request.request_id:
            return self._failed("an answer to another request")
        if facts.not_run or answer.status == 421:
            await self._drain(connection, answer)
            return AttemptEnd(
                Verdict.NOT_RUN, reason=f"refused {answer.status}", status=answer.status
            )
        if not 200 <= answer.status < 300:
            return await self._failure(connection, answer, facts.signed)
        if not facts.signed:
            return self._failed("an unsigned answer")
        if request.route.kind is RequestKind.STREAM:
            return await self._pass_stream(connection, answer)
        return await self._pass_whole(connection, answer)

    def _silence_seconds(self) -> float:
        """Return how long an endpoint may stay silent before its answer.

        It is silent while it reads prompts: `reading_seconds` is how long that was
        expected to take when room was granted.
        """
        request = self.request
        left = request.left(self.fleet.now())
        if not request.route.retryable or request.sends >= request.route.attempts:
            return left
        target = request.route.target_seconds
        patience = max(
            LEAST_SILENCE_SECONDS + READING_SPREAD * self.reading_seconds,
            request.target_at - self.fleet.now() + SILENCE_SHARE * target,
        )
        return min(left, patience)

    async def _drain(self, connection: ClientConnection, answer: ResponseHead) -> None:
        """Read a short answer to its end, so that the connection can be kept."""
        await connection.read_all(WHOLE_ANSWER_BYTES)
        await self._keep(answer)

    async def _keep(self, answer: ResponseHead) -> None:
        """Give the connection back after a whole answer."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await self.fleet.pool.release(connection, keep_seconds(answer))

    async def _failure(
        self, connection: ClientConnection, answer: ResponseHead, signed: bool
    ) -> AttemptEnd:
        """Keep an endpoint's failure: it ran the request and could not do it."""
        body = await connection.read_all(WHOLE_ANSWER_BYTES)
        await self._keep(answer)
        kept = None
        # These statuses promise that the request did not run, which was not said.
        if signed and answer.status not in (408, 421, 429, 503):
            headers = self.dialect.caller_headers(answer, whole=True)
            kept = WholeAnswer(answer.status, headers, body)
        return AttemptEnd(
            Verdict.MAY_HAVE_RUN,
            reason=f"failure {answer.status}",
            status=answer.status,
            answer=kept,
        )

    async def _pass_whole(
        self, connection: ClientConnection, answer: ResponseHead
    ) -> AttemptEnd:
        """Pass on a plain answer once all of it is here, or as it comes if long."""
        parts: list[bytes] = []
        size = 0
        while (part := await connection.read_chunk()) is not None:
            parts.append(part)
            size += len(part)
            if size > WHOLE_ANSWER_BYTES:
                return await self._pass_long(connection, answer, parts)
        await self._keep(answer)
        self._note_first()
        headers = self.dialect.caller_headers(answer, whole=True)
        await self.sink.respond(answer.status, headers, b"".join(parts))
        return AttemptEnd(Verdict.RAN, answered=True, status=answer.status)

    async def _pass_long(
        self, connection: ClientConnection, answer: ResponseHead, parts: list[bytes]
    ) -> AttemptEnd:
        """Pass on an answer too long to be held."""
        self._note_first()
        headers = self.dialect.caller_headers(answer, whole=False)
        await self.sink.start(answer.status, headers)
        for held in parts:
            await self.sink.send(held)
        while (part := await connection.read_chunk()) is not None:
            await self.sink.send(part)
        await self.sink.finish()
        await self._keep(answer)
        return AttemptEnd(Verdict.RAN, answered=True, status=answer.status)

    async def _pass_stream(
        self, connection: ClientConnection, answer: ResponseHead
    ) -> AttemptEnd:
        """Pass on whole events as they come."""
        resumable = self.request.route.resumable
        while True:
            data: bytes | None = None
            with move_on_after(self._gap_seconds()) as gap:
                data = await connection.read_chunk()
            if gap.cancelled_caught:
                return self._failed("silent within a stream")
            if data is None:
                break
            whole = self.splitter.feed(data) if resumable else data
            if self.splitter.gap_found:
                return self._failed("an event is missing")
            if whole:
                await self._send_events(answer, whole)
        if resumable and self.splitter.rest:
            return self._failed("the stream ended within an event")
        if not self.sink.started:
            await self.sink.start(answer.status, self._stream_headers(answer))
        await self.sink.finish()
        await self._keep(answer)
        return AttemptEnd(Verdict.RAN, answered=True, status=answer.status)

    def _gap_seconds(self) -> float:
        """Return how long a stream may pause before it is resumed elsewhere."""
        request = self.request
        left = request.left(self.fleet.now())
        if self.first_at is None:
            return self._silence_seconds()
        if not request.route.resumable or request.sends >= request.route.attempts:
            return left
        return min(left, max(GAP_SILENCE_SECONDS, 3 * request.route.gap_seconds))

    async def _send_events(self, answer: ResponseHead, events: bytes) -> None:
        """Send events, with the head before the first ones."""
        self._note_first()
        self.output_events += events.count(b"\n\n")
        if not self.sink.started:
            await self.sink.start(answer.status, self._stream_headers(answer))
        await self.sink.send(events)

    def _stream_headers(self, answer: ResponseHead) -> list[Header]:
        """Return the headers of a stream; its length may change as it is resumed."""
        return self.dialect.caller_headers(answer, whole=True)

    def _note_first(self) -> None:
        """Tell the gate when the first part comes."""
        if self.first_at is None:
            self.first_at = self.fleet.now()
            self.handle.gate.started(self.request.bid_id)
