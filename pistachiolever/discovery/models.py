"""Announcements of endpoints."""

from enum import Enum

from attrs import frozen


class EndpointState(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@frozen
class Announcement:
    """One announcement of an endpoint, or the end of its incarnation.

    `born_ms` (milliseconds since the epoch) identifies the incarnation; within it a
    higher `sequence` is newer. `cold_seconds` is the remaining time of its cold start.
    `agent` is the address of the agent process on the endpoint's VM, empty if there is
    none. `version` is that of the endpoint's software, empty if it is unknown.
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
    version: str = ""

    @property
    def sort_key(self) -> tuple[int, int, int]:
        """Return a key that is greater for newer announcements of an endpoint.

        The end of an incarnation is newer than its other announcements.
        """
        gone = 1 if self.state is EndpointState.GONE else 0
        return (self.born_ms, gone, self.sequence)
