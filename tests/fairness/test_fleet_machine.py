"""Stateful tests of a simulated fleet under disconnects, restarts and losses."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiolever.core.verdict import Verdict
from tests.support.profile import STATEFUL
from tests.support.simulated_fleet import (
    RequestRecord,
    SimulatedFleet,
    SimulatedRouter,
    SimulationShape,
)
from tests.support.workload import Backlog, gap_bound

ROUTERS = [f"router-{number}" for number in range(3)]
ENDPOINTS = [f"endpoint-{number}" for number in range(3)]
ACCOUNTS = [f"account-{number}" for number in range(5)]
MAX_TOKENS = 200
REQUESTS_PER_ACCOUNT = 4
SETTLE_SECONDS = 60.0


class FleetMachine(RuleBasedStateMachine):
    """Checks that each request ends once, NOT_RUN never ran and the gap is bounded."""

    def __init__(self) -> None:
        """Start a fleet."""
        super().__init__()
        self.shape = SimulationShape(accounts=len(ACCOUNTS), endpoints=3, batch=3)
        self.fleet = SimulatedFleet(self.shape)
        self.router_by_request: dict[str, SimulatedRouter] = {}
        self.lives = dict.fromkeys(ROUTERS, 1)

    @rule(
        router=st.sampled_from(ROUTERS),
        account=st.sampled_from(ACCOUNTS),
        tokens=st.integers(1, MAX_TOKENS),
        count=st.integers(1, 12),
    )
    def submit(self, router: str, account: str, tokens: int, count: int) -> None:
        """Submit some requests to a router."""
        if not self.fleet.router_by_id[router].alive:
            return
        for _ in range(count):
            record = self.fleet.submit(router, account, tokens)
            self.router_by_request[record.request_id] = self.fleet.router_by_id[router]

    @rule(seconds=st.floats(0.0001, 5.0))
    def let_time_pass(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.fleet.run(seconds)

    @rule(router=st.sampled_from(ROUTERS), endpoint=st.sampled_from(ENDPOINTS))
    def cut(self, router: str, endpoint: str) -> None:
        """Disconnect a router from an endpoint."""
        self.fleet.partition(router, endpoint)

    @rule(router=st.sampled_from(ROUTERS), endpoint=st.sampled_from(ENDPOINTS))
    def heal(self, router: str, endpoint: str) -> None:
        """Reconnect a router and an endpoint."""
        self.fleet.heal(router, endpoint)

    @rule(router=st.sampled_from(ROUTERS), is_cut=st.booleans())
    def cut_from_hub(self, router: str, is_cut: bool) -> None:
        """Disconnect a router from the coordinator or reconnect it."""
        self.fleet.router_by_id[router].coordinator_unreachable = is_cut

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]))
    def lose_heartbeats(self, loss: float) -> None:
        """Set the fraction of heartbeats that are lost, or whose replies are."""
        self.fleet.heartbeat_loss = loss

    @rule(router=st.sampled_from(ROUTERS))
    def restart(self, router: str) -> None:
        """Kill a router and start it without state."""
        self.fleet.kill_router(router)
        self.fleet.start_router(router)

    @invariant()
    def each_ends_once_and_not_run_never_ran(self) -> None:
        """Check all verdicts."""
        for record in self.fleet.record_by_id.values():
            assert len(record.verdicts) <= 1, record
            if record.verdicts == [Verdict.NOT_RUN]:
                assert record.runs == 0, record

    @invariant()
    def no_endpoint_over_its_limit(self) -> None:
        """Check that open grants and running requests do not exceed the slots."""
        for core in self.fleet.sidecar_by_id.values():
            used = core.runs.running + len(core.grants.open_by_id)
            assert used <= self.shape.batch, used

    def teardown(self) -> None:
        """Reconnect everything; check that requests end and the gap is bounded."""
        self.fleet.heartbeat_loss = 0.0
        for router in ROUTERS:
            self.fleet.router_by_id[router].coordinator_unreachable = False
            for endpoint in ENDPOINTS:
                self.fleet.heal(router, endpoint)
        self._check_all_end()
        self._check_gap()

    def _check_all_end(self) -> None:
        """Check that every request of a router that was not restarted ends."""
        tokens = sum(
            record.tokens
            for record in self._records_of_live_routers()
            if not record.verdicts
        )
        slots = self.shape.batch * self.shape.endpoints
        longest = tokens * self.shape.token_seconds
        # Endpoints continue the runs of a disconnected router for a while.
        self.fleet.run(longest / slots * 3 + SETTLE_SECONDS)
        for record in self._records_of_live_routers():
            assert len(record.verdicts) == 1, record

    def _records_of_live_routers(self) -> list[RequestRecord]:
        """Return the requests whose router was not restarted."""
        live_routers = list(self.fleet.router_by_id.values())
        return [
            record
            for record in self.fleet.record_by_id.values()
            if any(
                self.router_by_request.get(record.request_id) is router
                for router in live_routers
            )
        ]

    def _check_gap(self) -> None:
        """Check the gap and the utilisation under a constant backlog."""
        routers_by_account = {
            account: [ROUTERS[number % 3]] for number, account in enumerate(ACCOUNTS)
        }
        routers_by_account[ACCOUNTS[-1]] = ROUTERS
        work = Backlog(
            self.fleet,
            self.shape,
            routers_by_account,
            lambda account: 100,
            REQUESTS_PER_ACCOUNT,
        )
        work.start()
        self.fleet.run(SETTLE_SECONDS / 2)
        work.measure(40)
        assert work.worst_gap <= gap_bound(
            self.shape, MAX_TOKENS, REQUESTS_PER_ACCOUNT
        ), work.weighted_service()
        assert work.utilisation() >= 0.98, work.utilisation()


FleetMachine.TestCase.settings = STATEFUL
FleetMachineTest = FleetMachine.TestCase
