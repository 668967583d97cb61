"""Loads from the registry reach the price of leaving; results are counted."""

from attrs import evolve
from nose2.tools import params

from pistachiolever.admission.models import Load
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.placement import RankedEndpoint
from pistachiolever.gateway.spillover_records import (
    describe_leaving,
    record_choice,
    record_first_chunk,
)
from pistachiolever.http1.models import RequestHead
from pistachiolever.metrics.instruments import (
    DOMAIN_EXPECTED,
    DOMAIN_FIRST_CHUNK,
    SPILLOVER,
)
from pistachiolever.spillover.const import REMOTE_DOMAIN_PENALTY_SECONDS
from pistachiolever.usage.models import MeasuredLoad, UsageUpdate
from tests.gateway.test_notices import make_fleet
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

IDLE = Load(slots=64, free_memory_tokens=500_000, speed=50_000)
BUSY = evolve(IDLE, running=60, unread_tokens=20_000)
ENGINES = [
    Announcement(
        domain,
        1,
        1,
        EndpointState.READY,
        CONFIGURATION.services[0].service_id,
        f"{domain}:80",
        domain,
        64,
        agent=f"{domain}:81",
    )
    for domain in ("north", "south")
]


class SpilloverRecordsTest(CaseTest):
    """A router in the domain `north` ranks one engine of each domain."""

    def setUp(self) -> None:
        """Create a router that knows both engines."""
        self.clock = [100.0]
        self.fleet = make_fleet(ENGINES, self.clock)
        enabled = evolve(self.fleet.settings, spillover_enabled=True)
        self.fleet.spillover.settings = enabled
        self.fleet.apply_configuration(1, "")
        route, service = CONFIGURATION.routes[0], CONFIGURATION.services[0]
        self.request = ProxyRequest(
            RequestMetadata("r1"),
            RequestHead(b"POST", b"/", []),
            b"x" * 1000,
            route,
            service,
            "account",
            0,
            100.0,
            110.0,
            120.0,
        )

    def tell(self, north: Load, south: Load, seconds: float) -> None:
        """Apply loads four times a second."""
        for _ in range(round(seconds * 4)):
            self.clock[0] += 0.25
            loads = zip(ENGINES, (north, south), strict=True)
            packed = {
                engine.agent: MeasuredLoad(load, self.clock[0]).pack(self.clock[0])
                for engine, load in loads
            }
            self.fleet.apply_usage(UsageUpdate(loads=packed))
            self.rank()

    def rank(self) -> dict[str, RankedEndpoint]:
        """Return the ranked engines by domain."""
        fleet, now = self.fleet, self.clock[0]
        service_id = self.request.service.service_id
        plan = fleet.placement.plan("m", 100, [], fleet.index(service_id), now)
        plan.leaving = describe_leaving(self.request, now)
        candidates = fleet.selection.candidates(service_id, set())
        ranked = fleet.placement.rank(plan, candidates, now)
        return {choice.endpoint.failure_domain: choice for choice in ranked}

    @params(
        ("calm", IDLE, IDLE, 0.0, "calm"),
        ("short", BUSY, IDLE, 0.0, "short"),
        ("short abroad", IDLE, BUSY, 0.0, "busy"),
        ("stale", BUSY, IDLE, 3.01, "unknown"),
    )
    def test_loads_set_the_price(
        self, name: str, north: Load, south: Load, silence: float, reason: str
    ) -> None:
        self.tell(north, south, 2.0)
        self.clock[0] += silence
        price = self.rank()["south"].price
        self.assertEqual(price.reason, reason, name)
        is_constant = price.seconds == REMOTE_DOMAIN_PENALTY_SECONDS
        self.assertEqual(is_constant, reason in ("calm", "unknown"), name)

    def test_disabled_spillover_costs_the_constant(self) -> None:
        """Deployments that don't call for it are served as before."""
        self.fleet.spillover.settings = self.fleet.settings
        self.tell(BUSY, IDLE, 2.0)
        price = self.rank()["south"].price
        self.assertEqual(price.seconds, REMOTE_DOMAIN_PENALTY_SECONDS)
        self.assertFalse(self.fleet.spillover.estimator.known_by_endpoint)

    def test_choice_and_first_chunk_are_counted(self) -> None:
        """Operators compare the estimate with what happened."""
        self.tell(BUSY, IDLE, 2.0)
        choice = self.rank()["south"]
        record_choice(self.fleet, self.request, choice)
        now, instruments = self.clock[0], self.fleet.instruments
        for endpoint, at in (
            (ENGINES[0], now + 0.3),
            (ENGINES[1], now - 0.1),
            (ENGINES[1], now + 0.2),
        ):
            record_first_chunk(instruments, self.request, endpoint, at)
        counts = instruments.count_by_name[SPILLOVER.name]
        self.assertEqual(counts, {("north", "south", "short"): 1.0})
        for instrument, seconds in (
            (DOMAIN_FIRST_CHUNK, 0.2),
            (DOMAIN_EXPECTED, choice.option.work_seconds + 0.0024),
        ):
            durations = instruments.durations_by_name[instrument.name][("south",)]
            self.assertEqual(sum(durations.counts), 1)
            self.assertAlmostEqual(durations.total, seconds)
