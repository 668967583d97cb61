"""What each account got and asked lately at all endpoints, and what is its share."""

from collections.abc import Iterable

from attrs import define, field

from pistachiolever.admission.const import SERVICE_MEMORY_SECONDS
from pistachiolever.admission.models import AccountUse
from pistachiolever.admission.shares import FadingSum
from pistachiolever.gateway.const import LEVEL_SECONDS


def max_min_share(asked: Iterable[float], capacity: float) -> float | None:
    """Return the share of those who ask for more than it; None if all is served."""
    left = capacity
    amounts = sorted(asked)
    for index, amount in enumerate(amounts):
        level = left / (len(amounts) - index)
        if amount > level:
            return level
        left -= amount
    return None


@define
class FairShares:
    """The accounts' uses by endpoint, as the agents tell; weighted tokens that fade."""

    got_by_account: dict[str, dict[str, FadingSum]] = field(factory=dict)
    asked_by_account: dict[str, dict[str, FadingSum]] = field(factory=dict)
    _level: float | None = None
    _level_at: float = float("-inf")

    def hear(self, endpoint_id: str, uses: list[AccountUse], now: float) -> None:
        """Take in what an endpoint's agent tells of all accounts there."""
        for use in uses:
            asked = self.asked_by_account.setdefault(use.account_id, {})
            asked[endpoint_id] = FadingSum(use.asked, now)
            self.note_got(use.account_id, endpoint_id, use.got, now)

    def note_got(
        self, account_id: str, endpoint_id: str, amount: float, now: float
    ) -> None:
        """Take in what an account got lately at an endpoint."""
        got = self.got_by_account.setdefault(account_id, {})
        got[endpoint_id] = FadingSum(amount, now)

    def elsewhere(self, account_id: str, endpoint_id: str, now: float) -> float:
        """Return what an account got lately at all other endpoints."""
        got = self.got_by_account.get(account_id, {})
        return sum(
            fading.read(now) for other, fading in got.items() if other != endpoint_id
        )

    def share(self, tokens_per_second: float, now: float) -> float | None:
        """Return what an account may have got lately; None where all is served."""
        if tokens_per_second <= 0:
            return None
        if now - self._level_at >= LEVEL_SECONDS:
            asked = [
                sum(fading.read(now) for fading in by_endpoint.values())
                for by_endpoint in self.asked_by_account.values()
            ]
            self._level = max_min_share(
                asked, tokens_per_second * SERVICE_MEMORY_SECONDS
            )
            self._level_at = now
        return self._level
