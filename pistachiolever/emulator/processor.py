"""Emulated processors: the steps of a process's tasks run one after the other."""

from contextvars import ContextVar
from typing import Final

from attrs import define


@define(eq=False)
class EmulatedProcessor:
    """Processor time of one process, of which each step of a task uses the same part.

    A step is what a task does between two waits.
    """

    step_seconds: float
    free_at: float = 0.0

    def reserve(self, now: float) -> float:
        """Queue a step; return the time at which it is done."""
        self.free_at = max(self.free_at, now) + self.step_seconds
        return self.free_at


# The processor that the steps of a task use; None if they take no time.
CURRENT_PROCESSOR: Final[ContextVar[EmulatedProcessor | None]] = ContextVar(
    "CURRENT_PROCESSOR", default=None
)
