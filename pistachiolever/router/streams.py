"""Bounded buffers between the router core and the tasks that write answers."""

from anyio import Event
from attrs import define, field, frozen

from pistachiolever.core.errors import Refusal
from pistachiolever.wire.models import Outcome


@frozen
class StreamBatch:
    """The next events for a caller; an outcome or a refusal makes it the last batch."""

    sse: str
    outcome: Outcome | None
    refusal: Refusal | None

    def is_last(self) -> bool:
        """Return whether no batch follows."""
        return self.outcome is not None or self.refusal is not None


@define
class CallerStream:
    """Buffer of events for one caller."""

    request_id: str
    max_bytes: int
    endpoint_id: str = ""
    parts: list[str] = field(factory=list)
    size_bytes: int = 0
    slow: bool = False
    outcome: Outcome | None = None
    refusal: Refusal | None = None
    updated: Event = field(factory=Event)
    ended: Event = field(factory=Event)

    def deliver(self, sse: str, outcome: Outcome | None) -> bool:
        """Add events; return whether the buffer has just exceeded its limit."""
        self.parts.append(sse)
        self.size_bytes += len(sse.encode())
        self.outcome = outcome
        self.updated.set()
        if outcome is not None:
            self.ended.set()
        if self.slow or outcome is not None or self.size_bytes <= self.max_bytes:
            return False
        self.slow = True
        return True

    def end(self, refusal: Refusal) -> None:
        """End the stream with a refusal, unless it has ended."""
        if self.ended.is_set():
            return
        self.refusal = refusal
        self.updated.set()
        self.ended.set()

    async def read(self) -> StreamBatch:
        """Wait for events or the end and return everything that is buffered."""
        while not self.parts and self.outcome is None and self.refusal is None:
            self.updated = Event()
            await self.updated.wait()
        sse = "".join(self.parts)
        self.parts.clear()
        self.size_bytes = 0
        return StreamBatch(sse, self.outcome, self.refusal)
