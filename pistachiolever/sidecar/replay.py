"""Buffer of the numbered events of an answer, for resumption."""

from attrs import define, field, frozen


@frozen
class EventRange:
    """Consecutive events, concatenated, with the numbers of the first and last."""

    first: int
    last: int
    sse: str


@define
class ReplayBuffer:
    """All events of one answer, numbered from 1."""

    events: list[str] = field(factory=list)
    size_bytes: int = 0

    def append(self, sse: str) -> int:
        """Append an event and return its number."""
        self.events.append(sse)
        self.size_bytes += len(sse.encode())
        return len(self.events)

    def after(self, number: int) -> EventRange | None:
        """Return the events after the given number, or None if there are none."""
        if number >= len(self.events):
            return None
        return EventRange(number + 1, len(self.events), "".join(self.events[number:]))
