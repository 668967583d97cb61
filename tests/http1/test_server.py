"""Requests that could mislead an endpoint never reach the handler."""

from anyio import (
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, field

from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.server import Exchange, HttpServer
from tests.support.cases import CaseTest

LIMITS = HttpLimits(2000, 1000, 0.3, 0.5)


_given_ports: set[int] = set()


async def free_address() -> str:
    """Return an address on which nothing listens; never the same one twice.

    The system may hand out a port again as soon as it is closed.
    """
    while True:
        async with await create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(SocketAttribute.local_port)
        if port not in _given_ports:
            _given_ports.add(port)
            return f"127.0.0.1:{port}"


@define
class Echo:
    """A server whose handler answers with the body; keeps what it saw."""

    seen: list[tuple[bytes, bytes]] = field(factory=list)
    cancelled: int = 0
    hold_seconds: float = 0.0

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the body."""
        body = await exchange.read_body()
        self.seen.append((exchange.head.target, body))
        done = False
        try:
            await sleep(self.hold_seconds)
            await exchange.respond(200, [], body)
            done = True
        finally:
            self.cancelled += not done


class Failing(Echo):
    """A server with a fault."""

    async def handle(self, exchange: Exchange) -> None:
        """Fail."""
        raise ZeroDivisionError


async def read_all(stream: SocketStream) -> bytes:
    """Return all bytes until the other side closes."""
    data = b""
    while True:
        try:
            data += await stream.receive()
        except EndOfStream:
            return data


async def talk(echo: Echo, sent: bytes, then_close: bool = False) -> bytes:
    """Send bytes to a server; return what it answers until it closes."""
    server = HttpServer(await free_address(), echo.handle, lambda: LIMITS)
    answer = b""
    with fail_after(5):
        async with create_task_group() as group:
            group.start_soon(server.serve)
            await sleep(0.05)
            host, _, port = server.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(sent)
                if not then_close:
                    answer = await read_all(stream)
            await sleep(0.05)
            group.cancel_scope.cancel()
    return answer


class UnsafeRequestTest(CaseTest):
    """Each case is answered with its status, and the handler sees nothing of it."""

    def test_table(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = {
            "no HTTP": (b"hello\r\n\r\n", 400),
            "two lengths": (b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
            "length and chunks": (b"Content-Length: 3\r\n" + chunked + b"\r\n", 400),
            "unknown coding": (b"Transfer-Encoding: gzip\r\n\r\n", 501),
            "a length that is none": (b"Content-Length: -1\r\n\r\n", 400),
            "a long body": (b"Content-Length: 1001\r\n\r\n", 413),
            "long chunks": (chunked + b"\r\n3e9\r\n" + b"x" * 1001, 413),
            "a broken chunk": (chunked + b"\r\nzz\r\nabc", 400),
            "a long head": (b"X: " + b"x" * 3000 + b"\r\n\r\n", 431),
            "a slow head": (b"X: 1\r\n", 408),
            "two hosts": (b"Host: y\r\nContent-Length: 0\r\n\r\n", 400),
            "a space in a name": (b"X : 1\r\n\r\n", 400),
        }
        for name, (rest, status) in cases.items():
            with self.subTest(name):
                echo = Echo()
                head = b"" if name == "no HTTP" else b"POST /a HTTP/1.1\r\nHost: x\r\n"
                answer = run(talk, echo, head + rest)
                self.assertEqual(answer.split(b" ")[1:2], [b"%d" % status], answer)
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)
                self.assertEqual(echo.seen, [])


class KeptConnectionTest(CaseTest):
    """Several requests follow each other on one connection."""

    def test_requests_sent_at_once(self) -> None:
        echo = Echo()
        one = b"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        two = (
            b"POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        )
        answer = run(talk, echo, one + two)
        self.assertEqual(echo.seen, [(b"/1", b"abc"), (b"/2", b"def")])
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)

    def test_a_caller_that_leaves_ends_its_request(self) -> None:
        echo = Echo(hold_seconds=3.0)
        one = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
        run(talk, echo, one, True)
        self.assertEqual((len(echo.seen), echo.cancelled), (1, 1))

    def test_a_handler_that_fails_ends_only_its_connection(self) -> None:
        answer = run(talk, Failing(), b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(answer, b"")
