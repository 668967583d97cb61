"""The time to read a message grows with its length, not with its square."""

from contextlib import suppress
from time import thread_time

from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.protocol import ServerProtocol
from pistachiolever.http1.reader import MessageReader
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
