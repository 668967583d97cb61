"""Shapes of an emulated platform and of the load on it, as read from JSON."""

from attrs import field, frozen

from pistachiolever.admission.const import OUTPUT_TOKEN_WEIGHT


@frozen
class PartShape:
    """A part of the prompt prefix that requests share.

    `tokens` is the mean size and `spread` the deviation of its logarithm. The part has
    `things` variants; their popularity follows a power law with the exponent `skew`.
    With `by_account`, each variant belongs to one account, and an account uses only its
    own variants if it has any.
    """

    tokens: float
    things: int
    spread: float = 0.0
    skew: float = 0.0
    by_account: bool = False


@frozen
class KindShape:
    """A kind of request; `rate` is the number of requests per second.

    Sizes have a mean, a deviation of the logarithm (`_spread`) and a maximum (`most_`).
    `worth` and `late_worth` are the credits of an average request in time and late.
    A response is in time if its first chunk comes within `target_seconds` and no pause
    between chunks exceeds `gap_seconds`. `deadline_seconds` is the longest deadline of
    a caller. A router makes at most `attempts` attempts, and a caller at most `returns`
    retries after a 503. `hint_spread` is the deviation of the logarithm of the caller's
    length hint.
    """

    kind_id: str
    rate: float
    worth: float
    late_worth: float
    target_seconds: float
    deadline_seconds: float
    gap_seconds: float
    prompt_tokens: float
    prompt_spread: float
    most_prompt_tokens: int
    output_events: float
    output_spread: float
    most_output_events: int
    parts: list[PartShape] = field(factory=list)
    resumable: bool = False
    attempts: int = 1
    hint_spread: float = 0.5
    returns: int = 1


@frozen
class EngineShapeSpec:
    """Capacity and speed of an engine: milliseconds per step and what adds to it.

    A step generates one token of each running request and prefills at most
    `chunk_tokens`, in order of arrival. It takes `step_ms`, `step_ms_each` for each
    running request, `context_ms_per_1000` for each 1000 tokens that these hold in KV
    memory, the time to prefill at `read_tokens_per_ms`, and `pairs_ms_per_million` for
    each million pairs of a prefilled token and a token before it. `first_ms` delays the
    first event of a response. `slow_downs` are factors on the step time that are
    assigned to the engines in turn.
    """

    slots: int
    memory_tokens: int
    event_tokens: int
    step_ms: float
    step_ms_each: float
    context_ms_per_1000: float
    read_tokens_per_ms: float
    pairs_ms_per_million: float
    first_ms: float = 15.0
    chunk_tokens: int = 2048
    slow_downs: list[float] = field(factory=lambda: [1.0])


@frozen
class DomainShape:
    """A failure domain: its routers, engines and weight in the draw of callers."""

    domain_id: str
    routers: int
    engines: int
    weight: float


@frozen
class Episode:
    """A period in which the rate of some accounts or of one kind changes by `factor`.

    Without a kind, `accounts` accounts become hot (or quiet, with a factor below 1);
    they are drawn from the ranks `first_rank` to `last_rank`, where 0 is the largest.
    """

    at: float
    seconds: float
    factor: float
    accounts: int = 0
    kind_id: str = ""
    first_rank: int = 0
    last_rank: int = 1_000_000


@frozen
class Release:
    """Replaces a fraction `share` of the engines, one each `gap_seconds`.

    A replacement starts when its predecessor begins to leave. That one serves for
    `drain_seconds` and `linger_seconds` more, then its connections close. Nothing tells
    the routers but its responses, and these only with `notices`.
    """

    at: float
    gap_seconds: float
    share: float = 1.0
    drain_seconds: float = 2.0
    linger_seconds: float = 6.0
    notices: bool = True


@frozen
class LoadShape:
    """A platform and the load on it; times in seconds, rates per second.

    The rate of all kinds follows a sine with the relative amplitude `swing`. Requests
    come in bursts of a mean size `clump`. A fraction `home_share` of the requests comes
    through the account's home domain, the others through a drawn one.
    `tokens_per_second` is the capacity, in weighted tokens, that accounts share in each
    window of `share_window_seconds`. The size of accounts follows a power law with the
    exponent `account_skew`. `caller_seconds` is the latency between a caller and a
    router; `near_seconds` and `far_seconds` are those between a router and an engine or
    agent of its own failure domain and of another one. `read_again_price` is the credit
    deducted per 1000 tokens of repeated prefill. With `spillover`, the price of
    leaving a failure domain follows the loads. `plans_returns` is that setting of the
    routers.
    """

    name: str
    seconds: float
    tokens_per_second: float
    domains: list[DomainShape]
    engine: EngineShapeSpec
    kinds: list[KindShape]
    accounts: int
    account_skew: float
    home_share: float = 0.4
    rate_factor: float = 1.0
    swing: float = 0.0
    swing_seconds: float = 11.0
    clump: float = 1.0
    caller_seconds: float = 0.003
    near_seconds: float = 0.0001
    far_seconds: float = 0.0005
    read_again_price: float = 0.0
    share_window_seconds: float = 4.0
    episodes: list[Episode] = field(factory=list)
    release: Release | None = None
    spillover: bool = False
    plans_returns: bool = False


@frozen
class Arrival:
    """A request before its first attempt."""

    request_id: str
    at: float
    kind: KindShape
    account_id: str
    domain_id: str
    deadline_seconds: float
    parts: list[tuple[str, int]]
    output_tokens: int
    hint_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the size of the prompt in tokens."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def weighted_tokens(self) -> float:
        """Return the tokens that count towards the account's fair share."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens
