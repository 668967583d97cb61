"""Prompts under which endpoints crash, through a whole router over loopback."""

from collections.abc import Callable
from random import Random

from anyio import (
    CancelScope,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
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
    Result,
    Script,
    _exchange,
    id_of,
    respond,
    value,
)
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

BAD_PART = b"bad0"
ENDPOINTS = 12
# Requests with the part that may still be sent once five endpoints have crashed.
MAX_LATER_SENDS = 3
# The shortest contact time of a deployment is 3 s.
SECONDS_AFTER_FIFTH = 2.0


@define
class CrashingEndpoint(Endpoint):
    """An endpoint that ends when it gets a request with BAD_PART in its prompt."""

    scope: CancelScope = field(factory=CancelScope)

    async def listen(self, on_listening: Callable[[str], None]) -> None:
        """Serve until the endpoint ends."""
        with self.scope:
            listener = await create_tcp_listener(local_host="127.0.0.1")
            on_listening(f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
            async with listener:
                await listener.serve(self.serve)


async def crash_on_bad_part(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """End the endpoint, or send a correct response."""
    assert isinstance(endpoint, CrashingEndpoint)
    if BAD_PART in value(head, b"x-prompt-parts"):
        endpoint.scope.cancel()
        await sleep(1)
    await respond(endpoint, stream, head)


async def crash_within_stream(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send one event of a stream without a length; end the endpoint, or the stream."""
    assert isinstance(endpoint, CrashingEndpoint)
    await stream.send(HEAD % id_of(head) + b"Connection: close\r\n\r\n")
    await stream.send(EVENTS[0])
    if BAD_PART in value(head, b"x-prompt-parts"):
        endpoint.scope.cancel()
        await sleep(1)
    await stream.aclose()


@define
class Fleet:
    """A router, its endpoints and a caller of one path."""

    address: str
    endpoints: list[CrashingEndpoint]
    path: bytes
    count: int = 0

    async def send(self, parts: bytes) -> Result:
        """Send a request with a prompt part of its own after `parts`."""
        self.count += 1
        request = (
            b"GET %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: id%d\r\n"
            b"X-Deadline-Ms: 1500\r\nConnection: close\r\n"
            b"X-Token-Counts: 160,10\r\nX-Prompt-Parts: %s,f%d:10\r\n"
            b"Authorization: Bearer key\r\n\r\n"
        )
        sent = request % (self.path, self.count, parts, self.count)
        return await _exchange(self.address, sent, list(self.endpoints), 0.0)

    async def send_bad(self) -> Result:
        """Send a request under which endpoints end."""
        return await self.send(b"aa:100," + BAD_PART + b":50")

    def ended_count(self) -> int:
        """Return the number of endpoints that have ended."""
        return sum(endpoint.scope.cancel_called for endpoint in self.endpoints)


async def start_fleet(group: TaskGroup, script: Script, path: bytes) -> Fleet:
    """Start a router and ENDPOINTS endpoints that run a script."""
    front, ready = free_address(), free_address()
    settings = GatewaySettings("r", "north", front, ready, "/ready", 2, 1, 10, 99)
    events = make_discarding_logger("r")
    view = FleetView(
        settings, lambda _: CONFIGURATION, PeerClient(), events, Random(1), current_time
    )
    view.table = RouteTable(CONFIGURATION)
    watcher = RegistryWatcher(
        MemberChoice("r", "north", list), PeerClient(), view, events
    )
    group.start_soon(GatewayProcess(settings, HeaderFormat(), view, watcher).run)
    endpoints = [CrashingEndpoint(script) for _ in range(ENDPOINTS)]
    for number, endpoint in enumerate(endpoints):
        base = Announcement(
            f"e{number}", 1, 1, EndpointState.READY, "s", "", "north", 8
        )

        def announce(address: str, base: Announcement = base) -> None:
            view.apply_announcements([evolve(base, address=address)])

        group.start_soon(endpoint.listen, announce)
    await wait_until_listening(front)
    while len(view.handle_by_id) < ENDPOINTS:
        await sleep(0.01)
    return Fleet(front, endpoints, path)


class CrashingPromptTest(CaseTest):
    """One part of a prompt ends each endpoint that begins to answer it."""

    # Requests with that part were sent on to one endpoint after the other until all of
    # them had ended.
    def test_part_that_crashes_endpoints_is_no_longer_sent(self) -> None:
        self.check_with(crash_on_bad_part, b"/read/1", (502, 503))

    # The stream looked complete, so that the part was taken for sound.
    def test_part_that_ends_streams_without_a_length_is_no_longer_sent(self) -> None:
        self.check_with(crash_within_stream, b"/plan/1", (200, 502, 503))

    def check_with(
        self, script: Script, path: bytes, bad_statuses: tuple[int, ...]
    ) -> None:
        """Check a fleet whose endpoints run a script, with requests to a path."""

        async def test() -> None:
            with fail_after(20):
                async with create_task_group() as group:
                    fleet = await start_fleet(group, script, path)
                    await self.check(fleet, bad_statuses)
                    group.cancel_scope.cancel()

        run(test)

    async def check(self, fleet: Fleet, bad_statuses: tuple[int, ...]) -> None:
        """Send sound and bad requests; check what is sent on and what is served."""
        for _ in range(3):
            self.assertEqual((await fleet.send(b"aa:100,bb:50")).status, 200)
        for _ in range(20):
            if fleet.ended_count() < 5:
                self.assertIn((await fleet.send_bad()).status, bad_statuses)
        await sleep(SECONDS_AFTER_FIFTH)
        results = [await fleet.send_bad() for _ in range(20)]
        self.assertLessEqual(sum(r.attempts for r in results), MAX_LATER_SENDS)
        for result in results[MAX_LATER_SENDS:]:
            self.assertEqual(result.status, 503)
            self.assertIn(b"retry-after: ", result.head)
        for parts in (b"aa:100,bb:50", b"aa:100,new:50", b"aa:100"):
            self.assertEqual((await fleet.send(parts)).status, 200)
