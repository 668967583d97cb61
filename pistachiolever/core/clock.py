"""The hybrid logical clock that orders events over all processes."""

from time import time

from attrs import define, frozen


@frozen
class Stamp:
    """A time that never runs against cause and effect.

    `wall_ms` is in milliseconds since the epoch; `count` orders equal times.
    """

    wall_ms: int = 0
    count: int = 0

    def __lt__(self, other: "Stamp") -> bool:
        """Order by time, then by count; written out since it is called often."""
        if self.wall_ms != other.wall_ms:
            return self.wall_ms < other.wall_ms
        return self.count < other.count


@define
class HybridClock:
    """Hands out stamps greater than every stamp made or seen before."""

    last: Stamp = Stamp()

    def tick(self, wall_ms: int) -> Stamp:
        """Return the stamp of a local event or of a message to send."""
        if wall_ms > self.last.wall_ms:
            self.last = Stamp(wall_ms, 0)
        else:
            self.last = Stamp(self.last.wall_ms, self.last.count + 1)
        return self.last

    def observe(self, seen: Stamp, wall_ms: int) -> Stamp:
        """Take in the stamp of a received message."""
        self.last = max(self.last, seen)
        return self.tick(wall_ms)


def wall_ms() -> int:
    """Return the milliseconds since the epoch."""
    return int(time() * 1000)
