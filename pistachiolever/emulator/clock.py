"""An event loop whose clock advances only when no task can run."""

from asyncio import Handle, SelectorEventLoop
from collections.abc import Callable
from contextvars import Context
from selectors import SelectorKey, SelectSelector
from typing import TypeVarTuple, Unpack

from pistachiolever.emulator.const import POLL_SECONDS
from pistachiolever.emulator.processor import CURRENT_PROCESSOR

Ts = TypeVarTuple("Ts")


class EmulationStalledError(Exception):
    """All tasks are blocked and no timer is set, so the clock can't advance."""


class SkippingSelector(SelectSelector):
    """Advances the clock instead of waiting for a timer."""

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now = 0.0
        self.min_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Advance the clock by the timeout and return at once."""
        if timeout is None:
            raise EmulationStalledError("no timer is set and no task can run")
        self.now += max(self.min_seconds, timeout)
        return []


class EmulatedLoop(SelectorEventLoop):
    """An asyncio event loop with an emulated clock and without sockets.

    Tasks take no time, except those in whose context there is a processor.
    """

    def __init__(self) -> None:
        """Use a selector that advances the clock instead of blocking."""
        self._skipping = SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the emulated time in seconds."""
        return self._skipping.now

    def call_soon(
        self,
        callback: Callable[[Unpack[Ts]], object],
        *args: *Ts,
        context: Context | None = None,
    ) -> Handle:
        """Call once the processor of the context has done all steps before this."""
        if context is None:
            processor = CURRENT_PROCESSOR.get()
        else:
            processor = context.get(CURRENT_PROCESSOR)
        if processor is None:
            return super().call_soon(callback, *args, context=context)
        # Tasks without a processor may poll for one with a processor.
        self._skipping.min_seconds = POLL_SECONDS
        done_at = processor.reserve(self.time())
        return self.call_at(done_at, callback, *args, context=context)
