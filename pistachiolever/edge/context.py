"""What every task of a process shares: identity, clock, events, metrics."""

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
    """Identity and instruments of one process."""

    settings: ProcessSettings
    rng: Random
    incarnation: str
    recorder: EventRecorder
    metrics: Metrics
    revision: int = field(default=0)

    def now(self) -> float:
        """Return the seconds of the event loop's clock."""
        return current_time()

    def sender(self) -> Sender:
        """Return who this process is, stamped for a message."""
        return Sender(self.settings.process_id, self.incarnation, self.recorder.stamp())

    def renew_incarnation(self) -> None:
        """Take a new incarnation after control closed the present one."""
        self.incarnation = new_id(self.rng)

    def observe(self, stamp: Stamp) -> None:
        """Take in the stamp of a received message."""
        self.recorder.observe(stamp)


def make_context(settings: ProcessSettings, role: str) -> ProcessContext:
    """Return the context of a process that starts."""
    rng = SystemRandom()
    return ProcessContext(
        settings,
        rng,
        new_id(rng),
        EventRecorder(settings.process_id, wall_ms),
        make_metrics(settings.statsd, role),
    )
