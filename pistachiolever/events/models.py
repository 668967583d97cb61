"""The event of the time line."""

from attrs import field, frozen

from pistachiolever.core.clock import Stamp
from pistachiolever.events.const import EventCode


@frozen
class Event:
    """One thing that happened in one process."""

    stamp: Stamp
    process_id: str
    code: EventCode
    request_id: str = ""
    account_id: str = ""
    endpoint_id: str = ""
    detail: str = ""
    sequence: int = field(default=0)
