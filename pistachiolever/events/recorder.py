"""Records the events of a process in its log and in a bounded ring buffer.

Used by router, sidecar and control; the processes of the platform use
`events.logger`.
"""

from collections import deque
from collections.abc import Callable

from absl import logging
from attrs import define, field

from pistachiolever.core.clock import HybridClock, Stamp
from pistachiolever.events.const import MAX_RECENT_EVENTS, EventCode
from pistachiolever.events.models import Event


@define
class EventRecorder:
    """Logs events and keeps the most recent ones, stamped by a hybrid logical clock.

    `wall_ms` returns the milliseconds since the epoch.
    """

    process_id: str
    wall_ms: Callable[[], int]
    clock: HybridClock = field(factory=HybridClock)
    recent: deque[Event] = field(factory=lambda: deque(maxlen=MAX_RECENT_EVENTS))
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
        """Log an event and add it to the ring buffer."""
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
        self.recent.append(event)
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
        """Return the stamp for an outgoing message."""
        return self.clock.tick(self.wall_ms())

    def observe(self, received: Stamp) -> None:
        """Advance the clock past the stamp of a received message."""
        self.clock.observe(received, self.wall_ms())

    def after(self, sequence: int) -> list[Event]:
        """Return the buffered events with a greater sequence number."""
        return [event for event in self.recent if event.sequence > sequence]
