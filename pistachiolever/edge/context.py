"""State shared by the tasks of a process: identity, clock, events, metrics."""

from random import Random, SystemRandom

from anyio import current_time
from attrs import define, field

from pistachiolever.core.clock import Stamp, wall_ms
from pistachiolever.core.ids import new_id
from pistachiolever.events.recorder import EventRecorder
from pistachiolever.metrics.client import Metrics, make_metrics
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.wire.models import Sender


@define
class ProcessContext:
    """Identity, declarations revision, event recorder and metrics of a process."""

    settings: ProcessSettings
    rng: Random
    incarnation: str
    recorder: EventRecorder
    metrics: Metrics
    revision: int = field(default=0)

    def now(self) -> float:
        """Return the time of the event loop's clock in seconds."""
        return current_time()

    def sender(self) -> Sender:
        """Return the sender of a message, with a new stamp."""
        return Sender(self.settings.process_id, self.incarnation, self.recorder.stamp())

    def renew_incarnation(self) -> None:
        """Start a new incarnation after control has closed the current one."""
        self.incarnation = new_id(self.rng)

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock past the stamp of a received message."""
        self.recorder.observe(stamp)


def make_context(settings: ProcessSettings, role: str) -> ProcessContext:
    """Return the context of a starting process."""
    rng = SystemRandom()
    return ProcessContext(
        settings,
        rng,
        new_id(rng),
        EventRecorder(settings.process_id, wall_ms),
        make_metrics(settings.statsd, role),
    )
