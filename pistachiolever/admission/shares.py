"""Recent service by account, which fades."""

from math import exp

from attrs import define, field

from pistachiolever.admission.const import SERVICE_MEMORY_SECONDS


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


@define
class RecentService:
    """The weighted tokens that each account got lately, here and elsewhere."""

    here_by_account: dict[str, FadingSum] = field(factory=dict)
    here_by_kind: dict[tuple[str, str], FadingSum] = field(factory=dict)
    elsewhere_by_account: dict[str, FadingSum] = field(factory=dict)

    def charge(self, account_id: str, kind: str, amount: float, now: float) -> None:
        """Add service given here to an account for a kind of request."""
        self.here_by_account.setdefault(account_id, FadingSum()).add(amount, now)
        self.here_by_kind.setdefault((account_id, kind), FadingSum()).add(amount, now)

    def hear(self, account_id: str, amount: float, now: float) -> None:
        """Take in what a router knows of the service elsewhere."""
        self.elsewhere_by_account[account_id] = FadingSum(amount, now)

    def here(self, account_id: str, now: float) -> float:
        """Return the service given here."""
        known = self.here_by_account.get(account_id)
        return known.read(now) if known else 0.0

    def of_kind(self, account_id: str, kind: str, now: float) -> float:
        """Return the service given here to an account for a kind of request."""
        known = self.here_by_kind.get((account_id, kind))
        return known.read(now) if known else 0.0

    def total(self, account_id: str, now: float) -> float:
        """Return what orders accounts: the one with the least goes first."""
        elsewhere = self.elsewhere_by_account.get(account_id)
        return self.here(account_id, now) + (elsewhere.read(now) if elsewhere else 0.0)
