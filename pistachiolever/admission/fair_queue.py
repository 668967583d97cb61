"""Orders queued requests: least served account first, then its least served kind."""

from attrs import define, field, frozen

from pistachiolever.admission.const import (
    INITIAL_PREFILL_TOKENS_PER_SECOND,
    OUTPUT_TOKEN_WEIGHT,
)
from pistachiolever.admission.models import Bid
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.recent_service import RecentService


@define(eq=False)
class QueuedRequest:
    """A bid that has no grant yet; times are absolute seconds.

    `prefill_tokens` are the prompt tokens that the engine has not cached.
    """

    bid: Bid
    arrived_at: float
    target_at: float
    deadline_at: float
    prefill_tokens: float

    @property
    def cost(self) -> float:
        """Return the weighted tokens that the account is charged."""
        return self.bid.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.bid.output_tokens


@frozen
class ScheduledRequest:
    """A queued request in the order of grants.

    `service` is what its account will have received before it, in weighted tokens. A
    request is `over_share` if its account exceeds its fair share with it, so that it
    must not take capacity from accounts below theirs.
    """

    queued: QueuedRequest
    service: float
    over_share: bool


@define
class KindQueue:
    """The requests of one account and kind, the next one last."""

    service: float
    queued: list[QueuedRequest] = field(factory=list)


@define
class AccountQueue:
    """The requests of one account by kind."""

    service: float
    queue_by_kind: dict[str, KindQueue] = field(factory=dict)

    def pop(self) -> tuple[QueuedRequest, float]:
        """Return the next request and the service its account has received by then.

        The highest priority goes first, then the least served kind.
        """
        kind = min(self.queue_by_kind, key=self._kind_order)
        queue = self.queue_by_kind[kind]
        queued, service = queue.queued.pop(), self.service
        queue.service += queued.cost
        self.service += queued.cost
        if not queue.queued:
            del self.queue_by_kind[kind]
        return (queued, service)

    def _kind_order(self, kind: str) -> tuple[int, float]:
        """Return the sort key of a kind: priority, then service received."""
        queue = self.queue_by_kind[kind]
        return (queue.queued[-1].bid.priority, queue.service)


@define
class FairQueue:
    """Determines the order of grants by simulating them and charging each one.

    Accounts share the endpoint by max-min fairness. So do the kinds of requests within
    an account, so that a kind with large prompts can't crowd out one with small ones.
    Requests over their account's share come after all others; `limits_over_share` is
    false while there is capacity for everyone.
    """

    service: RecentService
    policy: AdmissionPolicy
    now: float
    limits_over_share: bool = True

    def order(self, queued: list[QueuedRequest]) -> list[ScheduledRequest]:
        """Return the requests in the order of their grants."""
        queues = self._build_queues(queued)
        ordered: list[ScheduledRequest] = []
        while queues:
            account_id = min(queues, key=lambda account: queues[account].service)
            ordered.append(self._schedule(queues[account_id].pop()))
            if not queues[account_id].queue_by_kind:
                del queues[account_id]
        ordered.sort(key=lambda entry: entry.over_share)
        return ordered

    def _schedule(self, popped: tuple[QueuedRequest, float]) -> ScheduledRequest:
        """Return a popped request with its place relative to the account's fair share.

        It is over the share if more than half of its cost is. The exception is a kind
        and size of prompt that received less than its proportion of the account's
        service.
        """
        queued, service = popped
        bid = queued.bid
        midpoint = service + queued.cost / 2
        if not self.limits_over_share or bid.share is None or midpoint <= bid.share:
            return ScheduledRequest(queued, service, False)
        is_underserved = (
            self.service.size_service_ratio(bid, self.now) < self.policy.size_part
        )
        is_underserved = (
            is_underserved and midpoint <= self.policy.most_share * bid.share
        )
        return ScheduledRequest(queued, service, not is_underserved)

    def _build_queues(self, queued: list[QueuedRequest]) -> dict[str, AccountQueue]:
        """Return the requests by account and kind, the next one of each last."""
        queues: dict[str, AccountQueue] = {}
        for entry in reversed(sorted(queued, key=self._sort_time)):
            account_id, kind = entry.bid.account_id, entry.bid.kind
            account = queues.get(account_id)
            if account is None:
                service = self.service.total(account_id, self.now)
                account = queues[account_id] = AccountQueue(service)
            queue = account.queue_by_kind.get(kind)
            if queue is None:
                kind_service = self.service.of_kind(account_id, kind, self.now)
                queue = account.queue_by_kind[kind] = KindQueue(kind_service)
            queue.queued.append(entry)
        return queues

    def _sort_time(self, queued: QueuedRequest) -> float:
        """Return the sort key within a kind: arrival plus a delay for large prompts.

        Prompts with a short prefill may overtake longer ones, so more requests meet
        their targets; the delay is bounded, so that no request is starved.
        """
        prefill_seconds = queued.prefill_tokens / INITIAL_PREFILL_TOKENS_PER_SECOND
        max_delay = self.policy.most_passed_share * queued.bid.target_seconds
        delay = min(self.policy.size_weight * prefill_seconds, max_delay)
        return queued.arrived_at + delay
