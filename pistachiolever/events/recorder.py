"""Records the events of one process: a log line, and a bounded ring to ask for."""

from collections import deque
from collections.abc import Callable

from absl import logging
from attrs import define, field

from pistachiolever.core.clock import HybridClock, Stamp
from pistachiolever.events.const import RING_EVENTS, EventCode
from pistachiolever.events.models import Event


@define
class EventRecorder:
    """Keeps the latest events and the clock that stamps them.

    `wall_ms` returns the time in milliseconds since the epoch.
    """

    process_id: str
    wall_ms: Callable[[], int]
    clock: HybridClock = field(factory=HybridClock)
    ring: deque[Event] = field(factory=lambda: deque(maxlen=RING_EVENTS))
    sequence: int = 0

    def record(
        self,
        code: EventCode,
        *,
        request_id: str = "",
        account_id: str = "",
        endpoint_id: str = "",
        detail: str = "",
    ) -> None:
        """Keep and log one event."""
        self.sequence += 1
        event = Event(
            self.clock.tick(self.wall_ms()),
            self.process_id,
            code,
            request_id,
            account_id,
            endpoint_id,
            detail,
            self.sequence,
        )
        self.ring.append(event)
        logging.info(
            "E%d %s process=%s request=%s account=%s endpoint=%s %s",
            code,
            code.name,
            self.process_id,
            request_id or "-",
            account_id or "-",
            endpoint_id or "-",
            detail,
        )

    def stamp(self) -> Stamp:
        """Return the stamp for a message to send."""
        return self.clock.tick(self.wall_ms())

    def observe(self, seen: Stamp) -> None:
        """Take in the stamp of a received message."""
        self.clock.observe(seen, self.wall_ms())

    def after(self, sequence: int) -> list[Event]:
        """Return the kept events with a greater sequence number."""
        return [event for event in self.ring if event.sequence > sequence]
