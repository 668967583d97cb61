"""One connection of an HTTP/1.1 server: its requests and their responses."""

from collections.abc import Awaitable, Callable

from absl import logging
from anyio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    Event,
    current_time,
    fail_after,
    move_on_after,
)
from attrs import define, field

from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.const import (
    FIELD_BYTES,
    FIRST_REQUEST_SECONDS,
    LINGER_SECONDS,
    MAX_PIPELINED_REQUESTS,
    MAX_UNPROCESSED_BYTES,
    PROGRESS_BYTES,
    REFUSED_RETRY_SECONDS,
    UNREAD_SECONDS,
)
from pistachiolever.http1.errors import BadRequestError, MalformedMessageError
from pistachiolever.http1.exchange import Exchange as Exchange, checked_head
from pistachiolever.http1.models import (
    HttpLimits,
    RequestHead,
)
from pistachiolever.http1.protocol import ServerProtocol
from pistachiolever.http1.reader import MessageReader
from pistachiolever.http1.sockets import (
    has_input,
    has_left,
)
from pistachiolever.http1.stream import SocketStream

Handler = Callable[["Exchange"], Awaitable[None]]


@define(eq=False)
class ServerConnection:
    """A client's connection.

    The socket is read all the time, so that a disconnect is noticed while the request
    waits. `arrived_at` is when the first bytes of the request have arrived, by the
    estimate of `arrival`.
    """

    stream: SocketStream
    handler: Handler
    limits: Callable[[], HttpLimits]
    draining: Callable[[], bool]
    closing: Callable[[], bool]
    report_unread: Callable[[], None]
    budget: ByteBudget = field(factory=ByteBudget)
    arrival: Callable[[], float] = current_time
    protocol: ServerProtocol = field(init=False)
    disconnected: bool = False
    busy: bool = False
    request_bytes: int = 0
    served_count: int = 0
    arrived_at: float | None = None
    opened_at: float = field(factory=current_time)
    held_bytes: int = 0
    progressed_at: float = field(factory=current_time)
    body_bytes: int = 0
    accepted: bool = False
    closes_after: bool = False
    _head: RequestHead | None = None
    _head_bytes: int = 0
    _unread_bytes: int = 0
    _progress_bytes: int = 0
    _pipelined_count: int = 0
    _refusal: BadRequestError | None = None
    _lingers_after_refusal: bool = True
    _unprocessed_bytes: int = 0
    _is_lingering: bool = False
    _input_arrived: Event = field(factory=Event)
    _request_scope: CancelScope | None = None
    _exchange: "Exchange | None" = None
    _idle_scope: CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        """Create the protocol state machine."""
        self.protocol = ServerProtocol(MessageReader(self.limits().max_head_bytes))

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        self.stream.deliver_to(self._take_input, self._disconnect)
        self.stream.on_unread = self._hold_unread
        try:
            await self._serve()
        finally:
            self.stream.on_unread = None
            self.stream.close()
            self.budget.hold(self, 0, current_time())

    def close_if_idle(self) -> bool:
        """Close the connection unless it is in use; return whether it is closed now."""
        scope = self._idle_scope
        if self.busy or scope is None or scope.cancel_called:
            return False
        scope.cancel()
        return True

    def abandon_request(self) -> None:
        """Answer the request with 502 unless its response has begun."""
        exchange, scope = self._exchange, self._request_scope
        if exchange is not None and scope is not None and not exchange.started:
            scope.cancel()

    def is_settled(self) -> bool:
        """Return whether the first request was served, or had time to arrive."""
        age = current_time() - self.opened_at
        return self.served_count > 0 or age > FIRST_REQUEST_SECONDS

    # Input.

    def feed(self, data: bytes) -> None:
        """Add input that was read before the connection was set up."""
        if data:
            self._take_input(data)

    def _take_input(self, data: bytes) -> None:
        """Keep received data; pause reading while too much is unprocessed."""
        if self._is_lingering or self.closes_after or self._refusal is not None:
            return
        if self.arrived_at is None:
            self.arrived_at = self.arrival()
        self.protocol.reader.feed(data)
        self._unprocessed_bytes += len(data)
        self.request_bytes += len(data)
        self._input_arrived.set()
        self._note_progress(len(data))
        self.hold()
        if self._unprocessed_bytes > MAX_UNPROCESSED_BYTES:
            self.stream.pause_reading()

    def _disconnect(self) -> None:
        """Mark the client as disconnected and cancel its request."""
        self.disconnected = True
        self._input_arrived.set()
        if self._request_scope is not None:
            self._request_scope.cancel()

    def resume_input(self) -> None:
        """Read on, unless too much is still unprocessed."""
        self._unprocessed_bytes = len(self.protocol.reader.buffer)
        if self._unprocessed_bytes <= MAX_UNPROCESSED_BYTES:
            self.stream.resume_reading()

    async def wait_for_input(self) -> bool:
        """Wait for more input; return false after a disconnect."""
        self._unprocessed_bytes = 0
        self.stream.resume_reading()
        if not self.disconnected and self._refusal is None:
            self._input_arrived = Event()
            await self._input_arrived.wait()
        if self._refusal is not None:
            # A new error: a kept one would keep the frames of the request, too.
            raise BadRequestError(self._refusal.status, self._refusal.detail)
        return not self.disconnected

    # Bytes held for the client.

    def hold(self) -> None:
        """Count what is held for this connection."""
        buffered = len(self.protocol.reader.buffer) + self._unread_bytes
        held = buffered + self.body_bytes + self._head_bytes
        self.budget.hold(self, held, current_time())

    def _hold_unread(self, unread_bytes: int) -> None:
        """Count the bytes of the response that the system does not take."""
        self._unread_bytes = unread_bytes
        self.progressed_at = current_time()
        self.hold()

    def _note_progress(self, size: int) -> None:
        """Count received bytes; a few of them are no progress."""
        self._progress_bytes += size
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progressed_at = current_time()

    def stalled_seconds(self) -> float:
        """Return how long there has been no progress."""
        return current_time() - self.progressed_at

    def is_unread(self) -> bool:
        """Return whether the client does not read its response as it comes."""
        return self._unread_bytes > 0

    def is_pipelining(self) -> bool:
        """Return whether more requests wait behind one that was pipelined, too."""
        return self._pipelined_count > 0 and bool(self.protocol.reader.buffer)

    def can_give_up(self) -> bool:
        """Return whether something can be given up but an accepted request.

        A response that its client does not read can be.
        """
        if self._refusal is not None:
            return False
        if self._unread_bytes:
            return self.stalled_seconds() > UNREAD_SECONDS
        return not self.accepted or bool(self.protocol.reader.buffer)

    def give_up(self, reason: str) -> None:
        """Refuse the request, drop those after it, or close the connection."""
        self.budget.report_cut(reason)
        self.protocol.reader.buffer.clear()
        if self._unread_bytes:
            self._unread_bytes = 0
            self.stream.close()
            self._disconnect()
        elif not self.accepted:
            # It holds nothing from now on: its task drops the body when it runs next.
            self._refusal = BadRequestError(503, f"the server lacks {reason}")
            # Lingering would occupy the connection that is needed for another client.
            self._lingers_after_refusal = reason != "connections"
            self.body_bytes = self._head_bytes = 0
            if self._head is not None:
                self._head.headers.clear()
            self._input_arrived.set()
        else:
            self.closes_after = True
        self.hold()

    # Requests.

    async def _serve(self) -> None:
        """Serve requests one after the other."""
        while True:
            try:
                head = await self._next_head()
                if head is None:
                    return
            except BadRequestError as error:
                await self._reject(error)
                return
            except MalformedMessageError as error:
                await self._reject(BadRequestError(error.status, error.detail))
                return
            if has_left(self.stream):
                # It waited here for longer than its client would.
                self.report_unread()
                return
            self._begin_request(head)
            if self._refusal is not None:
                await self._reject(self._refusal)
                return
            if not await self._serve_request(Exchange(self, head)) or self.closing():
                return

    def _begin_request(self, head: RequestHead) -> None:
        """Count a request, which is accepted once its whole body has arrived."""
        self._head_bytes = FIELD_BYTES * len(head.headers) + self.request_bytes
        self._head = head
        self.progressed_at = current_time()
        if self._pipelined_count >= MAX_PIPELINED_REQUESTS:
            self.budget.report_cut("pipelined")
            self.closes_after = True
        self.hold()

    def _end_request(self) -> None:
        """Release what was held for a request."""
        self.busy = self.accepted = False
        self.served_count += 1
        self.request_bytes = self.body_bytes = self._head_bytes = 0
        self.arrived_at = self.arrival() if self.protocol.reader.buffer else None
        self.progressed_at = current_time()
        self.hold()

    async def _serve_request(self, exchange: "Exchange") -> bool:
        """Serve one request; return whether the connection can take another one."""
        self.busy, self._exchange = True, exchange
        with CancelScope() as scope:
            self._request_scope = scope
            await self._handle(exchange)
        self._request_scope = self._exchange = None
        self._end_request()
        if self.disconnected:
            return False
        if scope.cancel_called:
            await self._reject(BadRequestError(502, "the server stops"))
            return False
        if self.protocol.start_next_cycle() and not self.closes_after:
            return True
        is_whole = self.protocol.reader.is_complete and not self.closes_after
        if exchange.finished and not is_whole:
            await self._linger()
        return False

    async def _handle(self, exchange: "Exchange") -> None:
        """Run the handler; reject the request if the handler finds it invalid.

        An unexpected error is answered with 502, which does not say what was done.
        """
        try:
            await self.handler(exchange)
        except BadRequestError as error:
            if not exchange.started:
                await self._reject(error)
        except (BrokenResourceError, ClosedResourceError):
            # The client disconnected while the response was written.
            self._disconnect()
        except Exception:  # noqa: BLE001
            if exchange.started:
                raise
            logging.exception("unexpected error of a handler")
            await self._reject(BadRequestError(502, "unexpected error"))

    async def _next_head(self) -> RequestHead | None:
        """Return the head of the next request, or None to close the connection."""
        limits = self.limits()
        is_pipelined = self.served_count > 0 and self._has_input()
        self._pipelined_count = self._pipelined_count + 1 if is_pipelined else 0
        if not self._has_input():
            with move_on_after(limits.idle_seconds) as idle:
                self._idle_scope = idle
                await self.wait_for_input()
            self._idle_scope = None
            self.progressed_at = current_time()
            if not self._has_input() and not has_input(self.stream):
                return None
        head = self.protocol.read_head()
        if head is None:
            try:
                with fail_after(limits.head_seconds):
                    head = await self._read_head()
            except TimeoutError as error:
                raise BadRequestError(408, "the head came too slowly") from error
        return None if head is None else checked_head(head, limits)

    async def _read_head(self) -> RequestHead | None:
        """Return the head of a request, None after a disconnect."""
        while await self.wait_for_input():
            if (head := self.protocol.read_head()) is not None:
                return head
        return None

    def _has_input(self) -> bool:
        """Return whether there is unprocessed input or the client has disconnected."""
        return bool(self.protocol.reader.buffer) or self.disconnected

    async def _reject(self, error: BadRequestError) -> None:
        """Respond with an error and close the connection."""
        if self.protocol.response_started:
            return
        body = error.detail.encode("ascii", "replace")[:200]
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        if error.status == 503:
            headers.append((b"retry-after", b"%d" % REFUSED_RETRY_SECONDS))
        data = self.protocol.encode_head(error.status, headers)
        data += self.protocol.encode_body(body)
        try:
            await self.stream.send(data)
        except (BrokenResourceError, ClosedResourceError):
            return
        if self._refusal is None or self._lingers_after_refusal:
            await self._linger()

    async def _linger(self) -> None:
        """Read on for a while after a response, so that its client receives it.

        Closing with unread input would reset the connection. What comes is dropped.
        """
        try:
            await self.stream.send_eof()
        except (BrokenResourceError, ClosedResourceError):
            return
        self._is_lingering = True
        if self._head is not None:
            # Many short fields take far more memory than their bytes.
            self._head.headers.clear()
        self.stream.resume_reading()
        with move_on_after(LINGER_SECONDS):
            while not self.disconnected:
                self._input_arrived = Event()
                await self._input_arrived.wait()
