"""An HTTP/1.1 server that passes the requests of each connection to a handler."""

from collections.abc import Callable
from functools import partial
from socket import socket
from weakref import WeakKeyDictionary

from absl import logging
from anyio import (
    CancelScope,
    Event,
    create_task_group,
    create_tcp_listener,
    current_time,
    move_on_after,
    sleep,
    wait_readable,
)
from anyio.abc import (
    Listener,
    SocketAttribute,
    SocketStream as AnySocketStream,
    TaskGroup,
)
from attrs import define, field, frozen

from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.connection import Handler, ServerConnection
from pistachiolever.http1.const import (
    ACCEPT_RETRY_SECONDS,
    CLIENT_USER_TIMEOUT_SECONDS,
    DEFAULT_MAX_CONNECTIONS,
    FIRST_REQUEST_SECONDS,
    LIMIT_REPORT_SECONDS,
    LISTEN_BACKLOG,
    MAX_CUT_CONNECTIONS,
)
from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.screening import (
    ConnectionForwarder,
    ConnectionScreen,
    Screening,
    greet_nobody,
)
from pistachiolever.http1.sockets import has_input, tune_socket
from pistachiolever.http1.stream import accepted_stream


def ignore_limit(reason: str, connections: int) -> None:
    """Ignore that a limit of connections was reached."""


def ignore_unread() -> None:
    """Ignore that a client left before its request was read."""


@frozen
class ForwardedEntry:
    """Where a server takes connections that other servers forward.

    The `screen` decides on each of them; `unwrap` returns the bytes of the client, None
    if the head of its request has not come in time. Then the `refusal` is sent. `greet`
    returns the reply to a head that only greets, empty to that of a request.
    """

    address: str
    screen: ConnectionScreen
    unwrap: Callable[[bytes], bytes | None]
    refusal: bytes
    greet: Callable[[bytes], bytes] = greet_nobody


