"""An event loop whose clock advances only when no task can run."""

from asyncio import SelectorEventLoop
from selectors import SelectorKey, SelectSelector


class EmulationStalledError(Exception):
    """All tasks are blocked and no timer is set, so the clock can't advance."""


class SkippingSelector(SelectSelector):
    """Advances the clock instead of waiting for a timer."""

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Advance the clock by the timeout and return at once."""
        if timeout is None:
            raise EmulationStalledError("no timer is set and no task can run")
        self.now += max(0.0, timeout)
        return []


class EmulatedLoop(SelectorEventLoop):
    """An asyncio event loop with an emulated clock and without sockets."""

    def __init__(self) -> None:
        """Use a selector that advances the clock instead of blocking."""
        self._skipping = SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the emulated time in seconds."""
        return self._skipping.now
