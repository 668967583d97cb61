"""Throttles prefill so that running responses finish in time.

An engine interleaves prefill with decoding: under continuous prefill each token of
a running response takes as long as a whole chunk of prompt. The throttle limits
prefill to a fraction of the engine's time and lowers it while tokens take longer
than the running responses allow.
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
class RunningResponse:
    """A response being generated; `remaining_seconds` are left until its deadline."""

    expected_tokens: float
    generated_tokens: float
    remaining_seconds: float

    def max_seconds_per_token(self, policy: AdmissionPolicy) -> float:
        """Return the longest token interval that meets the deadline."""
        remaining = self.expected_tokens * policy.output_spread - self.generated_tokens
        tokens = max(MIN_REMAINING_TOKENS, remaining)
        return max(0.0, self.remaining_seconds) * policy.deadline_share / tokens


def target_seconds_per_token(
    responses: list[RunningResponse], policy: AdmissionPolicy
) -> float:
    """Return the token interval that suits nearly all running responses."""
    if not responses:
        return MAX_SECONDS_PER_TOKEN
    limits = sorted(response.max_seconds_per_token(policy) for response in responses)
    limit = limits[int(len(limits) * policy.need_quantile)]
    return min(MAX_SECONDS_PER_TOKEN, max(policy.shortest_pace_seconds, limit))


@define
class PrefillThrottle:
    """A token bucket for prefill, refilled at a variable fraction of the prefill rate.

    `credit_tokens` may turn negative, as a prompt is granted as a whole.
    """

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
        """Start with a full bucket."""
        self.credit_tokens = self.policy.unread_tokens

    def refill(self, speed: float, now: float) -> None:
        """Add the credit since the last call, up to the bucket's size."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        maximum = self.policy.unread_tokens
        self.credit_tokens = min(
            maximum, self.credit_tokens + elapsed * speed * self.fraction
        )

    def consume(self, tokens: float) -> None:
        """Take the tokens of a granted prompt from the credit."""
        self.credit_tokens -= tokens

    def observe(
        self, events_by_run: dict[str, int], event_tokens: int, now: float
    ) -> None:
        """Measure the token interval from the events in the engine's reports.

        Only runs that had generated events before the previous report count: the time
        before a run's first event is queueing and prefill.
        """
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
        """Return the recent token interval of running responses."""
        return self._run_seconds / max(self._generated_tokens, 1.0)

    def adjust(self, target: float) -> None:
        """Lower the prefill fraction while tokens are too slow, else raise it."""
        self.target_seconds_per_token = target
        factor = (
            THROTTLE_DECREASE_FACTOR
            if self.seconds_per_token > target
            else THROTTLE_INCREASE_FACTOR
        )
        minimum = self.policy.least_flow_share
        self.fraction = min(1.0, max(minimum, self.fraction * factor))
