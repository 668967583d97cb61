"""A request on a connection of a server, and its response."""

from contextlib import suppress
from typing import TYPE_CHECKING

from anyio import current_time, fail_after
from attrs import define

from pistachiolever.http1.const import BODY_STALL_SECONDS, MAX_FRAMING_BYTES
from pistachiolever.http1.errors import BadRequestError, MalformedMessageError
from pistachiolever.http1.models import (
    Framing,
    Header,
    HttpLimits,
    RequestHead,
    framing_of,
)
from pistachiolever.http1.sockets import set_reset_on_close

if TYPE_CHECKING:
    from pistachiolever.http1.connection import ServerConnection


def checked_head(head: RequestHead, limits: HttpLimits) -> RequestHead:
    """Return the head of a request; raise BadRequestError if it is unsafe."""
    # A line has at least a colon and a line feed, too.
    size = len(head.target) + sum(
        len(name) + len(value) + 2 for name, value in head.headers
    )
    if size > limits.max_head_bytes:
        # The reader limits only heads that arrive in several reads.
        raise BadRequestError(431, f"a head of over {limits.max_head_bytes} bytes")
    if len(head.headers) > limits.max_fields:
        raise BadRequestError(431, f"over {limits.max_fields} header fields")
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

    connection: "ServerConnection"
    head: RequestHead
    started: bool = False
    finished: bool = False
    ends_with_connection: bool = False

    @property
    def arrived_at(self) -> float | None:
        """Return when the request has arrived, None if that is not known."""
        return self.connection.arrived_at

    async def read_body(self) -> bytes:
        """Return the whole body; raise BadRequestError if it is too large."""
        parts: list[bytes] = []
        try:
            if self._take_body(parts, 0) is None:
                return b"".join(parts)
            return await self._read_body(parts)
        except TimeoutError as error:
            self.connection.budget.report_cut("stalled")
            raise BadRequestError(408, "the body came too slowly") from error
        except MalformedMessageError as error:
            raise BadRequestError(error.status, error.detail) from error
        finally:
            # The traceback of an error would keep them.
            parts.clear()

    def discard_body(self) -> None:
        """Drop what is there of the body of a request that needs none.

        If it is not whole, the connection is closed after the response.
        """
        with suppress(MalformedMessageError):
            while self.connection.protocol.read_body():
                pass
        self.connection.accepted = self.connection.protocol.reader.is_complete
        self.connection.hold()

    async def _read_body(self, parts: list[bytes]) -> bytes:
        """Return the whole body with the parts before, unless it makes no progress."""
        connection = self.connection
        if connection.protocol.awaits_continue:
            await connection.stream.send(connection.protocol.encode_continue())
        size = sum(map(len, parts))
        with fail_after(BODY_STALL_SECONDS) as scope:
            while (total := self._take_body(parts, size)) is not None:
                size = total
                if not await connection.wait_for_input():
                    raise BadRequestError(400, "the body is not whole")
                scope.deadline = current_time() + BODY_STALL_SECONDS
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
        connection.body_bytes = size
        if not connection.protocol.reader.is_complete:
            return size
        connection.accepted = True
        connection.hold()
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
        connection = self.connection
        is_last = connection.draining() or connection.closes_after
        if is_last or not protocol.reader.is_complete:
            headers = [*headers, (b"connection", b"close")]
        return protocol.encode_head(status, headers)

    async def _write(self, data: bytes) -> None:
        """Write to the socket."""
        if data:
            await self.connection.stream.send(data)
