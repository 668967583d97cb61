"""Connections that are forwarded over loopback, on both event loops.

The siblings are servers of the HTTP layer, or fakes that end a connection in some way.
"""

from collections.abc import Awaitable, Callable
from random import Random
from socket import socket
from time import monotonic
from unittest.mock import Mock, patch

from anyio import (
    BrokenResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketStream
from attrs import define, field, frozen
from nose2.tools import params

from pistachiolever.events.logger import EventLogger
from pistachiolever.forwarding.const import (
    FORWARD_GAP_SECONDS,
    GREETING_REPLY,
    PREFACE,
    REFUSAL,
    SILENT_PAUSE_SECONDS,
)
from pistachiolever.forwarding.forwarder import (
    ForwardedScreen,
    Forwarder,
    without_preface,
)
from pistachiolever.forwarding.splice import Splice
from pistachiolever.http1.connection import Exchange
from pistachiolever.http1.const import READ_BYTES
from pistachiolever.http1.server import ForwardedEntry, HttpServer
from pistachiolever.metrics.instruments import Instruments
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

LIMIT_SECONDS = 10.0
BURST = 5
REFUSED = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
HEAD = b"POST /one HTTP/1.1\r\nHost: x\r\nX-Id: 7\r\nContent-Length: %d\r\n\r\n"
HALF_RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"
LOOPS = [False, True]
# Ends of a sibling that has not got the request.
EARLY_ENDS = [
    "refuses",
    "refuses the request",
    "is gone",
    "before the request",
    "is no sibling",
    "stands still",
]
# A response may take so long, and a late one comes this much later at most.
RESPONSE_SECONDS = 0.8
LATE_SECONDS = 0.4


@define
class Router:
    """A router that forwards all it gets, and takes all of siblings.

    The response to a request may take `seconds`.
    """

    configuration: int = 3
    takes: bool = True
    seconds: float = LIMIT_SECONDS
    forwarded: int = 0
    most_forwarded: int = 0

    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration

    def request_id_of(self, head: bytes) -> str:
        """Return the id of a request."""
        return head.partition(b"X-Id: ")[2].partition(b"\r\n")[0].decode()

    def response_seconds(self, head: bytes) -> float:
        """Return the time for a response."""
        return self.seconds

    def may_forward(self) -> bool:
        """Forward all."""
        return True

    def may_take(self, head: bytes) -> bool:
        """Return whether to take a connection."""
        return self.takes and head.startswith(b"POST /one ")

    def refuse(self, head: bytes) -> bytes:
        """Return the refusal."""
        return REFUSED

    def count_forwarded(self, change: int) -> None:
        """Count connections."""
        self.forwarded += change
        self.most_forwarded = max(self.most_forwarded, self.forwarded)

    def is_busy(self) -> bool:
        """Ask for siblings often."""
        return True

    def is_active(self) -> bool:
        """Look at each connection."""
        return True

    def refusal(self, head: bytes) -> bytes:
        """Refuse what no sibling takes."""
        return REFUSED


@frozen
class Finder:
    """Knows the siblings."""

    addresses: list[str]

    async def find(self) -> list[str]:
        """Return their addresses."""
        return self.addresses


@define
class Sibling:
    """A server that answers with the body of the request, and notes who left."""

    router: Router = field(factory=Router)
    bodies: list[bytes] = field(factory=list)
    left: int = 0
    waits: bool = False

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request, or wait until its caller has left."""
        body = await exchange.read_body()
        self.bodies.append(body)
        try:
            if self.waits:
                await sleep(LIMIT_SECONDS)
        finally:
            self.left += self.waits
        await exchange.start(200, [(b"transfer-encoding", b"chunked")])
        await exchange.send(body)
        await exchange.finish()

    def server(self) -> HttpServer:
        """Return the server."""
        screen = ForwardedScreen(self.router)
        entry = ForwardedEntry(
            free_address(), screen, without_preface, REFUSAL, screen.greet
        )
        return HttpServer(free_address(), self.handle, entry=entry)


@define
class Setup:
    """A forwarding router and its siblings, while they run."""

    address: str
    forwarder: Forwarder
    lines: list[str]


Test = Callable[[Setup], Awaitable[None]]


async def fake_sibling(end: str, stream: SocketStream) -> None:
    """Take a connection and end it in some way; the request comes after a greeting."""
    async with stream:
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive()
        if end == "before the request":
            return
        if end == "is no sibling":
            await stream.send(HALF_RESPONSE)
            return
        if end == "refuses":
            await stream.send(REFUSAL[:20])
            await sleep(0.02)
            await stream.send(REFUSAL[20:])
            return
        await stream.send(GREETING_REPLY[:5])
        await sleep(0.02)
        await stream.send(GREETING_REPLY[5:])
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive()
        if end == "refuses the request":
            await stream.send(REFUSAL)
        elif end.endswith("in the response"):
            await stream.send(HALF_RESPONSE)
        if end.startswith("stands still"):
            await sleep(LIMIT_SECONDS)


async def read_all(stream: SocketStream) -> bytes:
    """Return what comes until the end of the connection."""
    received = b""
    while True:
        try:
            received += await stream.receive()
        except (EndOfStream, BrokenResourceError):
            return received


async def send_burst(setup: Setup) -> None:
    """Send some requests that arrive before the first one is answered."""
    host, port = setup.address.split(":")
    connections = [socket() for _ in range(BURST)]
    for connection in connections:
        connection.connect((host, int(port)))
        connection.send(HEAD % 4 + b"body")
    for connection in connections:
        connection.setblocking(False)
    await sleep(FORWARD_GAP_SECONDS / 5)
    while setup.forwarder.count():
        await sleep(0.01)
    for connection in connections:
        connection.close()


class ForwarderTest(CaseTest):
    """Callers get whole responses of siblings, or true refusals."""

    def play(
        self,
        siblings: list[Sibling | str],
        test: Test,
        use_uvloop: bool,
        seconds: float = LIMIT_SECONDS,
    ) -> tuple[Router, list[str]]:
        """Run a test with a forwarding router; return the router and its log."""
        router, lines = Router(seconds=seconds), list[str]()
        standing = [socket() for end in siblings if end == "stands still"]
        unused = iter(standing)

        async def play() -> None:
            async with create_task_group() as group:
                addresses: list[str] = []
                for sibling in siblings:
                    if isinstance(sibling, Sibling):
                        server = sibling.server()
                        group.start_soon(server.serve)
                        await wait_until_listening(server.address)
                        assert server.entry is not None
                        addresses.append(server.entry.address)
                    elif sibling == "is gone":
                        addresses.append(free_address())
                    elif sibling == "stands still":
                        # The system accepts connections for it.
                        address = free_address()
                        host, _, port = address.rpartition(":")
                        still = next(unused)
                        still.bind((host, int(port)))
                        still.listen()
                        addresses.append(address)
                    else:
                        address = free_address()
                        host, _, port = address.rpartition(":")
                        listener = await create_tcp_listener(
                            local_host=host, local_port=int(port)
                        )

                        async def take(
                            stream: SocketStream, end: str = sibling
                        ) -> None:
                            await fake_sibling(end, stream)

                        group.start_soon(listener.serve, take)
                        addresses.append(address)
                forwarder = Forwarder(
                    router,
                    Finder(addresses),
                    EventLogger("r", lambda: 0, lines.append),
                    Instruments(),
                    Random(1),
                    current_time,
                )
                own = HttpServer(
                    free_address(),
                    Sibling().handle,
                    screen=router,
                    forwarder=forwarder,
                )
                group.start_soon(own.serve)
                group.start_soon(forwarder.run)
                await wait_until_listening(own.address)
                while len(forwarder.table.sibling_by_address) < len(addresses):
                    await sleep(0.01)
                with fail_after(LIMIT_SECONDS):
                    await test(Setup(own.address, forwarder, lines))
                    while forwarder.count():
                        await sleep(0.01)
                group.cancel_scope.cancel()

        run(play, backend_options={"use_uvloop": use_uvloop})
        for still in standing:
            still.close()
        return router, lines

    def ask(
        self,
        siblings: list[Sibling | str],
        use_uvloop: bool,
        body: bytes = b"body",
        seconds: float = LIMIT_SECONDS,
    ) -> tuple[bytes, Router, list[str]]:
        """Return what a caller receives, the router and its log."""
        received = b""

        async def ask(setup: Setup) -> None:
            nonlocal received
            host, _, port = setup.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(HEAD % len(body) + body)
                received = await read_all(stream)

        router, lines = self.play(siblings, ask, use_uvloop, seconds)
        return received, router, lines

    @params(*LOOPS)
    def test_sibling_answers_one_request_of_a_connection(self, loop: bool) -> None:
        for body in (b"body", 3 * READ_BYTES * b"x"):
            with self.subTest(len(body)):
                sibling = Sibling()
                received, router, lines = self.ask([sibling], loop, body)
                self.assertTrue(received.startswith(b"HTTP/1.1 200"))
                self.assertIn(b"connection: close", received)
                self.assertTrue(received.endswith(b"0\r\n\r\n"))
                self.assertEqual(sibling.bodies, [body])
                self.assertEqual((router.forwarded, router.most_forwarded), (0, 1))
                self.assertIn('"outcome":"answered"', lines[-1])
                self.assertIn('"request":"7"', lines[-1])

    # CONFIG: a connection to a sibling that stood still was accepted by its system, and
    # the request got no response before its caller left.
    @params(*[(end, loop) for end in EARLY_ENDS for loop in LOOPS])
    def test_next_sibling_is_tried(self, end: str, loop: bool) -> None:
        for _ in range(5):
            sibling = Sibling()
            received, _, _ = self.ask([end, sibling], loop)
            self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
            self.assertEqual(sibling.bodies, [b"body"])

    @params(*[(end, loop) for end in EARLY_ENDS for loop in LOOPS])
    def test_caller_is_refused_if_no_sibling_takes_it(
        self, end: str, loop: bool
    ) -> None:
        received, router, _ = self.ask([end, end], loop)
        self.assertEqual((received, router.forwarded), (REFUSED, 0))

    # CONFIG: a request would be handled by an older configuration than an earlier one.
    @params(2, 4)
    def test_sibling_with_another_configuration_takes_nothing(self, other: int) -> None:
        sibling = Sibling(Router(configuration=other))
        received, _, _ = self.ask([sibling], True)
        self.assertEqual((received, sibling.bodies), (REFUSED, []))

    # DENIED: where a link lost packets, the preface came late, was taken for a request,
    # and its caller got 400.
    @params(b"", b"FORW", b"FORWARD 3\r\nPOST /one HT")
    def test_connection_whose_head_is_late_is_refused(self, begin: bytes) -> None:
        sibling = Sibling()
        received = b""

        async def connect_late() -> None:
            nonlocal received
            server = sibling.server()
            assert server.entry is not None
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.entry.address)
                host, _, port = server.entry.address.rpartition(":")
                async with await connect_tcp(host, int(port)) as stream:
                    if begin:
                        await stream.send(begin)
                    with fail_after(LIMIT_SECONDS):
                        received = await read_all(stream)
                group.cancel_scope.cancel()

        run(connect_late)
        self.assertEqual((received, sibling.bodies), (REFUSAL, []))

    # REFUSED, TWICE: the request of a sibling that has ended may have run.
    @params(*LOOPS)
    def test_outcome_is_unknown_if_the_sibling_ends(self, loop: bool) -> None:
        sibling = Sibling()
        received, _, lines = self.ask(["ends"], loop)
        self.assertTrue(received.startswith(b"HTTP/1.1 502"), received)
        self.assertIn('"outcome":"broken-off"', lines[-1])
        self.assertEqual(sibling.bodies, [])

    # CONFIG: a request of which the sibling stood still got no response.
    @params(*[(end, loop) for end in ("", " in the response") for loop in LOOPS])
    def test_response_ends_in_time_if_the_sibling_stands_still(
        self, end: str, loop: bool
    ) -> None:
        started_at = monotonic()
        received, router, lines = self.ask(
            [f"stands still with the request{end}"], loop, seconds=RESPONSE_SECONDS
        )
        self.assertLess(monotonic() - started_at, RESPONSE_SECONDS + LATE_SECONDS)
        self.assertIn('"outcome":"timed-out"', lines[-1])
        self.assertEqual(router.forwarded, 0)
        if end:
            self.assertEqual(received, HALF_RESPONSE)
        else:
            self.assertTrue(received.startswith(b"HTTP/1.1 504"), received)

    # Its connections were accepted, so it got more and more.
    @params(*LOOPS)
    def test_sibling_that_stands_still_gets_nothing_until_it_goes_on(
        self, loop: bool
    ) -> None:
        frees: list[bool] = []

        async def ask(setup: Setup) -> None:
            host, _, port = setup.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(HEAD % 4 + b"body")
                await read_all(stream)
            table = setup.forwarder.table
            for seconds in (0.0, SILENT_PAUSE_SECONDS):
                frees.append(table.has_free(current_time() + seconds))

        _, lines = self.play(["stands still"], ask, loop)
        self.assertEqual(frees, [False, True])
        self.assertIn('"outcome":"silent"', lines[-1])

    # A router of an earlier version sends the request with the preface.
    @params(*LOOPS)
    def test_request_without_a_greeting_is_taken(self, loop: bool) -> None:
        sibling = Sibling()
        received = b""

        async def connect() -> None:
            nonlocal received
            server = sibling.server()
            assert server.entry is not None
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await wait_until_listening(server.entry.address)
                host, _, port = server.entry.address.rpartition(":")
                async with await connect_tcp(host, int(port)) as stream:
                    await stream.send(PREFACE % 3 + HEAD % 4 + b"body")
                    with fail_after(LIMIT_SECONDS):
                        received = await read_all(stream)
                group.cancel_scope.cancel()

        run(connect, backend_options={"use_uvloop": loop})
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertEqual(sibling.bodies, [b"body"])

    # MIXED: a response that a sibling broke off must not look whole.
    @params(*LOOPS)
    def test_response_that_is_broken_off_is_not_whole(self, loop: bool) -> None:
        received, _, _ = self.ask(["in the response"], loop)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertNotIn(b"502", received)

    # SHORT: connections for which no sibling had a turn were set up to be refused, and
    # took the time of those that were served.
    @params(*LOOPS)
    def test_sibling_gets_one_connection_of_a_burst(self, loop: bool) -> None:
        router, lines = self.play([Sibling()], send_burst, loop)
        self.assertEqual(len(lines), 1)
        self.assertIn('"outcome":"answered"', lines[0])
        self.assertEqual(router.most_forwarded, 1)

    # Processes ended by themselves: an error on one connection ended all of them.
    @params(*LOOPS)
    def test_unexpected_error_ends_one_connection(self, loop: bool) -> None:
        sibling = Sibling()
        responses: list[bytes] = []

        async def ask_twice(setup: Setup) -> None:
            host, _, port = setup.address.rpartition(":")
            for forward in (Mock(side_effect=RuntimeError), Splice.forward):
                with patch.object(Splice, "forward", forward):
                    async with await connect_tcp(host, int(port)) as stream:
                        await stream.send(HEAD % 4 + b"body")
                        responses.append(await read_all(stream))
                await sleep(2 * FORWARD_GAP_SECONDS)

        _, lines = self.play([sibling], ask_twice, loop)
        self.assertEqual(responses[0], b"")
        self.assertTrue(responses[1].startswith(b"HTTP/1.1 200"))
        self.assertIn('"outcome":"broken-off"', lines[0])

    # GONE: engines worked on for callers that had left the forwarding router.
    @params(*LOOPS)
    def test_sibling_learns_that_the_caller_has_left(self, loop: bool) -> None:
        sibling = Sibling(waits=True)

        async def leave(setup: Setup) -> None:
            host, _, port = setup.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(HEAD % 4 + b"body")
                while not sibling.bodies:
                    await sleep(0.01)
            while not sibling.left:
                await sleep(0.01)

        _, lines = self.play([sibling], leave, loop)
        self.assertIn('"outcome":"caller-left"', lines[-1])

    # LOST: requests at siblings were cut without an answer when the router stopped.
    @params(*LOOPS)
    def test_requests_at_siblings_are_answered_when_the_router_stops(
        self, loop: bool
    ) -> None:
        sibling = Sibling(waits=True)
        received = b""

        async def stop(setup: Setup) -> None:
            nonlocal received
            host, _, port = setup.address.rpartition(":")
            async with await connect_tcp(host, int(port)) as stream:
                await stream.send(HEAD % 4 + b"body")
                while not sibling.bodies:
                    await sleep(0.01)
                setup.forwarder.abandon()
                received = await read_all(stream)

        self.play([sibling], stop, loop)
        self.assertTrue(received.startswith(b"HTTP/1.1 502"), received)
