"""Estimates the cost of a request from earlier requests of the account."""

from attrs import define, field

from pistachiolever.declarations.models import Service
from pistachiolever.fairness.const import (
    ESTIMATE_SMOOTHING_FACTOR,
    INITIAL_ESTIMATE_FRACTION,
)


@define
class CostEstimator:
    """Moving average of the cost of one service's requests, per account.

    Estimates are limited to the range from the cost of an empty call to
    `Service.max_cost()`, so that a wrong output token count has a bounded effect.
    """

    service: Service
    mean_by_account: dict[str, float] = field(factory=dict)

    def estimate(self, account_id: str, max_output_tokens: int) -> float:
        """Return the expected cost, in the service's cost units.

        The first estimate of an account is derived from `max_output_tokens`.
        """
        requested = self.service.cost.cost_of(0, max_output_tokens)
        initial = requested * INITIAL_ESTIMATE_FRACTION
        mean = self.mean_by_account.get(account_id, initial)
        min_cost = self.service.cost.cost_of(0, 0)
        return max(min_cost, min(mean, self.service.max_cost()))

    def observe(self, account_id: str, cost: float) -> None:
        """Update the average with the measured cost of a completed request."""
        mean = self.mean_by_account.get(account_id)
        if mean is None:
            self.mean_by_account[account_id] = cost
            return
        self.mean_by_account[account_id] = mean + ESTIMATE_SMOOTHING_FACTOR * (
            cost - mean
        )
