"""Graceful shutdown: readiness fails first, responses end, then the process stops."""

from collections import Counter
from random import Random

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from attrs import define, field

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.const import BALANCER_REMOVAL_SECONDS
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_relay import (
    CONFIGURATION,
    EVENTS,
    HEAD,
    Endpoint,
    Script,
    chunk,
    hold,
    id_of,
    respond,
)
from tests.http1.test_server import read_all
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

GRACE_SECONDS = 6.0
REQUEST = (
    b"GET /talk/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: id1\r\n"
    b"Authorization: Bearer key\r\n\r\n"
)
PLAIN_REQUEST = (
    b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: id1\r\n"
    b"Authorization: Bearer key\r\nConnection: close\r\n\r\n"
)

LONG_REQUEST = PLAIN_REQUEST.replace(b"/read/", b"/file/")


async def slow_stream(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Stream for longer than the load balancer keeps sending connections."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    for event in EVENTS:
        await stream.send(chunk(event))
        await sleep(0.55)
    await stream.send(b"0\r\n\r\n")


async def status_of(address: str, request: bytes) -> bytes:
    """Return the status of one request, or nothing if the connection is refused."""
    host, _, port = address.rpartition(":")
    try:
        async with await connect_tcp(host, int(port)) as stream:
            await stream.send(request)
            return (await read_all(stream)).split(b" ")[1]
    except OSError:
        return b""


@define
class DrainingRouter:
    """A router with one endpoint that can be told to drain."""

    script: Script
    endpoint: Endpoint | None = None
    statuses: Counter[bytes] = field(factory=Counter)
    settings: GatewaySettings = field(init=False)
    process: GatewayProcess = field(init=False)

    async def start(self, group: TaskGroup) -> None:
        """Start the router and its endpoint."""
        self.settings = GatewaySettings(
            "r",
            "north",
            free_address(),
            free_address(),
            "/ready",
            GRACE_SECONDS,
            1,
            10,
            99,
        )
        events = make_discarding_logger("r")
        fleet = FleetView(
            self.settings,
            lambda _: CONFIGURATION,
            PeerClient(),
            events,
            Random(1),
            current_time,
        )
        fleet.table = RouteTable(CONFIGURATION)
        watcher = RegistryWatcher(
            MemberChoice("r", "north", list), PeerClient(), fleet, events
        )
        self.process = GatewayProcess(self.settings, HeaderFormat(), fleet, watcher)
        group.start_soon(self.process.run)
        listener = await create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        endpoint = self.endpoint or Endpoint(self.script)
        group.start_soon(listener.serve, endpoint.serve)
        announcement = Announcement(
            "e", 1, 1, EndpointState.READY, "s", f"127.0.0.1:{port}", "north", 64
        )
        fleet.apply_announcements([announcement])
        await wait_until_listening(self.settings.front_address)

    async def send(self, request: bytes) -> bytes:
        """Send a request on a connection of its own; return the raw answer."""
        host, _, port = self.settings.front_address.rpartition(":")
        async with await connect_tcp(host, int(port)) as caller:
            await caller.send(request)
            return await read_all(caller)

    async def load(self, request: bytes) -> None:
        """Send requests one after the other until the router takes none any more."""
        while True:
            try:
                answer = await self.send(request)
            except OSError:
                # The connection was not established: nothing was sent.
                return
            except BrokenResourceError:
                answer = b"- reset"
            self.statuses[answer.split(b" ")[1] if answer else b"empty"] += 1

    async def readiness(self) -> bytes:
        """Return the status of a readiness check."""
        ready = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return await status_of(self.settings.ready_address, ready)


class DrainTest(CaseTest):
    """The stop signal arrives during a stream."""

    def test_stream_completes_before_shutdown(self) -> None:
        async def test() -> None:
            router = DrainingRouter(slow_stream)
            answers: list[bytes] = []

            async def call() -> None:
                answers.append(await router.send(REQUEST))

            with fail_after(20):
                async with create_task_group() as group:
                    await router.start(group)
                    self.assertEqual(await router.readiness(), b"200")
                    group.start_soon(call)
                    await sleep(0.2)
                    group.start_soon(router.process.drain)
                    await sleep(0.1)
                    self.assertEqual(await router.readiness(), b"503")
                    while not answers:
                        await sleep(0.05)
                    await sleep(0.3)
                    self.assertEqual(
                        await status_of(router.settings.front_address, REQUEST), b""
                    )
                    group.cancel_scope.cancel()
            self.assertTrue(answers[0].endswith(b"0\r\n\r\n"))
            self.assertEqual(answers[0].count(b"data: "), len(EVENTS))

        run(test)

    # While all routers drained, none had a listener, and callers found no connection.
    def test_callers_are_answered_until_the_end(self) -> None:
        async def test() -> None:
            router = DrainingRouter(slow_stream)
            with fail_after(20):
                async with create_task_group() as group:
                    await router.start(group)
                    # A stream keeps the router busy for longer than the balancer stays.
                    group.start_soon(router.send, REQUEST)
                    await sleep(0.2)
                    group.start_soon(router.process.drain)
                    await sleep(BALANCER_REMOVAL_SECONDS + 0.2)
                    started_at = current_time()
                    answer = await router.send(REQUEST)
                    self.assertLess(current_time() - started_at, 0.5)
                    self.assertEqual(answer.split(b" ")[1], b"503")
                    self.assertIn(b"retry-after: ", answer)
                    self.assertIn(b"connection: close", answer.lower())
                    group.cancel_scope.cancel()

        run(test)

    # Requests on connections that had just been accepted were cut off at the end.
    def test_planned_stop_under_load_answers_every_request(self) -> None:
        async def test() -> None:
            router = DrainingRouter(respond)
            with fail_after(20):
                async with create_task_group() as group:
                    await router.start(group)
                    async with create_task_group() as callers:
                        for _ in range(20):
                            callers.start_soon(router.load, PLAIN_REQUEST)
                        await sleep(0.3)
                        await router.process.drain()
                        group.cancel_scope.cancel()
            self.assertGreater(router.statuses[b"200"], 100)
            self.assertEqual(set(router.statuses) - {b"200", b"503"}, set())

        for options in ({}, {"use_uvloop": True}):
            with self.subTest(options):
                run(test, backend_options=options)

    # It was closed without an answer when the process ended.
    def test_request_that_lasts_longer_than_the_drain_is_answered(self) -> None:
        async def test() -> list[bytes]:
            router = DrainingRouter(hold)
            answers: list[bytes] = []
            with fail_after(20):
                async with create_task_group() as callers, create_task_group() as group:
                    await router.start(group)

                    async def call() -> None:
                        answers.append(await router.send(LONG_REQUEST))

                    callers.start_soon(call)
                    await sleep(0.1)
                    await router.process.drain()
                    group.cancel_scope.cancel()
            return answers

        (answer,) = run(test)
        self.assertTrue(answer.startswith(b"HTTP/1.1 502 "), answer)

    # Requests that were taken late in a drain were cut off when the process ended.
    def test_request_that_takes_too_long_is_answered_before_the_end(self) -> None:
        async def test() -> list[bytes]:
            router = DrainingRouter(hold)
            answers: list[bytes] = []
            with fail_after(20):
                async with create_task_group() as callers, create_task_group() as group:
                    await router.start(group)

                    async def stop() -> None:
                        await router.process.drain()
                        group.cancel_scope.cancel()

                    async def call(request: bytes) -> None:
                        answers.append(await router.send(request))

                    group.start_soon(stop)
                    await sleep(1.0)
                    # This one keeps the process for some seconds.
                    callers.start_soon(call, REQUEST)
                    await sleep(GRACE_SECONDS - 3.2)
                    callers.start_soon(call, PLAIN_REQUEST)
            return answers

        for answer in run(test):
            self.assertIn(answer.split(b" ")[1:2], ([b"503"], [b"504"]))
