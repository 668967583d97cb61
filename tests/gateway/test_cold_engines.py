"""Engines that start cold, through whole routers."""

from bisect import bisect
from random import Random

from anyio import (
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
)
from anyio.abc import SocketAttribute, SocketStream
from attrs import evolve
from nose2.tools import params

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.routing.table import RouteTable
from tests.admission.test_agent_cold import Engine
from tests.gateway.test_rate_limits import (
    ROUTERS,
    AgentClient,
    LimitedEndpoint,
    make_router,
    send_steadily,
)
from tests.gateway.test_relay import CONFIGURATION, Endpoint, respond
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import wait_until_listening
from tests.support.cases import CaseTest

RATE = 4.0
# The default bound: one and a half times the rate, and 5 requests.
MOST_IN_A_SECOND = 1.5 * RATE + 5
SERVICE = evolve(
    CONFIGURATION.services[0], cold_start_seconds=30.0, cold_requests_per_second=RATE
)


async def respond_timed(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a correct response; keep the time of the request."""
    assert isinstance(endpoint, LimitedEndpoint)
    endpoint.arrivals.append(current_time())
    await respond(endpoint, stream, head)


class ColdEngineTest(CaseTest):
    """All routers together keep to the rate of a cold engine."""

    # Each router sent what its callers asked for, until the engine crashed.
    @params(
        ("its agent asks it", True, 30.0, True),
        ("its agent is lost", False, 30.0, True),
        ("it is warm", True, 0.0, False),
    )
    def test_requests_in_any_second(
        self, name: str, has_agent: bool, cold_seconds: float, is_limited: bool
    ) -> None:
        times = run(self.arrivals, has_agent, cold_seconds)
        most = max(bisect(times, at + 1.0) - n for n, at in enumerate(times))
        if is_limited:
            self.assertLessEqual(most, MOST_IN_A_SECOND, name)
            self.assertGreaterEqual(len(times), 2 * RATE, name)
        else:
            self.assertGreater(most, 2 * MOST_IN_A_SECOND, name)

    async def arrivals(self, has_agent: bool, cold_seconds: float) -> list[float]:
        """Return the times of the requests that the engine got."""
        endpoint, engine = LimitedEndpoint(respond_timed), Engine(cold_seconds)
        agent = AgentProcess(
            engine, make_discarding_logger("a"), Random(1), health=engine
        )
        client = AgentClient()
        client.agent = agent if has_agent else None
        routers = [make_router(number, client) for number in range(ROUTERS)]
        with fail_after(20):
            async with create_task_group() as group:
                listener = await create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                group.start_soon(listener.serve, endpoint.serve)
                group.start_soon(agent.run)
                announcement = Announcement(
                    "e0", 7, 1, EndpointState.READY, "s", f"127.0.0.1:{port}", "north"
                )
                known = evolve(announcement, slots=8, agent="a:1")
                for router in routers:
                    fleet = router.fleet
                    fleet.table = RouteTable(evolve(CONFIGURATION, services=[SERVICE]))
                    fleet.apply_announcements([known])
                    group.start_soon(router.run)
                for router in routers:
                    await wait_until_listening(router.settings.front_address)
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
        return endpoint.arrivals
