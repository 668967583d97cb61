"""Holds the number of running requests where the batch is full, the queue empty."""

from statistics import median

from attrs import define, field

from pistachiolever.declarations.models import ServiceKind
from pistachiolever.sidecar.const import (
    BASELINE_DECAY,
    FIRST_PART_TARGET_SECONDS,
    GAP_TARGET_SECONDS,
    LATENCY_FACTOR,
    LATENCY_FLOOR_SECONDS,
    LIMIT_BACKOFF,
    LIMIT_LEAST,
    LIMIT_START,
    LIMIT_STEP,
    LIMIT_WINDOW_SECONDS,
)


def _high(values: list[float]) -> float:
    """Return the 95th percentile of a list that is not empty."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * 0.95))]


@define
class ConcurrencyLimiter:
    """Adds one while all is quick and full, takes a tenth when it gets slow.

    Before a model engine it is driven by what the sidecar sees itself: the seconds
    to the first part and the seconds between parts. Calls of a plain service
    differ too much for that: there only refusals for lack of room count, and it
    starts from the declared concurrency. The endpoint's own report of waiting
    requests only holds back growth, since it lags.
    """

    kind: ServiceKind
    most: int
    limit: float = field(init=False)
    baseline: float = 0.0
    window_started: float = 0.0
    was_full: bool = False
    overloaded: bool = False
    reported_waiting: int = 0
    first_parts: list[float] = field(factory=list)
    gaps: list[float] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start carefully before an engine, fully before a plain service."""
        is_model = self.kind is ServiceKind.MODEL
        self.limit = LIMIT_START if is_model else float(self.most)

    def allowed(self) -> int:
        """Return how many requests may run now."""
        return max(1, int(min(self.limit, self.most)))

    def see_first_part(self, seconds: float) -> None:
        """Take in the time from start to the first part."""
        self.first_parts.append(seconds)

    def see_gap(self, seconds: float) -> None:
        """Take in the time between two parts."""
        self.gaps.append(seconds)

    def see_running(self, running: int) -> None:
        """Note whether the limit was reached in this window."""
        if running >= self.allowed():
            self.was_full = True

    def see_report(self, waiting: int) -> None:
        """Take in the endpoint's late report of requests that it holds back."""
        self.reported_waiting = waiting

    def see_overload(self) -> None:
        """Take in that the endpoint refused a request for lack of room."""
        self.overloaded = True

    def adjust(self, now: float) -> bool:
        """Move the limit at the end of a window; tell whether it moved."""
        if now - self.window_started < LIMIT_WINDOW_SECONDS:
            return False
        before = self.allowed()
        if self._is_slow():
            self.limit = max(LIMIT_LEAST, min(self.limit, self.most) * LIMIT_BACKOFF)
        elif self.was_full and self.reported_waiting == 0:
            self.limit = min(float(self.most), self.limit + LIMIT_STEP)
        self.window_started = now
        self.was_full = False
        self.overloaded = False
        self.first_parts.clear()
        self.gaps.clear()
        return self.allowed() != before

    def _is_slow(self) -> bool:
        """Tell whether the endpoint holds requests back or steps slowly."""
        if self.overloaded:
            return True
        if self.kind is ServiceKind.PLAIN:
            return False
        if self.gaps and _high(self.gaps) > GAP_TARGET_SECONDS:
            return True
        if not self.first_parts:
            return False
        quickest = min(self.first_parts)
        if self.baseline == 0.0:
            self.baseline = quickest
        self.baseline = min(self.baseline * BASELINE_DECAY, quickest)
        if _high(self.first_parts) > FIRST_PART_TARGET_SECONDS:
            return True
        usual = median(self.first_parts)
        return usual > max(LATENCY_FLOOR_SECONDS, LATENCY_FACTOR * self.baseline)
