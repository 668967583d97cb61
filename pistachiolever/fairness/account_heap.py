"""Orders the accounts with queued requests by their virtual counters."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field, frozen


@frozen
class HeapEntry:
    """An account and its virtual counter at the time of insertion."""

    virtual_counter: float
    account_id: str

    def __lt__(self, other: "HeapEntry") -> bool:
        """Order by counter, then by id.

        Written by hand because heap operations call it often.
        """
        if self.virtual_counter != other.virtual_counter:
            return self.virtual_counter < other.virtual_counter
        return self.account_id < other.account_id


@define
class AccountHeap:
    """A heap of accounts whose outdated entries are corrected on read.

    `get_virtual_counter` returns the current counter of an account. An increase is
    detected when the entry is read; after a decrease `refresh` must be called.
    `entry_counter_by_account` holds the counter of each account's valid entry.
    """

    get_virtual_counter: Callable[[str], float]
    heap: list[HeapEntry] = field(factory=list)
    entry_counter_by_account: dict[str, float] = field(factory=dict)

    def add(self, account_id: str) -> None:
        """Add an account that now has queued requests."""
        if account_id not in self.entry_counter_by_account:
            self._push(account_id)

    def remove(self, account_id: str) -> None:
        """Remove an account that has no queued requests."""
        self.entry_counter_by_account.pop(account_id, None)

    def refresh(self, account_id: str) -> None:
        """Add an account again if its counter decreased."""
        entry_counter = self.entry_counter_by_account.get(account_id)
        if (
            entry_counter is not None
            and self.get_virtual_counter(account_id) < entry_counter
        ):
            self._push(account_id)

    def lowest(self, count: int) -> list[HeapEntry]:
        """Return the accounts with the lowest counters in ascending order."""
        entries: list[HeapEntry] = []
        while self.heap and len(entries) < count:
            entry = heappop(self.heap)
            if (
                self.entry_counter_by_account.get(entry.account_id)
                != entry.virtual_counter
            ):
                continue
            virtual_counter = self.get_virtual_counter(entry.account_id)
            if virtual_counter > entry.virtual_counter:
                self._push(entry.account_id)
                continue
            entries.append(entry)
            self.entry_counter_by_account.pop(entry.account_id)
        for entry in entries:
            self.entry_counter_by_account[entry.account_id] = entry.virtual_counter
            heappush(self.heap, entry)
        return entries

    def _push(self, account_id: str) -> None:
        """Push the account with its current counter."""
        virtual_counter = self.get_virtual_counter(account_id)
        self.entry_counter_by_account[account_id] = virtual_counter
        heappush(self.heap, HeapEntry(virtual_counter, account_id))
