"""Accounts that always want more, and the gap in what they got."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from attrs import define, field

from tests.support.simulated_fleet import RequestRecord, SimulationShape

Tokens = Callable[[str], int]


class WorkloadFleet(Protocol):
    """What a workload needs of a fleet."""

    served_by_account: dict[str, float]
    on_end: Callable[[RequestRecord], None] | None
    idle_slot_seconds: float
    busy_slot_seconds: float

    def submit(self, process_id: str, account_id: str, tokens: int) -> RequestRecord:
        """Send a request of so many tokens."""

    def run(self, seconds: float) -> None:
        """Let time pass."""


@define
class Backlog:
    """Keeps so many requests of each account outstanding at its routers."""

    fleet: WorkloadFleet
    shape: SimulationShape
    routers_by_account: dict[str, list[str]]
    tokens: Tokens
    depth: int = 4
    rng: Random = field(factory=lambda: Random(7))
    service_at_start: dict[str, float] = field(factory=dict)
    worst_gap: float = 0.0

    def start(self) -> None:
        """Begin with a full backlog."""
        self.fleet.on_end = self._resubmit
        for account_id in self.routers_by_account:
            for _ in range(self.depth):
                self._submit(account_id)

    def _resubmit(self, record: RequestRecord) -> None:
        """Send another request when one ended."""
        if record.account_id in self.routers_by_account:
            self._submit(record.account_id)

    def _submit(self, account_id: str) -> None:
        """Send one request through one of the account's routers."""
        router_id = self.rng.choice(self.routers_by_account[account_id])
        self.fleet.submit(router_id, account_id, self.tokens(account_id))

    def measure(self, seconds: float, step_seconds: float = 1.0) -> None:
        """Let time pass and note the worst gap since the beginning of the watch."""
        self.service_at_start = dict(self.fleet.served_by_account)
        self.fleet.idle_slot_seconds = 0.0
        self.fleet.busy_slot_seconds = 0.0
        self.worst_gap = 0.0
        for _ in range(round(seconds / step_seconds)):
            self.fleet.run(step_seconds)
            self.worst_gap = max(self.worst_gap, self.gap())

    def gap(self) -> float:
        """Return the gap in weighted service between the accounts, in tokens."""
        weighted_service = self.weighted_service()
        return max(weighted_service.values()) - min(weighted_service.values())

    def weighted_service(self) -> Mapping[str, float]:
        """Return the weighted service of each account since the watch began."""
        return {
            name: (
                self.fleet.served_by_account.get(name, 0.0)
                - self.service_at_start.get(name, 0.0)
            )
            / self.shape.weights.get(name, 1.0)
            for name in self.routers_by_account
        }

    def utilisation(self) -> float:
        """Return the part of the slots that worked while work waited."""
        idle = self.fleet.idle_slot_seconds
        return self.fleet.busy_slot_seconds / (self.fleet.busy_slot_seconds + idle)


def gap_bound(shape: SimulationShape, greatest: float, in_flight: int) -> float:
    """Return the bound of docs/design/fair-service.md, in tokens.

    Two accounts differ by at most what one of them has in flight, and by what so
    many slots give while the totals of the other routers are stale; and the same
    for the other account.
    """
    lowest_weight = min([1.0, *shape.weights.values()])
    while_stale = staleness(shape) / shape.token_seconds
    return 2 * in_flight * (greatest + while_stale) / lowest_weight


def staleness(shape: SimulationShape) -> float:
    """Return how old a router's totals may be without faults, in seconds."""
    return 2 * 1.1 * shape.heartbeat_seconds + 2 * shape.latency_seconds


def skewed_routers(shape: SimulationShape) -> dict[str, list[str]]:
    """Spread accounts unevenly: half on a tenth of the routers, one on three."""
    routers = [f"router-{number}" for number in range(shape.routers)]
    crowded = max(1, shape.routers // 10)
    by_account = {}
    for number in range(shape.accounts):
        is_crowded = number < shape.accounts // 2
        home = number % crowded if is_crowded else number % shape.routers
        by_account[shape.account(number)] = [routers[home]]
    by_account[shape.account(shape.accounts - 1)] = routers[:3]
    return by_account


def mixed_tokens(shape: SimulationShape, greatest: int, seed: int) -> Tokens:
    """Return token counts: short for about half of the accounts, mixed for others."""
    rng = Random(seed)
    names = [shape.account(number) for number in range(shape.accounts)]
    most_by_account = {name: rng.choice([60, greatest]) for name in names}
    return lambda account_id: rng.randint(20, most_by_account[account_id])
