"""The queue of one service: its requests, their order and their cost charges."""

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.declarations.models import Revision, Service
from pistachiolever.fairness.account_heap import AccountHeap
from pistachiolever.fairness.cost_estimator import CostEstimator
from pistachiolever.fairness.counters import ServiceCounters
from pistachiolever.router.account_queues import (
    AccountQueues,
    MemoryPool,
    QueuedRequest,
)
from pistachiolever.router.const import GRANT_LIMIT_SLACK_REQUESTS
from pistachiolever.router.in_flight import InFlightRequest
from pistachiolever.router.models import CallerRequest
from pistachiolever.wire.const import MAX_BIDS_PER_MESSAGE
from pistachiolever.wire.models import AccountTotal, Bid


@define
class ServiceQueue:
    """The queued requests of one service and the counters that order them."""

    service: Service
    revision: Revision
    memory_pool: MemoryPool
    account_queues: AccountQueues = field(init=False)
    counters: ServiceCounters = field(factory=ServiceCounters)
    estimator: CostEstimator = field(init=False)
    account_heap: AccountHeap = field(init=False)
    has_open_bids: bool = False
    bids_sent_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Create the account queues, the estimator and the heap."""
        self.account_queues = AccountQueues(self.memory_pool)
        self.estimator = CostEstimator(self.service)
        self.account_heap = AccountHeap(self.counters.virtual_counter)

    def apply_revision(self, service: Service, revision: Revision) -> None:
        """Apply new declarations; charges made so far stay unchanged."""
        self.service = service
        self.revision = revision
        self.estimator.service = service

    def submit(
        self, request: CallerRequest, now: float, seconds_per_request: float
    ) -> Refusal | None:
        """Queue a request; return the refusal if it cannot be queued."""
        preset = self.revision.preset
        refusal = self.account_queues.refusal_for(request, preset, seconds_per_request)
        if refusal is not None:
            return refusal
        estimate = self.estimator.estimate(
            request.account_id, request.max_output_tokens
        )
        deadline = now + preset.queue_seconds
        self.account_queues.push(QueuedRequest(request, estimate, deadline))
        self.account_heap.add(request.account_id)
        self.counters.set_backlogged(request.account_id, True, now)
        return None

    def requeue(self, item: QueuedRequest, now: float) -> None:
        """Queue a request that did not run ahead of the account's other requests."""
        account_id = item.request.account_id
        self.account_queues.push_front(item)
        self.account_heap.add(account_id)
        self.counters.set_backlogged(account_id, True, now)

    def next_request(
        self, now: float, limit: float | None = None
    ) -> QueuedRequest | None:
        """Remove and return the oldest request of the account with the lowest counter.

        Returns None if that counter exceeds the limit by more than a few requests.
        The tolerance exists because a returned grant leaves its slot idle for a
        round trip.
        """
        lowest = self.account_heap.lowest(1)
        if not lowest:
            return None
        account_id = lowest[0].account_id
        if limit is not None:
            step = self.account_queues.oldest(account_id).estimate
            slack = (
                GRANT_LIMIT_SLACK_REQUESTS * step / self.revision.weight_of(account_id)
            )
            if lowest[0].virtual_counter > limit + slack:
                return None
        return self._pop(lowest[0].account_id, now)

    def next_request_of(self, account_id: str, now: float) -> QueuedRequest | None:
        """Remove and return the oldest request of an account, or None."""
        if self.account_queues.queued_count(account_id) == 0:
            return None
        return self._pop(account_id, now)

    def bids(self, now: float) -> list[Bid]:
        """Return bids for the accounts with the lowest counters."""
        return [
            self._bid(entry.account_id, entry.virtual_counter, now)
            for entry in self.account_heap.lowest(MAX_BIDS_PER_MESSAGE)
        ]

    def pop_timed_out(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        timed_out = list(self.account_queues.pop_timed_out(now))
        for item in timed_out:
            self._clear_backlog_if_empty(item.request.account_id, now)
        return timed_out

    def pop_all(self, now: float) -> list[QueuedRequest]:
        """Remove and return all requests."""
        items = list(self.account_queues.pop_all())
        for item in items:
            self._clear_backlog_if_empty(item.request.account_id, now)
        return items

    def cancel(self, account_id: str, request_id: str, now: float) -> bool:
        """Remove a request; return whether it was queued."""
        item = self.account_queues.remove(account_id, request_id)
        self._clear_backlog_if_empty(account_id, now)
        return item is not None

    def charge_dispatch(self, item: QueuedRequest, now: float) -> float:
        """Charge the weighted cost estimate of a request and return it."""
        account_id = item.request.account_id
        pending = item.estimate / self.revision.weight_of(account_id)
        self.counters.charge_estimate(account_id, pending, now)
        return pending

    def charge_progress(self, in_flight: InFlightRequest, cost: float) -> None:
        """Charge the cost measured so far and reduce the estimate by the increase."""
        increase = cost - in_flight.charged_cost
        if increase <= 0:
            return
        account_id = in_flight.request.account_id
        weighted = increase / in_flight.weight
        released = min(in_flight.pending_estimate, weighted)
        in_flight.charged_cost = cost
        in_flight.pending_estimate -= released
        self.counters.charge_service(account_id, weighted)
        self.counters.release_estimate(account_id, released)

    def settle(self, in_flight: InFlightRequest, update_estimate: bool) -> None:
        """Release the remaining estimate when a request ends or is queued again.

        With `update_estimate`, its cost counts for the account's next estimates.
        """
        account_id = in_flight.request.account_id
        self.counters.release_estimate(account_id, in_flight.pending_estimate)
        in_flight.pending_estimate = 0.0
        self.account_heap.refresh(account_id)
        if update_estimate:
            self.estimator.observe(account_id, in_flight.charged_cost)

    def apply_total(self, total: AccountTotal) -> None:
        """Apply the totals that control sent for an account."""
        self.counters.apply_total(total)
        self.account_heap.refresh(total.account_id)

    def _pop(self, account_id: str, now: float) -> QueuedRequest:
        """Remove and return the oldest request of an account with queued requests."""
        item = self.account_queues.pop(account_id)
        self._clear_backlog_if_empty(account_id, now)
        return item

    def _clear_backlog_if_empty(self, account_id: str, now: float) -> None:
        """Clear the account's backlog if it has no queued requests."""
        if self.account_queues.queued_count(account_id) > 0:
            return
        self.account_heap.remove(account_id)
        self.counters.set_backlogged(account_id, False, now)

    def _bid(self, account_id: str, virtual: float, now: float) -> Bid:
        """Return the bid of one account."""
        oldest = self.account_queues.oldest(account_id)
        weight = self.revision.weight_of(account_id)
        counter = self.counters.counter(account_id)
        return Bid(
            account_id,
            virtual,
            oldest.estimate / weight,
            self.account_queues.queued_count(account_id),
            max(0.0, now - counter.last_dispatch),
        )
