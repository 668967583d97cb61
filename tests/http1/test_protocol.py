"""Messages are accepted, refused and written as by h11."""

from typing import Any

import h11
from attrs import define, field
from hypothesis import example, given, settings, strategies as st

from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.models import RequestHead
from pistachiolever.http1.protocol import ClientProtocol, ServerProtocol
from pistachiolever.http1.reader import MessageReader
from tests.support.cases import CaseTest

MAX_INCOMPLETE_BYTES = 120
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
REQUESTS = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET / HTTP/1.0\r\n\r\n",
    b"POST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde",
    b"POST /a HTTP/1.1\r\nhost:x\r\n" + CHUNKED + b"2\r\nab\r\n1;x=1\r\nc\r\n0\r\n\r\n",
    b"PUT / HTTP/1.1\r\nHost: x\r\n"
    + CHUNKED
    + b"A\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\n"
    b"Content-Length: 2\r\n\r\nab",
    b"GET / HTTP/1.1\r\nHost: x\r\nConnection: x, Close\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\n\r\n",
    b"POST / HTTP/1.1\nHost: x\nX: a\n b\n\tc \nContent-Length: 1\n\nz",
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2, 2\r\n"
    b"Content-Length: 2\r\n\r\nab",
]
RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 200 \r\n" + CHUNKED + b"3\r\nabc\r\n2 \r\nde\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"00b;a\r\n01234567890\r\n000\r\nT: a\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX: y\r\n\r\nuntil the end",
    b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 101 Other\r\nUpgrade: x\r\n\r\n",
    b"HTTP/1.1 304 Same\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 503 \xe9 \t\r\nRetry-After:\t1 \r\nContent-Length: 1\r\n\r\nx",
]
FRAGMENTS = [
    *(
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b"\t",
        b"\0",
        b":",
        b";",
        b",",
        b"0\r\n",
        b"\r\n\r\n",
    ),
    *(b"\n\n", b"-1", b"+1", b"0x1", b"5", b"a", b"\x80", b"\x0b", b"\x1f", b"x" * 130),
    *(
        b"Content-Length: 3\r\n",
        b"Content-Length: 5\r\n",
        b"Host: y\r\n",
        b" folded\r\n",
    ),
    *(b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: gzip\r\n", b"X : 1\r\n"),
    *(b"Connection: close\r\n", b"HTTP/1.0", b"HTTP/2.0", b"GET ", b"9" * 21, b"abc"),
]


@st.composite
def streams(draw: st.DrawFn, messages: list[bytes]) -> list[bytes]:
    """Draw some messages with changed places, in pieces."""
    data = b"".join(draw(st.lists(st.sampled_from(messages), min_size=1, max_size=3)))
    for _ in range(draw(st.integers(0, 3))):
        start = draw(st.integers(0, len(data)))
        end = start + draw(st.integers(0, 4))
        fragment = draw(
            st.just(b"") | st.sampled_from(FRAGMENTS) | st.binary(max_size=3)
        )
        data = data[:start] + fragment + data[end:]
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=6)))
    if draw(st.integers(0, 9)) == 0:
        cuts = list(range(len(data)))
    starts, ends = [0, *cuts], [*cuts, len(data)]
    pieces = [data[a:b] for a, b in zip(starts, ends, strict=True)]
    return [piece for piece in pieces if piece]


@define
class Seen:
    """What a side understood of its input; `leftover` is what follows a message."""

    heads: list[object] = field(factory=list)
    bodies: list[bytes] = field(factory=list)
    complete: int = 0
    error: int = 0
    leftover: bytes = b""
    is_reusable: bool = False


def pairs(headers: Any) -> list[tuple[bytes, bytes]]:
    """Return headers of h11 as plain pairs."""
    return [(bytes(name), bytes(value)) for name, value in headers]


