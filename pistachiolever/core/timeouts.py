"""Timeouts for the replies of peers, which do not blame them for an own delay."""

from asyncio import AbstractEventLoop, TimerHandle, get_running_loop
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from anyio import CancelScope
from attrs import define, field

# Lateness of a timer from which this process counts as delayed, in seconds.
MIN_LATENESS_SECONDS: Final = 0.01
# Turns of the event loop in which input that has arrived meanwhile is handled.
LAST_TURNS: Final = 3


@define
class PeerTimeout:
    """Cancels a scope once a peer had its time to reply.

    A timer that fires late shows that this process could not handle replies meanwhile.
    It waits as long again, in all `extension_seconds` at most.
    """

    loop: AbstractEventLoop
    scope: CancelScope
    extension_seconds: float
    due_at: float = 0.0
    turns: int = 0
    timer: TimerHandle | None = field(default=None, repr=False)

    def start(self, seconds: float) -> None:
        """Wait for some seconds more."""
        self.due_at = self.loop.time() + seconds
        self.timer = self.loop.call_at(self.due_at, self.expire)

    def expire(self) -> None:
        """Cancel the scope, unless the process was delayed."""
        lateness = self.loop.time() - self.due_at
        extension = min(lateness, self.extension_seconds)
        if extension > MIN_LATENESS_SECONDS:
            self.extension_seconds -= extension
            self.start(extension)
        elif self.turns < LAST_TURNS:
            self.turns += 1
            self.start(0.0)
        else:
            self.scope.cancel()


@contextmanager
def move_on_after_peer(
    seconds: float, extension_seconds: float | None = None
) -> Iterator[CancelScope]:
    """Cancel the block once a peer had `seconds` to reply.

    Delays of this process extend that by `extension_seconds` at most, as long again
    unless it is given.
    """
    scope = CancelScope()
    if extension_seconds is None:
        extension_seconds = seconds
    timeout = PeerTimeout(get_running_loop(), scope, extension_seconds)
    timeout.start(max(0.0, seconds))
    try:
        with scope:
            yield scope
    finally:
        if timeout.timer is not None:
            timeout.timer.cancel()


@contextmanager
def fail_after_peer(seconds: float) -> Iterator[CancelScope]:
    """Raise TimeoutError once a peer had `seconds` to reply."""
    with move_on_after_peer(seconds) as scope:
        yield scope
    if scope.cancelled_caught:
        raise TimeoutError
