"""A workload of backlogged accounts, and the gap in service between them."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from attrs import define, field

from tests.support.simulated_fleet import RequestRecord, SimulationShape

Tokens = Callable[[str], int]


class WorkloadFleet(Protocol):
    """The interface of a fleet that a workload runs on."""

    served_by_account: dict[str, float]
    on_end: Callable[[RequestRecord], None] | None
    idle_slot_seconds: float
    busy_slot_seconds: float

    def submit(self, process_id: str, account_id: str, tokens: int) -> RequestRecord:
        """Submit a request with this number of output tokens."""

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""


@define
class Backlog:
    """Keeps `requests_per_account` requests of each account outstanding."""

    fleet: WorkloadFleet
    shape: SimulationShape
    routers_by_account: dict[str, list[str]]
    tokens: Tokens
    requests_per_account: int = 4
    rng: Random = field(factory=lambda: Random(7))
    service_at_start: dict[str, float] = field(factory=dict)
    worst_gap: float = 0.0

    def start(self) -> None:
        """Submit the full backlog."""
        self.fleet.on_end = self._resubmit
        for account_id in self.routers_by_account:
            for _ in range(self.requests_per_account):
                self._submit(account_id)

    def _resubmit(self, record: RequestRecord) -> None:
        """Submit another request when one has ended."""
        if record.account_id in self.routers_by_account:
            self._submit(record.account_id)

    def _submit(self, account_id: str) -> None:
        """Submit a request through a random router of the account."""
        router_id = self.rng.choice(self.routers_by_account[account_id])
        self.fleet.submit(router_id, account_id, self.tokens(account_id))

    def measure(self, seconds: float, step_seconds: float = 1.0) -> None:
        """Advance the time and record the worst gap since the start of this call."""
        self.service_at_start = dict(self.fleet.served_by_account)
        self.fleet.idle_slot_seconds = 0.0
        self.fleet.busy_slot_seconds = 0.0
        self.worst_gap = 0.0
        for _ in range(round(seconds / step_seconds)):
            self.fleet.run(step_seconds)
            self.worst_gap = max(self.worst_gap, self.gap())

    def gap(self) -> float:
        """Return the largest difference in weighted service of accounts, in tokens."""
        weighted_service = self.weighted_service()
        return max(weighted_service.values()) - min(weighted_service.values())

    def weighted_service(self) -> Mapping[str, float]:
        """Return the weighted service of each account since `measure` began."""
        return {
            name: (
                self.fleet.served_by_account.get(name, 0.0)
                - self.service_at_start.get(name, 0.0)
            )
            / self.shape.weights.get(name, 1.0)
            for name in self.routers_by_account
        }

    def utilisation(self) -> float:
        """Return the fraction of slots that were busy while requests were queued."""
        idle = self.fleet.idle_slot_seconds
        return self.fleet.busy_slot_seconds / (self.fleet.busy_slot_seconds + idle)


def gap_bound(shape: SimulationShape, max_tokens: float, in_flight: int) -> float:
    """Return the bound of docs/design/fair-service.md, in tokens.

    An account can be ahead by its in-flight requests and by the service of as many
    slots while the totals from the other routers are stale. The factor 2 allows the
    same for the other account.
    """
    lowest_weight = min([1.0, *shape.weights.values()])
    while_stale = staleness(shape) / shape.token_seconds
    return 2 * in_flight * (max_tokens + while_stale) / lowest_weight


def staleness(shape: SimulationShape) -> float:
    """Return the maximum age in seconds of a router's totals without faults.

    Another router's heartbeat brings its counters to the coordinator and the router's
    own next one returns the totals. Heartbeat intervals vary by up to 10 %.
    """
    return 2 * 1.1 * shape.heartbeat_seconds + 2 * shape.latency_seconds


def skewed_routers(shape: SimulationShape) -> dict[str, list[str]]:
    """Assign half of the accounts to a tenth of the routers, and one to three."""
    routers = [f"router-{number}" for number in range(shape.routers)]
    crowded_routers = max(1, shape.routers // 10)
    by_account = {}
    for number in range(shape.accounts):
        is_crowded = number < shape.accounts // 2
        index = number % crowded_routers if is_crowded else number % shape.routers
        by_account[shape.account(number)] = [routers[index]]
    by_account[shape.account(shape.accounts - 1)] = routers[:3]
    return by_account


def mixed_tokens(shape: SimulationShape, max_tokens: int, seed: int) -> Tokens:
    """Return a source of random token counts by account.

    About half of the accounts have at most 60 tokens, the others `max_tokens`.
    """
    rng = Random(seed)
    names = [shape.account(number) for number in range(shape.accounts)]
    max_by_account = {name: rng.choice([60, max_tokens]) for name in names}
    return lambda account_id: rng.randint(20, max_by_account[account_id])
