"""What the pass-through router knows of a request, an endpoint and an answer."""

from attrs import define, field, frozen

from pistachiolever.admission.models import PromptPart
from pistachiolever.http1.models import RequestHead
from pistachiolever.routing.models import ProxyRoute, ProxyService


@frozen
class CallerFacts:
    """What a caller's headers say; seconds, tokens, empty where nothing is said."""

    request_id: str
    deadline_seconds: float | None = None
    key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    most_output_tokens: int = 0
    length_hint: int = 0
    parts: list[PromptPart] = field(factory=list)
    last_event_id: int = 0


@frozen
class AnswerFacts:
    """What an endpoint's headers say of its answer."""

    request_id: str
    signed: bool
    not_run: bool
    keep_seconds: float


@define(eq=False)
class PassRequest:
    """One request of a caller; times are absolute seconds of the process's clock."""

    facts: CallerFacts
    head: RequestHead
    body: bytes
    route: ProxyRoute
    service: ProxyService
    account_id: str
    priority: int
    arrived_at: float
    target_at: float
    deadline_at: float
    sends: int = 0
    bids: int = 0
    tried: set[str] = field(factory=set)
    may_have_run: bool = False

    @property
    def request_id(self) -> str:
        """Return the id that names the request at engines and in logs."""
        return self.facts.request_id

    @property
    def bid_id(self) -> str:
        """Return what names the latest bid for the request."""
        return f"{self.request_id}/{self.bids}"

    @property
    def output_tokens(self) -> int:
        """Return the expected output: the hint where there is one."""
        most = self.facts.most_output_tokens
        if self.facts.length_hint:
            return min(self.facts.length_hint, most or self.facts.length_hint)
        return most // 2

    def left(self, now: float) -> float:
        """Return the seconds until the request must have its answer."""
        return self.deadline_at - now
