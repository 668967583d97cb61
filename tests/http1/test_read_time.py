"""The time to read a message grows with its length, not with its square."""

from contextlib import suppress
from time import thread_time

from anyio import create_task_group, run
from anyio.lowlevel import checkpoint

from pistachiolever.http1.connection import Exchange, ServerConnection
from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.protocol import ServerProtocol
from pistachiolever.http1.reader import MessageReader
from pistachiolever.http1.stream import SocketStream
from tests.support.cases import CaseTest

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTH = 60_000
SPACES = b" " * LENGTH
# Reading takes some milliseconds; it took half a minute.
MAX_SECONDS = 1.0


def seconds_to_read(data: bytes) -> float:
    """Return the processor time of reading a request that has arrived at once."""
    protocol = ServerProtocol(MessageReader(16_384))
    protocol.reader.feed(data)
    started = thread_time()
    with suppress(MalformedMessageError):
        if protocol.read_head() is not None:
            while protocol.read_body():
                pass
    return thread_time() - started


async def never_handle(_exchange: Exchange) -> None:
    """Handle no request."""


async def seconds_to_read_pieces(count: int) -> float:
    """Return the processor time of reading a body that comes byte by byte."""
    connection = ServerConnection(
        SocketStream(),
        never_handle,
        HttpLimits,
        lambda: False,
        lambda: False,
        lambda: None,
    )
    connection.feed(HEAD + b"Content-Length: %d\r\n\r\n" % count)
    head = connection.protocol.read_head()
    assert head is not None
    started = thread_time()
    async with create_task_group() as group:
        group.start_soon(Exchange(connection, head).read_body)
        for _ in range(count):
            await checkpoint()
            await checkpoint()
            connection.feed(b"a")
    return thread_time() - started


class ReadTimeTest(CaseTest):
    """A message can't keep the event loop from all other connections."""

    # Guards against one head of spaces that stops all requests for half a minute.
    def test_spaces_are_read_in_linear_time(self) -> None:
        messages = [
            HEAD + b"a:" + SPACES + b"\0\r\n\r\n",
            HEAD + b"a:" + SPACES + b"\rb\r\n\r\n",
            HEAD + b"a:" + SPACES + b"\nb: c\r\n\r\n",
            HEAD + b"a: b" + SPACES + b"\0\r\n\r\n",
            HEAD + b"a:" + b" b" * LENGTH + b"\0\r\n\r\n",
            HEAD + b"a" * LENGTH + b"\r\n\r\n",
            CHUNKED + b"1;" + SPACES + b"\nx\r\n",
            CHUNKED + b"1" + SPACES + b"x\r\n",
            CHUNKED + b"0\r\na:" + SPACES + b"\0\r\n\r\n",
        ]
        for message in messages:
            with self.subTest(message=message[:80]):
                self.assertLess(seconds_to_read(message), MAX_SECONDS)

    # Guards against a body in small pieces that are counted again with each piece.
    def test_pieces_of_a_body_are_read_in_linear_time(self) -> None:
        few = run(seconds_to_read_pieces, 2_000)
        many = run(seconds_to_read_pieces, 20_000)
        self.assertLess(many, 30 * few)
