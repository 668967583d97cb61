"""Recent service by account, which fades."""

from collections.abc import Hashable
from math import exp, log
from typing import TypeVar

from attrs import define, field

from pistachiolever.admission.const import SERVICE_DECAY_SECONDS
from pistachiolever.admission.models import AccountUsage, Bid

K = TypeVar("K", bound=Hashable)


@define
class DecayingSum:
    """A sum whose parts fade with time."""

    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Return the sum at a time in seconds."""
        return self.value * exp(
            -max(0.0, now - self.updated_at) / SERVICE_DECAY_SECONDS
        )

    def add(self, amount: float, now: float) -> None:
        """Add to the sum."""
        self.value = max(0.0, self.value_at(now) + amount)
        self.updated_at = now


SizeKey = tuple[str, str, int]


def size_key(bid: Bid) -> SizeKey:
    """Return account, kind and size of a bid; a size is within a factor of four."""
    return (bid.account_id, bid.kind, int(log(max(1, bid.prompt_tokens), 4)))


@define
class RecentService:
    """The weighted tokens that each account asked and got lately."""

    local_by_account: dict[str, DecayingSum] = field(factory=dict)
    local_by_kind: dict[tuple[str, str], DecayingSum] = field(factory=dict)
    local_by_size: dict[SizeKey, DecayingSum] = field(factory=dict)
    demand_by_account: dict[str, DecayingSum] = field(factory=dict)
    demand_by_size: dict[SizeKey, DecayingSum] = field(factory=dict)
    elsewhere_by_account: dict[str, DecayingSum] = field(factory=dict)

    def record_demand(self, bid: Bid, amount: float, now: float) -> None:
        """Count what an account asks for here."""
        _add(self.demand_by_account, bid.account_id, amount, now)
        _add(self.demand_by_size, size_key(bid), amount, now)

    def charge(self, bid: Bid, amount: float, now: float) -> None:
        """Count what an account gets here; less than nothing is given back."""
        _add(self.local_by_account, bid.account_id, amount, now)
        _add(self.local_by_kind, (bid.account_id, bid.kind), amount, now)
        _add(self.local_by_size, size_key(bid), amount, now)

    def set_elsewhere(self, account_id: str, amount: float, now: float) -> None:
        """Take in what a router knows of the service elsewhere."""
        self.elsewhere_by_account[account_id] = DecayingSum(amount, now)

    def usage(self, now: float) -> list[AccountUsage]:
        """Return what each account asked and got here lately."""
        return [
            AccountUsage(
                account_id,
                round(demand.value_at(now)),
                round(self.local(account_id, now)),
            )
            for account_id, demand in self.demand_by_account.items()
            if demand.value_at(now) >= 1.0
        ]

    def local(self, account_id: str, now: float) -> float:
        """Return the service given here."""
        return _read(self.local_by_account, account_id, now)

    def of_kind(self, account_id: str, kind: str, now: float) -> float:
        """Return the service given here to an account for a kind of request."""
        return _read(self.local_by_kind, (account_id, kind), now)

    def total(self, account_id: str, now: float) -> float:
        """Return what orders accounts: the one with the least goes first."""
        elsewhere = _read(self.elsewhere_by_account, account_id, now)
        return self.local(account_id, now) + elsewhere

    def size_service_ratio(self, bid: Bid, now: float) -> float:
        """Return how the bid's kind and size fare within its account.

        One is their part in proportion to what was asked; below it they got too little.
        """
        demand = _read(self.demand_by_size, size_key(bid), now)
        account_demand = max(1.0, _read(self.demand_by_account, bid.account_id, now))
        expected = self.local(bid.account_id, now) * demand / account_demand
        return _read(self.local_by_size, size_key(bid), now) / max(1.0, expected)


def _add(sums: dict[K, DecayingSum], key: K, amount: float, now: float) -> None:
    """Add to a sum that may be new."""
    sums.setdefault(key, DecayingSum()).add(amount, now)


def _read(sums: dict[K, DecayingSum], key: K, now: float) -> float:
    """Return a sum, zero if it is not there."""
    decaying = sums.get(key)
    return decaying.value_at(now) if decaying else 0.0
