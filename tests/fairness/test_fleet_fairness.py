"""Fair sharing in a simulated fleet, compared with two naive schedulers."""

from random import Random
from unittest import TestCase

from nose2.tools import params

from tests.support.baselines import (
    BaselineFleet,
    OmniscientScheduler,
    RoundRobinScheduler,
)
from tests.support.simulated_fleet import (
    CHUNKS_PER_REQUEST,
    SimulatedFleet,
    SimulationShape,
)
from tests.support.workload import (
    Backlog,
    Tokens,
    gap_bound,
    mixed_tokens,
    skewed_routers,
    staleness,
)

MAX_TOKENS = 400
REQUESTS_PER_ACCOUNT = 4


def spread_tokens(seed: int) -> Tokens:
    """Return token counts of 20 to 400."""
    rng = Random(seed)
    return lambda account_id: rng.randint(20, MAX_TOKENS)


def uneven(shape: SimulationShape) -> dict[str, list[str]]:
    """Assign accounts to routers: half to the first router, one to all routers."""
    routers = [f"router-{number}" for number in range(shape.routers)]
    by_account = {}
    for number in range(shape.accounts):
        home = 0 if number < shape.accounts // 2 else number % shape.routers
        by_account[shape.account(number)] = [routers[home]]
    by_account[shape.account(shape.accounts - 1)] = routers
    return by_account


BENGAL = SimulationShape(routers=3, endpoints=6, accounts=16, batch=4)
NORDESTE = SimulationShape(routers=4, endpoints=5, accounts=16, batch=4)


