"""Keeps the accounts that wait in the order of their weighted service."""

from collections.abc import Callable
from heapq import heappop, heappush

from attrs import define, field, frozen


@frozen
class OrderEntry:
    """An account at the virtual counter it had when it was placed."""

    virtual: float
    account_id: str

    def __lt__(self, other: "OrderEntry") -> bool:
        """Order by counter, then by id; written out since it is called often."""
        if self.virtual != other.virtual:
            return self.virtual < other.virtual
        return self.account_id < other.account_id


@define
class AccountOrder:
    """A heap that is corrected when read.

    `virtual_of` returns the present counter of an account. Counters mostly grow;
    `refresh` must be called for one that fell.
    """

    virtual_of: Callable[[str], float]
    heap: list[OrderEntry] = field(factory=list)
    placed_by_account: dict[str, float] = field(factory=dict)

    def add(self, account_id: str) -> None:
        """Place an account that began to wait."""
        if account_id not in self.placed_by_account:
            self._place(account_id)

    def remove(self, account_id: str) -> None:
        """Drop an account that no longer waits."""
        self.placed_by_account.pop(account_id, None)

    def refresh(self, account_id: str) -> None:
        """Place an account again when its counter fell."""
        placed = self.placed_by_account.get(account_id)
        if placed is not None and self.virtual_of(account_id) < placed:
            self._place(account_id)

    def lowest(self, count: int) -> list[OrderEntry]:
        """Return the accounts with the least service, the least first."""
        found: list[OrderEntry] = []
        while self.heap and len(found) < count:
            entry = heappop(self.heap)
            if self.placed_by_account.get(entry.account_id) != entry.virtual:
                continue
            virtual = self.virtual_of(entry.account_id)
            if virtual > entry.virtual:
                self._place(entry.account_id)
                continue
            found.append(entry)
            self.placed_by_account.pop(entry.account_id)
        for entry in found:
            self.placed_by_account[entry.account_id] = entry.virtual
            heappush(self.heap, entry)
        return found

    def _place(self, account_id: str) -> None:
        """Put the account into the heap at its present counter."""
        virtual = self.virtual_of(account_id)
        self.placed_by_account[account_id] = virtual
        heappush(self.heap, OrderEntry(virtual, account_id))
