"""Limits retries to a fraction of all requests and delays them randomly."""

from random import Random

from attrs import define

from pistachiolever.router.const import (
    BASE_RETRY_DELAY_SECONDS,
    INITIAL_RETRY_BUDGET,
    MAX_RETRY_BUDGET,
    MAX_RETRY_DELAY_SECONDS,
)


@define
class RetryBudget:
    """A token bucket: each request adds a fraction of a token, a retry uses one."""

    tokens: float = INITIAL_RETRY_BUDGET

    def deposit(self, fraction: float) -> None:
        """Add the fraction of a token that one request earns."""
        self.tokens = min(MAX_RETRY_BUDGET, self.tokens + fraction)

    def try_acquire(self) -> bool:
        """Use a token for a retry; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def retry_delay(attempt: int, rng: Random) -> float:
    """Return the delay in seconds: exponential backoff with full jitter."""
    max_delay = min(MAX_RETRY_DELAY_SECONDS, BASE_RETRY_DELAY_SECONDS * 2.0**attempt)
    return rng.uniform(0.0, max_delay)
