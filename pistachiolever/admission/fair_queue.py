"""Orders what waits: the least served account first, in it the least served kind."""

from attrs import define, field, frozen

from pistachiolever.admission.const import FIRST_SPEED, OUTPUT_TOKEN_WEIGHT
from pistachiolever.admission.models import Bid
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.shares import RecentService


@define(eq=False)
class Waiting:
    """A bid that waits; times are absolute seconds."""

    bid: Bid
    arrived_at: float
    target_at: float
    deadline_at: float
    unread_tokens: float

    @property
    def cost(self) -> float:
        """Return the weighted tokens that the account is charged."""
        return self.bid.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.bid.output_tokens


@frozen
class Turn:
    """A request in the order of grants, and what its account will have got by then.

    `beyond_share` tells that this is more than the account's fair share, so that the
    request should not take room from accounts below theirs.
    """

    waiting: Waiting
    service: float
    beyond_share: bool


@define
class KindQueue:
    """The requests of one account and kind, the next one last."""

    service: float
    waiting: list[Waiting] = field(factory=list)


@define
class AccountQueue:
    """The requests of one account by kind."""

    service: float
    queue_by_kind: dict[str, KindQueue] = field(factory=dict)

    def take(self) -> tuple[Waiting, float]:
        """Return the next request, of the highest rank and the least served kind.

        With it comes what the account will have got before it.
        """
        kind = min(self.queue_by_kind, key=self._rank_and_service)
        queue = self.queue_by_kind[kind]
        waiting, service = queue.waiting.pop(), self.service
        queue.service += waiting.cost
        self.service += waiting.cost
        if not queue.waiting:
            del self.queue_by_kind[kind]
        return (waiting, service)

    def _rank_and_service(self, kind: str) -> tuple[int, float]:
        """Return what orders the kinds."""
        queue = self.queue_by_kind[kind]
        return (queue.waiting[-1].bid.priority, queue.service)


@define
class FairQueue:
    """Simulates the grants to come, each one charged as it is made.

    Accounts share as max-min fairness asks; within an account its kinds of request do,
    so that a kind with large prompts cannot crowd out one with small ones. What is
    beyond an account's share comes after all that is not.
    """

    service: RecentService
    policy: AdmissionPolicy
    now: float
    is_gated: bool = True

    def order(self, waiting: list[Waiting]) -> list[Turn]:
        """Return the requests in the order of their grants."""
        queues = self._queues(waiting)
        ordered: list[Turn] = []
        while queues:
            account_id = min(queues, key=lambda account: queues[account].service)
            ordered.append(self._turn(queues[account_id].take()))
            if not queues[account_id].queue_by_kind:
                del queues[account_id]
        ordered.sort(key=lambda turn: turn.beyond_share)
        return ordered

    def _turn(self, taken: tuple[Waiting, float]) -> Turn:
        """Return a turn; it is beyond the share if most of the request is."""
        waiting, service = taken
        bid = waiting.bid
        reached = service + waiting.cost / 2
        if not self.is_gated or bid.share is None or reached <= bid.share:
            return Turn(waiting, service, False)
        is_due = self.service.size_part(bid, self.now) < self.policy.size_part
        is_due = is_due and reached <= self.policy.most_share * bid.share
        return Turn(waiting, service, not is_due)

    def _queues(self, waiting: list[Waiting]) -> dict[str, AccountQueue]:
        """Return the requests by account and kind, the oldest of each last."""
        queues: dict[str, AccountQueue] = {}
        for entry in reversed(sorted(waiting, key=self._turn_at)):
            account_id, kind = entry.bid.account_id, entry.bid.kind
            account = queues.get(account_id)
            if account is None:
                service = self.service.total(account_id, self.now)
                account = queues[account_id] = AccountQueue(service)
            queue = account.queue_by_kind.get(kind)
            if queue is None:
                served = self.service.of_kind(account_id, kind, self.now)
                queue = account.queue_by_kind[kind] = KindQueue(served)
            queue.waiting.append(entry)
        return queues

    def _turn_at(self, waiting: Waiting) -> float:
        """Return what orders the requests of a kind: age, and size where it is short.

        A large prompt lets those pass that come within a multiple of its reading time,
        so more requests are in time; it still gets its turn.
        """
        reading_seconds = waiting.unread_tokens / FIRST_SPEED
        most = self.policy.most_passed_share * waiting.bid.target_seconds
        passed = min(self.policy.size_weight * reading_seconds, most)
        return waiting.arrived_at + passed
