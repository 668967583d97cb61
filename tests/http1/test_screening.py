"""New connections of an overloaded server, over real sockets on both event loops."""

from socket import socket, socketpair

from anyio import (
    EndOfStream,
    connect_tcp,
    create_task_group,
    fail_after,
    run,
    sleep,
)
from attrs import define, field

from pistachiolever.http1.connection import Exchange
from pistachiolever.http1.const import READ_BYTES, SCREENING_SECONDS
from pistachiolever.http1.screening import Screening
from pistachiolever.http1.server import HttpServer
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

REFUSED = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
REQUEST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
# An open connection closed by the server is seen long before this time.
LIMIT_SECONDS = 10.0


@define
class PathScreen:
    """Refuses the requests for one path while it is active."""

    active: bool = True
    heads: list[bytes] = field(factory=list)

    def is_active(self) -> bool:
        """Return whether some requests are refused now."""
        return self.active

    def refusal(self, head: bytes) -> bytes:
        """Refuse `/no`."""
        self.heads.append(head)
        return REFUSED if head.startswith(b"POST /no ") else b""


@define
class CountingHandler:
    """Answers each request; keeps the paths."""

    paths: list[str] = field(factory=list)

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the body of the request."""
        body = await exchange.read_body()
        self.paths.append(exchange.head.path)
        await exchange.respond(200, [], body)


async def send(address: str, *parts: bytes) -> bytes:
    """Send a request in parts; return all that comes until the server closes."""
    host, _, port = address.rpartition(":")
    received = b""
    async with await connect_tcp(host, int(port)) as stream:
        for part in parts:
            await stream.send(part)
            await sleep(0.02)
        try:
            while not received.endswith(b"body"):
                received += await stream.receive()
        except EndOfStream:
            pass
    return received


class ScreeningTest(CaseTest):
    """Refused connections cost no task; all others are served as usual."""

    def serve(self, screen: PathScreen, *parts: bytes) -> tuple[bytes, list[str]]:
        """Return what a client receives, and the paths that were handled."""
        handler = CountingHandler()
        received = b""

        async def play() -> None:
            nonlocal received
            server = HttpServer(free_address(), handler.handle, screen=screen)
            with fail_after(LIMIT_SECONDS):
                async with create_task_group() as group:
                    group.start_soon(server.serve)
                    await wait_until_listening(server.address)
                    received = await send(server.address, *parts)
                    group.cancel_scope.cancel()

        run(play, backend_options={"use_uvloop": self.use_uvloop})
        return received, handler.paths

    use_uvloop = False

    def test_request_is_refused_before_it_is_set_up(self) -> None:
        for parts in (
            (REQUEST % b"no",),
            ((REQUEST % b"no")[:9], (REQUEST % b"no")[9:]),
            ((REQUEST % b"no")[:-4], b"body"),
            (b"", REQUEST % b"no"),
        ):
            with self.subTest(parts):
                screen = PathScreen()
                received, paths = self.serve(screen, *parts)
                self.assertEqual((REFUSED, []), (received, paths))

    # What was read before a connection was set up must not be lost.
    def test_request_that_is_taken_is_whole(self) -> None:
        for parts in (
            (REQUEST % b"yes",),
            ((REQUEST % b"yes")[:9], (REQUEST % b"yes")[9:]),
            ((REQUEST % b"yes")[:-2], b"dy"),
        ):
            with self.subTest(parts):
                received, paths = self.serve(PathScreen(), *parts)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"))
                self.assertTrue(received.endswith(b"body"))
                self.assertEqual(["/yes"], paths)

    # FAIR, SHORT: each of hundreds of connections without a request was read from two
    # hundred times a second, by a router that had no processor time left.
    def test_silent_connections_are_not_read(self) -> None:
        screening = Screening(PathScreen(), lambda raw, received: None)
        reads: list[int] = []

        class CountedSocket(socket):
            """Counts its reads."""

            def recv(self, size: int, flags: int = 0) -> bytes:
                reads.append(size)
                return super().recv(size, flags)

        async def play() -> None:
            async with create_task_group() as group:
                group.start_soon(screening.run)
                for near, _ in pairs:
                    screening.offer(near)
                await sleep(20 * SCREENING_SECONDS)
                self.assertEqual(len(pairs), len(reads))
                pairs[0][1].send(REQUEST % b"no")
                await sleep(10 * SCREENING_SECONDS)
                self.assertEqual(REFUSED, pairs[0][1].recv(READ_BYTES))
                self.assertEqual(len(pairs) + 1, len(reads))
                group.cancel_scope.cancel()

        pairs = []
        for _ in range(20):
            near, far = socketpair()
            pairs.append((CountedSocket(fileno=near.detach()), far))
        run(play, backend_options={"use_uvloop": self.use_uvloop})
        for near, far in pairs:
            near.close()
            far.close()

    # A refused request whose body had arrived was reset at a planned stop.
    def test_refused_client_is_not_reset_by_a_stop(self) -> None:
        near, far = socketpair()

        async def play() -> None:
            screening = Screening(PathScreen(), lambda raw, received: None)
            far.send((REQUEST % b"no")[:-4])
            screening.offer(near)
            far.send(b"body")
            screening.close()

        run(play, backend_options={"use_uvloop": self.use_uvloop})
        self.assertEqual(REFUSED, far.recv(READ_BYTES))
        self.assertEqual(b"", far.recv(READ_BYTES))
        far.close()

    def test_inactive_screen_sees_nothing(self) -> None:
        screen = PathScreen(active=False)
        received, paths = self.serve(screen, REQUEST % b"no")
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertEqual((["/no"], []), (paths, screen.heads))


class UvloopScreeningTest(ScreeningTest):
    """The same on the event loop of deployments."""

    use_uvloop = True
