"""Recent service and demand of each account at all endpoints, and its fair share."""

from collections.abc import Iterable

from attrs import define, field

from pistachiolever.admission.const import SERVICE_DECAY_SECONDS
from pistachiolever.admission.models import AccountUsage
from pistachiolever.admission.recent_service import DecayingSum
from pistachiolever.gateway.const import SHARE_REFRESH_SECONDS


def max_min_share(asked: Iterable[float], capacity: float) -> float | None:
    """Return the max-min share: what each account with a larger demand receives.

    None if the capacity covers the whole demand.
    """
    remaining = capacity
    amounts = sorted(asked)
    for index, amount in enumerate(amounts):
        share = remaining / (len(amounts) - index)
        if amount > share:
            return share
        remaining -= amount
    return None


@define
class FairShares:
    """Recent service and demand by account and endpoint, in decaying weighted tokens.

    Agents report them; replies to bids update the service in between.
    """

    service_by_account: dict[str, dict[str, DecayingSum]] = field(factory=dict)
    demand_by_account: dict[str, dict[str, DecayingSum]] = field(factory=dict)
    _share: float | None = None
    _share_updated_at: float = float("-inf")

    def update(self, endpoint_id: str, usages: list[AccountUsage], now: float) -> None:
        """Apply a usage report of an endpoint's agent."""
        for usage in usages:
            asked = self.demand_by_account.setdefault(usage.account_id, {})
            asked[endpoint_id] = DecayingSum(usage.asked, now)
            self.record_service(usage.account_id, endpoint_id, usage.got, now)

    def record_service(
        self, account_id: str, endpoint_id: str, amount: float, now: float
    ) -> None:
        """Set an account's recent service at an endpoint."""
        got = self.service_by_account.setdefault(account_id, {})
        got[endpoint_id] = DecayingSum(amount, now)

    def elsewhere(self, account_id: str, endpoint_id: str, now: float) -> float:
        """Return an account's recent service at all other endpoints."""
        got = self.service_by_account.get(account_id, {})
        return sum(
            decaying.value_at(now)
            for other, decaying in got.items()
            if other != endpoint_id
        )

    def share(self, tokens_per_second: float, now: float) -> float | None:
        """Return the max-min share of recent service; None if it limits no account.

        It is cached for SHARE_REFRESH_SECONDS.
        """
        if tokens_per_second <= 0:
            return None
        if now - self._share_updated_at >= SHARE_REFRESH_SECONDS:
            asked = [
                sum(decaying.value_at(now) for decaying in by_endpoint.values())
                for by_endpoint in self.demand_by_account.values()
            ]
            self._share = max_min_share(
                asked, tokens_per_second * SERVICE_DECAY_SECONDS
            )
            self._share_updated_at = now
        return self._share
