"""Recent demand and service of each account; older amounts decay exponentially."""

from collections.abc import Hashable
from math import exp, log
from typing import TypeVar

from attrs import define, field

from pistachiolever.admission.const import SERVICE_DECAY_SECONDS
from pistachiolever.admission.models import Bid

K = TypeVar("K", bound=Hashable)


@define
class DecayingSum:
    """A sum that decays with the time constant SERVICE_DECAY_SECONDS."""

    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Return the decayed sum at a time in seconds."""
        return self.value * exp(
            -max(0.0, now - self.updated_at) / SERVICE_DECAY_SECONDS
        )

    def add(self, amount: float, now: float) -> None:
        """Add an amount, which may be negative; the sum stays at or above zero."""
        self.value = max(0.0, self.value_at(now) + amount)
        self.updated_at = now


SizeKey = tuple[str, str, int]


def size_key(bid: Bid) -> SizeKey:
    """Return account, kind and size class of a bid.

    Prompts of one size class differ by less than a factor of four.
    """
    return (bid.account_id, bid.kind, int(log(max(1, bid.prompt_tokens), 4)))


@define
class RecentService:
    """Recent demand and service of accounts in weighted tokens.

    `local` is service at this endpoint, `elsewhere` at all others, as reported by
    routers. `reported` is the part of `local` that was reported to the registry, so
    that the routers' sums include it. `changed_accounts` are not reported yet.
    """

    local_by_account: dict[str, DecayingSum] = field(factory=dict)
    local_by_kind: dict[tuple[str, str], DecayingSum] = field(factory=dict)
    local_by_size: dict[SizeKey, DecayingSum] = field(factory=dict)
    demand_by_account: dict[str, DecayingSum] = field(factory=dict)
    demand_by_size: dict[SizeKey, DecayingSum] = field(factory=dict)
    elsewhere_by_account: dict[str, DecayingSum] = field(factory=dict)
    reported_by_account: dict[str, DecayingSum] = field(factory=dict)
    changed_accounts: set[str] = field(factory=set)

    def record_demand(self, bid: Bid, amount: float, now: float) -> None:
        """Add a request to the demand of its account."""
        self.changed_accounts.add(bid.account_id)
        _add(self.demand_by_account, bid.account_id, amount, now)
        _add(self.demand_by_size, size_key(bid), amount, now)

    def charge(self, bid: Bid, amount: float, now: float) -> None:
        """Charge an account for service; a negative amount is a refund."""
        self.changed_accounts.add(bid.account_id)
        _add(self.local_by_account, bid.account_id, amount, now)
        _add(self.local_by_kind, (bid.account_id, bid.kind), amount, now)
        _add(self.local_by_size, size_key(bid), amount, now)

    def set_total(self, account_id: str, total: float, now: float) -> None:
        """Apply an account's service at all endpoints, as a router knows it."""
        reported = _read(self.reported_by_account, account_id, now)
        elsewhere = max(0.0, total - reported)
        self.elsewhere_by_account[account_id] = DecayingSum(elsewhere, now)

    def elsewhere(self, account_id: str, now: float) -> float:
        """Return an account's service at all other endpoints."""
        return _read(self.elsewhere_by_account, account_id, now)

    # Reports to the registry.

    def pop_changed(self, everything: bool) -> set[str]:
        """Return the accounts to report: the changed ones, or all of them."""
        changed, self.changed_accounts = self.changed_accounts, set()
        if everything:
            changed |= self.demand_by_account.keys() | self.local_by_account.keys()
        return changed

    def usage(self, account_id: str, now: float) -> tuple[int, int]:
        """Return an account's demand and service here."""
        asked = _read(self.demand_by_account, account_id, now)
        return (round(asked), round(self.local(account_id, now)))

    def record_reported(self, account_id: str, amount: float, now: float) -> None:
        """Record that the registry knows of an account's service here."""
        self.reported_by_account[account_id] = DecayingSum(amount, now)

    def local(self, account_id: str, now: float) -> float:
        """Return an account's service at this endpoint."""
        return _read(self.local_by_account, account_id, now)

    def of_kind(self, account_id: str, kind: str, now: float) -> float:
        """Return an account's service at this endpoint for one kind of request."""
        return _read(self.local_by_kind, (account_id, kind), now)

    def total(self, account_id: str, now: float) -> float:
        """Return an account's service at all endpoints."""
        return self.local(account_id, now) + self.elsewhere(account_id, now)

    def size_service_ratio(self, bid: Bid, now: float) -> float:
        """Return the service of the bid's kind and size relative to its fair part.

        The fair part divides the account's service in proportion to demand, so a value
        below 1 means that this kind and size received too little.
        """
        demand = _read(self.demand_by_size, size_key(bid), now)
        account_demand = max(1.0, _read(self.demand_by_account, bid.account_id, now))
        expected = self.local(bid.account_id, now) * demand / account_demand
        return _read(self.local_by_size, size_key(bid), now) / max(1.0, expected)


def _add(sums: dict[K, DecayingSum], key: K, amount: float, now: float) -> None:
    """Add to a sum, creating it if needed."""
    sums.setdefault(key, DecayingSum()).add(amount, now)


def _read(sums: dict[K, DecayingSum], key: K, now: float) -> float:
    """Return a sum, zero if it does not exist."""
    decaying = sums.get(key)
    return decaying.value_at(now) if decaying else 0.0
