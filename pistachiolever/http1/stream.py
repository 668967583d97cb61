"""A TCP connection on the transports of asyncio, with few turns of the event loop."""

from asyncio import Future, Protocol, Transport, get_running_loop
from collections import deque
from collections.abc import Callable
from socket import socket
from typing import Any

from anyio import (
    BrokenResourceError,
    BusyResourceError,
    ClosedResourceError,
    EndOfStream,
)
from anyio.lowlevel import checkpoint

from pistachiolever.http1.const import MAX_SENDS_IN_A_TURN, READ_BYTES


class SocketStream(Protocol):
    """Receives and sends the bytes of a connection.

    What was received waits for `receive`, at most READ_BYTES and one read.
    """

    transport: Transport

    def __init__(self) -> None:
        """Create a stream, which its transport completes."""
        self._on_data: Callable[[bytes], None] | None = None
        self._on_end: Callable[[], None] | None = None
        self.on_unread: Callable[[int], None] | None = None
        self.has_ended = False
        self._received: deque[bytes] = deque()
        self._received_bytes = 0
        self._error: Exception | None = None
        self._is_closed = False
        self._is_lost = False
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._sends_in_turn = 0
        self._receiver: Future[None] | None = None
        self._sender: Future[None] | None = None

    # Called by the transport.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport; a send ends when the system has taken all its bytes."""
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes; pause reading while many wait."""
        if self._on_data is not None:
            self._on_data(data)
            return
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes >= READ_BYTES:
            self.pause_reading()
        _wake(self._receiver)

    def eof_received(self) -> bool:
        """Note that the peer sends no more; the response can still be sent."""
        self._end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed, with an error if it was reset."""
        self._is_lost = True
        self._error = self._error or error
        _wake(self._sender)
        self._end()

    def pause_writing(self) -> None:
        """Let senders wait until the system has taken the bytes."""
        self._is_writing_paused = True
        if self.on_unread is not None:
            self.on_unread(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Let senders go on."""
        self._is_writing_paused = False
        if self.on_unread is not None:
            self.on_unread(0)
        _wake(self._sender)

    def _end(self) -> None:
        """Tell that nothing more will be received."""
        if not self.has_ended:
            self.has_ended = True
            if self._on_end is not None:
                self._on_end()
        _wake(self._receiver)

    # Input.

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return received bytes; wait only if there are none."""
        if not self._received:
            await self._wait_for_input()
        data = self._received.popleft()
        if len(data) > max_bytes:
            self._received.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self._received_bytes -= len(data)
        if self._is_reading_paused and self._received_bytes < READ_BYTES:
            self.resume_reading()
        return data

    async def _wait_for_input(self) -> None:
        """Wait for bytes; raise the error of a connection that has ended."""
        while not self._received:
            if self._is_closed:
                raise ClosedResourceError
            if self.has_ended:
                if self._error is not None:
                    raise BrokenResourceError from self._error
                raise EndOfStream
            if self._receiver is not None:
                raise BusyResourceError("reading from")
            self._receiver = get_running_loop().create_future()
            try:
                await self._receiver
            finally:
                self._receiver = None

    def deliver_to(
        self, on_data: Callable[[bytes], None], on_end: Callable[[], None]
    ) -> None:
        """Pass on received bytes and the end instead of keeping them for `receive`.

        `on_end` is called once, when the peer closes or resets the connection.
        """
        self._on_data, self._on_end = on_data, on_end
        self._received_bytes = 0
        self.resume_reading()
        while self._received:
            on_data(self._received.popleft())
        if self.has_ended:
            on_end()

    def has_input(self) -> bool:
        """Return whether `receive` would return or raise something at once."""
        return bool(self._received) or self.has_ended or self._is_closed

    def pause_reading(self) -> None:
        """Leave further bytes to the system, so that the peer has to wait."""
        if not self._is_reading_paused and not self.transport.is_closing():
            self._is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._is_reading_paused:
            self._is_reading_paused = False
            if not self.has_ended and not self.transport.is_closing():
                self.transport.resume_reading()

    # Output.

    async def send(self, data: bytes) -> None:
        """Send bytes; wait while the system takes no more."""
        self._sends_in_turn += 1
        if self._sends_in_turn >= MAX_SENDS_IN_A_TURN:
            self._sends_in_turn = 0
            await checkpoint()
        if self._is_writing_paused:
            await self._wait_for_room()
        self._check_open()
        try:
            self.transport.write(data)
        except RuntimeError as error:
            if not self.transport.is_closing():
                raise
            raise BrokenResourceError from error
        if self._is_writing_paused:
            await self._wait_for_room()
            self._check_open()

    async def _wait_for_room(self) -> None:
        """Wait until the system has taken all bytes, or the connection has ended."""
        self._sends_in_turn = 0
        while self._is_writing_paused and not self._is_lost and not self._is_closed:
            if self._sender is not None:
                raise BusyResourceError("writing to")
            self._sender = get_running_loop().create_future()
            try:
                await self._sender
            finally:
                self._sender = None

    def _check_open(self) -> None:
        """Raise an error if nothing can be sent."""
        if self._is_closed:
            raise ClosedResourceError
        if self._is_lost or self.transport.is_closing():
            raise BrokenResourceError from self._error

    async def send_eof(self) -> None:
        """Tell the peer that nothing more will be sent; go on receiving."""
        self._check_open()
        try:
            self.transport.write_eof()
        except (OSError, RuntimeError) as error:
            raise BrokenResourceError from error

    # End.

    def close(self) -> None:
        """Close the connection and drop unsent bytes; a second call does nothing."""
        if self._is_closed:
            return
        self._is_closed = self.has_ended = True
        self.transport.abort()
        _wake(self._receiver)
        _wake(self._sender)

    async def aclose(self) -> None:
        """Close the connection."""
        self.close()

    def extra(self, attribute: Any) -> Any:
        """Return the socket, None if the connection is closed."""
        if self._is_closed or self.transport.is_closing():
            return None
        return self.transport.get_extra_info("socket")


def _wake(waiter: "Future[None] | None") -> None:
    """Let a waiting task go on."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


async def open_stream(host: str, port: int) -> SocketStream:
    """Connect to an address."""
    loop = get_running_loop()
    _, stream = await loop.create_connection(SocketStream, host, port)
    return stream


async def accepted_stream(accepted: socket) -> SocketStream:
    """Set up an accepted connection; raise OSError or ValueError if it is gone."""
    accepted.setblocking(False)
    loop = get_running_loop()
    _, stream = await loop.connect_accepted_socket(SocketStream, accepted)
    return stream
