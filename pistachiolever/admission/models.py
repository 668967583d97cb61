"""Bids, grants and the load of an endpoint."""

from attrs import field, frozen

from pistachiolever.admission.cold_start import ColdService
from pistachiolever.admission.rate_limit import NamedRate
from pistachiolever.streams.models import StreamOrigin


@frozen
class PromptPart:
    """A part of a prompt that other requests may share; its size is in tokens."""

    part_id: str
    tokens: int


@frozen
class Bid:
    """A request for a grant at one endpoint; times are seconds from now.

    `bid_id` is unique for each bid, `request_id` is the id that the engine sees, `kind`
    groups requests of the same route. `total` is the recent service of the account at
    all endpoints, as its router knows it from the registry and from its own grants at
    other endpoints; `share` is its max-min fair share of the recent service at all
    endpoints, None if unknown or not limiting (both in weighted tokens). `priority` 0
    is the highest. `asks_again` is true if there was an earlier bid for the request, so
    that its demand is not counted again. `slots`, `memory_tokens` and `event_tokens`
    are the endpoint's configured capacity and the maximum number of tokens in one event
    of its streams, `named_rate` is the request rate that the endpoint named last.
    `stream_key` is the key of the stream if its caller may resume it elsewhere, and
    `origin` where it begins or began. `born_ms` is the start time of the endpoint's
    incarnation that must serve it, 0 for any. `cold` tells of a service whose engines
    start cold.
    """

    bid_id: str
    request_id: str
    account_id: str
    kind: str
    priority: int
    target_seconds: float
    deadline_seconds: float
    prompt_tokens: int = 0
    output_tokens: int = 0
    model: str = ""
    parts: list[PromptPart] = field(factory=list)
    total: float = 0.0
    share: float | None = None
    asks_again: bool = False
    slots: int = 1
    memory_tokens: int = 0
    event_tokens: int = 1
    named_rate: NamedRate | None = None
    stream_key: str = ""
    origin: StreamOrigin | None = None
    born_ms: int = 0
    cold: ColdService | None = None


@frozen
class Load:
    """Load of an endpoint, in tokens; `speed` is the prefill rate in tokens a second.

    `unread_tokens` are pending prefill tokens at the engine, `queued_tokens` those of
    the `waiting` requests, which have no grant yet. `limit_seconds` is the time until
    the rate that the endpoint named, or that of a cold engine, allows another request.
    `slowdown` is how long work takes on the VM, relative to usual; it is 1.0 unless
    `tells_slowdown`.
    `prefill_rate` is the lasting measured prefill rate without the throttle, 0 if it is
    not known.
    """

    unread_tokens: float = 0.0
    queued_tokens: float = 0.0
    waiting: int = 0
    running: int = 0
    slots: int = 1
    free_memory_tokens: float = 0.0
    speed: float = 0.0
    limit_seconds: float = 0.0
    slowdown: float = 1.0
    prefill_rate: float = 0.0
    tells_slowdown: bool = False


@frozen
class BidReply:
    """A grant, or the reason of a refusal and the seconds until a retry makes sense.

    `waited_seconds` is how long an agent had the bid, negative if it doesn't tell.
    """

    granted: bool
    load: Load
    reason: str = ""
    retry_after_seconds: float = 0.0
    cached_tokens: int = 0
    waited_seconds: float = -1.0

    def transit_seconds(self, elapsed_seconds: float) -> float:
        """Return how long bid and reply were under way, 0 if that is not known.

        `elapsed_seconds` is the time since the bid was submitted.
        """
        if self.waited_seconds < 0.0:
            return 0.0
        return elapsed_seconds - self.waited_seconds


@frozen
class EndedRun:
    """A granted request that ended after generating `output_tokens`."""

    bid_id: str
    output_tokens: int


@frozen
class Progress:
    """Starts and ends of a router's granted requests."""

    started: list[str] = field(factory=list)
    ended: list[EndedRun] = field(factory=list)


@frozen
class ProgressReply:
    """The load of the endpoint after a progress message."""

    load: Load


@frozen
class BidCall:
    """A router's bid, with the starts and ends that it has not reported yet."""

    bid: Bid
    progress: Progress = Progress()


@frozen
class EngineRun:
    """A request that the engine lists as running; `events` were streamed so far."""

    request_id: str
    memory_tokens: int
    events: int


@frozen
class EngineReport:
    """Status that an engine reports of itself.

    `born_ms` is its start time in milliseconds since the epoch and identifies its
    incarnation. `used_tokens` and `total_tokens` are its memory. `slowdown` is 0 if it
    does not tell any.
    """

    born_ms: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int
    runs: list[EngineRun] = field(factory=list)
    slowdown: float = 0.0


# Actions that AdmissionCore returns.


@frozen
class Granted:
    """The request may be sent now; `cached_tokens` of its prompt need no prefill."""

    bid_id: str
    cached_tokens: int


@frozen
class Refused:
    """The request is refused; a retry makes sense after `retry_after_seconds`."""

    bid_id: str
    reason: str
    retry_after_seconds: float


AdmissionAction = Granted | Refused
