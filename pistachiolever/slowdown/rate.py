"""Measures the prefill rate of an engine independently of its present load."""

from attrs import define

from pistachiolever.slowdown.const import (
    MIN_RATE_SAMPLE_TOKENS,
    MIN_RATE_TOKENS,
    RATE_DECAY,
)


@define
class LastingRate:
    """Prefill rate over many prompts, without a prior and without the throttle."""

    tokens: float = 0.0
    seconds: float = 0.0
    total_tokens: float = 0.0

    @property
    def tokens_per_second(self) -> float:
        """Return the rate; 0 until enough was measured."""
        if self.total_tokens < MIN_RATE_TOKENS:
            return 0.0
        return self.tokens / self.seconds

    def observe(self, tokens: float, seconds: float) -> None:
        """Add a sample, unless its prompt is short."""
        if tokens < MIN_RATE_SAMPLE_TOKENS or seconds <= 0:
            return
        self.tokens = self.tokens * RATE_DECAY + tokens
        self.seconds = self.seconds * RATE_DECAY + seconds
        self.total_tokens += tokens
