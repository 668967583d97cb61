"""Messages into the sidecar's decisions, and the actions that come out."""

from attrs import frozen

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Revision
from pistachiolever.wire.models import Dispatch, RouterMessage, SidecarMessage

# Messages.


@frozen
class RouterConnected:
    """A router opened a session."""

    router_id: str


@frozen
class RouterDisconnected:
    """A router's session broke."""

    router_id: str


@frozen
class FromRouter:
    """A message of a router."""

    router_id: str
    message: RouterMessage


@frozen
class OutputReceived:
    """The endpoint wrote a part of an answer."""

    request_id: str
    text: str
    output_tokens: int


@frozen
class ResultReceived:
    """A plain service returned its whole result, as JSON text."""

    request_id: str
    result_json: str


@frozen
class RunEnded:
    """The endpoint's work on a request ended.

    Token counts are the endpoint's own, or 0 when it gave none.
    """

    request_id: str
    verdict: Verdict
    complete: bool
    reason: str = ""
    input_tokens: int = 0
    output_tokens: int = 0


@frozen
class LoadReported:
    """The endpoint's late report of its load."""

    waiting: int


@frozen
class NewRevision:
    """Declarations to apply from now on."""

    revision: Revision


@frozen
class Drain:
    """Take no new work; finish what runs."""


@frozen
class Tick:
    """Time passed."""


SidecarInput = (
    RouterConnected
    | RouterDisconnected
    | FromRouter
    | OutputReceived
    | ResultReceived
    | RunEnded
    | LoadReported
    | NewRevision
    | Drain
    | Tick
)


# Actions.


@frozen
class SendToRouter:
    """Send a message on a router's session."""

    router_id: str
    message: SidecarMessage


@frozen
class StartRun:
    """Start work at the endpoint."""

    dispatch: Dispatch


@frozen
class CancelRun:
    """Stop work at the endpoint."""

    request_id: str


@frozen
class ReportClaim:
    """Store how a claimed attempt ended."""

    attempt_id: str
    verdict: Verdict
    outcome_sse: str


@frozen
class RunNoted:
    """Note for the time line: a run ended."""

    request_id: str
    account_id: str
    verdict: Verdict
    complete: bool
    reason: str
    parts: int


@frozen
class LimitNoted:
    """Note for the time line: the concurrency limit moved."""

    limit: int


SidecarAction = (
    SendToRouter | StartRun | CancelRun | ReportClaim | RunNoted | LimitNoted
)
