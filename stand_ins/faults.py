"""Faults that a stand-in shows when it is told to."""

from enum import Enum

from attrs import define


class FaultKind(Enum):
    """What goes wrong."""

    NONE = "none"
    STALL = "stall"
    CUT = "cut"
    SLOW = "slow"
    GARBAGE = "garbage"
    DUPLICATE = "duplicate"
    OVERLOAD = "overload"
    ERROR = "error"


@define
class FaultSwitch:
    """The fault of the next calls; `after` parts pass unharmed before it."""

    kind: FaultKind = FaultKind.NONE
    after: int = 0
    calls: int = 0

    def take(self) -> FaultKind:
        """Return the fault of one call; the switch counts down."""
        if self.kind is FaultKind.NONE or self.calls <= 0:
            return FaultKind.NONE
        self.calls -= 1
        return self.kind

    def set(self, kind: FaultKind, after: int = 0, calls: int = 1) -> None:
        """Show a fault in so many calls."""
        self.kind = kind
        self.after = after
        self.calls = calls
