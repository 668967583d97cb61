"""Fault injection of the stand-ins."""

from enum import Enum

from attrs import define


class FaultKind(Enum):
    """The kind of an injected fault.

    In a stream DUPLICATE sends each token twice and KEEP_ALIVE a comment before each;
    SLOW delays each token, or a booking. PAUSE refuses the call and asks for a pause
    of a second; LEAVING serves it and says that the endpoint is leaving.
    """

    NONE = "none"
    STALL = "stall"
    CUT = "cut"
    SLOW = "slow"
    GARBAGE = "garbage"
    DUPLICATE = "duplicate"
    KEEP_ALIVE = "keep-alive"
    OVERLOAD = "overload"
    ERROR = "error"
    PAUSE = "pause"
    LEAVING = "leaving"


class ConnectionCutError(Exception):
    """Drops a connection as an injected fault."""


PAUSE_HEADERS = {"retry-after": "1"}
LEAVING_HEADERS = {"x-leaving": "1"}


@define
class FaultInjector:
    """Injects a fault into the next `calls` calls, after `after` tokens of a stream."""

    kind: FaultKind = FaultKind.NONE
    after: int = 0
    calls: int = 0

    def next_call(self) -> FaultKind:
        """Return the fault of the next call and count the call."""
        if self.kind is FaultKind.NONE or self.calls <= 0:
            return FaultKind.NONE
        self.calls -= 1
        return self.kind

    def set(self, kind: FaultKind, after: int = 0, calls: int = 1) -> None:
        """Configure the fault and the number of calls that it affects."""
        self.kind = kind
        self.after = after
        self.calls = calls
