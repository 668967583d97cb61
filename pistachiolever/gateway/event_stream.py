"""Splits an event stream into whole events, so that it can be resumed between them."""

from re import compile as compile_pattern
from typing import Final

from attrs import define

from pistachiolever.core.numbers import parse_whole_number

# Empty lines end an event; lines end with LF, CR LF or CR.
EVENT_END: Final = compile_pattern(rb"(?:\r?\n\r?\n|\r\r)[\r\n]*")
# The longest end of an event, without its last byte.
EVENT_END_OVERLAP_BYTES: Final = 3


@define
class EventBoundary:
    """Tracks whether a stream ends between two events, without keeping its events.

    `unfinished_bytes` is the size of the event that has not ended yet, and
    `unfinished_chunks` the number of chunks that it came in.
    """

    received_bytes: int = 0
    event_count: int = 0
    unfinished_bytes: int = 0
    unfinished_chunks: int = 0
    _tail: bytes = b""

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.received_bytes += len(data)
        if not self.unfinished_bytes:
            # Further empty lines belong to no event.
            data = data.lstrip(b"\r\n")
        joined = self._tail + data
        ends = [match.end() for match in EVENT_END.finditer(joined)]
        if ends:
            rest = joined[ends[-1] :]
            self.event_count += len(ends)
            self.unfinished_bytes = len(rest)
            self.unfinished_chunks = 0
        else:
            rest = joined
            self.unfinished_bytes += len(data)
        self.unfinished_chunks += 1
        self._tail = rest[-EVENT_END_OVERLAP_BYTES:]


@define
class EventSplitter:
    """Buffers incomplete events; tracks the id of the last complete one.

    Events up to `skip_through` were sent before and are dropped. `data_event_count`
    leaves out comments and retry times. `resumable` is cleared by an event with data
    but without an id. `fault` is why what follows belongs to no stream: an event whose
    id does not follow its predecessor, or text that is no event. Nothing is accepted
    behind it. A stream is `is_continued` if the caller has a part of it; then `seen_id`
    is the last id in the response that continues it.
    """

    last_id: int = 0
    event_count: int = 0
    data_event_count: int = 0
    buffer: bytes = b""
    skip_through: int = 0
    is_continued: bool = False
    seen_id: int = 0
    fault: str = ""
    resumable: bool = True

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete."""
        buffered = self.buffer + data
        events: list[bytes] = []
        start = 0
        for match in EVENT_END.finditer(buffered):
            event = buffered[start : match.end()]
            start = match.end()
            event_id = event_id_of(event)
            self.fault = self.fault or self._find_fault(event, event_id)
            if not self.fault and self._accept(event, event_id):
                events.append(event)
        self.buffer = buffered[start:]
        return b"".join(events)

    def resume(self) -> None:
        """Prepare for a resumed stream: drop the incomplete event."""
        self.buffer = b""
        self.fault = ""
        self.skip_through = self.last_id
        self.seen_id = 0
        self.is_continued = self.is_continued or self.event_count > 0

    def is_whole(self) -> bool:
        """Return whether the stream may end here.

        A response that continues a stream has an event, the last one if no more.
        """
        return not self.is_continued or self.seen_id >= max(1, self.last_id)

    def _find_fault(self, event: bytes, event_id: int | None) -> str:
        """Return why an event can't be the next one of the stream; empty if it can."""
        if event_id is not None:
            is_next = event_id <= self.skip_through or event_id == self.last_id + 1
            return "" if is_next or not self.last_id else "an event is missing"
        if not (self.is_continued or self.last_id) or is_comment(event):
            return ""
        if self.is_continued or not has_data(event):
            return "text that is no event"
        return ""

    def _accept(self, event: bytes, event_id: int | None) -> bool:
        """Count an event; return whether it is new to the caller."""
        if event_id is None:
            self.event_count += 1
            if has_data(event):
                self.data_event_count += 1
                self.resumable = False
            return True
        self.data_event_count += 1
        self.seen_id = event_id
        if event_id <= self.skip_through:
            return False
        self.last_id = event_id
        self.event_count += 1
        return True


def event_id_of(event: bytes) -> int | None:
    """Return the id of an event, None if it has no numeric one."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return parse_whole_number(line[3:])
    return None


def has_data(event: bytes) -> bool:
    """Return whether an event has data, unlike a comment or a retry time."""
    return any(line.startswith(b"data") for line in event.splitlines())


def is_comment(event: bytes) -> bool:
    """Return whether an event has nothing but comments and a retry time."""
    lines = [line for line in event.splitlines() if line]
    return all(line.startswith((b":", b"retry:")) for line in lines)