class GapTest(TestCase):
    """The service gap between backlogged accounts stays within the bound."""

    @params(("bengal", BENGAL, 1), ("nordeste", NORDESTE, 2))
    def test_gap_within_bound_and_round_robin_is_not(
        self, name: str, shape: SimulationShape, seed: int
    ) -> None:
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        fleet = Backlog(
            SimulatedFleet(shape), shape, uneven(shape), spread_tokens(seed)
        )
        fleet.start()
        fleet.fleet.run(10)
        fleet.measure(150)
        self.assertLessEqual(fleet.worst_gap, bound, name)
        self.assertGreaterEqual(fleet.utilisation(), 0.98)
        naive = Backlog(
            BaselineFleet(shape, RoundRobinScheduler(shape.endpoints)),
            shape,
            uneven(shape),
            lambda account_id: MAX_TOKENS if account_id == "account-0" else 20,
        )
        naive.start()
        naive.measure(150)
        self.assertGreater(naive.worst_gap, bound, name)

    @params(("bengal", BENGAL, 1), ("nordeste", NORDESTE, 2))
    def test_without_totals_the_bound_breaks(
        self, name: str, shape: SimulationShape, seed: int
    ) -> None:
        memory = SimulatedFleet(shape)
        for router in memory.router_by_id.values():
            router.coordinator_unreachable = True
        fleet = Backlog(memory, shape, uneven(shape), spread_tokens(seed))
        fleet.start()
        fleet.fleet.run(10)
        fleet.measure(150)
        self.assertGreater(
            fleet.worst_gap, gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT), name
        )

    @params(("bengal", BENGAL, 3), ("nordeste", NORDESTE, 4))
    def test_close_to_an_omniscient_scheduler(
        self, name: str, shape: SimulationShape, seed: int
    ) -> None:
        backlogs = [
            Backlog(fleet, shape, uneven(shape), spread_tokens(seed))
            for fleet in (
                SimulatedFleet(shape),
                BaselineFleet(shape, OmniscientScheduler(shape.weights)),
            )
        ]
        for backlog in backlogs:
            backlog.start()
            backlog.fleet.run(10)
            backlog.measure(100)
        ours, ideal = backlogs
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        for account_id, served in ours.weighted_service().items():
            self.assertAlmostEqual(
                served, ideal.weighted_service()[account_id], delta=bound
            )
        self.assertGreaterEqual(ours.utilisation(), 0.98 * ideal.utilisation(), name)

    def test_gap_within_bound_with_many_routers(self) -> None:
        # At this size (ten times Bengal) all endpoints grant to the same lowest bid.
        # Without grant limits, routers used the surplus grants for accounts that had
        # already received more service, and the gap exceeded the bound.
        shape = SimulationShape(routers=30, endpoints=60, accounts=160)
        tokens = mixed_tokens(shape, MAX_TOKENS, 3)
        fleet = Backlog(SimulatedFleet(shape), shape, skewed_routers(shape), tokens)
        fleet.start()
        fleet.fleet.run(10)
        fleet.measure(25)
        self.assertLessEqual(
            fleet.worst_gap, gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        )
        self.assertGreaterEqual(fleet.utilisation(), 0.98)

    def test_weights_divide_the_service(self) -> None:
        shape = SimulationShape(weights={"account-0": 3.0, "account-1": 0.5})
        fleet = Backlog(SimulatedFleet(shape), shape, uneven(shape), spread_tokens(5))
        fleet.start()
        fleet.fleet.run(10)
        fleet.measure(150)
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        self.assertLessEqual(fleet.worst_gap, bound)

    def test_estimates_wrong_by_factor_ten(self) -> None:
        shape = SimulationShape()
        rng = Random(6)

        def tokens(account_id: str) -> int:
            """Return sizes that differ by a factor of ten for the first account."""
            if account_id == "account-0":
                return rng.choice([40, MAX_TOKENS])
            return rng.randint(20, 60)

        fleet = Backlog(SimulatedFleet(shape), shape, uneven(shape), tokens)
        fleet.start()
        fleet.fleet.run(10)
        fleet.measure(200)
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        self.assertLessEqual(fleet.worst_gap, bound)

    def test_router_disconnected_from_control_for_an_hour(self) -> None:
        shape = SimulationShape(token_seconds=0.2, heartbeat_seconds=20, tick_seconds=5)
        memory = SimulatedFleet(shape)
        fleet = Backlog(memory, shape, uneven(shape), spread_tokens(8))
        fleet.start()
        fleet.fleet.run(100)
        memory.router_by_id["router-2"].coordinator_unreachable = True
        fleet.fleet.run(3600)
        memory.router_by_id["router-2"].coordinator_unreachable = False
        served_before = dict(memory.served_by_account)
        fleet.fleet.run(600)
        for account_id in fleet.routers_by_account:
            served = memory.served_by_account[account_id] - served_before[account_id]
            self.assertGreater(
                served, 0, f"{account_id} starved while the gap was closed"
            )
        fleet.fleet.run(3000)
        fleet.measure(600, 20)
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        self.assertLessEqual(fleet.worst_gap, bound)


class BusyTest(TestCase):
    """No slot is idle while any router has queued requests."""

    def test_one_router_with_all_the_work_fills_every_endpoint(self) -> None:
        shape = SimulationShape(routers=4, endpoints=8, accounts=1)
        fleet = SimulatedFleet(shape)
        only = Backlog(fleet, shape, {"account-0": ["router-2"]}, spread_tokens(9), 64)
        only.start()
        fleet.run(5)
        for endpoint_id, core in fleet.sidecar_by_id.items():
            self.assertEqual(core.runs.running, shape.batch, endpoint_id)
        only.measure(60)
        self.assertGreaterEqual(only.utilisation(), 0.98)

    def test_half_the_routers_restart_at_once(self) -> None:
        shape = SimulationShape(routers=4, endpoints=4, accounts=8)
        fleet = SimulatedFleet(shape)
        routers_by_account = {shape.account(n): [f"router-{n % 4}"] for n in range(8)}
        work = Backlog(fleet, shape, routers_by_account, spread_tokens(10))
        work.start()
        fleet.run(20)
        for router_id in ("router-0", "router-1"):
            fleet.kill_router(router_id)
            fleet.start_router(router_id)
        work.start()
        fleet.run(30)
        work.measure(100)
        self.assertGreaterEqual(work.utilisation(), 0.98)
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        self.assertLessEqual(work.worst_gap, bound)


