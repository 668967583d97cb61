"""Estimates what a request will cost, from what the account's last ones did."""

from attrs import define, field

from pistachiolever.declarations.models import Service
from pistachiolever.fairness.const import ESTIMATE_GAIN, ESTIMATE_START_FRACTION


@define
class CostEstimator:
    """Learns the cost of one service's requests, account by account.

    An estimate stays between the cost of an empty call and `Service.max_cost()`,
    which bounds the harm of a wrong hint.
    """

    service: Service
    mean_by_account: dict[str, float] = field(factory=dict)

    def estimate(self, account_id: str, max_output_tokens: int) -> float:
        """Return the expected cost, in the service's cost units."""
        hint = self.service.cost.cost_of(0, max_output_tokens)
        start = hint * ESTIMATE_START_FRACTION
        mean = self.mean_by_account.get(account_id, start)
        lowest = self.service.cost.cost_of(0, 0)
        return max(lowest, min(mean, self.service.max_cost()))

    def learn(self, account_id: str, cost: float) -> None:
        """Take in the true cost of a request that ended."""
        mean = self.mean_by_account.get(account_id)
        if mean is None:
            self.mean_by_account[account_id] = cost
            return
        self.mean_by_account[account_id] = mean + ESTIMATE_GAIN * (cost - mean)
