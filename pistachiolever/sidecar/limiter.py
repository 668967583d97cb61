"""Adjusts the concurrency limit: the endpoint's batch is full, but nothing queues."""

from statistics import median

from attrs import define, field

from pistachiolever.declarations.models import ServiceKind
from pistachiolever.sidecar.const import (
    BASELINE_GROWTH,
    FIRST_CHUNK_FACTOR,
    FIRST_CHUNK_FLOOR_SECONDS,
    FIRST_CHUNK_TARGET_SECONDS,
    INITIAL_LIMIT,
    LIMIT_BACKOFF_FACTOR,
    LIMIT_INCREMENT,
    LIMIT_WINDOW_SECONDS,
    MIN_LIMIT,
    TOKEN_INTERVAL_FACTOR,
    TOKEN_INTERVAL_TARGET_SECONDS,
)


def _percentile_95(values: list[float]) -> float:
    """Return the 95th percentile of a non-empty list."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * 0.95))]


@define
class ConcurrencyLimiter:
    """Limits concurrent requests by additive increase, multiplicative decrease.

    Per window the limit grows by one if it was reached without congestion, and
    shrinks by a tenth on congestion. Until the first congestion it doubles instead
    (slow start).

    For a model engine, congestion is detected from latencies measured in the
    sidecar: time to first chunk and token interval. Durations of calls to a plain
    service vary too much for that, so only its refusals for overload count, and the
    limit starts at the declared concurrency. The endpoint's own report of waiting
    requests lags, so it only stops growth.
    """

    kind: ServiceKind
    max_limit: int
    limit: float = field(init=False)
    first_chunk_baseline: float = 0.0
    token_interval_baseline: float = 0.0
    window_started: float = 0.0
    limit_reached: bool = False
    overloaded: bool = False
    in_slow_start: bool = True
    reported_waiting: int = 0
    first_chunk_times: list[float] = field(factory=list)
    token_intervals: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start low for a model engine, at the maximum for a plain service."""
        is_model = self.kind is ServiceKind.MODEL
        self.limit = INITIAL_LIMIT if is_model else float(self.max_limit)

    def allowed(self) -> int:
        """Return how many requests may run concurrently."""
        return max(1, int(min(self.limit, self.max_limit)))

    def observe_first_chunk(self, seconds: float) -> None:
        """Record the time from the start of a run to its first chunk."""
        self.first_chunk_times.append(seconds)

    def observe_token_interval(self, seconds: float) -> None:
        """Record the time between two chunks; model engines send a token in each."""
        self.token_intervals.append(seconds)

    def observe_running(self, running: int) -> None:
        """Record the number of running requests, to see if the limit is reached."""
        if running >= self.allowed():
            self.limit_reached = True

    def observe_reported_waiting(self, waiting: int) -> None:
        """Set the number of waiting requests that the endpoint reported."""
        self.reported_waiting = waiting

    def record_overload(self) -> None:
        """Record that the endpoint refused a request because it is overloaded."""
        self.overloaded = True

    def adjust(self, now: float) -> bool:
        """Adjust the limit at the end of a window; return whether it changed."""
        if now - self.window_started < LIMIT_WINDOW_SECONDS:
            return False
        before = self.allowed()
        if self._is_congested():
            self.limit = max(
                MIN_LIMIT, min(self.limit, self.max_limit) * LIMIT_BACKOFF_FACTOR
            )
            self.in_slow_start = False
        elif self.limit_reached and self.reported_waiting == 0:
            grown = (
                self.limit * 2 if self.in_slow_start else self.limit + LIMIT_INCREMENT
            )
            self.limit = min(float(self.max_limit), grown)
        self.window_started = now
        self.limit_reached = False
        self.overloaded = False
        self.first_chunk_times.clear()
        self.token_intervals.clear()
        return self.allowed() != before

    def _is_congested(self) -> bool:
        """Return whether the endpoint refused requests or its latency is too high."""
        if self.overloaded:
            return True
        if self.kind is ServiceKind.PLAIN:
            return False
        return self._is_token_interval_too_long() or self._is_first_chunk_too_late()

    def _is_token_interval_too_long(self) -> bool:
        """Return whether token intervals exceed both target and engine baseline."""
        if not self.token_intervals:
            return False
        self.token_interval_baseline = _update_baseline(
            self.token_interval_baseline, median(self.token_intervals)
        )
        allowed = max(
            TOKEN_INTERVAL_TARGET_SECONDS,
            TOKEN_INTERVAL_FACTOR * self.token_interval_baseline,
        )
        return _percentile_95(self.token_intervals) > allowed

    def _is_first_chunk_too_late(self) -> bool:
        """Return whether times to first chunk suggest queueing in the engine."""
        if not self.first_chunk_times:
            return False
        self.first_chunk_baseline = _update_baseline(
            self.first_chunk_baseline, min(self.first_chunk_times)
        )
        typical = median(self.first_chunk_times)
        relative = FIRST_CHUNK_FACTOR * self.first_chunk_baseline
        if typical > max(FIRST_CHUNK_FLOOR_SECONDS, relative):
            return True
        return _percentile_95(self.first_chunk_times) > max(
            FIRST_CHUNK_TARGET_SECONDS, relative
        )


def _update_baseline(baseline: float, observed: float) -> float:
    """Return the minimum observed so far, raised a little at each update."""
    if baseline == 0.0:
        return observed
    return min(baseline * BASELINE_GROWTH, observed)
