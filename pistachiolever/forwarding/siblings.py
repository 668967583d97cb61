"""Decides which sibling gets a forwarded connection, without I/O."""

from collections.abc import Iterable
from random import Random

from attrs import define, field

from pistachiolever.forwarding.const import (
    BUSY_QUERY_SECONDS,
    FORWARD_GAP_SECONDS,
    IDLE_QUERY_SECONDS,
    SIBLING_PAUSE_SECONDS,
    SILENT_PAUSE_SECONDS,
    UNREACHABLE_PAUSE_SECONDS,
)
from pistachiolever.forwarding.models import ForwardOutcome


@define(eq=False)
class Sibling:
    """A router of the same failure domain; `forwarded` are connections to it now."""

    address: str
    forwarded: int = 0
    paused_until: float = float("-inf")

    def pause(self, until: float) -> None:
        """Let it get no connection for a while."""
        self.paused_until = max(self.paused_until, until)


@define
class SiblingTable:
    """The siblings of a router.

    The one with the fewest connections of this router is next. What else they have to
    do is not known here: each gets one connection at a time, with a gap in which it can
    notice that it is late. One that has no time refuses, and is left out for a while.
    """

    sibling_by_address: dict[str, Sibling] = field(factory=dict)
    queried_at: float = float("-inf")

    def update(self, addresses: Iterable[str]) -> None:
        """Replace the siblings; keep what is known of those that stay."""
        known = self.sibling_by_address
        self.sibling_by_address = {
            address: known.get(address) or Sibling(address) for address in addresses
        }

    def is_query_due(self, is_busy: bool, now: float) -> bool:
        """Return whether to ask for the siblings again."""
        pause = BUSY_QUERY_SECONDS if is_busy else IDLE_QUERY_SECONDS
        return now - self.queried_at >= pause

    def has_free(self, now: float) -> bool:
        """Return whether a sibling may have time for a connection."""
        return any(
            sibling.paused_until <= now for sibling in self.sibling_by_address.values()
        )

    def choose(self, tried: set[str], now: float, rng: Random) -> Sibling | None:
        """Return the sibling for a connection, None if there is none."""
        free = [
            sibling
            for sibling in self.sibling_by_address.values()
            if sibling.paused_until <= now and sibling.address not in tried
        ]
        if not free:
            return None
        fewest = min(sibling.forwarded for sibling in free)
        return rng.choice([other for other in free if other.forwarded == fewest])

    def begin(self, sibling: Sibling, now: float) -> None:
        """Count a connection that is forwarded to a sibling."""
        sibling.forwarded += 1
        sibling.pause(now + FORWARD_GAP_SECONDS)

    def record(self, sibling: Sibling, outcome: ForwardOutcome, now: float) -> None:
        """Leave out a sibling that has not taken a connection."""
        if outcome is ForwardOutcome.REFUSED:
            sibling.pause(now + SIBLING_PAUSE_SECONDS)
        elif outcome is ForwardOutcome.UNREACHABLE:
            sibling.pause(now + UNREACHABLE_PAUSE_SECONDS)
        elif outcome is ForwardOutcome.SILENT:
            sibling.pause(now + SILENT_PAUSE_SECONDS)
