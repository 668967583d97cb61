"""A backlog at an endpoint that asks for a pause, in emulated time."""

from random import Random
from typing import Any

from anyio import (
    CancelScope,
    create_task_group,
    current_time,
    run,
    sleep,
)
from attrs import define, field

from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import ConnectionPool, PeerClient
from pistachiolever.emulator.callers import EmulatedSink
from pistachiolever.emulator.clock import EmulatedLoop
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.models import RequestHead, ResponseHead
from pistachiolever.routing.models import (
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest

CALLERS = 300
SLOTS = 8
RUN_SECONDS = 0.05
LATENCY_SECONDS = 0.002
PAUSE_SECONDS = 1.5
# From this time after the answer on at most MAX_REQUESTS may arrive within the pause.
GRACE_SECONDS = 0.5
MAX_REQUESTS = 2
DEADLINE_SECONDS = 9.0
HEADERS = HeaderFormat()
ROUTE = ProxyRoute(
    "read",
    "x",
    "/",
    RequestKind.IDEMPOTENT,
    [WeightedService("s", 1.0)],
    DEADLINE_SECONDS,
    target_seconds=4,
)
CONFIGURATION = ProxyConfiguration(1, [ROUTE], [ProxyService("s")])


@define
class PausingEndpoint:
    """An endpoint that, once it has served some requests, refuses more for a while."""

    served_before: int
    arrivals: list[float] = field(factory=list)
    refusals: list[float] = field(factory=list)
    paused_until: float | None = None

    async def handle(self) -> list[tuple[bytes, bytes]] | None:
        """Handle a request; return the headers of a refusal."""
        now = current_time()
        self.arrivals.append(now)
        if self.paused_until is None and len(self.arrivals) > self.served_before:
            self.paused_until = now + PAUSE_SECONDS
        if self.paused_until is None or now >= self.paused_until:
            await sleep(RUN_SECONDS)
            return None
        self.refusals.append(now)
        retry_after = b"%.3f" % (self.paused_until - now)
        return [(HEADERS.not_run, b"1"), (b"retry-after", retry_after)]

    def arrived_between(self, begin: float, end: float) -> int:
        """Return the number of requests that arrived within a time."""
        return sum(begin < at < end for at in self.arrivals)


@define(eq=False)
class PausingConnection(ClientConnection):
    """A connection to the endpoint."""

    endpoint: PausingEndpoint = field(kw_only=True)
    body: bytes | None = None

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Send a request; return the response head."""
        await sleep(LATENCY_SECONDS)
        refusal = await self.endpoint.handle()
        await sleep(LATENCY_SECONDS)
        request_id = head.value(HEADERS.request_id) or b""
        headers = [(HEADERS.request_id, request_id), (HEADERS.signature, b"s")]
        self.body = b"" if refusal else b"good"
        return ResponseHead(503 if refusal else 200, headers + (refusal or []))

    async def read_chunk(self) -> bytes | None:
        """Return the body, then None."""
        body, self.body = self.body, None
        return body or None

    async def read_all(self, limit: int) -> bytes:
        """Return the body."""
        return await self.read_chunk() or b""

    async def close(self) -> None:
        """Do nothing: there is no socket."""


@define
class PausingPool(ConnectionPool):
    """Connections to the endpoint."""

    endpoint: PausingEndpoint = field(kw_only=True)

    async def open(self, address: str, connect_seconds: float) -> ClientConnection:
        """Return a new connection."""
        no_stream: Any = None
        return PausingConnection(address, no_stream, endpoint=self.endpoint)

    async def release(
        self, connection: ClientConnection, keep_alive_seconds: float = 0.0
    ) -> None:
        """Drop the connection."""


@define
class Backlog:
    """Plain callers, who come back as Retry-After tells them, and their results."""

    fleet: FleetView
    statuses: list[int] = field(factory=list)
    refused_sends: int = 0

    async def call(self, number: int) -> None:
        """Send a request, again after each Retry-After, until its deadline."""
        deadline_at = current_time() + DEADLINE_SECONDS
        while True:
            sink = await self._send(f"{number}-{self.refused_sends}", deadline_at)
            if sink.status != 503 or current_time() + sink.retry_after > deadline_at:
                self.statuses.append(sink.status)
                return
            self.refused_sends += 1
            await sleep(sink.retry_after)

    async def _send(self, request_id: str, deadline_at: float) -> EmulatedSink:
        """Send one request."""
        now = current_time()
        request = ProxyRequest(
            RequestMetadata(request_id, deadline_at - now),
            RequestHead(b"GET", b"/", [(HEADERS.request_id, request_id.encode())]),
            b"",
            ROUTE,
            CONFIGURATION.services[0],
            "account",
            1,
            now,
            now + ROUTE.target_seconds,
            deadline_at,
        )
        sink = EmulatedSink(0.0, CancelScope(), deadline_at)
        await RequestProcessor(self.fleet, HEADERS, request, sink).run()
        return sink


def make_fleet(endpoint: PausingEndpoint) -> FleetView:
    """Return a router's view of one endpoint."""
    settings = GatewaySettings("r", "north", "", "", "", 2, 1, 10, 99)
    fleet = FleetView(
        settings,
        lambda _: CONFIGURATION,
        PeerClient(),
        make_discarding_logger("r"),
        Random(1),
        current_time,
    )
    fleet.pool = PausingPool(endpoint=endpoint)
    fleet.table = RouteTable(CONFIGURATION)
    fleet.apply_announcements(
        [Announcement("e0", 1, 1, EndpointState.READY, "s", "a:1", "north", SLOTS)]
    )
    return fleet


async def run_backlog(endpoint: PausingEndpoint) -> Backlog:
    """Let all callers come at once; return their results."""
    backlog = Backlog(make_fleet(endpoint))
    async with create_task_group() as background:
        background.start_soon(backlog.fleet.run)
        async with create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(backlog.call, number)
        background.cancel_scope.cancel()
    return backlog


class PauseBacklogTest(CaseTest):
    """What waits reaches no paused endpoint, and does not return all at once."""

    # Waiting requests would be sent on within the pause, or all of them at its end.
    def test_backlog_of_300_requests(self) -> None:
        for served_before in (0, 40):
            with self.subTest(served_before=served_before):
                endpoint = PausingEndpoint(served_before)
                backlog = run(
                    run_backlog,
                    endpoint,
                    backend_options={"loop_factory": EmulatedLoop},
                )
                self.check(endpoint, backlog)

    def check(self, endpoint: PausingEndpoint, backlog: Backlog) -> None:
        """Check when requests arrived and that all callers were served."""
        ends_at = endpoint.paused_until
        assert ends_at is not None
        for refused_at in endpoint.refusals:
            begin = refused_at + GRACE_SECONDS
            self.assertLessEqual(endpoint.arrived_between(begin, ends_at), MAX_REQUESTS)
        self.assertGreater(len(endpoint.refusals), 0)
        # Only what was on its way when the pause was asked for is refused.
        self.assertLessEqual(len(endpoint.refusals), SLOTS)
        for fraction in (0.25, 0.5, 1.0):
            end = ends_at + fraction * PAUSE_RAMP_SECONDS
            arrived = endpoint.arrived_between(ends_at, end)
            self.assertLessEqual(arrived, fraction * SLOTS + 1)
        waiting = CALLERS - endpoint.served_before - SLOTS
        self.assertGreaterEqual(backlog.refused_sends, waiting)
        self.assertEqual(backlog.statuses, [200] * CALLERS)
