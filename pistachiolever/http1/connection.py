"""One connection of an HTTP/1.1 server: its requests and their responses."""

from collections.abc import Awaitable, Callable

from absl import logging
from anyio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfStream,
    Event,
    create_task_group,
    current_time,
    fail_after,
    move_on_after,
    sleep,
)
from anyio.abc import (
    SocketStream,
)
from attrs import define, field
from h11 import (
    DONE,
    ERROR,
    IDLE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SEND_BODY,
    SEND_RESPONSE,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
    Request,
    Response,
)

from pistachiolever.http1.const import (
    BODY_SECONDS,
    FIRST_REQUEST_SECONDS,
    LINGER_SECONDS,
    MAX_FRAMING_BYTES,
    MAX_UNPROCESSED_BYTES,
    READ_BYTES,
)
from pistachiolever.http1.errors import BadRequestError
from pistachiolever.http1.models import (
    Framing,
    Header,
    HttpLimits,
    RequestHead,
    framing_of,
)
from pistachiolever.http1.sockets import (
    has_input,
    has_left,
    set_reset_on_close,
)

Handler = Callable[["Exchange"], Awaitable[None]]


@define(eq=False)
class ServerConnection:
    """A client's connection.

    A separate task reads the socket all the time, so that a disconnect is noticed while
    the request waits.
    """

    stream: SocketStream
    handler: Handler
    limits: Callable[[], HttpLimits]
    draining: Callable[[], bool]
    closing: Callable[[], bool]
    report_unread: Callable[[], None]
    protocol: Connection = field(init=False)
    disconnected: bool = False
    busy: bool = False
    request_bytes: int = 0
    served_count: int = 0
    opened_at: float = field(factory=current_time)
    _unprocessed_bytes: int = 0
    _is_lingering: bool = False
    _input_arrived: Event = field(factory=Event)
    _reading_resumed: Event = field(factory=Event)
    _request_scope: CancelScope | None = None
    _exchange: "Exchange | None" = None
    _idle_scope: CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        """Create the protocol state machine."""
        self.protocol = Connection(
            SERVER, max_incomplete_event_size=self.limits().max_head_bytes
        )

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        async with create_task_group() as group:
            group.start_soon(self._read_socket)
            try:
                await self._serve()
            finally:
                group.cancel_scope.cancel()
                with CancelScope(shield=True):
                    await self.stream.aclose()

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

    async def _read_socket(self) -> None:
        """Feed received data to the protocol; pause while too much is unprocessed."""
        while True:
            try:
                data = await self.stream.receive(READ_BYTES)
            except (EndOfStream, BrokenResourceError, ClosedResourceError):
                self._handle_disconnect()
                return
            if self._is_lingering:
                continue
            try:
                self.protocol.receive_data(data)
            except RuntimeError:
                self._handle_disconnect()
                return
            self._unprocessed_bytes += len(data)
            self.request_bytes += len(data)
            self._input_arrived.set()
            if self._unprocessed_bytes > MAX_UNPROCESSED_BYTES:
                self._reading_resumed = Event()
                await self._reading_resumed.wait()

    def _handle_disconnect(self) -> None:
        """Mark the client as disconnected and cancel its request."""
        self.disconnected = True
        self._input_arrived.set()
        if self._request_scope is not None:
            self._request_scope.cancel()

    async def next_event(self) -> object:
        """Return the next protocol event, or ConnectionClosed after a disconnect."""
        while True:
            event = self.protocol.next_event()
            if event is not NEED_DATA and event is not PAUSED:
                return event
            self._unprocessed_bytes = 0
            self._reading_resumed.set()
            if self.disconnected:
                return ConnectionClosed()
            self._input_arrived = Event()
            await self._input_arrived.wait()

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
            except RemoteProtocolError as error:
                status = error.error_status_hint
                await self._reject(BadRequestError(status, str(error)))
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
        if self._start_next_cycle():
            return True
        if exchange.finished and self.protocol.their_state is SEND_BODY:
            await self._linger()
        return False

    async def _handle(self, exchange: "Exchange") -> None:
        """Run the handler; reject the request if the handler finds it invalid.

        An unexpected error is answered with 502, which does not say what was done.
        """
        try:
            await self.handler(exchange)
        except (BadRequestError, RemoteProtocolError) as error:
            if isinstance(error, RemoteProtocolError):
                error = BadRequestError(error.error_status_hint, str(error))
            if not exchange.started:
                await self._reject(error)
        except (BrokenResourceError, ClosedResourceError):
            # The client disconnected while the response was written.
            self._handle_disconnect()
        except Exception:  # noqa: BLE001
            if exchange.started:
                raise
            logging.exception("unexpected error of a handler")
            await self._reject(BadRequestError(502, "unexpected error"))

    def _start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection allows one."""
        states = (self.protocol.our_state, self.protocol.their_state)
        if states != (DONE, DONE):
            return False
        self.protocol.start_next_cycle()
        return True

    async def _next_head(self) -> RequestHead | None:
        """Return the head of the next request, or None to close the connection."""
        limits = self.limits()
        with CancelScope() as idle:
            self._idle_scope = idle
            if not self._has_input():
                with move_on_after(limits.idle_seconds):
                    await self._wait_for_input()
        self._idle_scope = None
        if not await self._has_arrived_input():
            return None
        try:
            with fail_after(limits.head_seconds):
                event = await self.next_event()
        except TimeoutError as error:
            raise BadRequestError(408, "the head came too slowly") from error
        if not isinstance(event, Request):
            return None
        return checked_head(event, limits)

    def _has_input(self) -> bool:
        """Return whether there is unprocessed input or the client has disconnected."""
        return bool(self.protocol.trailing_data[0]) or self.disconnected

    async def _has_arrived_input(self) -> bool:
        """Return whether there is input, also if it has not been read yet."""
        if self._has_input() or has_input(self.stream):
            return True
        # The task that reads the socket may have some without having run since.
        await sleep(0)
        return self._has_input()

    async def _wait_for_input(self) -> None:
        """Wait for the first byte of a request."""
        while not self._has_input():
            self._unprocessed_bytes = 0
            self._reading_resumed.set()
            self._input_arrived = Event()
            await self._input_arrived.wait()

    async def _reject(self, error: BadRequestError) -> None:
        """Respond with an error and close the connection."""
        if self.protocol.our_state not in (IDLE, SEND_RESPONSE):
            return
        body = error.detail.encode("ascii", "replace")[:200]
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        status = error.status
        if self.protocol.their_state is ERROR and status < 400:
            status = 400
        data = self.protocol.send(Response(status_code=status, headers=headers)) or b""
        data += self.protocol.send(Data(data=body)) or b""
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
        self._reading_resumed.set()
        with move_on_after(LINGER_SECONDS):
            while not self.disconnected:
                self._input_arrived = Event()
                await self._input_arrived.wait()


def checked_head(event: Request, limits: HttpLimits) -> RequestHead:
    """Return the head of a request; raise BadRequestError if it is unsafe."""
    headers: list[Header] = list(event.headers)
    size = len(event.target) + sum(len(name) + len(value) for name, value in headers)
    if size > limits.max_head_bytes:
        # h11 limits only heads that arrive in several reads.
        raise BadRequestError(431, f"a head of over {limits.max_head_bytes} bytes")
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(400, "both a length and a transfer coding")
    head = RequestHead(event.method, event.target, headers)
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
        try:
            with fail_after(BODY_SECONDS):
                return await self._read_body()
        except TimeoutError as error:
            raise BadRequestError(408, "the body came too slowly") from error

    async def _read_body(self) -> bytes:
        """Return the whole body, however long it takes."""
        connection = self.connection
        max_bytes = connection.limits().max_body_bytes
        if connection.protocol.they_are_waiting_for_100_continue:
            head = InformationalResponse(status_code=100, headers=[])
            await connection.stream.send(connection.protocol.send(head) or b"")
        parts: list[bytes] = []
        size = 0
        while True:
            event = await connection.next_event()
            if isinstance(event, EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, Data):
                raise BadRequestError(400, "the body is not whole")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > max_bytes:
                raise BadRequestError(413, f"a body of over {max_bytes} bytes")
            if connection.request_bytes > max_bytes + MAX_FRAMING_BYTES:
                raise BadRequestError(413, "too many bytes beside the body")

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""
        if self._needs_close(status, headers):
            # Without a reset, a response that is broken off would look complete.
            self.ends_with_connection = True
            set_reset_on_close(self.connection.stream, True)
        await self._write(self._head_bytes(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait while the client does not read."""
        await self._write(self.connection.protocol.send(Data(data=data)) or b"")

    async def finish(self) -> None:
        """Complete the response."""
        self.finished = True
        await self._write(self.connection.protocol.send(EndOfMessage()) or b"")
        if self.ends_with_connection:
            set_reset_on_close(self.connection.stream, False)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole response in one write."""
        length = (b"content-length", b"%d" % len(body))
        parts = [self._head_bytes(status, [*headers, length])]
        if body:
            parts.append(self.connection.protocol.send(Data(data=body)) or b"")
        parts.append(self.connection.protocol.send(EndOfMessage()) or b"")
        self.finished = True
        await self._write(b"".join(parts))

    def _needs_close(self, status: int, headers: list[Header]) -> bool:
        """Return whether only the end of the connection will end the response."""
        version = self.connection.protocol.their_http_version
        if version is None or version >= b"1.1":
            return False
        return framing_of(self.head.method, status, headers) is Framing.CLOSE

    def _head_bytes(self, status: int, headers: list[Header]) -> bytes:
        """Return the serialized head, with `connection: close` if it will be closed."""
        self.started = True
        protocol = self.connection.protocol
        has_unread_body = (
            protocol.their_state is not DONE and protocol.their_state != MUST_CLOSE
        )
        if self.connection.draining() or has_unread_body:
            headers = [*headers, (b"connection", b"close")]
        response = Response(status_code=status, headers=headers)
        return protocol.send(response) or b""

    async def _write(self, data: bytes) -> None:
        """Write to the socket."""
        if data:
            await self.connection.stream.send(data)
