"""Holds back the reading of prompts so that running answers finish in time.

An engine reads prompts between the tokens of its running requests: while it reads all
the time, each token takes as long as a chunk of prompt. So reading gets a share of the
engine, which shrinks while tokens come more slowly than the running answers need.
"""

from attrs import define, field

from pistachiolever.admission.const import (
    FLOW_GROWTH,
    FLOW_SHRINK,
    LEAST_REMAINING_TOKENS,
    MOST_PACE_SECONDS,
    PACE_DECAY,
)
from pistachiolever.admission.policy import AdmissionPolicy


@define
class RunningAnswer:
    """A running answer: expected and made tokens, and seconds until its deadline."""

    expected_tokens: float
    made_tokens: float
    left_seconds: float

    def needed_pace(self, policy: AdmissionPolicy) -> float:
        """Return the longest time a token may take for the answer to be in time."""
        remaining = self.expected_tokens * policy.output_spread - self.made_tokens
        tokens = max(LEAST_REMAINING_TOKENS, remaining)
        return max(0.0, self.left_seconds) * policy.deadline_share / tokens


def needed_pace(answers: list[RunningAnswer], policy: AdmissionPolicy) -> float:
    """Return the pace that nearly all running answers need, in seconds a token."""
    if not answers:
        return MOST_PACE_SECONDS
    needs = sorted(answer.needed_pace(policy) for answer in answers)
    need = needs[int(len(needs) * policy.need_quantile)]
    return min(MOST_PACE_SECONDS, max(policy.shortest_pace_seconds, need))


@define
class ReadingFlow:
    """The share of an engine that reads prompts, and the tokens it allows now."""

    policy: AdmissionPolicy = AdmissionPolicy()
    share: float = 1.0
    credit: float = field(init=False)
    at: float = 0.0
    needed: float = 0.0
    _made: float = 0.0
    _run_seconds: float = 0.0
    _events_by_run: dict[str, int] = field(factory=dict)
    _seen_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Start with all credit."""
        self.credit = self.policy.unread_tokens

    def refill(self, speed: float, now: float) -> None:
        """Let tokens come in at the share of the engine's speed."""
        passed = max(0.0, now - self.at)
        self.at = now
        most = self.policy.unread_tokens
        self.credit = min(most, self.credit + passed * speed * self.share)

    def take(self, tokens: float) -> None:
        """Spend the tokens of a prompt that is handed on."""
        self.credit -= tokens

    def see(self, events_by_run: dict[str, int], event_tokens: int, now: float) -> None:
        """Measure the pace from the events that each run made since the last time."""
        passed = now - self._seen_at
        both = self._events_by_run.keys() & events_by_run.keys()
        made = sum(
            events_by_run[run] - self._events_by_run[run]
            for run in both
            if self._events_by_run[run] > 0
        )
        started = sum(1 for run in both if self._events_by_run[run] > 0)
        if started and passed > 0:
            self._made = self._made * PACE_DECAY + made * event_tokens
            self._run_seconds = self._run_seconds * PACE_DECAY + started * passed
        self._events_by_run = events_by_run
        self._seen_at = now

    @property
    def pace(self) -> float:
        """Return the seconds that a token of a running answer takes lately."""
        return self._run_seconds / max(self._made, 1.0)

    def adapt(self, needed: float) -> None:
        """Give reading less while tokens come too slowly, else slowly more."""
        self.needed = needed
        factor = FLOW_SHRINK if self.pace > needed else FLOW_GROWTH
        least = self.policy.least_flow_share
        self.share = min(1.0, max(least, self.share * factor))
