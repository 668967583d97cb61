"""One connection to a peer: a request out, an answer in, and whether to keep it."""

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    current_time,
    fail_after,
)
from anyio.abc import SocketStream
from attrs import define, field
from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from pistachiolever.http1.const import CONNECT_SECONDS, MAX_HEAD_BYTES, READ_BYTES
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import RequestHead, ResponseHead
from pistachiolever.http1.sockets import has_input, tune_socket

# A body that fits beside its head in one write is sent before the answer is read.
SMALL_BODY_BYTES = 8192


@define(eq=False)
class ClientConnection:
    """A connection to one address; it serves one request at a time."""

    address: str
    stream: SocketStream
    machine: Connection = field(init=False)
    idle_since: float = 0.0
    keep_seconds: float = 0.0
    requests: int = 0
    broken: bool = False

    def __attrs_post_init__(self) -> None:
        """Start the protocol."""
        self.machine = Connection(CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Send a request and return the head of its answer.

        The answer may come before the whole body was sent; the rest is then not
        sent and the connection is not kept. Raise PeerClosedError.
        """
        self.requests += 1
        parts = self._encode(head, body)
        if len(body) <= SMALL_BODY_BYTES:
            await self._send(b"".join(parts))
            return await self._read_head()
        answer: ResponseHead | None = None
        failure = PeerClosedError("closed before an answer")
        async with create_task_group() as group:
            group.start_soon(self._send_parts, parts)
            # Caught here: a task group would wrap it into a group of errors.
            try:
                answer = await self._read_head()
            except PeerClosedError as error:
                failure = error
            group.cancel_scope.cancel()
        if answer is None:
            raise failure
        return answer

    def _encode(self, head: RequestHead, body: bytes) -> list[bytes]:
        """Return the bytes of a request."""
        try:
            request = Request(
                method=head.method, target=head.target, headers=head.headers
            )
            parts = [self.machine.send(request) or b""]
            if body:
                parts.append(self.machine.send(Data(data=body)) or b"")
            parts.append(self.machine.send(EndOfMessage()) or b"")
        except LocalProtocolError as error:
            raise PeerClosedError(f"request not sendable: {error}", False) from error
        return parts

    async def _send_parts(self, parts: list[bytes]) -> None:
        """Send a long body while the answer is awaited."""
        self.broken = True
        try:
            for part in parts:
                for start in range(0, len(part), READ_BYTES):
                    await self.stream.send(part[start : start + READ_BYTES])
        except (BrokenResourceError, ClosedResourceError):
            # The reader finds the same end, after any answer that came before it.
            return
        self.broken = False

    async def _send(self, data: bytes) -> None:
        """Send bytes; raise PeerClosedError."""
        try:
            await self.stream.send(data)
        except (BrokenResourceError, ClosedResourceError) as error:
            raise PeerClosedError("connection lost while sending") from error

    async def _read_head(self) -> ResponseHead:
        """Return the next head that is not informational."""
        while True:
            event = await self._next_event()
            if isinstance(event, InformationalResponse):
                continue
            if isinstance(event, Response):
                return ResponseHead(event.status_code, list(event.headers))
            raise PeerClosedError("closed before an answer")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or None at its proper end."""
        event = await self._next_event()
        if isinstance(event, Data):
            return bytes(event.data)
        if isinstance(event, EndOfMessage):
            return None
        raise PeerClosedError("closed within an answer")

    async def read_all(self, most_bytes: int) -> bytes:
        """Return the rest of the body; raise PeerClosedError if it is too long."""
        parts: list[bytes] = []
        size = 0
        while (part := await self.read_chunk()) is not None:
            parts.append(part)
            size += len(part)
            if size > most_bytes:
                raise PeerClosedError(f"an answer of over {most_bytes} bytes")
        return b"".join(parts)

    async def _next_event(self) -> object:
        """Return the next event of the protocol; raise PeerClosedError."""
        try:
            while (event := self.machine.next_event()) is NEED_DATA:
                self.machine.receive_data(await self._receive())
        except RemoteProtocolError as error:
            raise PeerClosedError(f"no HTTP: {error}") from error
        if isinstance(event, ConnectionClosed):
            raise PeerClosedError("closed")
        return event

    async def _receive(self) -> bytes:
        """Return the next bytes of the socket; empty at its end."""
        try:
            return await self.stream.receive(READ_BYTES)
        except EndOfStream:
            return b""
        except (BrokenResourceError, ClosedResourceError) as error:
            raise PeerClosedError("connection reset") from error

    def finish(self, keep_seconds: float) -> bool:
        """Make ready for another request; tell whether the connection may be kept."""
        is_done = self.machine.our_state is DONE and self.machine.their_state is DONE
        if self.broken or not is_done or self.machine.trailing_data[0]:
            return False
        self.machine.start_next_cycle()
        self.idle_since = current_time()
        self.keep_seconds = keep_seconds
        return True

    def is_fresh(self, now: float) -> bool:
        """Tell whether an idle connection may carry another request."""
        if now - self.idle_since >= self.keep_seconds:
            return False
        return not has_input(self.stream)

    async def close(self) -> None:
        """Close the socket at once."""
        await self.stream.aclose()


async def open_connection(
    address: str, seconds: float = CONNECT_SECONDS
) -> ClientConnection:
    """Connect to `IP:PORT`; raise PeerClosedError, with nothing sent."""
    host, _, port = address.rpartition(":")
    try:
        with fail_after(seconds):
            stream = await connect_tcp(host, int(port))
    except (OSError, TimeoutError, ValueError) as error:
        detail = f"{address} is out of reach: {type(error).__name__}"
        raise PeerClosedError(detail, False) from error
    tune_socket(stream)
    return ClientConnection(address, stream)
