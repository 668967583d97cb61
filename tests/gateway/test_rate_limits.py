"""Endpoints that name the request rate they accept, through whole routers."""

from random import Random
from typing import Any

from anyio import (
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from attrs import define, evolve, field

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.const import BID_PATH
from pistachiolever.admission.models import BidCall, EngineReport
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_relay import CONFIGURATION, HEAD, Endpoint, _exchange, id_of
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

ROUTERS = 3
RATE = 4.0
# Requests a second of the callers of each router.
DEMAND = 12.0
# A deployment counts from its contact time on, at least 3 s.
WARM_UP_SECONDS = 1.0
WINDOW_SECONDS = 3.0
# What the users allow: one and a half times the rate, and 5 requests.
MAX_REQUESTS = 1.5 * RATE * WINDOW_SECONDS + 5
MIN_REQUESTS = 0.5 * RATE * WINDOW_SECONDS


@define
class LimitedEndpoint(Endpoint):
    """An endpoint that names its limit in each response; keeps the arrival times."""

    arrivals: list[float] = field(factory=list)


async def respond_limited(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a correct response that names the limit."""
    assert isinstance(endpoint, LimitedEndpoint)
    endpoint.arrivals.append(current_time())
    headers = HEAD % id_of(head) + b"X-Rate-Limit: %.1f\r\n" % RATE
    await stream.send(headers + b"Content-Length: 4\r\n\r\ngood")


class SilentProbe:
    """An engine that reports nothing."""

    async def report(self) -> EngineReport:
        """Raise PeerError."""
        raise PeerError("no report", False)


@define
class AgentClient(PeerClient):
    """Calls the agent in this process."""

    agent: AgentProcess | None = None

    async def call(self, *args: Any) -> Any:
        """Let the agent handle a bid or progress."""
        _, path, message = args[:3]
        if self.agent is None:
            raise PeerError("unreachable", False)
        if path == BID_PATH:
            assert isinstance(message, BidCall)
            return await self.agent._handle_bid(message)
        return await self.agent._handle_progress(message)


def make_router(number: int, client: PeerClient) -> GatewayProcess:
    """Return one of ROUTERS routers."""
    front, ready = free_address(), free_address()
    name = f"r{number}"
    settings = GatewaySettings(name, "north", front, ready, "/ready", 2, 1, 10, 99)
    events = make_discarding_logger(name)
    view = FleetView(
        settings, lambda _: CONFIGURATION, client, events, Random(number), current_time
    )
    view.table = RouteTable(CONFIGURATION)
    view.update_router_count(ROUTERS)
    watcher = RegistryWatcher(
        MemberChoice(name, "north", list), PeerClient(), view, events
    )
    return GatewayProcess(settings, HeaderFormat(), view, watcher)


async def send_steadily(group: TaskGroup, address: str, name: str) -> None:
    """Send DEMAND requests a second, each on a connection of its own."""
    for number in range(int(DEMAND * (WARM_UP_SECONDS + WINDOW_SECONDS + 0.5))):
        request = (
            b"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s-%d\r\n"
            b"X-Deadline-Ms: 1500\r\nConnection: close\r\n"
            b"Authorization: Bearer key\r\n\r\n" % (name.encode(), number)
        )
        group.start_soon(_exchange, address, request, [], 0.0)
        await sleep(1 / DEMAND)


class RateLimitTest(CaseTest):
    """All routers together keep to the rate that an endpoint names."""

    # Endpoints got all requests that callers sent, whatever rate they had named.
    def test_routers_with_an_agent_exceeded_the_rate_of_an_endpoint(self) -> None:
        self.check(run(self.count_requests, True))

    # The same, where each router decides alone.
    def test_routers_without_an_agent_exceeded_the_rate_of_an_endpoint(self) -> None:
        self.check(run(self.count_requests, False))

    def check(self, count: int) -> None:
        """Check the requests within the window."""
        self.assertLessEqual(count, MAX_REQUESTS)
        self.assertGreaterEqual(count, MIN_REQUESTS)

    async def count_requests(self, has_agent: bool) -> int:
        """Return the requests that the endpoint got within the window."""
        endpoint = LimitedEndpoint(respond_limited)
        agent = AgentProcess(SilentProbe(), make_discarding_logger("a"), Random(1))
        client = AgentClient()
        client.agent = agent if has_agent else None
        routers = [make_router(number, client) for number in range(ROUTERS)]
        started_at = 0.0
        with fail_after(15):
            async with create_task_group() as group:
                listener = await create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                group.start_soon(listener.serve, endpoint.serve)
                group.start_soon(agent.run)
                announcement = Announcement(
                    "e0", 1, 1, EndpointState.READY, "s", "", "north", 8
                )
                announcement = evolve(
                    announcement,
                    address=f"127.0.0.1:{port}",
                    agent="a:1" if has_agent else "",
                )
                for router in routers:
                    group.start_soon(router.run)
                    router.fleet.apply_announcements([announcement])
                for router in routers:
                    await wait_until_listening(router.settings.front_address)
                started_at = current_time()
                async with create_task_group() as callers:
                    for router in routers:
                        settings = router.settings
                        callers.start_soon(
                            send_steadily,
                            callers,
                            settings.front_address,
                            settings.node_id,
                        )
                group.cancel_scope.cancel()
        begin = started_at + WARM_UP_SECONDS
        return sum(begin <= at < begin + WINDOW_SECONDS for at in endpoint.arrivals)
