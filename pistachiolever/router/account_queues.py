"""Bounded request queues, one per account."""

from collections import deque
from collections.abc import Iterator

from attrs import define, field

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Preset
from pistachiolever.router.const import (
    BUSY_RETRY_AFTER_SECONDS,
    MAX_RETRY_AFTER_SECONDS,
    QUEUE_THRESHOLD_FACTOR,
    REQUEST_OVERHEAD_BYTES,
)
from pistachiolever.router.models import CallerRequest


@define
class QueuedRequest:
    """A request in a queue.

    `estimate` is its expected cost in the service's cost units, `deadline` the time by
    which it must be dispatched, in seconds of the router's clock.
    """

    request: CallerRequest
    estimate: float
    deadline: float
    attempts: int = 0
    size_bytes: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Compute the memory that the request uses."""
        self.size_bytes = self.request.size_bytes + REQUEST_OVERHEAD_BYTES


@define
class AccountQueue:
    """The queued requests of one account, oldest first."""

    requests: deque[QueuedRequest] = field(factory=deque)
    size_bytes: int = 0


@define
class AccountQueues:
    """The queues of all accounts of one service.

    `memory_pool` is shared by the queues of all services.
    """

    memory_pool: "MemoryPool"
    queue_by_account: dict[str, AccountQueue] = field(factory=dict)
    count: int = 0

    def refusal_for(
        self, request: CallerRequest, preset: Preset, seconds_per_request: float
    ) -> Refusal | None:
        """Return the refusal of a request that cannot be queued, or None."""
        queue = self.queue_by_account.get(request.account_id)
        count = len(queue.requests) if queue else 0
        used_bytes = queue.size_bytes if queue else 0
        size = request.size_bytes + REQUEST_OVERHEAD_BYTES
        retry_after = min(
            MAX_RETRY_AFTER_SECONDS,
            max(BUSY_RETRY_AFTER_SECONDS, count * seconds_per_request / 2),
        )
        if count >= preset.queue_count_per_account:
            detail = f"the account already has {count} queued requests"
            return Refusal(Verdict.NOT_RUN, "queue-full", detail, retry_after)
        if used_bytes + size > preset.queue_bytes_per_account:
            detail = f"the account already has {used_bytes} queued bytes"
            return Refusal(Verdict.NOT_RUN, "queue-full", detail, retry_after)
        if not self.memory_pool.admits(used_bytes, size):
            detail = "the router's queues are full"
            return Refusal(Verdict.NOT_RUN, "router-full", detail, retry_after)
        return None

    def push(self, item: QueuedRequest) -> None:
        """Append a new request to its account's queue."""
        queue = self._account_queue(item.request.account_id)
        queue.requests.append(item)
        self._update_sizes(queue, item, 1)

    def push_front(self, item: QueuedRequest) -> None:
        """Return a request that did not run to the head of its account's queue."""
        queue = self._account_queue(item.request.account_id)
        queue.requests.appendleft(item)
        self._update_sizes(queue, item, 1)

    def pop(self, account_id: str) -> QueuedRequest:
        """Remove and return the account's oldest request."""
        queue = self.queue_by_account[account_id]
        item = queue.requests.popleft()
        self._update_sizes(queue, item, -1)
        self._remove_if_empty(account_id)
        return item

    def remove(self, account_id: str, request_id: str) -> QueuedRequest | None:
        """Remove and return a request at any position; None if it is not queued."""
        queue = self.queue_by_account.get(account_id)
        if queue is None:
            return None
        for item in queue.requests:
            if item.request.request_id == request_id:
                queue.requests.remove(item)
                self._update_sizes(queue, item, -1)
                self._remove_if_empty(account_id)
                return item
        return None

    def queued_count(self, account_id: str) -> int:
        """Return the number of queued requests of the account."""
        queue = self.queue_by_account.get(account_id)
        return len(queue.requests) if queue else 0

    def oldest(self, account_id: str) -> QueuedRequest:
        """Return the account's oldest request."""
        return self.queue_by_account[account_id].requests[0]

    def pop_timed_out(self, now: float) -> Iterator[QueuedRequest]:
        """Remove and yield the requests whose deadline has passed."""
        for account_id in list(self.queue_by_account):
            queue = self.queue_by_account[account_id]
            while queue.requests and queue.requests[0].deadline <= now:
                yield self.pop(account_id)

    def pop_all(self) -> Iterator[QueuedRequest]:
        """Remove and yield all requests."""
        for account_id in list(self.queue_by_account):
            while account_id in self.queue_by_account:
                yield self.pop(account_id)

    def _account_queue(self, account_id: str) -> AccountQueue:
        """Return the account's queue, creating it if needed."""
        queue = self.queue_by_account.get(account_id)
        if queue is None:
            queue = AccountQueue()
            self.queue_by_account[account_id] = queue
        return queue

    def _update_sizes(
        self, queue: AccountQueue, item: QueuedRequest, sign: int
    ) -> None:
        """Update the totals after a request was added (1) or removed (-1)."""
        queue.size_bytes += sign * item.size_bytes
        self.memory_pool.used_bytes += sign * item.size_bytes
        self.count += sign

    def _remove_if_empty(self, account_id: str) -> None:
        """Remove the queue of an account without queued requests."""
        if not self.queue_by_account[account_id].requests:
            del self.queue_by_account[account_id]


@define
class MemoryPool:
    """The memory limit that all queues of a router share.

    An account may use up to a fraction of the memory that is still free (dynamic
    thresholds), so that a flood of one account leaves memory for the others.
    """

    max_bytes: int
    used_bytes: int = 0

    def admits(self, account_bytes: int, size_bytes: int) -> bool:
        """Return whether an account that uses `account_bytes` may add `size_bytes`."""
        free = self.max_bytes - self.used_bytes
        return size_bytes <= free and account_bytes <= QUEUE_THRESHOLD_FACTOR * free
