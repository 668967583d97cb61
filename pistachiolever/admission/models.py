"""Bids, grants and the load of an endpoint."""

from attrs import field, frozen


@frozen
class PromptPart:
    """A part of a prompt that other requests may share; its size is in tokens."""

    part_id: str
    tokens: int


@frozen
class Bid:
    """A request that wants to go to an endpoint; times are seconds from now.

    `bid_id` is new for each bid, `request_id` is what the engine sees, `kind` names the
    requests that are alike. `elsewhere` is the account's recent service at other
    endpoints, as its router knows it, and `share` what it may have got lately at all of
    them by max-min fairness, None where that is not known. `asks_again` tells that
    another endpoint was asked before. `slots`, `memory_tokens` and `event_tokens` are
    the endpoint's, as configured.
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
    elsewhere: float = 0.0
    share: float | None = None
    asks_again: bool = False
    slots: int = 1
    memory_tokens: int = 0
    event_tokens: int = 1


@frozen
class Load:
    """What stands before an endpoint; tokens, and tokens a second.

    `waiting` requests hold `queued_tokens` of unread prompts.
    """

    unread_tokens: float = 0.0
    queued_tokens: float = 0.0
    waiting: int = 0
    running: int = 0
    slots: int = 1
    free_memory_tokens: float = 0.0
    speed: float = 0.0


@frozen
class BidReply:
    """A grant, or why there is none and when to come back (seconds)."""

    granted: bool
    load: Load
    reason: str = ""
    retry_after_seconds: float = 0.0
    cached_tokens: int = 0
    service: float = 0.0


@frozen
class EndedRun:
    """A granted request that ended; `output_tokens` were generated."""

    bid_id: str
    output_tokens: int


@frozen
class AccountUsage:
    """What an account asked and got lately at one endpoint, in weighted tokens."""

    account_id: str
    asked: float
    got: float


@frozen
class Progress:
    """What a router saw of its granted requests; it may ask for the accounts' uses."""

    router_id: str
    wants_uses: bool = False
    started: list[str] = field(factory=list)
    ended: list[EndedRun] = field(factory=list)


@frozen
class ProgressReply:
    """The load of the endpoint after that, and the accounts' uses if asked for."""

    load: Load
    uses: list[AccountUsage] | None = None


@frozen
class EngineRun:
    """A request that the engine lists as running."""

    request_id: str
    memory_tokens: int
    events: int


@frozen
class EngineReport:
    """What an engine says of itself; a report on its own VM is fresh."""

    born_ms: int
    waiting: int
    running: int
    used_tokens: int
    total_tokens: int
    runs: list[EngineRun] = field(factory=list)


# Actions of the core.


@frozen
class Granted:
    """The request may be sent now."""

    bid_id: str
    cached_tokens: int


@frozen
class Refused:
    """The request will not be sent."""

    bid_id: str
    reason: str
    retry_after_seconds: float


AdmissionAction = Granted | Refused
