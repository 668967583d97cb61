"""Filters the slowdown that an endpoint reports, without I/O."""

from math import exp

from attrs import define

from pistachiolever.slowdown.const import (
    LASTING_SLOWDOWN_SECONDS,
    MAX_SAMPLE_SECONDS,
    MAX_SLOWDOWN,
    SLOWDOWN_FORGET_SECONDS,
    SLOWDOWN_SECONDS,
)


@define
class SlowdownFilter:
    """Time-weighted means of the slowdown: 1.0 as usual, 2.5 if work takes so long.

    `recent` is the mean at `observed_at`, `lasting` one over many slow periods.
    `is_reported` is true once the endpoint has reported any value.
    """

    recent: float = 1.0
    lasting: float = 1.0
    observed_at: float = float("-inf")
    is_reported: bool = False

    def observe(self, slowdown: float, at: float) -> None:
        """Apply a reported value; one that is older than the last is ignored."""
        if at < self.observed_at:
            return
        slowdown = min(MAX_SLOWDOWN, slowdown)
        elapsed = at - self.observed_at
        weight = 1.0 - exp(-elapsed / SLOWDOWN_SECONDS)
        self.recent += weight * (slowdown - self.recent)
        sample_seconds = min(elapsed, MAX_SAMPLE_SECONDS)
        weight = 1.0 - exp(-sample_seconds / LASTING_SLOWDOWN_SECONDS)
        self.lasting += weight * (slowdown - self.lasting)
        self.observed_at = at
        self.is_reported = True

    def value_at(self, now: float) -> float:
        """Return the present slowdown; without reports it decays to 1.0."""
        age = max(0.0, now - self.observed_at)
        return 1.0 + (self.recent - 1.0) * exp(-age / SLOWDOWN_FORGET_SECONDS)

    def beyond_lasting(self, now: float) -> float:
        """Return the part of the slowdown that a measured rate does not show yet."""
        return max(1.0, self.value_at(now) / max(1.0, self.lasting))
