"""Recent service and demand of each account at all endpoints, and its fair share."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from pistachiolever.admission.const import SERVICE_DECAY_SECONDS
from pistachiolever.admission.recent_service import DecayingSum
from pistachiolever.gateway.const import SHARE_REFRESH_SECONDS
from pistachiolever.usage.const import STALE_SECONDS, UNSEEN_SECONDS
from pistachiolever.usage.models import UsageByAccount


def max_min_share(demands: Iterable[float], capacity: float) -> float | None:
    """Return the max-min share: what each account with a larger demand receives.

    None if the capacity covers the whole demand.
    """
    remaining = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        share = remaining / (len(ascending) - index)
        if demand > share:
            return share
        remaining -= demand
    return None


@frozen
class OwnGrant:
    """A grant to a request of this router, in weighted tokens."""

    at: float
    account_id: str
    endpoint_id: str
    amount: float


@define
class OwnUsage:
    """Demand and service of this router's requests.

    `unseen` are grants that the fleet-wide sums do not include yet.
    """

    asked_by_account: dict[str, DecayingSum] = field(factory=dict)
    got_by_account: dict[str, DecayingSum] = field(factory=dict)
    unseen: deque[OwnGrant] = field(factory=deque)

    def record_demand(self, account_id: str, amount: float, now: float) -> None:
        """Count a request."""
        self.asked_by_account.setdefault(account_id, DecayingSum()).add(amount, now)

    def record_grant(self, grant: OwnGrant) -> None:
        """Count a grant."""
        sums = self.got_by_account.setdefault(grant.account_id, DecayingSum())
        sums.add(grant.amount, grant.at)
        self.unseen.append(grant)

    def unseen_elsewhere(self, account_id: str, endpoint_id: str, now: float) -> float:
        """Return an account's unseen service at all other endpoints."""
        while self.unseen and now - self.unseen[0].at > UNSEEN_SECONDS:
            self.unseen.popleft()
        return sum(
            grant.amount
            for grant in self.unseen
            if grant.account_id == account_id and grant.endpoint_id != endpoint_id
        )


@define
class FairShares:
    """Recent service and demand by account, in decaying weighted tokens.

    The registry tells the sums over the whole fleet. While it does not, only what this
    router has seen itself counts, and its part of the capacity.
    """

    own: OwnUsage = field(factory=OwnUsage)
    asked_by_account: dict[str, DecayingSum] = field(factory=dict)
    got_by_account: dict[str, DecayingSum] = field(factory=dict)
    heard_at: float = float("-inf")
    _share: float | None = None
    _share_updated_at: float = float("-inf")

    def update(self, uses: UsageByAccount, now: float) -> None:
        """Apply the fleet-wide sums that have changed."""
        self.heard_at = now
        for account_id, (asked, got) in uses.items():
            self.asked_by_account[account_id] = DecayingSum(asked, now)
            self.got_by_account[account_id] = DecayingSum(got, now)

    def is_stale(self, now: float) -> bool:
        """Return whether the registry has not told the sums for long."""
        return now - self.heard_at > STALE_SECONDS

    def total(self, account_id: str, now: float, endpoint_id: str = "") -> float:
        """Return an account's recent service at all endpoints.

        Of this router's latest grants, which the registry does not know yet, those at
        the given endpoint are not included: its agent knows them itself.
        """
        if self.is_stale(now):
            return _read(self.own.got_by_account, account_id, now)
        unseen = self.own.unseen_elsewhere(account_id, endpoint_id, now)
        return self.told_total(account_id, now) + unseen

    def told_total(self, account_id: str, now: float) -> float:
        """Return an account's recent service as the registry told it last."""
        return _read(self.got_by_account, account_id, now)

    def share(
        self, tokens_per_second: float, router_count: int, now: float
    ) -> float | None:
        """Return the max-min share of recent service; None if it limits no account.

        It is cached for SHARE_REFRESH_SECONDS.
        """
        if tokens_per_second <= 0:
            return None
        if now - self._share_updated_at < SHARE_REFRESH_SECONDS:
            return self._share
        self._share_updated_at = now
        capacity, asked = tokens_per_second, self.asked_by_account
        if self.is_stale(now):
            capacity, asked = capacity / max(1, router_count), self.own.asked_by_account
        demands = [decaying.value_at(now) for decaying in asked.values()]
        self._share = max_min_share(demands, capacity * SERVICE_DECAY_SECONDS)
        return self._share


def _read(sums: dict[str, DecayingSum], account_id: str, now: float) -> float:
    """Return a sum, zero if it does not exist."""
    decaying = sums.get(account_id)
    return decaying.value_at(now) if decaying else 0.0