class H11Server:
    """A server's side by h11, which answers each request."""

    def __init__(self) -> None:
        """Create it."""
        self.connection = h11.Connection(h11.SERVER, MAX_INCOMPLETE_BYTES)
        self.seen = Seen()
        self.is_open = True

    def feed(self, piece: bytes) -> None:
        """Add input."""
        self.connection.receive_data(piece)
        try:
            while self.is_open and self._take(self.connection.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.seen.error = error.error_status_hint
        if self.seen.complete == len(self.seen.heads):
            self.seen.leftover = self.connection.trailing_data[0]

    def _take(self, event: Any) -> bool:
        """Note an event; return whether there may be more."""
        connection, seen = self.connection, self.seen
        if isinstance(event, h11.Request):
            head = (event.method, event.target, pairs(event.headers))
            waits = connection.they_are_waiting_for_100_continue
            seen.heads.append((*head, event.http_version, waits))
            seen.bodies.append(b"")
        elif isinstance(event, h11.Data):
            seen.bodies[-1] += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            seen.complete += 1
            self.is_open = self._answer()
        else:
            return False
        return True

    def _answer(self) -> bool:
        """Answer a request; return whether there can be another one."""
        connection = self.connection
        if connection.their_state not in (h11.DONE, h11.MUST_CLOSE):
            return False
        headers = [(b"content-length", b"0")]
        connection.send(h11.Response(status_code=200, headers=headers))
        connection.send(h11.EndOfMessage())
        if connection.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        connection.start_next_cycle()
        return True


class OwnServer:
    """The server's side under test."""

    def __init__(self) -> None:
        """Create it."""
        self.protocol = ServerProtocol(MessageReader(MAX_INCOMPLETE_BYTES))
        self.seen = Seen()
        self.reads_head = True
        self.is_open = True

    def feed(self, piece: bytes) -> None:
        """Add input."""
        self.protocol.reader.feed(piece)
        try:
            while self.is_open and self._take():
                pass
        except MalformedMessageError as error:
            self.seen.error = error.status
        if self.seen.complete == len(self.seen.heads):
            self.seen.leftover = bytes(self.protocol.reader.buffer)

    def _take(self) -> bool:
        """Read on; return whether there may be more."""
        protocol, seen = self.protocol, self.seen
        if self.reads_head:
            head = protocol.read_head()
            if head is None:
                return False
            seen.heads.append(
                (
                    *(head.method, head.target, head.headers),
                    *(protocol.version, protocol.awaits_continue),
                )
            )
            seen.bodies.append(b"")
            self.reads_head = False
        data = protocol.read_body()
        seen.bodies[-1] += data
        if not protocol.reader.is_complete:
            return bool(data)
        seen.complete += 1
        protocol.encode_head(200, [(b"content-length", b"0")])
        protocol.encode_end()
        self.is_open = self.reads_head = protocol.start_next_cycle()
        return self.is_open


def read_by_h11(method: bytes, pieces: list[bytes], ends: bool) -> Seen:
    """Return what h11 understands of a response."""
    seen = Seen()
    connection = h11.Connection(h11.CLIENT, MAX_INCOMPLETE_BYTES)
    connection.send(h11.Request(method=method, target=b"/", headers=[(b"Host", b"x")]))
    connection.send(h11.EndOfMessage())
    try:
        for piece in [*pieces, *([b""] * ends)]:
            connection.receive_data(piece)
            while not seen.complete:
                event: Any = connection.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.ConnectionClosed | type(h11.PAUSED)):
                    raise h11.RemoteProtocolError("ended")
                if isinstance(event, h11.Data):
                    seen.bodies[-1] += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    seen.complete += 1
                else:
                    seen.heads.append((event.status_code, pairs(event.headers)))
                    seen.bodies.append(b"")
    except h11.RemoteProtocolError:
        seen.error = 1
    if seen.complete:
        seen.leftover = connection.trailing_data[0]
    is_done = connection.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
    seen.is_reusable = is_done and not seen.leftover and not ends
    return seen


def read_by_own(method: bytes, pieces: list[bytes], ends: bool) -> Seen:
    """Return what the client's side under test understands of a response."""
    seen = Seen()
    protocol = ClientProtocol(MessageReader(MAX_INCOMPLETE_BYTES))
    protocol.encode_request(RequestHead(method, b"/", [(b"host", b"x")]), b"")
    is_final = False
    try:
        for piece in [*pieces, *([b""] * ends)]:
            protocol.reader.feed(piece)
            while not is_final and (head := protocol.read_head()) is not None:
                seen.heads.append((head.status, head.headers))
                seen.bodies.append(b"")
                is_final = head.status >= 200
            while is_final and (data := protocol.reader.read_body()):
                seen.bodies[-1] += data
    except MalformedMessageError:
        seen.error = 1
    seen.complete = int(is_final and protocol.reader.is_complete)
    if seen.complete:
        seen.leftover = bytes(protocol.reader.buffer)
    seen.is_reusable = not seen.error and protocol.start_next_cycle()
    return seen


