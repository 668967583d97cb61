"""Messages into the router's decisions, and the actions that come out."""

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
    """A request that passed all checks at the edge.

    `attempt_id` names the claimed attempt of a request that may not be repeated;
    it is empty otherwise.
    """

    request_id: str
    account_id: str
    service_id: str
    input: str
    max_output_tokens: int
    size_bytes: int
    attempt_id: str = ""


# Messages.


@frozen
class Submit:
    """A caller asks for service."""

    request: CallerRequest


@frozen
class CancelRequest:
    """The caller asked to stop, or hung up and may come back to resume."""

    request_id: str
    hung_up: bool = False


@frozen
class ResumeRequest:
    """A caller wants the rest of an answer that an endpoint holds."""

    request_id: str
    account_id: str
    endpoint_id: str
    after: int


@frozen
class ReaderSlow:
    """The caller reads too slowly; its buffer is full."""

    request_id: str


@frozen
class ReaderReady:
    """The caller has read what was buffered."""

    request_id: str


@frozen
class SessionUp:
    """A session with an endpoint's sidecar began."""

    entry: EndpointEntry
    incarnation: str


@frozen
class SessionLost:
    """The session with an endpoint's sidecar broke."""

    endpoint_id: str


@frozen
class EndpointGone:
    """Control says that the endpoint's lease ended."""

    endpoint_id: str


@frozen
class EndpointSeen:
    """Control lists the endpoint."""

    endpoint_id: str


@frozen
class FromSidecar:
    """A message that arrived on a session."""

    endpoint_id: str
    message: SidecarMessage


@frozen
class CommandsFailed:
    """Commands that did not reach a sidecar, or perhaps did."""

    endpoint_id: str
    messages: list[RouterMessage]
    may_have_arrived: bool


@frozen
class HeartbeatAnswered:
    """Control's answer to a heartbeat."""

    reply: RouterHeartbeatReply


@frozen
class NewRevision:
    """Declarations to apply from now on."""

    revision: Revision


@frozen
class Drain:
    """Take no more requests; finish those in flight."""


@frozen
class Tick:
    """Time passed."""


RouterInput = (
    Submit
    | CancelRequest
    | ResumeRequest
    | ReaderSlow
    | ReaderReady
    | SessionUp
    | SessionLost
    | EndpointGone
    | EndpointSeen
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
    """Pass events to the caller; with an outcome they are the last."""

    request_id: str
    last: int
    sse: str
    outcome: Outcome | None


@frozen
class EndRequest:
    """End a caller's request without (the rest of) an answer."""

    request_id: str
    refusal: Refusal


@frozen
class RequestSent:
    """Note for the time line: the request went to an endpoint."""

    request_id: str
    account_id: str
    endpoint_id: str
    attempt: int


@frozen
class FreeClaim:
    """Free the idempotency key of an attempt that was certainly not run."""

    attempt_id: str


RouterAction = SendCommand | Deliver | EndRequest | RequestSent | FreeClaim
