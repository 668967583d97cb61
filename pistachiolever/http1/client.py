"""A client connection, which sends requests one at a time and can be reused."""

from collections.abc import Callable
from errno import ECONNREFUSED, ECONNRESET, EMFILE, ENFILE

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    create_task_group,
    current_time,
)
from attrs import define, field

from pistachiolever.core.addresses import split_address
from pistachiolever.core.timeouts import fail_after_peer
from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.const import (
    CONNECT_SECONDS,
    MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
    MIN_COUNTED_BYTES,
    READ_BYTES,
)
from pistachiolever.http1.errors import MalformedMessageError, PeerClosedError
from pistachiolever.http1.models import RequestHead, ResponseHead, framing_of
from pistachiolever.http1.protocol import ClientProtocol
from pistachiolever.http1.reader import MessageReader
from pistachiolever.http1.sockets import has_input, tune_socket
from pistachiolever.http1.stream import SocketStream, open_stream

# A request with a body up to this size is sent in one write, before the response is
# read.
SMALL_BODY_BYTES = 8192


@define(eq=False)
class ClientConnection:
    """A connection to one address, for one request at a time.

    `broken` is set while a request has not been sent completely; the connection cannot
    be reused then. `on_close` is called once. `kept_bytes` of the response are kept by
    whoever reads it; with what is not read yet they count in the `budget`.
    """

    address: str
    stream: SocketStream
    protocol: ClientProtocol = field(init=False)
    idle_since: float = 0.0
    keep_alive_seconds: float = 0.0
    requests: int = 0
    broken: bool = False
    on_close: Callable[[], None] | None = None
    budget: ByteBudget = field(factory=ByteBudget)
    held_bytes: int = 0
    kept_bytes: int = 0
    progressed_at: float = field(factory=current_time)
    _method: bytes = b""
    _is_given_up: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the protocol state machine."""
        self.protocol = ClientProtocol(MessageReader(MAX_HEAD_BYTES))

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Send a request and return the head of the response.

        The response may arrive before the whole body is sent. Then the rest of the
        body is not sent and the connection cannot be reused. Raise PeerClosedError if
        there is no response.
        """
        self.requests += 1
        self._method = head.method
        parts = self._encode(head, body)
        if len(body) <= SMALL_BODY_BYTES:
            await self._send(b"".join(parts))
            return await self._read_head()
        response: ResponseHead | None = None
        failure = PeerClosedError("closed before an answer")
        async with create_task_group() as group:
            group.start_soon(self._send_parts, parts)
            # Caught here because the task group would wrap it in an exception group.
            try:
                response = await self._read_head()
            except PeerClosedError as error:
                failure = error
            group.cancel_scope.cancel()
        if response is None:
            raise failure
        return response

    def _encode(self, head: RequestHead, body: bytes) -> list[bytes]:
        """Return the serialized request in parts."""
        try:
            return self.protocol.encode_request(head, body)
        except MalformedMessageError as error:
            raise PeerClosedError(f"request not sendable: {error}", False) from error

    async def _send_parts(self, parts: list[bytes]) -> None:
        """Send a request with a large body while the response is awaited."""
        self.broken = True
        try:
            for part in parts:
                for start in range(0, len(part), READ_BYTES):
                    await self.stream.send(part[start : start + READ_BYTES])
        except (BrokenResourceError, ClosedResourceError):
            # The concurrent read reports the same end, after any response that
            # arrived before it.
            return
        self.broken = False

    async def _send(self, data: bytes) -> None:
        """Send bytes; raise PeerClosedError if the connection is lost."""
        try:
            await self.stream.send(data)
        except (BrokenResourceError, ClosedResourceError) as error:
            raise PeerClosedError("connection lost while sending") from error

    async def _read_head(self) -> ResponseHead:
        """Return the head of the response, skipping informational responses."""
        try:
            for _ in range(MAX_INTERIM_RESPONSES + 1):
                while (response := self.protocol.read_head()) is None:
                    await self._feed()
                if response.status >= 200:
                    status, headers = response.status, response.headers
                    framing = framing_of(self._method, status, headers)
                    return ResponseHead(status, headers, framing)
        except MalformedMessageError as error:
            raise PeerClosedError(f"no HTTP: {error}") from error
        raise PeerClosedError(f"over {MAX_INTERIM_RESPONSES} interim responses")

    async def skip_response(self, max_bytes: int) -> ResponseHead:
        """Skip a response that belongs to no request; return the head of the next one.

        Raise PeerClosedError if it does not end within `max_bytes`, or is the last one.
        """
        await self.read_all(max_bytes)
        self.protocol.expect_response()
        return await self._read_head()

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        It joins the chunks that have been received already.
        """
        reader = self.protocol.reader
        try:
            while not (data := reader.read_body()):
                if reader.is_complete:
                    return None
                await self._feed()
        except MalformedMessageError as error:
            raise PeerClosedError(f"no HTTP: {error}") from error
        return data

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the rest of the body; raise PeerClosedError if it is too large."""
        parts: list[bytes] = []
        size = 0
        while (part := await self.read_chunk()) is not None:
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise PeerClosedError(f"an answer of over {max_bytes} bytes")
            self.keep(size)
        self.keep(0)
        return b"".join(parts)

    # Bytes held of the response.

    async def _feed(self) -> None:
        """Read from the socket."""
        self.protocol.reader.feed(await self._receive())
        self._hold()

    def keep(self, kept_bytes: int) -> None:
        """Count bytes of the response that are kept; raise PeerClosedError.

        None are progress: what was received has been passed on.
        """
        self.kept_bytes = kept_bytes
        if not kept_bytes:
            self.progressed_at = current_time()
        self._hold()

    def _hold(self) -> None:
        """Count what is held, if it is much; raise PeerClosedError if it was cut."""
        held = len(self.protocol.reader.buffer) + self.kept_bytes
        if held >= MIN_COUNTED_BYTES or self.held_bytes:
            self.budget.hold(self, held, current_time())
            if self._is_given_up:
                raise PeerClosedError("too many bytes of responses are held")

    def can_give_up(self) -> bool:
        """Return whether the response can be given up."""
        return not self._is_given_up

    def give_up(self, reason: str) -> None:
        """Release the bytes and close the connection; its reader gets an error."""
        self.budget.report_cut(reason)
        self._is_given_up = True
        self.protocol.reader.buffer.clear()
        self.kept_bytes = 0
        self.stream.close()
        self.budget.hold(self, 0, current_time())

    async def _receive(self) -> bytes:
        """Return the next bytes from the socket; empty at the end of input."""
        try:
            return await self.stream.receive(READ_BYTES)
        except EndOfStream:
            return b""
        except (BrokenResourceError, ClosedResourceError) as error:
            raise PeerClosedError("connection reset") from error

    def prepare_reuse(self, keep_alive_seconds: float) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
        if self.broken or not self.protocol.start_next_cycle():
            return False
        self.idle_since = current_time()
        self.keep_alive_seconds = keep_alive_seconds
        return True

    def is_reusable(self, now: float) -> bool:
        """Return whether an idle connection can be used for another request."""
        if now - self.idle_since >= self.keep_alive_seconds:
            return False
        return not self.stream.has_input() and not has_input(self.stream)

    async def close(self) -> None:
        """Close the socket; a second call does nothing."""
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close()
        if self.held_bytes:
            self.budget.hold(self, 0, current_time())
        self.stream.close()


async def open_connection(
    address: str, seconds: float = CONNECT_SECONDS
) -> ClientConnection:
    """Connect to `IP:PORT`; raise PeerClosedError with `sent` false on failure."""
    try:
        # uvloop cuts a larger port to 16 bits.
        host, port = split_address(address)
        with fail_after_peer(seconds):
            stream = await open_stream(host, port)
    except (OSError, TimeoutError, ValueError) as error:
        detail = f"cannot connect to {address}: {type(error).__name__}"
        number = getattr(error, "errno", 0)
        raise PeerClosedError(
            detail,
            sent=False,
            is_local=number in (EMFILE, ENFILE),
            refused=number in (ECONNREFUSED, ECONNRESET),
        ) from error
    tune_socket(stream)
    return ClientConnection(address, stream)
