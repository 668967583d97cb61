"""Holds back the reading of prompts so that running answers finish in time.

An engine reads prompts between the tokens of its running requests: while it reads all
the time, each token takes as long as a chunk of prompt. So reading gets a share of the
engine, which shrinks while tokens come more slowly than the running answers need.
"""

from attrs import define, field

from pistachiolever.admission.const import (
    MAX_SECONDS_PER_TOKEN,
    MIN_REMAINING_TOKENS,
    SECONDS_PER_TOKEN_DECAY,
    THROTTLE_DECREASE_FACTOR,
    THROTTLE_INCREASE_FACTOR,
)
from pistachiolever.admission.policy import AdmissionPolicy


@define
class RunningAnswer:
    """A running answer; `remaining_seconds` are left until its deadline."""

    expected_tokens: float
    generated_tokens: float
    remaining_seconds: float

    def max_seconds_per_token(self, policy: AdmissionPolicy) -> float:
        """Return the longest time a token may take for the answer to be in time."""
        remaining = self.expected_tokens * policy.output_spread - self.generated_tokens
        tokens = max(MIN_REMAINING_TOKENS, remaining)
        return max(0.0, self.remaining_seconds) * policy.deadline_share / tokens


def target_seconds_per_token(
    answers: list[RunningAnswer], policy: AdmissionPolicy
) -> float:
    """Return the pace that nearly all running answers need, in seconds a token."""
    if not answers:
        return MAX_SECONDS_PER_TOKEN
    limits = sorted(answer.max_seconds_per_token(policy) for answer in answers)
    limit = limits[int(len(limits) * policy.need_quantile)]
    return min(MAX_SECONDS_PER_TOKEN, max(policy.shortest_pace_seconds, limit))


@define
class PrefillThrottle:
    """The share of an engine that reads prompts, and the tokens it allows now."""

    policy: AdmissionPolicy = AdmissionPolicy()
    fraction: float = 1.0
    credit_tokens: float = field(init=False)
    refilled_at: float = 0.0
    target_seconds_per_token: float = 0.0
    _generated_tokens: float = 0.0
    _run_seconds: float = 0.0
    _events_by_run: dict[str, int] = field(factory=dict)
    _observed_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Start with all credit."""
        self.credit_tokens = self.policy.unread_tokens

    def refill(self, speed: float, now: float) -> None:
        """Let tokens come in at the share of the engine's speed."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        maximum = self.policy.unread_tokens
        self.credit_tokens = min(
            maximum, self.credit_tokens + elapsed * speed * self.fraction
        )

    def consume(self, tokens: float) -> None:
        """Spend the tokens of a prompt that is handed on."""
        self.credit_tokens -= tokens

    def observe(
        self, events_by_run: dict[str, int], event_tokens: int, now: float
    ) -> None:
        """Measure the token interval from the events since the last report."""
        elapsed = now - self._observed_at
        in_both = self._events_by_run.keys() & events_by_run.keys()
        generated = sum(
            events_by_run[run] - self._events_by_run[run]
            for run in in_both
            if self._events_by_run[run] > 0
        )
        started = sum(1 for run in in_both if self._events_by_run[run] > 0)
        if started and elapsed > 0:
            self._generated_tokens = (
                self._generated_tokens * SECONDS_PER_TOKEN_DECAY
                + generated * event_tokens
            )
            self._run_seconds = (
                self._run_seconds * SECONDS_PER_TOKEN_DECAY + started * elapsed
            )
        self._events_by_run = events_by_run
        self._observed_at = now

    @property
    def seconds_per_token(self) -> float:
        """Return the seconds that a token of a running answer takes lately."""
        return self._run_seconds / max(self._generated_tokens, 1.0)

    def adjust(self, target: float) -> None:
        """Give reading less while tokens come too slowly, else slowly more."""
        self.target_seconds_per_token = target
        factor = (
            THROTTLE_DECREASE_FACTOR
            if self.seconds_per_token > target
            else THROTTLE_INCREASE_FACTOR
        )
        minimum = self.policy.least_flow_share
        self.fraction = min(1.0, max(minimum, self.fraction * factor))
