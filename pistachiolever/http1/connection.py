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

from pistachiolever.http1.const import (
    BODY_SECONDS,
    FIRST_REQUEST_SECONDS,
    LINGER_SECONDS,
    MAX_FRAMING_BYTES,
    MAX_UNPROCESSED_BYTES,
)
from pistachiolever.http1.errors import BadRequestError, MalformedMessageError
from pistachiolever.http1.models import (
    Framing,
    Header,
    HttpLimits,
    RequestHead,
    framing_of,
)
from pistachiolever.http1.protocol import ServerProtocol
from pistachiolever.http1.reader import MessageReader
from pistachiolever.http1.sockets import (
    has_input,
    has_left,
    set_reset_on_close,
)
from pistachiolever.http1.stream import SocketStream

Handler = Callable[["Exchange"], Awaitable[None]]


@define(eq=False)
class ServerConnection:
    """A client's connection.

    The socket is read all the time, so that a disconnect is noticed while the request
    waits.
    """

    stream: SocketStream
    handler: Handler
    limits: Callable[[], HttpLimits]
    draining: Callable[[], bool]
    closing: Callable[[], bool]
    report_unread: Callable[[], None]
    protocol: ServerProtocol = field(init=False)
    disconnected: bool = False
    busy: bool = False
    request_bytes: int = 0
    served_count: int = 0
    opened_at: float = field(factory=current_time)
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
        try:
            await self._serve()
        finally:
            self.stream.close()

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
        if self._is_lingering:
            return
        self.protocol.reader.feed(data)
        self._unprocessed_bytes += len(data)
        self.request_bytes += len(data)
        self._input_arrived.set()
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
        if not self.disconnected:
            self._input_arrived = Event()
            await self._input_arrived.wait()
        return not self.disconnected

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
            if not await self._serve_request(Exchange(self, head)) or self.closing():
                return

    async def _serve_request(self, exchange: "Exchange") -> bool:
        """Serve one request; return whether the connection can take another one."""
        self.busy, self._exchange = True, exchange
        with CancelScope() as scope:
            self._request_scope = scope
            await self._handle(exchange)
        self._request_scope = self._exchange = None
        self.busy = False
        self.served_count += 1
        self.request_bytes = 0
        if self.disconnected:
            return False
        if scope.cancel_called:
            await self._reject(BadRequestError(502, "the server stops"))
            return False
        if self.protocol.start_next_cycle():
            return True
        if exchange.finished and not self.protocol.reader.is_complete:
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
        if not self._has_input():
            with move_on_after(limits.idle_seconds) as idle:
                self._idle_scope = idle
                await self.wait_for_input()
            self._idle_scope = None
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
        data = self.protocol.encode_head(error.status, headers)
        data += self.protocol.encode_body(body)
        try:
            await self.stream.send(data)
        except (BrokenResourceError, ClosedResourceError):
            return
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
        self.stream.resume_reading()
        with move_on_after(LINGER_SECONDS):
            while not self.disconnected:
                self._input_arrived = Event()
                await self._input_arrived.wait()


def checked_head(head: RequestHead, limits: HttpLimits) -> RequestHead:
    """Return the head of a request; raise BadRequestError if it is unsafe."""
    # A line has at least a colon and a line feed, too.
    size = len(head.target) + sum(
        len(name) + len(value) + 2 for name, value in head.headers
    )
    if size > limits.max_head_bytes:
        # The reader limits only heads that arrive in several reads.
        raise BadRequestError(431, f"a head of over {limits.max_head_bytes} bytes")
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(400, "both a length and a transfer coding")
    length = head.value(b"content-length")
    if length is not None and int(length) > limits.max_body_bytes:
        raise BadRequestError(413, f"a body of over {limits.max_body_bytes} bytes")
    return head


@define(eq=False)
class Exchange:
    """A request and its response."""

    connection: ServerConnection
    head: RequestHead
    started: bool = False
    finished: bool = False
    ends_with_connection: bool = False

    async def read_body(self) -> bytes:
        """Return the whole body; raise BadRequestError if it is too large."""
        parts: list[bytes] = []
        try:
            if self._take_body(parts, 0) is None:
                return b"".join(parts)
            with fail_after(BODY_SECONDS):
                return await self._read_body(parts)
        except TimeoutError as error:
            raise BadRequestError(408, "the body came too slowly") from error
        except MalformedMessageError as error:
            raise BadRequestError(error.status, error.detail) from error

    async def _read_body(self, parts: list[bytes]) -> bytes:
        """Return the whole body with the parts before, however long it takes."""
        connection = self.connection
        if connection.protocol.awaits_continue:
            await connection.stream.send(connection.protocol.encode_continue())
        size = sum(map(len, parts))
        while (total := self._take_body(parts, size)) is not None:
            size = total
            if not await connection.wait_for_input():
                raise BadRequestError(400, "the body is not whole")
        return b"".join(parts)

    def _take_body(self, parts: list[bytes], size: int) -> int | None:
        """Add what is there of the body; return its size, None at the end.

        Raise BadRequestError if it is too large.
        """
        connection = self.connection
        max_bytes = connection.limits().max_body_bytes
        while data := connection.protocol.read_body():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise BadRequestError(413, f"a body of over {max_bytes} bytes")
            if connection.request_bytes > max_bytes + MAX_FRAMING_BYTES:
                raise BadRequestError(413, "too many bytes beside the body")
        if not connection.protocol.reader.is_complete:
            return size
        connection.resume_input()
        return None

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""
        if self._needs_close(status, headers):
            # Without a reset, a response that is broken off would look complete.
            self.ends_with_connection = True
            set_reset_on_close(self.connection.stream, True)
        await self._write(self._head_bytes(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait while the client does not read."""
        data = self.connection.protocol.encode_body(data)
        if data:
            await self.connection.stream.send(data)

    async def finish(self) -> None:
        """Complete the response."""
        self.finished = True
        await self._write(self.connection.protocol.encode_end())
        if self.ends_with_connection:
            set_reset_on_close(self.connection.stream, False)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole response in one write."""
        protocol = self.connection.protocol
        length = (b"content-length", b"%d" % len(body))
        parts = [self._head_bytes(status, [*headers, length])]
        if body:
            parts.append(protocol.encode_body(body))
        parts.append(protocol.encode_end())
        self.finished = True
        await self._write(b"".join(parts))

    def _needs_close(self, status: int, headers: list[Header]) -> bool:
        """Return whether only the end of the connection will end the response."""
        if self.connection.protocol.version >= b"1.1":
            return False
        return framing_of(self.head.method, status, headers) is Framing.CLOSE

    def _head_bytes(self, status: int, headers: list[Header]) -> bytes:
        """Return the serialized head, with `connection: close` if it will be closed."""
        self.started = True
        protocol = self.connection.protocol
        if self.connection.draining() or not protocol.reader.is_complete:
            headers = [*headers, (b"connection", b"close")]
        return protocol.encode_head(status, headers)

    async def _write(self, data: bytes) -> None:
        """Write to the socket."""
        if data:
            await self.connection.stream.send(data)
