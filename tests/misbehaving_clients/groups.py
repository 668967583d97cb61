"""Groups of clients that misbehave, all at one address of a process."""

from asyncio import AbstractEventLoop, Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Iterator
from contextlib import suppress
from socket import socket
from time import monotonic
from typing import Final

from attrs import define, field, frozen

from tests.misbehaving_clients.processes import KEY, Entry

# The largest body that is allowed, of which these clients send all but the end.
BODY_BYTES: Final = 4 * 1024 * 1024
SENT_BYTES: Final = BODY_BYTES - 1000
HEAD_BYTES: Final = 16 * 1024
# Over what a socket and the process buffer for one connection.
PIPELINED_BYTES: Final = 1024 * 1024
PIECE_BYTES: Final = 16 * 1024
CHUNK: Final = b"400\r\n" + bytes(1024) + b"\r\n"
# A client that sends or reads slowly does so in steps of one byte.
STEP_SECONDS: Final = 0.2
# A group is in place when none of its clients has sent more for so long, and no later
# than after the second time.
QUIET_SECONDS: Final = 0.15
MOST_SECONDS: Final = 4.0


def head(entry: Entry, fields: bytes) -> bytes:
    """Return the head of a request, up to its last line."""
    return (
        b"POST %s HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer %s\r\n%s"
        % (entry.path.encode(), KEY.encode(), fields)
    )


@frozen
class Group:
    """Clients of one kind: what each sends, and then does slowly."""

    count: int
    pieces: Callable[[Entry, int], Iterator[bytes]]
    sends_slowly: bool = False
    reads_slowly: bool = False


def whole_bodies(entry: Entry, _number: int) -> Iterator[bytes]:
    """Send a body in one piece, but for its end."""
    length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    yield head(entry, length) + bytes(SENT_BYTES)


def bodies_in_pieces(entry: Entry, number: int) -> Iterator[bytes]:
    """Send a body in small pieces or in chunks, but for its end."""
    if number % 2:
        yield head(entry, b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
        for _ in range(SENT_BYTES // PIECE_BYTES):
            yield bytes(PIECE_BYTES)
        return
    yield head(entry, b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(SENT_BYTES // PIECE_BYTES):
        yield CHUNK * (PIECE_BYTES // 1024)


def bodies_over_the_limit(entry: Entry, number: int) -> Iterator[bytes]:
    """Send more than a body may have, stated before or in chunks."""
    if number % 2:
        length = 16 * BODY_BYTES
        yield head(entry, b"Content-Length: %d\r\n\r\n" % length)
    else:
        yield head(entry, b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(2 * BODY_BYTES // (64 * 1024)):
        yield CHUNK * 64


def many_fields(entry: Entry, _number: int) -> Iterator[bytes]:
    """Send as many fields as a head may have, and a body but for its end."""
    start = head(entry, b"Content-Length: 2\r\n")
    count = (HEAD_BYTES - len(start) - 2) // len(b"a:\r\n")
    yield start + b"a:\r\n" * count + b"\r\n."


def pipelined_requests(entry: Entry, _number: int) -> Iterator[bytes]:
    """Send many requests without reading a response."""
    request = head(entry, b"\r\n")
    yield request * (PIPELINED_BYTES // len(request))


def slow_senders(entry: Entry, number: int) -> Iterator[bytes]:
    """Begin a head or a body, which goes on a byte at a time."""
    if number % 2:
        yield head(entry, b"a: ")
        return
    yield head(entry, b"Content-Length: 100000\r\n\r\n")


def slow_readers(entry: Entry, _number: int) -> Iterator[bytes]:
    """Send some requests, whose responses are read a byte at a time."""
    yield head(entry, b"\r\n") * 32


# By name; the sizes of the groups are such that each holds more memory or descriptors
# than the process has, if the process keeps all that they send.
GROUPS: Final = {
    "whole bodies": Group(40, whole_bodies),
    "bodies in pieces": Group(40, bodies_in_pieces),
    "bodies over the limit": Group(40, bodies_over_the_limit),
    "many fields": Group(250, many_fields),
    "pipelined requests": Group(250, pipelined_requests),
    "slow senders": Group(1_200, slow_senders, sends_slowly=True),
    "slow readers": Group(400, slow_readers, reads_slowly=True),
}


@define
class Attack:
    """A group at work, until the sockets are closed."""

    group: Group
    entry: Entry
    sent_bytes: int = 0
    _sockets: list[socket] = field(factory=list)
    _tasks: list[Task[None]] = field(factory=list)

    async def run(self) -> None:
        """Open the connections; return when all clients have done what they can."""
        loop = get_running_loop()
        self._sockets = [socket() for _ in range(self.group.count)]
        self._tasks = [
            create_task(self._run_client(loop, raw, number))
            for number, raw in enumerate(self._sockets)
        ]
        ends_at = monotonic() + MOST_SECONDS
        known = -1
        while known != self.sent_bytes and monotonic() < ends_at:
            known = self.sent_bytes
            await sleep(QUIET_SECONDS)

    async def _run_client(
        self, loop: AbstractEventLoop, raw: socket, number: int
    ) -> None:
        """Do what one client does, until the process closes its connection."""
        host, _, port = self.entry.address.rpartition(":")
        raw.setblocking(False)
        with suppress(OSError):
            await loop.sock_connect(raw, (host, int(port)))
            for piece in self.group.pieces(self.entry, number):
                await self._send(loop, raw, piece)
            while self.group.sends_slowly:
                await sleep(STEP_SECONDS)
                await loop.sock_sendall(raw, b"a")
            while self.group.reads_slowly:
                await sleep(STEP_SECONDS)
                await loop.sock_recv(raw, 1)

    async def _send(self, loop: AbstractEventLoop, raw: socket, piece: bytes) -> None:
        """Send a piece; count what the process takes."""
        view = memoryview(piece)
        step = 256 * 1024
        for start in range(0, len(view), step):
            await loop.sock_sendall(raw, view[start : start + step])
            self.sent_bytes += len(view[start : start + step])

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await sleep(0)
        for raw in self._sockets:
            raw.close()
