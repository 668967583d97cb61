"""An event loop whose time passes only while nothing is left to do."""

from asyncio import SelectorEventLoop
from selectors import SelectorKey, SelectSelector


class EmulationStalledError(Exception):
    """Every task waits for another one, so time can never pass again."""


class SkippingSelector(SelectSelector):
    """Moves the clock instead of waiting for a timer."""

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return at once; add the time that would have been waited."""
        if timeout is None:
            raise EmulationStalledError("no timer is set and no task can run")
        self.now += max(0.0, timeout)
        return []


class EmulatedLoop(SelectorEventLoop):
    """An asyncio loop with an emulated clock; it serves no sockets."""

    def __init__(self) -> None:
        """Use a selector that skips waiting."""
        self._skipping = SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the emulated seconds."""
        return self._skipping.now
