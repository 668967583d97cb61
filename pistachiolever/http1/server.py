"""Accepts connections and gives their requests, one by one, to a handler."""

from collections.abc import Awaitable, Callable

from absl import logging
from anyio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfStream,
    Event,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    move_on_after,
)
from anyio.abc import SocketStream
from attrs import define, field
from h11 import (
    DONE,
    ERROR,
    IDLE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
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
    LINGER_SECONDS,
    LISTEN_BACKLOG,
    MAX_UNREAD_BYTES,
    READ_BYTES,
)
from pistachiolever.http1.errors import BadRequestError
from pistachiolever.http1.models import Header, HttpLimits, RequestHead
from pistachiolever.http1.sockets import tune_socket

Handler = Callable[["Exchange"], Awaitable[None]]


@define(eq=False)
class ServerConnection:
    """One caller's connection.

    A task of its own reads the socket all the time, so that a caller that leaves is
    seen while its request waits.
    """

    stream: SocketStream
    handler: Handler
    limits: Callable[[], HttpLimits]
    draining: Callable[[], bool]
    closing: Callable[[], bool]
    machine: Connection = field(init=False)
    gone: bool = False
    busy: bool = False
    last_used: float = field(factory=current_time)
    _unread: int = 0
    _readable: Event = field(factory=Event)
    _drained: Event = field(factory=Event)
    _scope: CancelScope | None = None
    _idle_scope: CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        """Start the protocol."""
        self.machine = Connection(
            SERVER, max_incomplete_event_size=self.limits().max_head_bytes
        )

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        async with create_task_group() as group:
            group.start_soon(self._pump)
            try:
                await self._serve()
            finally:
                group.cancel_scope.cancel()
                with CancelScope(shield=True):
                    await self.stream.aclose()

    def close_if_idle(self) -> None:
        """End the connection unless it carries a request."""
        if not self.busy and self._idle_scope is not None:
            self._idle_scope.cancel()

    # Reading.

    async def _pump(self) -> None:
        """Hand the socket's bytes to the protocol; hold back when many are unread."""
        while True:
            try:
                data = await self.stream.receive(READ_BYTES)
            except (EndOfStream, BrokenResourceError, ClosedResourceError):
                self._lost()
                return
            try:
                self.machine.receive_data(data)
            except RuntimeError:
                self._lost()
                return
            self._unread += len(data)
            self._readable.set()
            if self._unread > MAX_UNREAD_BYTES:
                self._drained = Event()
                await self._drained.wait()

    def _lost(self) -> None:
        """Note that the caller has left; end what is done for it."""
        self.gone = True
        self._readable.set()
        if self._scope is not None:
            self._scope.cancel()

    async def next_event(self) -> object:
        """Return the next event of the protocol; ConnectionClosed at its end."""
        while True:
            event = self.machine.next_event()
            if event is not NEED_DATA and event is not PAUSED:
                return event
            self._unread = 0
            self._drained.set()
            if self.gone:
                return ConnectionClosed()
            self._readable = Event()
            await self._readable.wait()

    # Serving.

    async def _serve(self) -> None:
        """Take requests one after the other."""
        while True:
            try:
                head = await self._next_head()
                if head is None:
                    return
            except BadRequestError as error:
                await self._refuse(error)
                return
            except RemoteProtocolError as error:
                status = error.error_status_hint
                await self._refuse(BadRequestError(status, str(error)))
                return
            self.busy = True
            exchange = Exchange(self, head)
            with CancelScope() as scope:
                self._scope = scope
                await self._handle(exchange)
            self._scope = None
            self.busy = False
            self.last_used = current_time()
            if self.gone or scope.cancel_called or not self._starts_over():
                return
            if self.closing():
                return

    async def _handle(self, exchange: "Exchange") -> None:
        """Run the handler; answer what it finds wrong with the request."""
        try:
            await self.handler(exchange)
        except (BadRequestError, RemoteProtocolError) as error:
            if isinstance(error, RemoteProtocolError):
                error = BadRequestError(error.error_status_hint, str(error))
            if not exchange.started:
                await self._refuse(error)
        except (BrokenResourceError, ClosedResourceError):
            # The caller left while its answer was written.
            self._lost()

    def _starts_over(self) -> bool:
        """Make ready for the next request, if the connection may carry one."""
        states = (self.machine.our_state, self.machine.their_state)
        if states != (DONE, DONE):
            return False
        self.machine.start_next_cycle()
        return True

    async def _next_head(self) -> RequestHead | None:
        """Return the head of the next request; None when there is none."""
        limits = self.limits()
        with CancelScope() as idle:
            self._idle_scope = idle
            if not self._has_bytes():
                with move_on_after(limits.idle_seconds) as waited:
                    await self._wait_bytes()
                if waited.cancelled_caught:
                    return None
        self._idle_scope = None
        if idle.cancelled_caught:
            return None
        try:
            with fail_after(limits.head_seconds):
                event = await self.next_event()
        except TimeoutError as error:
            raise BadRequestError(408, "the head came too slowly") from error
        if not isinstance(event, Request):
            return None
        return checked_head(event, limits)

    def _has_bytes(self) -> bool:
        """Tell whether part of a request is here."""
        return bool(self.machine.trailing_data[0]) or self.gone

    async def _wait_bytes(self) -> None:
        """Wait for the first byte of a request."""
        while not self._has_bytes():
            self._unread = 0
            self._drained.set()
            self._readable = Event()
            await self._readable.wait()

    async def _refuse(self, error: BadRequestError) -> None:
        """Answer a request that cannot be taken, and end the connection."""
        if self.machine.our_state not in (IDLE, SEND_RESPONSE):
            return
        body = error.detail.encode("ascii", "replace")[:200]
        headers = [
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        status = error.status
        if self.machine.their_state is ERROR and status < 400:
            status = 400
        data = self.machine.send(Response(status_code=status, headers=headers)) or b""
        data += self.machine.send(Data(data=body)) or b""
        try:
            await self.stream.send(data)
            await self.stream.send_eof()
        except (BrokenResourceError, ClosedResourceError):
            return
        # Closing with unread bytes would reset the connection under the refusal.
        with move_on_after(LINGER_SECONDS):
            while not self.gone:
                self._drained.set()
                self._readable = Event()
                await self._readable.wait()


def checked_head(event: Request, limits: HttpLimits) -> RequestHead:
    """Return the head of a request; raise BadRequestError for an unsafe one."""
    headers: list[Header] = list(event.headers)
    size = len(event.target) + sum(len(name) + len(value) for name, value in headers)
    if size > limits.max_head_bytes:
        # A head that arrives in one piece is not bounded by the protocol's buffer.
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
    """One request of a caller and the answer to it."""

    connection: ServerConnection
    head: RequestHead
    started: bool = False
    finished: bool = False

    async def read_body(self) -> bytes:
        """Return the whole body; raise BadRequestError if it is too long."""
        connection = self.connection
        most = connection.limits().max_body_bytes
        if connection.machine.they_are_waiting_for_100_continue:
            head = InformationalResponse(status_code=100, headers=[])
            await connection.stream.send(connection.machine.send(head) or b"")
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
            if size > most:
                raise BadRequestError(413, f"a body of over {most} bytes")

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the answer."""
        await self._write(self._head_bytes(status, headers))

    async def send(self, data: bytes) -> None:
        """Send some of the body; wait while the caller does not read."""
        await self._write(self.connection.machine.send(Data(data=data)) or b"")

    async def finish(self) -> None:
        """End the answer as complete."""
        self.finished = True
        await self._write(self.connection.machine.send(EndOfMessage()) or b"")

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer in one write."""
        length = (b"content-length", b"%d" % len(body))
        parts = [self._head_bytes(status, [*headers, length])]
        if body:
            parts.append(self.connection.machine.send(Data(data=body)) or b"")
        parts.append(self.connection.machine.send(EndOfMessage()) or b"")
        self.finished = True
        await self._write(b"".join(parts))

    def _head_bytes(self, status: int, headers: list[Header]) -> bytes:
        """Return the bytes of the head; announce the close while draining."""
        self.started = True
        machine = self.connection.machine
        is_unread = (
            machine.their_state is not DONE and machine.their_state != MUST_CLOSE
        )
        if self.connection.draining() or is_unread:
            headers = [*headers, (b"connection", b"close")]
        response = Response(status_code=status, headers=headers)
        return machine.send(response) or b""

    async def _write(self, data: bytes) -> None:
        """Write to the socket."""
        if data:
            await self.connection.stream.send(data)


@define(eq=False)
class HttpServer:
    """Listens on one address."""

    address: str
    handler: Handler
    limits: Callable[[], HttpLimits] = HttpLimits
    draining: bool = False
    closing: bool = False
    connections: set[ServerConnection] = field(factory=set)
    _accepting: CancelScope = field(factory=CancelScope)

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        listener = await create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        async with create_task_group() as group:
            with self._accepting:
                # Connections outlive the listener; its socket must not, or the system
                # would take connections that nobody serves.
                async with listener:
                    await listener.serve(self._accept, task_group=group)

    def stop_accepting(self) -> None:
        """Take no more connections and no more requests on those that are open."""
        self.draining = True
        self.closing = True
        self._accepting.cancel()
        self.close_idle()

    async def _accept(self, stream: SocketStream) -> None:
        """Serve one connection."""
        tune_socket(stream)
        connection = ServerConnection(
            stream,
            self.handler,
            self.limits,
            lambda: self.draining,
            lambda: self.closing,
        )
        self.connections.add(connection)
        try:
            await connection.run()
        except Exception:  # noqa: BLE001
            # One caller's fault must not end the process that serves all others.
            logging.exception("unexpected error on a connection to %s", self.address)
        finally:
            self.connections.discard(connection)

    def close_idle(self) -> None:
        """End the connections that carry no request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def busy_count(self) -> int:
        """Return how many requests are being served."""
        return sum(connection.busy for connection in self.connections)
