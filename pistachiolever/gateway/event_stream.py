"""Splits an event stream into whole events, so that it can be resumed between them."""

from re import compile as compile_pattern
from typing import Final

from attrs import define

# An empty line ends an event; lines end with LF, CR LF or CR.
EVENT_END: Final = compile_pattern(rb"(?:\r\n|\n|\r(?!\n)){2}")
# The longest event end, without its last byte.
EVENT_END_OVERLAP_BYTES: Final = 3


@define
class EventBoundary:
    """Tracks whether a stream ends between two events, without keeping its events.

    `unfinished_bytes` is the size of the event that has not ended yet.
    """

    received_bytes: int = 0
    unfinished_bytes: int = 0
    _tail: bytes = b""

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.received_bytes += len(data)
        joined = self._tail + data
        self._tail = joined[-EVENT_END_OVERLAP_BYTES:]
        rest = b""
        if not joined.endswith(b"\n\n"):
            ends = [match.end() for match in EVENT_END.finditer(joined)]
            if not ends:
                self.unfinished_bytes += len(data)
                return
            rest = joined[ends[-1] :]
        # Further empty lines belong to no event.
        self.unfinished_bytes = len(rest.lstrip(b"\r\n"))


@define
class EventSplitter:
    """Buffers incomplete events; tracks the id of the last complete one.

    Events up to `skip_through` were sent before and are dropped. `gap_found` is set
    when an event id does not follow its predecessor, `resumable` is cleared by an event
    with data but without an id.
    """

    last_id: int = 0
    event_count: int = 0
    buffer: bytes = b""
    skip_through: int = 0
    gap_found: bool = False
    resumable: bool = True

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""
        buffered = self.buffer + data
        end = buffered.rfind(b"\n\n")
        if end < 0:
            self.buffer = buffered
            return b""
        whole, self.buffer = buffered[: end + 2], buffered[end + 2 :]
        events = [event + b"\n\n" for event in whole.split(b"\n\n")[:-1]]
        return b"".join(event for event in events if self._accept(event))

    def resume(self) -> None:
        """Prepare for a resumed stream: drop the incomplete event."""
        self.buffer = b""
        self.skip_through = self.last_id

    def _accept(self, event: bytes) -> bool:
        """Count an event; return whether it is new to the caller."""
        event_id = event_id_of(event)
        if event_id is None:
            self.event_count += 1
            if has_data(event):
                self.resumable = False
            return True
        if event_id <= self.skip_through:
            return False
        if self.last_id and event_id != self.last_id + 1:
            self.gap_found = True
        self.last_id = event_id
        self.event_count += 1
        return True


def event_id_of(event: bytes) -> int | None:
    """Return the id of an event, None if it has no numeric one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


def has_data(event: bytes) -> bool:
    """Return whether an event has data, unlike a comment or a retry time."""
    return any(line.startswith(b"data") for line in event.splitlines())
