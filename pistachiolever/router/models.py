"""Inputs and actions of the router core."""

from attrs import frozen

from pistachiolever.core.errors import Refusal
from pistachiolever.declarations.models import Revision
from pistachiolever.wire.models import (
    EndpointEntry,
    Outcome,
    RouterHeartbeatReply,
    RouterMessage,
    SidecarMessage,
)


@frozen
class CallerRequest:
    """A validated request of a caller, as the router core handles it.

    `attempt_id` names the claimed attempt of a non-retryable request; it is empty
    otherwise.
    """

    request_id: str
    account_id: str
    service_id: str
    input: str
    max_output_tokens: int
    size_bytes: int
    attempt_id: str = ""


# Inputs.


@frozen
class Submit:
    """A caller submitted a request."""

    request: CallerRequest


@frozen
class CancelRequest:
    """The caller cancelled, or disconnected and may return to resume."""

    request_id: str
    caller_disconnected: bool = False


@frozen
class ResumeRequest:
    """A caller requests the remaining events of an answer that an endpoint holds."""

    request_id: str
    account_id: str
    endpoint_id: str
    after: int


@frozen
class ReaderSlow:
    """The buffer of a caller that reads too slowly is full."""

    request_id: str


@frozen
class ReaderReady:
    """A slow caller has read all buffered events."""

    request_id: str


@frozen
class SidecarConnected:
    """A session with an endpoint's sidecar was established."""

    entry: EndpointEntry
    incarnation: str


@frozen
class SidecarDisconnected:
    """The session with an endpoint's sidecar ended."""

    endpoint_id: str


@frozen
class EndpointGone:
    """Control no longer lists the endpoint, since its lease ended."""

    endpoint_id: str


@frozen
class EndpointListed:
    """Control still lists the endpoint."""

    endpoint_id: str


@frozen
class FromSidecar:
    """A sidecar sent a message."""

    endpoint_id: str
    message: SidecarMessage


@frozen
class CommandsFailed:
    """Sending commands to a sidecar failed; some may have arrived."""

    endpoint_id: str
    messages: list[RouterMessage]
    may_have_arrived: bool


@frozen
class HeartbeatAnswered:
    """Control answered a heartbeat."""

    reply: RouterHeartbeatReply


@frozen
class NewRevision:
    """A new revision of the declarations is in force."""

    revision: Revision


@frozen
class Drain:
    """Accept no new requests; finish those in flight."""


@frozen
class Tick:
    """Periodic timer."""


RouterInput = (
    Submit
    | CancelRequest
    | ResumeRequest
    | ReaderSlow
    | ReaderReady
    | SidecarConnected
    | SidecarDisconnected
    | EndpointGone
    | EndpointListed
    | FromSidecar
    | CommandsFailed
    | HeartbeatAnswered
    | NewRevision
    | Drain
    | Tick
)


# Actions.


@frozen
class SendCommand:
    """Send a message to an endpoint's sidecar."""

    endpoint_id: str
    message: RouterMessage


@frozen
class Deliver:
    """Send events to the caller; with an outcome they are the last."""

    request_id: str
    last: int
    sse: str
    outcome: Outcome | None


@frozen
class EndRequest:
    """End a caller's request without a complete answer."""

    request_id: str
    refusal: Refusal


@frozen
class RecordDispatch:
    """Record in the event log that a request was sent to an endpoint."""

    request_id: str
    account_id: str
    endpoint_id: str
    attempt: int


@frozen
class ReleaseClaim:
    """Release the idempotency key of an attempt that certainly did not run."""

    attempt_id: str


RouterAction = SendCommand | Deliver | EndRequest | RecordDispatch | ReleaseClaim
