"""Messages about siblings, and outcomes of forwarded connections."""

from enum import Enum

from attrs import field, frozen


class ForwardOutcome(Enum):
    """How a forwarded connection ended, or one try of it."""

    ANSWERED = "answered"
    CALLER_LEFT = "caller-left"
    # The sibling ended before, or in the middle of, its response.
    BROKEN_OFF = "broken-off"
    # The sibling has the request and did not respond in time.
    TIMED_OUT = "timed-out"
    # Nothing was done for the request.
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    SILENT = "silent"

    @property
    def allows_retry(self) -> bool:
        """Return whether another sibling may get the connection."""
        return self in (
            ForwardOutcome.REFUSED,
            ForwardOutcome.UNREACHABLE,
            ForwardOutcome.SILENT,
        )


@frozen
class SiblingQuery:
    """Asks a member for the routers of a failure domain that watch it."""

    domain: str


@frozen
class SiblingReply:
    """The addresses at which these routers take forwarded connections."""

    addresses: list[str] = field(factory=list)
