"""Tests of the HTTP server: invalid requests, reused connections, disconnects."""

from collections.abc import Callable
from socket import SO_LINGER, SOL_SOCKET, socket
from struct import pack
from time import sleep as pause_process

from anyio import (
    EndOfStream,
    connect_tcp,
    create_task_group,
    fail_after,
    run,
    sleep,
    to_thread,
    wait_readable,
)
from anyio.abc import SocketStream
from attrs import define, field

from pistachiolever.http1.connection import Exchange
from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.server import HttpServer
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

BURST = 200
LIMITS = HttpLimits(2000, 1000, 0.3, 0.5)


@define
class Echo:
    """A handler that responds with the request body and records its requests."""

    requests: list[tuple[bytes, bytes]] = field(factory=list)
    cancelled: int = 0
    delay_seconds: float = 0.0

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the request body."""
        body = await exchange.read_body()
        self.requests.append((exchange.head.target, body))
        done = False
        try:
            await sleep(self.delay_seconds)
            await exchange.respond(200, [], body)
            done = True
        finally:
            self.cancelled += not done


class Failing(Echo):
    """A handler that raises an exception."""

    async def handle(self, exchange: Exchange) -> None:
        """Raise an exception."""
        raise ZeroDivisionError


class Refusing(Echo):
    """A handler that refuses requests without reading their bodies."""

    async def handle(self, exchange: Exchange) -> None:
        """Refuse the request."""
        await exchange.respond(503, [], b"")


class FailingLate(Echo):
    """A handler that raises an exception within its response."""

    async def handle(self, exchange: Exchange) -> None:
        """Raise an exception after a part of the response."""
        await exchange.start(200, [])
        await exchange.send(b"part")
        raise ZeroDivisionError


async def read_all(stream: SocketStream) -> bytes:
    """Return all bytes until the server closes the connection."""
    data = b""
    while True:
        try:
            data += await stream.receive()
        except EndOfStream:
            return data


async def send_raw(echo: Echo, sent: bytes, then_close: bool = False) -> bytes:
    """Send bytes to a server; return its output until it closes the connection."""
    server = HttpServer(free_address(), echo.handle, lambda: LIMITS)
    answer = b""
    with fail_after(5):
        async with create_task_group() as group:
            group.start_soon(server.serve)
            await wait_until_listening(server.address)
            host, _, port = server.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(sent)
                if then_close:
                    # The server has begun to handle the request by then.
                    await sleep(0.05)
                else:
                    answer = await read_all(stream)
            await sleep(0.05)
            group.cancel_scope.cancel()
    return answer


class UnsafeRequestTest(CaseTest):
    """Requests that could mislead an endpoint are rejected before the handler."""

    def test_rejected_with_status(self) -> None:
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = {
            "not HTTP": (b"hello\r\n\r\n", 400),
            "conflicting lengths": (
                b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            "length and chunked": (b"Content-Length: 3\r\n" + chunked + b"\r\n", 400),
            "unknown transfer encoding": (b"Transfer-Encoding: gzip\r\n\r\n", 501),
            "invalid length": (b"Content-Length: -1\r\n\r\n", 400),
            "body too large": (b"Content-Length: 1001\r\n\r\n", 413),
            "chunked body too large": (chunked + b"\r\n3e9\r\n" + b"x" * 1001, 413),
            "invalid chunk size": (chunked + b"\r\nzz\r\nabc", 400),
            "head too large": (b"X: " + b"x" * 3000 + b"\r\n\r\n", 431),
            "many headers": (b"a:\r\n" * 1000 + b"\r\n", 431),
            "slow head": (b"X: 1\r\n", 408),
            "duplicate host": (b"Host: y\r\nContent-Length: 0\r\n\r\n", 400),
            "space in a header name": (b"X : 1\r\n\r\n", 400),
        }
        for name, (rest, status) in cases.items():
            with self.subTest(name):
                echo = Echo()
                head = b"" if name == "not HTTP" else b"POST /a HTTP/1.1\r\nHost: x\r\n"
                answer = run(send_raw, echo, head + rest)
                self.assertEqual(answer.split(b" ")[1:2], [b"%d" % status], answer)
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)
                self.assertEqual(echo.requests, [])


class ConnectionTest(CaseTest):
    """A connection serves several requests in sequence."""

    def test_pipelined_requests(self) -> None:
        echo = Echo()
        one = b"POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        two = (
            b"POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
        )
        answer = run(send_raw, echo, one + two)
        self.assertEqual(echo.requests, [(b"/1", b"abc"), (b"/2", b"def")])
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)

    def test_disconnect_cancels_request(self) -> None:
        echo = Echo(delay_seconds=3.0)
        one = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
        run(send_raw, echo, one, True)
        self.assertEqual((len(echo.requests), echo.cancelled), (1, 1))

    # A body that came while the process did not run paused reading, and the leaving of
    # its client was noticed only when the response was sent.
    def test_client_that_leaves_after_a_body_read_late(self) -> None:
        head = b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        sent = head % 190_000 + b"x" * 190_000

        async def test() -> int:
            echo = Echo()
            server = HttpServer(free_address(), echo.handle)
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                host, _, port = server.address.rpartition(":")
                with socket() as client:
                    client.connect((host, int(port)))
                    # The system's buffers grow with the first requests.
                    for _ in range(20):
                        await to_thread.run_sync(client.sendall, sent)
                        await wait_readable(client)
                        client.recv(1000)
                    echo.delay_seconds = 2.0
                    # The server does not run meanwhile.
                    client.sendall(sent)
                    with fail_after(1):
                        while len(echo.requests) < 21:
                            await sleep(0.01)
                await sleep(0.5)
                cancelled = echo.cancelled
                group.cancel_scope.cancel()
            return cancelled

        for options in ({}, {"use_uvloop": True}):
            with self.subTest(options):
                self.assertEqual(run(test, backend_options=options), 1)

    # A busy router served requests whose clients had given up before it read them.
    def test_request_of_a_client_that_has_left_is_not_handled(self) -> None:
        async def test() -> int:
            echo = Echo()
            server = HttpServer(
                free_address(),
                echo.handle,
                lambda: LIMITS,
                report_unread=lambda: unread.append(1),
            )
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                host, _, port = server.address.rpartition(":")
                with socket() as client:
                    client.connect((host, int(port)))
                    client.sendall(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
                # Only now the server runs again.
                await sleep(0.05)
                group.cancel_scope.cancel()
            return len(echo.requests)

        unread: list[int] = []
        self.assertEqual(run(test), 0)
        self.assertEqual(len(unread), 1)

    # A router without processor time reset the connections of callers that were still
    # sending the requests which it refused.
    def test_refusal_reaches_a_client_that_is_still_sending(self) -> None:
        async def test() -> bytes:
            server = HttpServer(free_address(), Refusing().handle)
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                host, _, port = server.address.rpartition(":")
                async with await connect_tcp(host, int(port)) as stream:
                    await stream.send(b"POST / HTTP/1.1\r\nHost: x\r\n")
                    await stream.send(b"Content-Length: 300\r\n\r\n")
                    for _ in range(3):
                        await sleep(0.05)
                        await stream.send(b"x" * 100)
                    with fail_after(2):
                        answer = await read_all(stream)
                group.cancel_scope.cancel()
            return answer

        self.assertEqual(run(test)[:12], b"HTTP/1.1 503")

    # A router without processor time kept the bodies of all requests that it refused.
    def test_body_of_a_refused_request_is_not_kept(self) -> None:
        async def test() -> int:
            server = HttpServer(free_address(), Refusing().handle)
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                host, _, port = server.address.rpartition(":")
                async with await connect_tcp(host, int(port)) as stream:
                    await stream.send(b"POST / HTTP/1.1\r\nHost: x\r\n")
                    await stream.send(b"Content-Length: 4000000\r\n\r\n")
                    with fail_after(2):
                        for _ in range(40):
                            await stream.send(b"x" * 100_000)
                    await sleep(0.05)
                    (connection,) = server.connections
                    kept = len(connection.protocol.reader.buffer)
                group.cancel_scope.cancel()
            return kept

        self.assertLess(run(test), 500_000)

    # The caller got no answer at all.
    def test_unexpected_error_of_a_handler_is_answered(self) -> None:
        for extra in (b"", b"Content-Length: 1\r\n"):
            request = b"GET / HTTP/1.1\r\nHost: x\r\n" + extra + b"\r\n"
            answer = run(send_raw, Failing(), request)
            self.assertTrue(answer.startswith(b"HTTP/1.1 502 "), answer)
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)
            self.assertIn(b"connection: close", answer)

    def test_unexpected_error_within_a_response_breaks_it_off(self) -> None:
        answer = run(send_raw, FailingLate(), b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
        self.assertTrue(answer.endswith(b"4\r\npart\r\n"), answer)


class PendingRequestTest(CaseTest):
    """A request that waits in the socket is answered, however late it is read."""

    async def exchange(self, close: Callable[[HttpServer], None]) -> list[bytes]:
        """Send two requests, the second while the server does not run for a while."""
        server = HttpServer(free_address(), Echo().handle, lambda: LIMITS)
        answers: list[bytes] = []
        async with create_task_group() as group:
            group.start_soon(server.serve)
            await wait_until_listening(server.address)
            host, _, port = server.address.rpartition(":")
            with socket() as client:
                client.connect((host, int(port)))
                for pause in (0.0, LIMITS.idle_seconds + 0.1):
                    client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    pause_process(pause)
                    if pause:
                        close(server)
                    await wait_readable(client)
                    answers.append(client.recv(1000))
            group.cancel_scope.cancel()
        return answers

    # The idle timeout had passed when the process ran again: it closed the connection.
    def test_request_that_came_within_the_idle_timeout(self) -> None:
        answers = run(self.exchange, lambda server: None)
        self.assertEqual([answer[:12] for answer in answers], [b"HTTP/1.1 200"] * 2)

    # The connection was closed as an idle one, to make room or in a drain.
    def test_request_on_a_connection_that_is_closed_as_idle(self) -> None:
        answers = run(self.exchange, lambda server: server.close_idle())
        self.assertEqual([answer[:12] for answer in answers], [b"HTTP/1.1 200"] * 2)


class BurstTest(CaseTest):
    """Many clients connect while the server is busy."""

    # One connection was accepted in some turns of the event loop. The others waited
    # until their clients had given up, and so did all that came later.
    def test_burst_is_accepted_within_a_few_turns(self) -> None:
        async def test() -> int:
            turns = 0
            server = HttpServer(free_address(), Echo().handle)

            async def count_turns() -> None:
                nonlocal turns
                while len(server.connections) < BURST:
                    turns += 1
                    await sleep(0)

            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                # The server sees the end of that connection.
                await sleep(0.05)
                host, _, port = server.address.rpartition(":")
                sockets = [socket() for _ in range(BURST)]
                for client in sockets:
                    client.connect((host, int(port)))
                with fail_after(5):
                    await count_turns()
                for client in sockets:
                    client.close()
                group.cancel_scope.cancel()
            return turns

        self.assertLess(run(test), BURST / 4)

    # A client reset its connection before the server had set it up. The error ended the
    # accept loop, and with it the process and all requests that it was serving.
    def test_connection_reset_before_its_setup_ends_no_process(self) -> None:
        async def test() -> bytes:
            server = HttpServer(free_address(), Echo().handle)
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                host, _, port = server.address.rpartition(":")
                for _ in range(3):
                    with socket() as client:
                        client.connect((host, int(port)))
                        client.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", True, 0))
                await sleep(0.05)
                async with await connect_tcp(host, int(port)) as stream:
                    await stream.send(b"POST / HTTP/1.1\r\nHost: x\r\n")
                    await stream.send(b"Content-Length: 2\r\n\r\nok")
                    answer = await stream.receive()
                group.cancel_scope.cancel()
            return answer.partition(b"\r\n\r\n")[2]

        self.assertEqual(run(test), b"ok")


class CloseTest(CaseTest):
    """A listener is closed while clients connect."""

    # Connections established between the last look for pending ones and the end of the
    # listener were reset, with the requests that they carried.
    def test_all_established_connections_are_served(self) -> None:
        async def test() -> list[bytes]:
            server = HttpServer(free_address(), Echo().handle)
            host, _, port = server.address.rpartition(":")
            clients: list[socket] = []
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.address)
                # The server sees the end of that connection.
                await sleep(0.05)
                server.stop_listening()
                while True:
                    client = socket()
                    if client.connect_ex((host, int(port))):
                        client.close()
                        break
                    client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    clients.append(client)
                    await sleep(0)
                answers = [await receive(client) for client in clients]
                group.cancel_scope.cancel()
            return answers

        for options in ({}, {"use_uvloop": True}):
            with self.subTest(options):
                answers = run(test, backend_options=options)
                self.assertGreater(len(answers), 0)
                self.assertEqual({a[:12] for a in answers}, {b"HTTP/1.1 200"})


async def receive(client: socket) -> bytes:
    """Return the first bytes that a client receives, nothing after a reset."""
    with fail_after(5), client:
        await wait_readable(client)
        try:
            return client.recv(1000)
        except ConnectionResetError:
            return b""
