"""The bytes that a process holds for its clients, and who loses them first."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from pistachiolever.http1.const import (
    BYTES_PER_MB,
    CLIENT_MEMORY_FRACTION,
    DEFAULT_HELD_BYTES,
)


def max_held_bytes(memory_mb: float | None, client_memory_mb: float | None) -> int:
    """Return the bytes that a process may hold for its clients.

    `memory_mb` is the memory of its VM, `client_memory_mb` the setting that replaces
    the usual part of it; both in MB, None if not set.
    """
    if client_memory_mb is not None:
        return int(float(client_memory_mb) * BYTES_PER_MB)
    if memory_mb is not None:
        return int(CLIENT_MEMORY_FRACTION * float(memory_mb) * BYTES_PER_MB)
    return DEFAULT_HELD_BYTES


class Holder(Protocol):
    """A connection for which bytes are held."""

    held_bytes: int
    progressed_at: float

    def can_give_up(self) -> bool:
        """Return whether something can be given up but an accepted request."""

    def give_up(self, reason: str) -> None:
        """Release the bytes; refuse the request or close the connection."""


def ignore_cut(reason: str) -> None:
    """Ignore that a client lost its request or connection."""


@define(eq=False)
class ByteBudget:
    """Limits the bytes that are held for all clients of a process.

    When it is short, the connections go first that hold most and have made no progress
    for longest, by the product of the two. `report_cut` is called with the reason for
    each client that loses its request or its connection.
    """

    max_bytes: int = DEFAULT_HELD_BYTES
    report_cut: Callable[[str], None] = ignore_cut
    held_bytes: int = 0
    holders: dict[Holder, None] = field(factory=dict)

    def hold(self, holder: Holder, held_bytes: int, now: float) -> None:
        """Set what is held for a connection; make room if it is too much in all."""
        self.held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        if held_bytes:
            self.holders[holder] = None
        else:
            self.holders.pop(holder, None)
        while self.held_bytes > self.max_bytes:
            candidates = [other for other in self.holders if other.can_give_up()]
            if not candidates:
                return
            victim = max(
                candidates,
                key=lambda other: other.held_bytes * (now - other.progressed_at),
            )
            victim.give_up("memory")
