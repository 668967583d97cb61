"""The callers' ends of the answers: bounded buffers between two tasks."""

from anyio import Event
from attrs import define, field, frozen

from pistachiolever.core.errors import Refusal
from pistachiolever.wire.models import Outcome


@frozen
class StreamBatch:
    """What a caller gets next; with an end it is the last."""

    sse: str
    outcome: Outcome | None
    refusal: Refusal | None

    def is_last(self) -> bool:
        """Tell whether nothing follows."""
        return self.outcome is not None or self.refusal is not None


@define
class CallerStream:
    """Events that wait for one caller to read them."""

    request_id: str
    most_bytes: int
    endpoint_id: str = ""
    parts: list[str] = field(factory=list)
    size_bytes: int = 0
    slow: bool = False
    outcome: Outcome | None = None
    refusal: Refusal | None = None
    event: Event = field(factory=Event)
    ended: Event = field(factory=Event)

    def deliver(self, sse: str, outcome: Outcome | None) -> bool:
        """Add events; tell whether the buffer has just become full."""
        self.parts.append(sse)
        self.size_bytes += len(sse)
        self.outcome = outcome
        self.event.set()
        if outcome is not None:
            self.ended.set()
        if self.slow or outcome is not None or self.size_bytes <= self.most_bytes:
            return False
        self.slow = True
        return True

    def end(self, refusal: Refusal) -> None:
        """End the answer without a whole one."""
        if self.ended.is_set():
            return
        self.refusal = refusal
        self.event.set()
        self.ended.set()

    async def take(self) -> StreamBatch:
        """Wait for events or the end and take all that is there."""
        while not self.parts and self.outcome is None and self.refusal is None:
            self.event = Event()
            await self.event.wait()
        sse = "".join(self.parts)
        self.parts.clear()
        self.size_bytes = 0
        return StreamBatch(sse, self.outcome, self.refusal)
