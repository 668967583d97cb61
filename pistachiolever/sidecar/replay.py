"""Keeps the numbered events of an answer so that it can be resumed."""

from attrs import define, field, frozen


@frozen
class ReplayPart:
    """The events after a number, joined, and the number of the last."""

    first: int
    last: int
    sse: str


@define
class ReplayBuffer:
    """All events of one answer; the first has the number 1."""

    events: list[str] = field(factory=list)
    size_bytes: int = 0

    def append(self, sse: str) -> int:
        """Keep one event; return its number."""
        self.events.append(sse)
        self.size_bytes += len(sse)
        return len(self.events)

    def after(self, number: int) -> ReplayPart | None:
        """Return the events after a number, or None when there are none."""
        if number >= len(self.events):
            return None
        return ReplayPart(number + 1, len(self.events), "".join(self.events[number:]))