@define(eq=False)
class HttpServer:
    """Listens on one address, and on that of its `entry` for forwarded connections.

    While `draining`, responses ask the client to close the connection. While `closing`,
    connections are closed after the current request. At `max_connections` the newest
    idle connection is closed for a new one; if none is idle, clients wait to be
    accepted. Those that wait for a request that makes no progress are closed for new
    ones. An active `screen` refuses new connections before they are set up, unless the
    `forwarder` takes them. A forwarded connection is closed after one request.
    `arrival` estimates when input that is read now has arrived.
    `report_limit` is called when a limit is reached, at most once in
    LIMIT_REPORT_SECONDS, `report_unread` for each request whose client left before it
    was read.
    """

    address: str
    handler: Handler
    limits: Callable[[], HttpLimits] = HttpLimits
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    report_limit: Callable[[str, int], None] = ignore_limit
    report_unread: Callable[[], None] = ignore_unread
    screen: ConnectionScreen | None = None
    budget: ByteBudget = field(factory=ByteBudget)
    forwarder: ConnectionForwarder | None = None
    entry: ForwardedEntry | None = None
    arrival: Callable[[], float] = current_time
    draining: bool = False
    closing: bool = False
    connections: dict[ServerConnection, None] = field(factory=dict)
    accepted_count: int = 0
    _accepting: CancelScope = field(factory=CancelScope)
    _room: Event = field(factory=Event)
    _opening_count: int = 0
    _screenings: list[Screening] = field(factory=list)
    _arrival_by_socket: WeakKeyDictionary[socket, float] = field(
        factory=WeakKeyDictionary
    )
    _limit_reported_at: float = float("-inf")

    async def serve(self) -> None:
        """Accept connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        multi_listener = await create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        # Open connections outlive the listener. Its socket must be closed, or the
        # kernel would accept connections that nobody serves.
        async with create_task_group() as group, multi_listener:
            serve = partial(self._start_serving, group)
            with self._accepting:
                async with create_task_group() as acceptors:
                    offer: Callable[[socket], None] = partial(serve, received=b"")
                    if self.screen is not None:
                        screening = Screening(self.screen, serve, self.forwarder)
                        offer = self._start_screening(acceptors, screening)
                    for listener in multi_listener.listeners:
                        acceptors.start_soon(self._accept_all, listener, offer)
                    if self.entry is not None:
                        acceptors.start_soon(self._serve_entry, self.entry, group)
            for screening in self._screenings:
                screening.close()
            self._screenings.clear()
            for listener in multi_listener.listeners:
                await self._close_listener(listener, partial(serve, received=b""))

    def _start_screening(
        self, group: TaskGroup, screening: Screening
    ) -> Callable[[socket], None]:
        """Run a screening; return what takes an accepted connection."""
        self._screenings.append(screening)
        group.start_soon(screening.run)
        return screening.offer

    async def _serve_entry(self, entry: ForwardedEntry, group: TaskGroup) -> None:
        """Accept forwarded connections until cancelled."""

        def serve(accepted: socket, received: bytes) -> None:
            request = entry.unwrap(received)
            if request is not None:
                self._start_serving(group, accepted, request, True)
                return
            try:
                accepted.send(entry.refusal)
            except OSError as error:
                logging.info("a forwarded connection has ended: %s", error)
            accepted.close()

        host, _, port = entry.address.rpartition(":")
        multi_listener = await create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        async with multi_listener, create_task_group() as acceptors:
            screening = Screening(entry.screen, serve, greet=entry.greet)
            offer = self._start_screening(acceptors, screening)
            for listener in multi_listener.listeners:
                acceptors.start_soon(self._accept_all, listener, offer)

    def stop_listening(self) -> None:
        """Accept the connections that are pending, then no more."""
        self.draining = True
        self._accepting.cancel()

    def close_after_requests(self) -> None:
        """Take no more requests on open connections."""
        self.closing = True
        self.close_idle()

    async def _accept_all(
        self, listener: Listener[AnySocketStream], offer: Callable[[socket], None]
    ) -> None:
        """Accept connections until cancelled."""
        raw_listener = listener.extra(SocketAttribute.raw_socket)
        while True:
            await wait_readable(raw_listener)
            if self._open_count() >= self.max_connections:
                await self._make_room()
            await self._accept_pending(raw_listener, offer)

    async def _accept_pending(
        self, raw_listener: socket, offer: Callable[[socket], None]
    ) -> None:
        """Accept all pending connections that there is room for.

        Waiting for each one to be set up would limit the rate to one in some turns of
        the event loop, and later ones would be served after their clients had given up.
        """
        error = self._accept_raw(raw_listener, offer)
        if error is None:
            return
        # The peer has gone, or a resource is exhausted; both pass.
        self._report_limit(str(error))
        self._close_newest_idle()
        await sleep(ACCEPT_RETRY_SECONDS)

    def _accept_raw(
        self, raw_listener: socket, offer: Callable[[socket], None]
    ) -> OSError | None:
        """Accept until none is pending; return what the system refused with."""
        while self._open_count() < self.max_connections:
            try:
                accepted, _address = raw_listener.accept()
            except BlockingIOError:
                return None
            except OSError as error:
                return error
            self.accepted_count += 1
            arrived_at = self.arrival()
            if arrived_at < current_time():
                # Its request waits, too, and is read some turns later.
                self._arrival_by_socket[accepted] = arrived_at
            offer(accepted)
        return None

    def _start_serving(
        self,
        group: TaskGroup,
        accepted: socket,
        received: bytes,
        is_forwarded: bool = False,
    ) -> None:
        """Serve an accepted connection in a task of its own."""
        self._opening_count += 1
        group.start_soon(self._open_connection, accepted, received, is_forwarded)

    def _open_count(self) -> int:
        """Return the number of connections, with those that are being set up."""
        held = sum(screening.count() for screening in self._screenings)
        forwarded = self.forwarder.count() if self.forwarder else 0
        return len(self.connections) + self._opening_count + held + forwarded

    async def _open_connection(
        self, accepted: socket, received: bytes, is_forwarded: bool
    ) -> None:
        """Set up an accepted connection and serve it; some input was read already."""
        arrived_at = self._arrival_by_socket.pop(accepted, None)
        try:
            stream = await accepted_stream(accepted)
        except (OSError, ValueError) as error:
            # ValueError: the client has reset the connection.
            accepted.close()
            self._report_limit(str(error))
            return
        finally:
            self._opening_count -= 1
        connection = ServerConnection(
            stream,
            self.handler,
            self.limits,
            lambda: self.draining or is_forwarded,
            lambda: self.closing or is_forwarded,
            self.report_unread,
            self.budget,
            self.arrival,
        )
        if received or (arrived_at is not None and has_input(stream)):
            connection.arrived_at = arrived_at
        connection.feed(received)
        self.connections[connection] = None
        await self._serve_connection(connection)

    async def _make_room(self) -> None:
        """Wait for a connection that can be closed or ends."""
        while self._open_count() >= self.max_connections:
            self._report_limit("connections")
            self._room = Event()
            if not self._close_newest_idle():
                self._close_stalled()
            with move_on_after(FIRST_REQUEST_SECONDS):
                await self._room.wait()

    async def _close_listener(
        self, listener: Listener[AnySocketStream], offer: Callable[[socket], None]
    ) -> None:
        """Close a listener and serve the connections already established by the kernel.

        Closing alone would reset them, with the requests that they carry.
        """
        raw_listener = listener.extra(SocketAttribute.raw_socket)
        self._accept_raw(raw_listener, offer)
        # The listener lets other tasks run before it closes the socket.
        raw_listener.close()
        await listener.aclose()

    async def _serve_connection(self, connection: ServerConnection) -> None:
        """Serve one connection."""
        try:
            tune_socket(connection.stream, CLIENT_USER_TIMEOUT_SECONDS)
            await connection.run()
        except Exception:  # noqa: BLE001
            # An error on one connection must not end the process.
            logging.exception("unexpected error on a connection to %s", self.address)
        finally:
            self.connections.pop(connection, None)
            self._room.set()

    def _close_newest_idle(self) -> bool:
        """Close the newest connection that waits for another request, if there is one.

        A connection may wait for its first one for FIRST_REQUEST_SECONDS.
        """
        return any(
            connection.is_settled() and connection.close_if_idle()
            for connection in reversed(self.connections)
        )

    def _close_stalled(self) -> None:
        """Close the connections whose requests have made no progress for longest.

        An accepted request is not given up, unless its client does not read.
        Requests that were pipelined behind it are.
        """
        stalled = [
            connection
            for connection in self.connections
            if connection.can_give_up() and self._is_dispensable(connection)
        ]
        stalled.sort(key=lambda connection: connection.progressed_at)
        for connection in stalled[:MAX_CUT_CONNECTIONS]:
            connection.give_up("connections")

    def _is_dispensable(self, connection: ServerConnection) -> bool:
        """Return whether a connection may be closed for one that waits."""
        if connection.is_pipelining():
            return True
        is_waiting = not connection.accepted or connection.is_unread()
        return is_waiting and connection.stalled_seconds() > FIRST_REQUEST_SECONDS

    def _report_limit(self, reason: str) -> None:
        """Report that a limit was reached, unless one was reported just before."""
        now = current_time()
        if now - self._limit_reported_at >= LIMIT_REPORT_SECONDS:
            self._limit_reported_at = now
            self.report_limit(reason, len(self.connections))

    def close_idle(self) -> None:
        """Close the connections that wait for another request."""
        for connection in list(self.connections):
            if self.closing or connection.is_settled():
                connection.close_if_idle()

    def abandon_requests(self) -> None:
        """Answer the requests whose responses have not begun, as they will not."""
        for connection in list(self.connections):
            connection.abandon_request()

    def busy_count(self) -> int:
        """Return the number of requests being served."""
        return sum(connection.busy for connection in self.connections)
