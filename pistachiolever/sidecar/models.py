"""Inputs and actions of the sidecar core."""

from attrs import frozen

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Revision
from pistachiolever.wire.models import Dispatch, RouterMessage, SidecarMessage

# Inputs.


@frozen
class RouterConnected:
    """A router opened a session."""

    router_id: str


@frozen
class RouterDisconnected:
    """A router's session ended."""

    router_id: str


@frozen
class FromRouter:
    """A router sent a message."""

    router_id: str
    message: RouterMessage


@frozen
class OutputReceived:
    """The endpoint sent a chunk of a streamed answer."""

    request_id: str
    text: str
    output_tokens: int


@frozen
class ResultReceived:
    """A plain service returned its complete result, as JSON text."""

    request_id: str
    result_json: str


@frozen
class RunEnded:
    """The endpoint finished, failed or refused a request.

    Token counts are those the endpoint reported, or 0 if it reported none.
    """

    request_id: str
    verdict: Verdict
    complete: bool
    reason: str = ""
    input_tokens: int = 0
    output_tokens: int = 0


@frozen
class EndpointNotice:
    """The endpoint said that it is leaving, or asked for a pause in seconds."""

    leaving: bool
    pause_seconds: float = 0.0


@frozen
class RateNamed:
    """A response named the requests a second that its endpoint accepts, or no limit."""

    request_id: str
    requests_per_second: float | None


@frozen
class LoadReported:
    """The endpoint reported its load, as of some time ago."""

    waiting: int


@frozen
class NewRevision:
    """A new revision of the declarations is in force."""

    revision: Revision


@frozen
class Drain:
    """Accept no new requests; finish the running ones."""


@frozen
class Tick:
    """Periodic timer."""


SidecarInput = (
    RouterConnected
    | RouterDisconnected
    | FromRouter
    | OutputReceived
    | ResultReceived
    | RunEnded
    | EndpointNotice
    | RateNamed
    | LoadReported
    | NewRevision
    | Drain
    | Tick
)


# Actions.


@frozen
class SendToRouter:
    """Send a message over a router's session."""

    router_id: str
    message: SidecarMessage


@frozen
class StartRun:
    """Send a request to the endpoint."""

    dispatch: Dispatch


@frozen
class CancelRun:
    """Cancel a request at the endpoint."""

    request_id: str


@frozen
class ReportClaim:
    """Report the outcome of a claimed attempt to control."""

    attempt_id: str
    verdict: Verdict
    outcome_sse: str


@frozen
class RecordRunEnd:
    """Record in the event log that a run ended."""

    request_id: str
    account_id: str
    verdict: Verdict
    complete: bool
    reason: str
    chunk_count: int


@frozen
class RecordLimit:
    """Record in the event log that the concurrency limit changed."""

    limit: int


@frozen
class RecordPause:
    """Record in the event log that the endpoint asked for a pause."""

    seconds: float


@frozen
class RecordRate:
    """Record in the event log that the rate that the endpoint accepts has changed."""

    requests_per_second: float | None


@frozen
class LeaveWithEndpoint:
    """Drain and end the process, as its endpoint is leaving."""


SidecarAction = (
    SendToRouter
    | StartRun
    | CancelRun
    | ReportClaim
    | RecordRunEnd
    | RecordLimit
    | RecordPause
    | RecordRate
    | LeaveWithEndpoint
)
