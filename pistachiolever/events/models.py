"""An event of a process, as shown in the timeline."""

from attrs import field, frozen

from pistachiolever.core.clock import Stamp
from pistachiolever.events.const import EventCode


@frozen
class Event:
    """An event of one process; `sequence` numbers the events of that process."""

    stamp: Stamp
    process_id: str
    code: EventCode
    request_id: str = ""
    account_id: str = ""
    endpoint_id: str = ""
    detail: str = ""
    sequence: int = field(default=0)
