"""Logs when domains begin and stop being short."""

from attrs import frozen

from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.spillover.models import ShortageChange


@frozen
class ShortageRecorder:
    """Logs changes as this router estimates them."""

    events: EventLogger

    def record_shortage(self, change: ShortageChange) -> None:
        """Log that a domain begins or stops being short."""
        code = EventCode.DOMAIN_SHORT if change.is_short else EventCode.DOMAIN_RELIEVED
        self.events.record(
            code,
            service=change.service_id,
            domain=change.domain,
            pressure=change.estimate.pressure,
            spare=change.estimate.spare,
            endpoints=change.estimate.endpoint_count,
            age=change.estimate.age_seconds,
        )
