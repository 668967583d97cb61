"""Who waits for one service, in which order, and what they were charged."""

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.declarations.models import Revision, Service
from pistachiolever.fairness.estimate import CostEstimator
from pistachiolever.fairness.ledger import ServiceLedger
from pistachiolever.fairness.order import AccountOrder
from pistachiolever.router.account_queues import (
    AccountQueues,
    MemoryPool,
    WaitingRequest,
)
from pistachiolever.router.const import LIMIT_SLACK_REQUESTS
from pistachiolever.router.flights import Flight
from pistachiolever.router.models import CallerRequest
from pistachiolever.wire.const import MAX_BIDS_PER_MESSAGE
from pistachiolever.wire.models import AccountTotal, Bid


@define
class ServiceQueue:
    """The waiting requests of one service and the counters that order them."""

    service: Service
    revision: Revision
    pool: MemoryPool
    account_queues: AccountQueues = field(init=False)
    ledger: ServiceLedger = field(factory=ServiceLedger)
    estimator: CostEstimator = field(init=False)
    order: AccountOrder = field(init=False)
    has_bids_out: bool = False
    bids_sent_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Tie the parts together."""
        self.account_queues = AccountQueues(self.pool)
        self.estimator = CostEstimator(self.service)
        self.order = AccountOrder(self.ledger.virtual)

    def apply_revision(self, service: Service, revision: Revision) -> None:
        """Use new declarations; what was charged stays as it was."""
        self.service = service
        self.revision = revision
        self.estimator.service = service

    def submit(
        self, request: CallerRequest, now: float, seconds_each: float
    ) -> Refusal | None:
        """Queue a request, or return why not."""
        preset = self.revision.preset
        refusal = self.account_queues.refusal_for(request, preset, seconds_each)
        if refusal is not None:
            return refusal
        estimate = self.estimator.estimate(
            request.account_id, request.max_output_tokens
        )
        deadline = now + preset.queue_seconds
        self.account_queues.push(WaitingRequest(request, estimate, deadline))
        self.order.add(request.account_id)
        self.ledger.set_backlogged(request.account_id, True, now)
        return None

    def put_back(self, item: WaitingRequest, now: float) -> None:
        """Queue a request again that was not run, before the account's others."""
        account_id = item.request.account_id
        self.account_queues.push_front(item)
        self.order.add(account_id)
        self.ledger.set_backlogged(account_id, True, now)

    def next_request(
        self, now: float, limit: float | None = None
    ) -> WaitingRequest | None:
        """Take the oldest request of the account with the least service.

        With a limit, only an account whose counter is not above it by more than
        a few requests: sending a grant back leaves its slot idle for a round trip.
        """
        lowest = self.order.lowest(1)
        if not lowest:
            return None
        account_id = lowest[0].account_id
        if limit is not None:
            step = self.account_queues.oldest(account_id).estimate
            slack = LIMIT_SLACK_REQUESTS * step / self.revision.weight_of(account_id)
            if lowest[0].virtual > limit + slack:
                return None
        return self._take(lowest[0].account_id, now)

    def next_request_of(self, account_id: str, now: float) -> WaitingRequest | None:
        """Take the oldest request of an account, if it has one."""
        if self.account_queues.waiting_of(account_id) == 0:
            return None
        return self._take(account_id, now)

    def bids(self, now: float) -> list[Bid]:
        """Return the bids of the accounts with the least service."""
        return [
            self._bid(entry.account_id, entry.virtual, now)
            for entry in self.order.lowest(MAX_BIDS_PER_MESSAGE)
        ]

    def pop_overdue(self, now: float) -> list[WaitingRequest]:
        """Take out the requests that waited too long."""
        overdue = list(self.account_queues.pop_overdue(now))
        for item in overdue:
            self._stop_waiting_if_empty(item.request.account_id, now)
        return overdue

    def pop_all(self, now: float) -> list[WaitingRequest]:
        """Take out every request."""
        items = list(self.account_queues.pop_all())
        for item in items:
            self._stop_waiting_if_empty(item.request.account_id, now)
        return items

    def cancel(self, account_id: str, request_id: str, now: float) -> bool:
        """Take out one request; tell whether it was there."""
        item = self.account_queues.remove(account_id, request_id)
        self._stop_waiting_if_empty(account_id, now)
        return item is not None

    def charge_dispatch(self, item: WaitingRequest, now: float) -> float:
        """Charge the estimate; return it in weighted units."""
        account_id = item.request.account_id
        pending = item.estimate / self.revision.weight_of(account_id)
        self.ledger.dispatched(account_id, pending, now)
        return pending

    def charge_progress(self, flight: Flight, cost: float) -> None:
        """Charge the cost measured so far; the estimate shrinks by as much."""
        grown = cost - flight.cost
        if grown <= 0:
            return
        account_id = flight.request.account_id
        weighted = grown / flight.weight
        taken = min(flight.pending, weighted)
        flight.cost = cost
        flight.pending -= taken
        self.ledger.serve(account_id, weighted)
        self.ledger.settle(account_id, taken)

    def settle(self, flight: Flight, learn: bool) -> None:
        """Take back what is left of the estimate when a flight ends."""
        account_id = flight.request.account_id
        self.ledger.settle(account_id, flight.pending)
        flight.pending = 0.0
        self.order.refresh(account_id)
        if learn:
            self.estimator.learn(account_id, flight.cost)

    def apply_total(self, total: AccountTotal) -> None:
        """Take in what control knows of an account."""
        self.ledger.apply_total(total)
        self.order.refresh(total.account_id)

    def _take(self, account_id: str, now: float) -> WaitingRequest:
        """Take the oldest request of an account that waits."""
        item = self.account_queues.pop(account_id)
        self._stop_waiting_if_empty(account_id, now)
        return item

    def _stop_waiting_if_empty(self, account_id: str, now: float) -> None:
        """Take the account out of the order when nothing of it waits."""
        if self.account_queues.waiting_of(account_id) > 0:
            return
        self.order.remove(account_id)
        self.ledger.set_backlogged(account_id, False, now)

    def _bid(self, account_id: str, virtual: float, now: float) -> Bid:
        """Return the bid of one account."""
        oldest = self.account_queues.oldest(account_id)
        weight = self.revision.weight_of(account_id)
        counter = self.ledger.counter(account_id)
        return Bid(
            account_id,
            virtual,
            oldest.estimate / weight,
            self.account_queues.waiting_of(account_id),
            max(0.0, now - counter.last_dispatch),
        )
