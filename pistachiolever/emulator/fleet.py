"""Connects emulated engines, their admission agents, routers and callers."""

from random import Random

from anyio import create_task_group, current_time, run, sleep, sleep_until
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.settings import AgentSettings
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerApi
from pistachiolever.emulator.bound import min_busy_fraction
from pistachiolever.emulator.callers import Caller
from pistachiolever.emulator.clock import EmulatedLoop
from pistachiolever.emulator.const import ENGINE_START_MS, HOST, SERVICE_ID
from pistachiolever.emulator.engine import EngineCounters, EngineModel
from pistachiolever.emulator.links import (
    EmulatedEngine,
    EmulatedPeerClient,
    EmulatedPool,
)
from pistachiolever.emulator.load import LoadGenerator
from pistachiolever.emulator.models import Arrival, LoadShape, Release
from pistachiolever.emulator.scoring import Score, ScoreCollector
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.routing.models import (
    EngineCapacity,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.const import PUBLISH_SECONDS, REPORT_SECONDS


def _discard_line(line: str) -> None:
    """Discard a log line: experiments evaluate request results only."""


@define
class EmulatedFleet:
    """Runs a load shape once, with a seed and policies."""

    shape: LoadShape
    seed: int
    admission: AdmissionPolicy = AdmissionPolicy()
    placement: PlacementPolicy = PlacementPolicy()
    counters: EngineCounters = field(factory=EngineCounters)
    engine_by_address: dict[str, EmulatedEngine] = field(factory=dict)
    agent_by_address: dict[str, AgentProcess] = field(factory=dict)
    api_by_address: dict[str, PeerApi] = field(factory=dict)
    used_at_by_part: dict[str, float] = field(factory=dict)
    domain_by_address: dict[str, str] = field(factory=dict)
    routers_by_domain: dict[str, list[FleetView]] = field(factory=dict)
    aggregate: UsageAggregate = field(factory=lambda: UsageAggregate("member", "1"))
    collector: ScoreCollector = field(init=False)
    ended_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without results."""
        self.collector = ScoreCollector(self.shape)

    def run(self) -> Score:
        """Run the load to its end; return the score."""
        run(self._run_load, backend_options={"loop_factory": EmulatedLoop})
        busy = [engine.busy_seconds for engine in self.engine_by_address.values()]
        score = self.collector.score(
            self.counters, sum(busy) / len(busy) / self.ended_at
        )
        return evolve(
            score,
            needed=min_busy_fraction(self.shape, self.collector),
            late_requests=self.counters.late_requests,
            disregarding_requests=self.counters.disregarding_requests,
        )

    async def _run_load(self) -> None:
        """Build the platform, send all requests and wait until they end."""
        self._build_engines()
        for domain in self.shape.domains:
            self.routers_by_domain[domain.domain_id] = [
                self._make_router(f"{domain.domain_id}-{number}", domain.domain_id)
                for number in range(domain.routers)
            ]
        arrivals = LoadGenerator(self.shape, Random(self.seed)).arrivals()
        rng = Random(self.seed + 1)
        async with create_task_group() as background:
            background.start_soon(self._publish_usage)
            for number in range(len(self.engine_by_address)):
                self._start_engine(number, background)
            if self.shape.release is not None:
                background.start_soon(self._release, self.shape.release, background)
            for routers in self.routers_by_domain.values():
                for router in routers:
                    background.start_soon(self._run_router, router)
            async with create_task_group() as callers:
                for arrival in arrivals:
                    await sleep_until(arrival.at)
                    callers.start_soon(self._run_caller, arrival, rng)
            await self._settle()
            self.ended_at = max(self.shape.seconds, current_time())
            background.cancel_scope.cancel()

    async def _run_router(self, router: FleetView) -> None:
        """Run the background tasks of a router."""
        await router.run()

    async def _settle(self) -> None:
        """Wait until the routers have no work left; here they never have any."""

    async def _run_caller(self, arrival: Arrival, rng: Random) -> None:
        """Run one caller and record its result."""
        routers = self.routers_by_domain[arrival.domain_id]
        caller = Caller(arrival, routers, rng, self.shape.caller_seconds)
        self.collector.record(arrival, await caller.run())

    def _build_engines(self) -> None:
        """Create the engines and their admission agents."""
        for domain in self.shape.domains:
            for _ in range(domain.engines):
                self._add_engine(domain.domain_id)

    def _add_engine(self, domain_id: str) -> int:
        """Create an engine and its admission agent; return its number."""
        number = len(self.engine_by_address)
        slow_downs = self.shape.engine.slow_downs
        model = EngineModel(
            self.shape.engine,
            slow_downs[number % len(slow_downs)],
            self.counters,
            self.used_at_by_part,
        )
        engine = EmulatedEngine(model)
        agent = AgentProcess(
            engine, self._make_event_logger(), Random(self.seed * 1000 + number)
        )
        agent.controller.core.set_policy(self.admission)
        self.engine_by_address[f"engine{number}:80"] = engine
        self.agent_by_address[f"agent{number}:80"] = agent
        self.api_by_address[f"agent{number}:80"] = agent.api()
        self.domain_by_address[f"engine{number}:80"] = domain_id
        self.domain_by_address[f"agent{number}:80"] = domain_id
        return number

    def _start_engine(self, number: int, background: TaskGroup) -> None:
        """Start the tasks of an engine and its agent."""
        background.start_soon(self.engine_by_address[f"engine{number}:80"].run)
        background.start_soon(self.agent_by_address[f"agent{number}:80"].run)
        background.start_soon(self._report_usage, f"agent{number}:80")

    async def _report_usage(self, address: str) -> None:
        """Report an agent's usage and load to the only member of the registry."""
        settings = AgentSettings(address, self.domain_by_address[address], address)
        reporter = self.agent_by_address[address].make_reporter(settings)
        while True:
            await sleep(REPORT_SECONDS)
            report = reporter.next_report(current_time())
            if report is not None:
                await sleep(self.shape.far_seconds)
                self.aggregate.handle_report(report, current_time())
                reporter.handle_reply(report, self.aggregate.life, current_time())

    async def _publish_usage(self) -> None:
        """Publish the sums to all routers.

        Of two members, the second publishes what the first has told it, so this is
        done in two steps.
        """
        known, rng = -1, Random(self.seed)
        while True:
            await sleep(2 * PUBLISH_SECONDS)
            self.aggregate.publish(current_time())
            update = self.aggregate.update_since(known, current_time(), rng)
            known = update.number
            for routers in self.routers_by_domain.values():
                for router in routers:
                    router.apply_usage(update)

    async def _release(self, release: Release, background: TaskGroup) -> None:
        """Replace engines one after the other."""
        await sleep_until(release.at)
        addresses = list(self.engine_by_address)
        for address in addresses[: round(release.share * len(addresses))]:
            engine = self.engine_by_address[address]
            engine.leave(release)
            number = self._add_engine(self.domain_by_address[address])
            self._start_engine(number, background)
            for routers in self.routers_by_domain.values():
                for router in routers:
                    router.apply_announcements([self._announcement(number)])
            background.start_soon(self._end_engine, engine, release)
            await sleep(release.gap_seconds)

    async def _end_engine(self, engine: EmulatedEngine, release: Release) -> None:
        """End a leaving engine when its time is over."""
        await sleep(release.drain_seconds + release.linger_seconds)
        engine.end()

    def _announcement(self, number: int) -> Announcement:
        """Return the announcement of an engine."""
        address = f"engine{number}:80"
        return Announcement(
            f"e{number}",
            ENGINE_START_MS,
            1,
            EndpointState.READY,
            SERVICE_ID,
            address,
            self.domain_by_address[address],
            self.shape.engine.slots,
            agent=f"agent{number}:80",
        )

    def _make_router(self, router_id: str, domain_id: str) -> FleetView:
        """Return a router that knows all endpoints and routes from the start."""

        def latency_seconds(address: str) -> float:
            is_near = self.domain_by_address[address] == domain_id
            return self.shape.near_seconds if is_near else self.shape.far_seconds

        fleet = FleetView(
            GatewaySettings(
                router_id,
                domain_id,
                "",
                "",
                "",
                8.0,
                0.2,
                10.0,
                50.0,
                spillover_enabled=self.shape.spillover,
                spillover_latency_seconds=2 * self.shape.far_seconds,
                plans_returns=self.shape.plans_returns,
            ),
            self._reject_configuration,
            EmulatedPeerClient(
                api_by_address=self.api_by_address, latency_seconds=latency_seconds
            ),
            self._make_event_logger(),
            Random(f"{self.seed}/{router_id}"),
            current_time,
            policy=self.placement,
        )
        fleet.pool = EmulatedPool(
            engine_by_address=self.engine_by_address, latency_seconds=latency_seconds
        )
        fleet.table = RouteTable(self._configuration())
        fleet.budget.router_count = sum(domain.routers for domain in self.shape.domains)
        fleet.apply_announcements(
            [self._announcement(n) for n in range(len(self.engine_by_address))]
        )
        return fleet

    def _configuration(self) -> ProxyConfiguration:
        """Return a configuration with one route for each kind of request."""
        spec = self.shape.engine
        engine = EngineCapacity(spec.slots, spec.memory_tokens, spec.event_tokens)
        routes = [
            ProxyRoute(
                kind.kind_id,
                HOST,
                f"/{kind.kind_id}/",
                RequestKind.STREAM,
                [WeightedService(SERVICE_ID, 1.0)],
                kind.deadline_seconds,
                kind.target_seconds,
                1,
                kind.attempts,
                resumable=kind.resumable,
                gap_seconds=kind.gap_seconds,
            )
            for kind in self.shape.kinds
        ]
        services = [ProxyService(SERVICE_ID, engine=engine)]
        return ProxyConfiguration(
            1, routes, services, tokens_per_second=self.shape.tokens_per_second
        )

    def _make_event_logger(self) -> EventLogger:
        """Return a logger that discards its lines."""
        return EventLogger(
            "emulated", lambda: int(current_time() * 1000), _discard_line
        )

    @staticmethod
    def _reject_configuration(document: bytes) -> ProxyConfiguration:
        """Raise an error: the configuration never changes during a run."""
        raise NotImplementedError
