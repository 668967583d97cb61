"""Measures the prefill rate of an engine independently of its present load."""

from collections import deque
from statistics import median

from attrs import define, field

from pistachiolever.slowdown.const import (
    MAX_RATE_SAMPLES,
    MIN_RATE_SAMPLE_TOKENS,
    MIN_RATE_SAMPLES,
)


@define
class LastingRate:
    """Median prefill rate of recent prompts, without a prior and without the throttle.

    Single samples may be many times too high: a part that another request has just
    prefilled takes no time. `tokens_per_second` is 0 until enough was measured.
    """

    samples: deque[float] = field(factory=lambda: deque(maxlen=MAX_RATE_SAMPLES))
    tokens_per_second: float = 0.0

    def observe(self, tokens: float, seconds: float) -> None:
        """Add a sample, unless its prompt is short."""
        if tokens < MIN_RATE_SAMPLE_TOKENS or seconds <= 0:
            return
        self.samples.append(tokens / seconds)
        if len(self.samples) >= MIN_RATE_SAMPLES:
            self.tokens_per_second = median(self.samples)
