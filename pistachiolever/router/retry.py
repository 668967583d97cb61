"""Limits retries to a fraction of the requests, and spreads them in time."""

from random import Random

from attrs import define

from pistachiolever.router.const import (
    RETRY_BUDGET_MOST,
    RETRY_BUDGET_START,
    RETRY_DELAY_MOST_SECONDS,
    RETRY_DELAY_SECONDS,
)


@define
class RetryBudget:
    """A bucket that requests fill a little and retries empty by one."""

    tokens: float = RETRY_BUDGET_START

    def deposit(self, fraction: float) -> None:
        """Add the fraction of a retry that one request earns."""
        self.tokens = min(RETRY_BUDGET_MOST, self.tokens + fraction)

    def withdraw(self) -> bool:
        """Take one retry if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_delay(attempt: int, rng: Random) -> float:
    """Return the seconds to wait before an attempt: exponential, full jitter."""
    longest = min(RETRY_DELAY_MOST_SECONDS, RETRY_DELAY_SECONDS * 2.0**attempt)
    return rng.uniform(0.0, longest)
