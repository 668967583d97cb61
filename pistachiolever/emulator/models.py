"""The shape of an emulated platform and of the load on it."""

from attrs import field, frozen

from pistachiolever.admission.const import OUTPUT_TOKEN_WEIGHT


@frozen
class PartShape:
    """A part of prompts that requests share.

    `tokens` is the mean size, `spread` the deviation of its logarithm. There are
    `things` of them, used the less the higher their number by the power `skew`; where
    `by_account`, each belongs to one account.
    """

    tokens: float
    things: int
    spread: float = 0.0
    skew: float = 0.0
    by_account: bool = False


@frozen
class KindShape:
    """Requests that are alike; `rate` is their number a second.

    Sizes are means with deviations of the logarithm and a greatest value. `worth` and
    `late_worth` are credits; `hint_spread` is the deviation of the caller's guess.
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
    """How fast an engine works: milliseconds a step, and what adds to it.

    A step makes one token of each running answer and reads at most `chunk_tokens` of
    prompts, in order of arrival. `slow_downs` are factors that engines take in turn.
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
    """A failure domain: its routers, its engines and its part of the callers."""

    domain_id: str
    routers: int
    engines: int
    weight: float


@frozen
class Episode:
    """A stretch in which `accounts` drawn accounts, or one kind, ask `factor` times.

    Without a kind it is accounts that are hot (or quiet, with a factor below one);
    they are drawn from the ranks `first_rank` to `last_rank` by size, 0 the largest.
    """

    at: float
    seconds: float
    factor: float
    accounts: int = 0
    kind_id: str = ""
    first_rank: int = 0
    last_rank: int = 1_000_000


@frozen
class LoadShape:
    """A platform and the load on it; times in seconds, rates a second."""

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


@frozen
class Arrival:
    """One request of a caller, before its first attempt."""

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
        """Return the size of the prompt."""
        return sum(tokens for _, tokens in self.parts)

    @property
    def weighted_tokens(self) -> float:
        """Return what the request counts towards an account's share."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens
