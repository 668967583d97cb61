"""Calls between processes over pooled connections, on the lightweight HTTP layer."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from anyio import current_time
from attrs import define, field

from pistachiolever.core.errors import ProtocolError
from pistachiolever.core.timeouts import fail_after_peer
from pistachiolever.edge.const import JSON_CONTENT_TYPE
from pistachiolever.edge.errors import CallRefusedError, PeerError
from pistachiolever.edge.keys import bearer_key, same_key
from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.client import ClientConnection, open_connection
from pistachiolever.http1.connection import Exchange
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import Header, RequestHead, ResponseHead
from pistachiolever.wire.codec import decode, encode
from pistachiolever.wire.const import MAX_INNER_BODY_BYTES

T = TypeVar("T")

# Idle connections kept per peer; further concurrent calls open new connections.
MAX_IDLE_CONNECTIONS: Final = 16
# Connections to all peers; a process has a few descriptors beside them.
MAX_OPEN_CONNECTIONS: Final = 800
# Body of an endpoint's report or health check; decoded it takes several times as much.
MAX_ENDPOINT_BODY_BYTES: Final = 1024 * 1024
# Shorter than the server's idle timeout, so that the server never closes first.
MAX_IDLE_SECONDS: Final = 10.0
JSON_HEADER: Final[Header] = (b"content-type", JSON_CONTENT_TYPE.encode())


@define
class ConnectionPool:
    """Idle connections by address; `max_idle` is the limit per address.

    At `max_open` connections in all, idle ones are closed for new ones. The `budget`
    limits the bytes of responses that are held for all of them.
    """

    idle_by_address: dict[str, list[ClientConnection]] = field(factory=dict)
    max_idle: int = MAX_IDLE_CONNECTIONS
    max_open: int = MAX_OPEN_CONNECTIONS
    budget: ByteBudget = field(factory=ByteBudget)
    open_count: int = 0
    opened_count: int = 0

    async def acquire(self, address: str, connect_seconds: float) -> ClientConnection:
        """Return an idle connection that is still usable, or a new one."""
        idle = self.idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable(current_time()):
                return connection
            await connection.close()
        return await self.open(address, connect_seconds)

    async def open(self, address: str, connect_seconds: float) -> ClientConnection:
        """Return a new connection."""
        if self.open_count >= self.max_open and not await self._close_oldest_idle():
            detail = f"{self.open_count} connections are open"
            raise PeerClosedError(detail, sent=False, is_local=True)
        self.open_count += 1
        opened = False
        try:
            connection = await open_connection(address, connect_seconds)
            opened = True
            self.opened_count += 1
        finally:
            self.open_count -= not opened
        connection.on_close = self._count_closed
        connection.budget = self.budget
        return connection

    async def release(
        self,
        connection: ClientConnection,
        keep_alive_seconds: float = MAX_IDLE_SECONDS,
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        idle = self.idle_by_address.setdefault(connection.address, [])
        if len(idle) < self.max_idle and connection.prepare_reuse(keep_alive_seconds):
            idle.append(connection)
            return
        await connection.close()

    async def close(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle_by_address.pop(address, []):
            await connection.close()

    def _count_closed(self) -> None:
        """Count that a connection was closed."""
        self.open_count -= 1

    async def _close_oldest_idle(self) -> bool:
        """Close the longest idle connection; return whether there is one."""
        lists = [idle for idle in self.idle_by_address.values() if idle]
        if not lists:
            return False
        oldest = min(lists, key=lambda idle: idle[0].idle_since)
        await oldest.pop(0).close()
        return True


@define
class PeerClient:
    """Calls processes by address over plain HTTP; an empty `secret` sends no key."""

    secret: str = ""
    pool: ConnectionPool = field(factory=ConnectionPool)

    async def call(
        self,
        address: str,
        path: str,
        message: object,
        reply_type: type[T],
        seconds: float,
    ) -> T:
        """Send a message; return the typed reply or raise PeerError."""
        head, body = await self.post(address, path, encode(message), seconds)
        if head.status != 200:
            detail = f"{address}{path} answered {head.status}"
            raise PeerError(detail, head.status != 409, head.status)
        try:
            return decode(body, reply_type)
        except ProtocolError as error:
            raise PeerError(str(error), True) from error

    async def post(
        self, address: str, path: str, body: bytes, seconds: float
    ) -> tuple[ResponseHead, bytes]:
        """Send a body; return the head and body of the response."""
        headers: list[Header] = [
            (b"host", address.encode()),
            (b"content-length", b"%d" % len(body)),
            JSON_HEADER,
        ]
        if self.secret:
            headers.append((b"authorization", b"Bearer " + self.secret.encode()))
        request = RequestHead(b"POST", path.encode(), headers)
        return await self.exchange(
            address, request, body, seconds, MAX_INNER_BODY_BYTES
        )

    async def exchange(
        self,
        address: str,
        request: RequestHead,
        body: bytes,
        seconds: float,
        max_bytes: int = MAX_ENDPOINT_BODY_BYTES,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request; return the head and body of the response.

        Raise PeerError, also if the body has more than `max_bytes`.
        """
        connection: ClientConnection | None = None
        try:
            with fail_after_peer(seconds):
                connection = await self.pool.acquire(address, seconds)
                head = await connection.exchange(request, body)
                response_body = await connection.read_all(max_bytes)
                await self.pool.release(connection)
                connection = None
                return head, response_body
        except PeerClosedError as error:
            raise PeerError(f"{address}: {error.detail}", error.sent) from error
        except TimeoutError as error:
            detail = f"{address} did not answer within {seconds:.1f} s"
            raise PeerError(detail, True) from error
        finally:
            if connection is not None:
                await connection.close()


@define
class PeerRoute:
    """The handler of a path and the type of message it expects."""

    message_type: Any
    handle: Callable[[Any], Awaitable[object]]


@define
class PeerApi:
    """Serves calls of other processes by path; an empty `secret` checks no key."""

    secret: str = ""
    route_by_path: dict[str, PeerRoute] = field(factory=dict)

    def add(
        self,
        path: str,
        message_type: type[T],
        handle: Callable[[T], Awaitable[object]],
    ) -> None:
        """Register the handler of a path, which returns the reply to a message."""
        self.route_by_path[path] = PeerRoute(message_type, handle)

    async def handle(self, exchange: Exchange) -> None:
        """Authenticate a call and pass it to the handler of its path."""
        key = bearer_key(
            (exchange.head.value(b"authorization") or b"").decode("latin-1")
        )
        route = self.route_by_path.get(exchange.head.path)
        if self.secret and not same_key(key, self.secret):
            await self._refuse(exchange, 401)
        elif route is None:
            await self._refuse(exchange, 404)
        else:
            await self._answer(exchange, route, await exchange.read_body())

    async def _refuse(self, exchange: Exchange, status: int) -> None:
        """Refuse a call without keeping its body."""
        exchange.discard_body()
        await exchange.respond(status, [], b"")

    async def _answer(self, exchange: Exchange, route: PeerRoute, body: bytes) -> None:
        """Decode the message, call the handler and send the encoded reply."""
        try:
            reply = await route.handle(decode(body, route.message_type))
        except ProtocolError as error:
            await exchange.respond(400, [], str(error).encode()[:200])
        except CallRefusedError as error:
            await exchange.respond(error.status, [], error.detail.encode())
        else:
            await exchange.respond(200, [JSON_HEADER], encode(reply))
