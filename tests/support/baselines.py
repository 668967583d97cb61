"""Baseline fleets: round robin, to be beaten, and omniscient scheduling as optimum."""

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol

from attrs import define, field

from tests.support.simulated_fleet import (
    RequestRecord,
    ScheduledAction,
    SimulationShape,
)


class Scheduler(Protocol):
    """Decides which queued request a free slot of an endpoint runs next."""

    def put(self, router_id: str, record: RequestRecord) -> None:
        """Queue a request."""

    def pop(self, endpoint: int) -> RequestRecord | None:
        """Remove and return the next request for an endpoint, if any."""

    def handle_end(self, record: RequestRecord) -> None:
        """Handle the end of a request."""


@define
class RoundRobinScheduler:
    """Each router sends to the endpoints in turn; each endpoint serves FIFO."""

    endpoints: int
    turn_by_router: dict[str, int] = field(factory=dict)
    queues: list[deque[RequestRecord]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create a queue for each endpoint."""
        self.queues = [deque() for _ in range(self.endpoints)]

    def put(self, router_id: str, record: RequestRecord) -> None:
        """Queue a request at the router's next endpoint."""
        turn = self.turn_by_router.get(router_id, 0)
        self.turn_by_router[router_id] = turn + 1
        self.queues[turn % self.endpoints].append(record)

    def pop(self, endpoint: int) -> RequestRecord | None:
        """Remove and return the oldest request of the endpoint."""
        return self.queues[endpoint].popleft() if self.queues[endpoint] else None

    def handle_end(self, record: RequestRecord) -> None:
        """Do nothing."""


@define
class OmniscientScheduler:
    """One central queue that serves the account with the least service first.

    It charges a request when it starts, since it knows the cost in advance.
    """

    weights: dict[str, float]
    waiting_by_account: dict[str, deque[RequestRecord]] = field(factory=dict)
    virtual_by_account: dict[str, float] = field(factory=dict)

    def put(self, router_id: str, record: RequestRecord) -> None:
        """Queue a request; raise the counter of a newly backlogged account.

        It rises to the lowest counter of the backlogged accounts, so that time without
        requests gives an account no credit.
        """
        account_id = record.account_id
        if not self.waiting_by_account.get(account_id):
            backlogged = [
                self.virtual_by_account.get(name, 0.0)
                for name, queue in self.waiting_by_account.items()
                if queue
            ]
            floor = min(backlogged, default=0.0)
            known = self.virtual_by_account.get(account_id, 0.0)
            self.virtual_by_account[account_id] = max(known, floor)
        self.waiting_by_account.setdefault(account_id, deque()).append(record)

    def pop(self, endpoint: int) -> RequestRecord | None:
        """Remove and return the oldest request of the account with least service."""
        waiting = [name for name, queue in self.waiting_by_account.items() if queue]
        if not waiting:
            return None
        account_id = min(
            waiting, key=lambda name: (self.virtual_by_account.get(name, 0.0), name)
        )
        record = self.waiting_by_account[account_id].popleft()
        cost = record.tokens / self.weights.get(account_id, 1.0)
        known = self.virtual_by_account.get(account_id, 0.0)
        self.virtual_by_account[account_id] = known + cost
        return record

    def handle_end(self, record: RequestRecord) -> None:
        """Do nothing: the request was charged at its start."""


@define
class BaselineFleet:
    """Endpoints with slots behind a scheduler, without latency or overhead."""

    shape: SimulationShape
    scheduler: Scheduler
    now: float = 0.0
    served_by_account: dict[str, float] = field(factory=dict)
    idle_slot_seconds: float = 0.0
    busy_slot_seconds: float = 0.0
    on_end: Callable[[RequestRecord], None] | None = None
    _running: list[int] = field(init=False)
    _waiting: int = 0
    _queue: list[ScheduledAction] = field(factory=list)
    _order: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with free slots."""
        self._running = [0] * self.shape.endpoints

    def submit(self, process_id: str, account_id: str, tokens: int) -> RequestRecord:
        """Submit a request with this number of output tokens."""
        self._order += 1
        record = RequestRecord(f"{self._order:032x}", account_id, tokens, self.now)
        self.scheduler.put(process_id, record)
        self._waiting += 1
        self._fill()
        return record

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0].at <= end:
            due = heappop(self._queue)
            self._advance(due.at)
            due.action()
        self._advance(end)

    def _advance(self, at: float) -> None:
        """Move the clock; add up busy slots and slots that idle while requests wait."""
        passed = at - self.now
        running = sum(self._running)
        slots = self.shape.batch * self.shape.endpoints
        self.busy_slot_seconds += running * passed
        self.idle_slot_seconds += min(slots - running, self._waiting) * passed
        self.now = at

    def _fill(self) -> None:
        """Start queued requests in all free slots."""
        for endpoint in range(self.shape.endpoints):
            while self._running[endpoint] < self.shape.batch:
                record = self.scheduler.pop(endpoint)
                if record is None:
                    break
                self._start(endpoint, record)

    def _start(self, endpoint: int, record: RequestRecord) -> None:
        """Run a request in a slot."""
        self._waiting -= 1
        self._running[endpoint] += 1
        record.started_at = self.now

        def end() -> None:
            """Record the service and free the slot."""
            self._running[endpoint] -= 1
            served = self.served_by_account.get(record.account_id, 0.0)
            self.served_by_account[record.account_id] = served + record.tokens
            self.scheduler.handle_end(record)
            if self.on_end is not None:
                self.on_end(record)
            self._fill()

        self._order += 1
        at = self.now + record.tokens * self.shape.token_seconds
        heappush(self._queue, ScheduledAction(at, self._order, end))
