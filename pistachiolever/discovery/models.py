"""What an endpoint says of itself."""

from enum import Enum

from attrs import frozen


class EndpointState(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@frozen
class Announcement:
    """One announcement of an endpoint, or its end.

    A life is named by `born_ms` (milliseconds since the epoch); within it a higher
    `sequence` is newer. `agent` is the address of the process beside the endpoint,
    empty where there is none.
    """

    endpoint_id: str
    born_ms: int
    sequence: int
    state: EndpointState
    service_id: str = ""
    address: str = ""
    failure_domain: str = ""
    slots: int = 1
    cold_seconds: float = 0.0
    agent: str = ""

    @property
    def sort_key(self) -> tuple[int, int, int]:
        """Return what is greater for newer announcements of an endpoint.

        The end of a life is newer than all else of it.
        """
        gone = 1 if self.state is EndpointState.GONE else 0
        return (self.born_ms, gone, self.sequence)