class MessageTest(TestCase):
    """The number of messages per request is bounded."""

    def test_crossing_credits_and_grants_do_not_loop(self) -> None:
        # A sidecar refused a dispatch on a credit because a grant to the same router
        # had reserved the capacity, while the router was returning that grant. Both
        # sides then repeated these messages.
        shape = SimulationShape(accounts=4)
        fleet = SimulatedFleet(shape)
        routers_by_account = {
            shape.account(n): ["router-0", "router-1"] for n in range(3)
        }
        steady = Backlog(fleet, shape, routers_by_account, spread_tokens(12))
        steady.start()
        for _ in range(6):
            for _ in range(4):
                fleet.submit("router-2", "account-3", 100)
            fleet.run(12)
        # Bids to and credits from each endpoint, a grant, a dispatch and the chunks.
        per_request = 4 * shape.endpoints + CHUNKS_PER_REQUEST + 4
        self.assertLessEqual(fleet.messages, per_request * len(fleet.record_by_id))


class StarvationTest(TestCase):
    """No account starves, and idle time neither earns nor loses credit."""

    def test_small_account_against_a_flood(self) -> None:
        shape = SimulationShape(accounts=2)
        fleet = SimulatedFleet(shape)
        routers = list(fleet.router_by_id)
        flood = Backlog(
            fleet,
            shape,
            {"account-0": routers},
            spread_tokens(11),
            requests_per_account=2000,
        )
        flood.start()
        fleet.run(20)
        waits = []
        for _ in range(20):
            record = fleet.submit("router-0", "account-1", 20)
            fleet.run(8)
            self.assertGreaterEqual(record.started_at, 0, "never served")
            waits.append(record.started_at - record.submitted_at)
        # A slot becomes free at the latest when the longest running request ends.
        longest = MAX_TOKENS * shape.token_seconds
        self.assertLessEqual(max(waits), longest + staleness(shape))

    def test_account_idle_and_back_a_hundred_times(self) -> None:
        shape = SimulationShape(accounts=4)
        fleet = SimulatedFleet(shape)
        routers_by_account = {
            shape.account(n): ["router-0", "router-1"] for n in range(3)
        }
        steady = Backlog(fleet, shape, routers_by_account, spread_tokens(12))
        steady.start()
        fleet.run(10)
        for _ in range(100):
            for _ in range(4):
                fleet.submit("router-2", "account-3", 100)
            fleet.run(12)
        steady.measure(1, 1)
        returning = fleet.served_by_account["account-3"]
        self.assertEqual(returning, 100 * 4 * 100, "requests were not served")
        # After many idle periods the account competes like any other.
        routers_by_account["account-3"] = ["router-2"]
        for _ in range(20):
            fleet.submit("router-2", "account-3", 200)
        steady.measure(60)
        bound = gap_bound(shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT)
        self.assertLessEqual(steady.worst_gap, bound)

    def test_full_queue_of_one_account_does_not_block_others(self) -> None:
        shape = SimulationShape(routers=1, endpoints=1, accounts=2, queue_count=50)
        fleet = SimulatedFleet(shape)
        for _ in range(500):
            fleet.submit("router-0", "account-0", 100)
        small = fleet.submit("router-0", "account-1", 20)
        fleet.run(60)
        self.assertEqual([verdict.value for verdict in small.verdicts], ["RAN"])
        refused = [r for r in fleet.record_by_id.values() if r.verdicts and not r.runs]
        self.assertGreaterEqual(len(refused), 500 - 50 - shape.batch)
        for record in refused:
            self.assertEqual(
                [verdict.value for verdict in record.verdicts], ["NOT_RUN"]
            )
