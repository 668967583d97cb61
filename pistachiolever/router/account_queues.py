"""Bounded queues of waiting requests, one for each account."""

from collections import deque
from collections.abc import Iterator

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Preset
from pistachiolever.router.const import (
    BUSY_RETRY_AFTER_SECONDS,
    MOST_RETRY_AFTER_SECONDS,
    QUEUE_SHARE,
    REQUEST_OVERHEAD_BYTES,
)
from pistachiolever.router.models import CallerRequest


@define
class WaitingRequest:
    """A request in a queue; times are in seconds of the router's clock."""

    request: CallerRequest
    estimate: float
    deadline: float
    attempts: int = 0
    size_bytes: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count the memory that the request holds."""
        self.size_bytes = self.request.size_bytes + REQUEST_OVERHEAD_BYTES


@define
class AccountQueue:
    """The requests of one account, the oldest first."""

    waiting: deque[WaitingRequest] = field(factory=deque)
    size_bytes: int = 0


@define
class AccountQueues:
    """All queues of one service; `pool` is shared by all services."""

    pool: "MemoryPool"
    queue_by_account: dict[str, AccountQueue] = field(factory=dict)
    count: int = 0

    def refusal_for(
        self, request: CallerRequest, preset: Preset, seconds_each: float
    ) -> Refusal | None:
        """Return why the request may not wait, or None."""
        queue = self.queue_by_account.get(request.account_id)
        waiting = len(queue.waiting) if queue else 0
        held = queue.size_bytes if queue else 0
        size = request.size_bytes + REQUEST_OVERHEAD_BYTES
        after = min(
            MOST_RETRY_AFTER_SECONDS,
            max(BUSY_RETRY_AFTER_SECONDS, waiting * seconds_each / 2),
        )
        if waiting >= preset.queue_count_per_account:
            detail = f"{waiting} requests of the account wait already"
            return Refusal(Verdict.NOT_RUN, "queue-full", detail, after)
        if held + size > preset.queue_bytes_per_account:
            detail = f"{held} bytes of the account wait already"
            return Refusal(Verdict.NOT_RUN, "queue-full", detail, after)
        if not self.pool.admits(held, size):
            detail = "the router's queues are full"
            return Refusal(Verdict.NOT_RUN, "router-full", detail, after)
        return None

    def push(self, item: WaitingRequest) -> None:
        """Append a request."""
        queue = self._queue(item.request.account_id)
        queue.waiting.append(item)
        self._count(queue, item, 1)

    def push_front(self, item: WaitingRequest) -> None:
        """Put back a request that was not run."""
        queue = self._queue(item.request.account_id)
        queue.waiting.appendleft(item)
        self._count(queue, item, 1)

    def pop(self, account_id: str) -> WaitingRequest:
        """Take the account's oldest request."""
        queue = self.queue_by_account[account_id]
        item = queue.waiting.popleft()
        self._count(queue, item, -1)
        self._forget_if_empty(account_id)
        return item

    def remove(self, account_id: str, request_id: str) -> WaitingRequest | None:
        """Take out one request wherever it stands."""
        queue = self.queue_by_account.get(account_id)
        if queue is None:
            return None
        for item in queue.waiting:
            if item.request.request_id == request_id:
                queue.waiting.remove(item)
                self._count(queue, item, -1)
                self._forget_if_empty(account_id)
                return item
        return None

    def waiting_of(self, account_id: str) -> int:
        """Return how many requests of the account wait."""
        queue = self.queue_by_account.get(account_id)
        return len(queue.waiting) if queue else 0

    def oldest(self, account_id: str) -> WaitingRequest:
        """Return the account's oldest request."""
        return self.queue_by_account[account_id].waiting[0]

    def pop_overdue(self, now: float) -> Iterator[WaitingRequest]:
        """Take out the requests whose deadline has passed."""
        for account_id in list(self.queue_by_account):
            queue = self.queue_by_account[account_id]
            while queue.waiting and queue.waiting[0].deadline <= now:
                yield self.pop(account_id)

    def pop_all(self) -> Iterator[WaitingRequest]:
        """Take out everything."""
        for account_id in list(self.queue_by_account):
            while account_id in self.queue_by_account:
                yield self.pop(account_id)

    def _queue(self, account_id: str) -> AccountQueue:
        """Return the account's queue, made when it is new."""
        queue = self.queue_by_account.get(account_id)
        if queue is None:
            queue = AccountQueue()
            self.queue_by_account[account_id] = queue
        return queue

    def _count(self, queue: AccountQueue, item: WaitingRequest, sign: int) -> None:
        """Keep the sums after one request came or went."""
        queue.size_bytes += sign * item.size_bytes
        self.pool.used_bytes += sign * item.size_bytes
        self.count += sign

    def _forget_if_empty(self, account_id: str) -> None:
        """Drop the queue of an account that no longer waits."""
        if not self.queue_by_account[account_id].waiting:
            del self.queue_by_account[account_id]


@define
class MemoryPool:
    """The memory that all queues of a router share.

    An account may hold as much as a share of what is still free (dynamic
    thresholds), so that a flood always leaves room for the others.
    """

    most_bytes: int
    used_bytes: int = 0

    def admits(self, held_bytes: int, size_bytes: int) -> bool:
        """Tell whether an account that holds so much may add so much."""
        free = self.most_bytes - self.used_bytes
        return size_bytes <= free and held_bytes <= QUEUE_SHARE * free
