"""Recent service by account, which fades."""

from collections.abc import Hashable
from math import exp, log
from typing import TypeVar

from attrs import define, field

from pistachiolever.admission.const import SERVICE_MEMORY_SECONDS
from pistachiolever.admission.models import AccountUse, Bid

K = TypeVar("K", bound=Hashable)


@define
class FadingSum:
    """A sum whose parts fade with time."""

    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the sum at a time in seconds."""
        return self.value * exp(-max(0.0, now - self.at) / SERVICE_MEMORY_SECONDS)

    def add(self, amount: float, now: float) -> None:
        """Add to the sum."""
        self.value = max(0.0, self.read(now) + amount)
        self.at = now


SizeKey = tuple[str, str, int]


def size_key(bid: Bid) -> SizeKey:
    """Return account, kind and size of a bid; a size is within a factor of four."""
    return (bid.account_id, bid.kind, int(log(max(1, bid.prompt_tokens), 4)))


@define
class RecentService:
    """The weighted tokens that each account asked and got lately."""

    here_by_account: dict[str, FadingSum] = field(factory=dict)
    here_by_kind: dict[tuple[str, str], FadingSum] = field(factory=dict)
    here_by_size: dict[SizeKey, FadingSum] = field(factory=dict)
    asked_by_account: dict[str, FadingSum] = field(factory=dict)
    asked_by_size: dict[SizeKey, FadingSum] = field(factory=dict)
    elsewhere_by_account: dict[str, FadingSum] = field(factory=dict)

    def ask(self, bid: Bid, amount: float, now: float) -> None:
        """Count what an account asks for here."""
        _add(self.asked_by_account, bid.account_id, amount, now)
        _add(self.asked_by_size, size_key(bid), amount, now)

    def charge(self, bid: Bid, amount: float, now: float) -> None:
        """Count what an account gets here; less than nothing is given back."""
        _add(self.here_by_account, bid.account_id, amount, now)
        _add(self.here_by_kind, (bid.account_id, bid.kind), amount, now)
        _add(self.here_by_size, size_key(bid), amount, now)

    def hear(self, account_id: str, amount: float, now: float) -> None:
        """Take in what a router knows of the service elsewhere."""
        self.elsewhere_by_account[account_id] = FadingSum(amount, now)

    def uses(self, now: float) -> list[AccountUse]:
        """Return what each account asked and got here lately."""
        return [
            AccountUse(
                account_id, round(asked.read(now)), round(self.here(account_id, now))
            )
            for account_id, asked in self.asked_by_account.items()
            if asked.read(now) >= 1.0
        ]

    def here(self, account_id: str, now: float) -> float:
        """Return the service given here."""
        return _read(self.here_by_account, account_id, now)

    def of_kind(self, account_id: str, kind: str, now: float) -> float:
        """Return the service given here to an account for a kind of request."""
        return _read(self.here_by_kind, (account_id, kind), now)

    def total(self, account_id: str, now: float) -> float:
        """Return what orders accounts: the one with the least goes first."""
        elsewhere = _read(self.elsewhere_by_account, account_id, now)
        return self.here(account_id, now) + elsewhere

    def size_part(self, bid: Bid, now: float) -> float:
        """Return how the bid's kind and size fare within its account.

        One is their part in proportion to what was asked; below it they got too little.
        """
        asked = _read(self.asked_by_size, size_key(bid), now)
        asked_all = max(1.0, _read(self.asked_by_account, bid.account_id, now))
        due = self.here(bid.account_id, now) * asked / asked_all
        return _read(self.here_by_size, size_key(bid), now) / max(1.0, due)


def _add(sums: dict[K, FadingSum], key: K, amount: float, now: float) -> None:
    """Add to a sum that may be new."""
    sums.setdefault(key, FadingSum()).add(amount, now)


def _read(sums: dict[K, FadingSum], key: K, now: float) -> float:
    """Return a sum, zero if it is not there."""
    known = sums.get(key)
    return known.read(now) if known else 0.0
