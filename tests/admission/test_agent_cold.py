"""Health checks by the agent, and what routers tell it of engines that start cold."""

from collections.abc import Awaitable, Callable
from math import inf
from random import Random
from typing import Any

from anyio import create_task_group, create_tcp_listener, fail_after, run, sleep
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.cold_start import ColdService
from pistachiolever.admission.models import BidCall, BidReply, EngineReport
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.gateway.cold_bids import describe_cold, suspect_cold
from pistachiolever.platform.configuration import decode_configuration
from pistachiolever.platform.endpoints import EngineClient
from pistachiolever.platform.settings import PlatformSettings
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyService
from tests.admission.test_cold_start import PLAIN_BID, SERVICE
from tests.gateway.test_notices import endpoints_of, make_fleet
from tests.platform_adapter.test_formats import changed
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest


@define(eq=False)
class Engine:
    """An engine that reports its start time, and how long it stays cold."""

    seconds: float | None = 0.0
    paths: list[str] = field(factory=list)

    async def report(self) -> EngineReport:
        """Return an empty report."""
        return EngineReport(7, 0, 0, 0, 1000)

    async def cold_seconds(self, health_path: str) -> float:
        """Return the time; raise PeerError without one."""
        self.paths.append(health_path)
        if self.seconds is None:
            raise PeerError("no answer", True)
        return self.seconds


def run_with_agent(
    engine: Engine, test: Callable[[AgentProcess], Awaitable[None]]
) -> None:
    """Run a test with an agent beside an engine."""

    async def run_test() -> None:
        """Cancel the agent at the end of the test."""
        agent = AgentProcess(
            engine, make_discarding_logger("a"), Random(1), health=engine
        )
        with fail_after(10):
            async with create_task_group() as group:
                group.start_soon(agent.run)
                await test(agent)
                group.cancel_scope.cancel()

    run(run_test)


async def bid_for(
    agent: AgentProcess, count: int, cold: ColdService | None
) -> list[BidReply]:
    """Return the replies to bids at the same time, each granted run ends at once."""
    replies: list[BidReply] = []

    async def submit(bid_id: str) -> None:
        bid = evolve(PLAIN_BID, bid_id=bid_id, slots=64, cold=cold)
        replies.append(await agent._handle_bid(BidCall(bid)))

    async with create_task_group() as group:
        for number in range(count):
            group.start_soon(submit, f"{id(replies)}/{number}")
    return replies


class AgentTest(CaseTest):
    """An agent asks its engine only for services with a rate for cold engines."""

    @params(
        ("no rate", None, 0.0, 40, 0),
        ("warm", SERVICE, 0.0, 40, 1),
        ("cold", SERVICE, 5.0, 15, 1),
        ("no answer", SERVICE, None, 15, 1),
    )
    def test_burst(
        self,
        name: str,
        cold: ColdService | None,
        seconds: float | None,
        most: int,
        checks: int,
    ) -> None:
        engine = Engine(seconds)

        async def test(agent: AgentProcess) -> None:
            replies = await bid_for(agent, 40, cold)
            count = sum(reply.granted for reply in replies)
            self.assertLessEqual(count, most, name)
            self.assertGreaterEqual(count, 40 if most == 40 else 5, name)
            await sleep(0.05)
            self.assertEqual(engine.paths, ["/health"] * checks, name)

        run_with_agent(engine, test)


class EngineClientTest(CaseTest):
    """The header of a health response names the time."""

    @params(
        (b"200 OK\r\nCold-Ms: 1500", 1.5),
        (b"200 OK\r\nCold-Ms: 0", 0.0),
        (b"200 OK", 0.0),
        (b"200 OK\r\nCold-Ms: soon", None),
        (b"503 Service Unavailable\r\nCold-Ms: 1500", None),
    )
    def test_response(self, head: bytes, expected: float | None) -> None:
        async def respond(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % head)

        async def ask() -> float | None:
            async with create_task_group() as group:
                listener = await create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                group.start_soon(listener.serve, respond)
                client = EngineClient(f"127.0.0.1:{port}", PeerClient())
                try:
                    return await client.cold_seconds("/health")
                except PeerError:
                    return None
                finally:
                    group.cancel_scope.cancel()
            raise AssertionError

        self.assertEqual(run(ask), expected)


