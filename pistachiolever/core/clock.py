"""A hybrid logical clock, which orders the events of all processes."""

from asyncio import get_running_loop
from time import time

from attrs import define, frozen


@frozen
class Stamp:
    """A hybrid timestamp: an effect always has a greater one than its cause.

    `wall_ms` is in milliseconds since the epoch; `count` orders equal times.
    """

    wall_ms: int = 0
    count: int = 0

    def __lt__(self, other: "Stamp") -> bool:
        """Order by time, then count; hand-written because it is called often."""
        if self.wall_ms != other.wall_ms:
            return self.wall_ms < other.wall_ms
        return self.count < other.count


@define
class HybridClock:
    """Issues stamps greater than all stamps issued or received before."""

    last: Stamp = Stamp()

    def tick(self, wall_ms: int) -> Stamp:
        """Return the stamp for a local event or an outgoing message."""
        if wall_ms > self.last.wall_ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.wall_ms, self.last.count + 1)
        return self.last

    def observe(self, received: Stamp, wall_ms: int) -> Stamp:
        """Advance past the stamp of a received message; return a new stamp."""
        self.last = max(self.last, received)
        return self.tick(wall_ms)


def wall_ms() -> int:
    """Return the milliseconds since the epoch."""
    return int(time() * 1000)


def loop_time() -> float:
    """Return the time of the running event loop, as anyio's current_time does."""
    return get_running_loop().time()