class VerdictTest(CaseTest):
    """Bytes, in whatever pieces, are understood as by h11."""

    @settings(max_examples=600, deadline=None)
    @given(streams(REQUESTS))
    @example([REQUESTS[2].replace(b"\r\n\r\n", b"\r\n" + CHUNKED)])
    # An empty Upgrade ended a connection on which another request had come.
    @example([b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade:\r\n\r\n" * 2])
    def test_requests(self, pieces: list[bytes]) -> None:
        expected, own = H11Server(), OwnServer()
        for piece in pieces:
            if expected.seen.error:
                break
            expected.feed(piece)
            own.feed(piece)
            if expected.seen.error:
                # What is left of a refused message is not used.
                own.seen.leftover = expected.seen.leftover
            self.assertEqual(own.seen, expected.seen)

    @settings(max_examples=600, deadline=None)
    @given(
        st.sampled_from([b"GET", b"HEAD", b"POST"]), streams(RESPONSES), st.booleans()
    )
    def test_responses(self, method: bytes, pieces: list[bytes], ends: bool) -> None:
        expected = read_by_h11(method, pieces, ends)
        own = read_by_own(method, pieces, ends)
        if expected.error:
            own.leftover = expected.leftover
        self.assertEqual(own, expected)

    # The same places in all pieces, so that each state is left at each byte.
    def test_each_message_byte_by_byte(self) -> None:
        for message in REQUESTS:
            pieces = [message[i : i + 1] for i in range(len(message))]
            expected, own = H11Server(), OwnServer()
            for piece in pieces:
                expected.feed(piece)
                own.feed(piece)
                self.assertEqual(own.seen, expected.seen)
        for message in RESPONSES:
            pieces = [message[i : i + 1] for i in range(len(message))]
            for ends in (False, True):
                expected_seen = read_by_h11(b"GET", pieces, ends)
                self.assertEqual(read_by_own(b"GET", pieces, ends), expected_seen)


NAMES = st.sampled_from(
    [
        b"a",
        b"X-B",
        b"Content-Length",
        b"transfer-encoding",
        b"Connection",
        b"b\r",
        b"b c",
    ]
)
VALUES = st.sampled_from(
    *[
        [b"", b"0", b"3", b"3, 3", b"close", b"keep-alive", b"chunked", b"Chunked"]
        + [
            b"gzip",
            b"a b",
            b" a",
            b"a ",
            b"a\r\nb: c",
            b"a\nb",
            b"a\0",
            b"\xe9",
            b"x\rx",
        ]
    ]
)


class WriteTest(CaseTest):
    """What is sent is refused or serialized as by h11."""

    @settings(max_examples=400, deadline=None)
    @given(
        st.sampled_from([b"GET", b"HEAD"]),
        st.sampled_from([b"1.0", b"1.1"]),
        st.sampled_from([b"", b"Connection: close\r\n"]),
        st.sampled_from([200, 204, 304, 503]),
        st.lists(st.tuples(NAMES, VALUES), max_size=4),
        st.lists(st.sampled_from([b"", b"a", b"abc"]), max_size=3),
    )
    @example(b"GET", b"1.1", b"", 200, [(b"a", b"b\r\nc: d")], [])
    @example(b"GET", b"1.0", b"", 200, [(b"Connection", b" a")], [])
    def test_responses(
        self,
        method: bytes,
        version: bytes,
        extra: bytes,
        status: int,
        headers: list[tuple[bytes, bytes]],
        parts: list[bytes],
    ) -> None:
        request = b"%s / HTTP/%s\r\nHost: x\r\n%s\r\n" % (method, version, extra)
        expected, keeps = write_by_h11(request, status, headers, parts)
        own, own_keeps = write_by_own(request, status, headers, parts)
        if expected is None and method == b"HEAD" and own is not None:
            # A body that HEAD does not get is left out.
            expected, keeps = write_by_h11(request, status, headers, [])
        self.assertEqual((own, own_keeps), (expected, keeps))

    @settings(max_examples=300, deadline=None)
    @given(
        st.sampled_from([b"GET", b"POST", b"B D", b"", b"G\n"]),
        st.sampled_from([b"/", b"/a b", b"/\r\n", b"/\xe9", b""]),
        st.lists(st.tuples(NAMES | st.just(b"Host"), VALUES), max_size=4),
        st.sampled_from([b"", b"abc"]),
    )
    def test_requests(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        for full in (headers, [*headers, (b"host", b"x")]):
            protocol = ClientProtocol(MessageReader(MAX_INCOMPLETE_BYTES))
            own: bytes | None = None
            try:
                parts = protocol.encode_request(RequestHead(method, target, full), body)
                own = b"".join(parts)
            except MalformedMessageError:
                pass
            connection = h11.Connection(h11.CLIENT)
            expected: bytes | None = None
            try:
                request = h11.Request(method=method, target=target, headers=full)
                expected = connection.send(request)
                if body:
                    expected += connection.send(h11.Data(data=body))
                expected += connection.send(h11.EndOfMessage())
            except h11.LocalProtocolError:
                expected = None
            self.assertEqual(own, expected)


def write_by_h11(
    request: bytes, status: int, headers: list[tuple[bytes, bytes]], parts: list[bytes]
) -> tuple[bytes | None, bool]:
    """Return what h11 sends, None if it refuses, and whether it goes on after it."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(request)
    while connection.their_state in (h11.IDLE, h11.SEND_BODY):
        connection.next_event()
    try:
        data = connection.send(h11.Response(status_code=status, headers=headers))
        for part in parts:
            data += connection.send(h11.Data(data=part))
        data += connection.send(h11.EndOfMessage())
    except h11.LocalProtocolError:
        return None, False
    return data, connection.our_state is h11.DONE


def write_by_own(
    request: bytes, status: int, headers: list[tuple[bytes, bytes]], parts: list[bytes]
) -> tuple[bytes | None, bool]:
    """Return the same of the side under test."""
    protocol = ServerProtocol(MessageReader(MAX_INCOMPLETE_BYTES))
    protocol.reader.feed(request)
    protocol.read_head()
    while protocol.read_body():
        pass
    try:
        data = protocol.encode_head(status, headers)
        for part in parts:
            data += protocol.encode_body(part)
        data += protocol.encode_end()
    except MalformedMessageError:
        return None, False
    return data, protocol.start_next_cycle()