class RouterTest(CaseTest):
    """What a router tells of an engine in its bids."""

    def setUp(self) -> None:
        """Create a router that has heard of a cold engine."""
        self.clock = [100.0]
        endpoint = evolve(endpoints_of(1)[0], cold_seconds=4.0)
        self.fleet = make_fleet([endpoint], self.clock)
        self.handle = self.fleet.handle_by_id["e0"]
        self.service = ProxyService("s", "/health", 8, None, 6.0, 16.0)

    def describe(self, service: ProxyService) -> ColdService | None:
        """Return what a bid tells."""
        return self.fleet.cold_service(service, self.handle)

    def test_announced_time_runs_off(self) -> None:
        expected = ColdService(
            "/health", 16.0, 6.0, 5.0, 4.0, 0.0, agentless_per_second=8.0
        )
        self.assertEqual(self.describe(self.service), expected)
        self.clock[0] += 1.5
        expected = evolve(expected, announced_seconds=2.5, announced_age=1.5)
        self.assertEqual(self.describe(self.service), expected)
        self.assertIsNone(self.describe(ProxyService("s")))

    # Each of them may have been a restart, of which no announcement has come yet.
    @params("unreachable", "evacuated", "agent lost")
    def test_suspicion(self, reason: str) -> None:
        if reason == "unreachable":
            self.fleet.record_unreachable(self.handle, "refused")
        elif reason == "evacuated":
            self.fleet.apply_evacuations(EvacuationOrders(1, ["north"]))
            self.fleet.apply_evacuations(EvacuationOrders(2))
        self.clock[0] += 2.0
        told = self.describe(self.service)
        if reason == "agent lost":
            bid = suspect_cold(evolve(PLAIN_BID, cold=told), 100.0, 102.0)
            told = bid.cold
            self.assertEqual(told and told.requests_per_second, 8.0)
        self.assertEqual(told and told.suspected_age, 2.0)

    def test_overage_below_one_lowers_the_rate(self) -> None:
        settings = evolve(self.fleet.settings, cold_overage=0.5, cold_slack=2.0)
        endpoint = self.handle.endpoint
        told = describe_cold(self.service, endpoint, 100.0, -inf, settings, 100.0)
        assert told is not None
        self.assertEqual((told.requests_per_second, told.burst), (8.0, 2.0))


class FormatTest(CaseTest):
    """Fields of the platform's configuration and settings."""

    def test_configuration(self) -> None:
        for value, expected in ((None, (0.0, 0.0)), (16, (6.5, 16.0))):
            service: dict[str, Any] = {"name": "desk"}
            if value is not None:
                service |= {"coldStartS": 6.5, "coldPerS": value}
            found = decode_configuration(changed("services", 1, value=service))
            desk = found.services[1]
            rates = (desk.cold_start_seconds, desk.cold_requests_per_second)
            self.assertEqual(rates, expected)
        negative = {"name": "desk", "coldPerS": -1}
        with self.assertRaises(InvalidConfigurationError):
            decode_configuration(changed("services", 1, value=negative))

    @params(({}, (1.5, 5.0)), ({"coldOverage": 2, "coldSlack": 0.5}, (2.0, 0.5)))
    def test_settings(
        self, fields: dict[str, Any], expected: tuple[float, float]
    ) -> None:
        bounds = {"graceS": 8, "retryBudgetRatio": 1, "budgetWindowS": 1}
        settings = PlatformSettings(
            {
                "node": "n",
                "zone": "z",
                "listen": {"front": "a:1", "ready": "a:2"},
                "bounds": bounds | {"budgetSlack": 1} | fields,
            }
        ).gateway()
        self.assertEqual((settings.cold_overage, settings.cold_slack), expected)
