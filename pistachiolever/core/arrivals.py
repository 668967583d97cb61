"""Estimates when input that a late process reads has arrived, without I/O."""

from collections.abc import Callable
from math import inf
from typing import Final

from attrs import define

# A delay of the event loop from which the arrival of input is estimated, in seconds.
MIN_LATE_SECONDS: Final = 0.02
# Input that arrived during a delay is read within this time after it, in seconds.
READING_SECONDS: Final = 0.02


@define
class ArrivalClock:
    """Follows a timer of the process: input that is read while it is late waited, too.

    The input may have come just after the timer was due, or later; it counts as old as
    it can be, since a peer must not be given more time than a caller has.
    """

    now: Callable[[], float]
    due_at: float = inf
    late_since: float = inf
    late_until: float = float("-inf")

    def expect(self, due_at: float) -> None:
        """Start a period that ends when the timer is due."""
        now = self.now()
        if now - self.due_at >= MIN_LATE_SECONDS:
            self.late_since, self.late_until = self.due_at, now + READING_SECONDS
        self.due_at = due_at

    def estimate(self) -> float:
        """Return when input that is read now has arrived at the earliest."""
        now = self.now()
        if now < self.late_until:
            return min(now, self.late_since)
        return self.due_at if now - self.due_at >= MIN_LATE_SECONDS else now
