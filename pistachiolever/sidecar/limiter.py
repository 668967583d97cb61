"""Holds the number of running requests where the batch is full, the queue empty."""

from statistics import median

from attrs import define, field

from pistachiolever.declarations.models import ServiceKind
from pistachiolever.sidecar.const import (
    BASELINE_DECAY,
    FIRST_PART_TARGET_SECONDS,
    GAP_FACTOR,
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

    Until it was slow for the first time the limit doubles instead.

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
    gap_baseline: float = 0.0
    window_started: float = 0.0
    was_full: bool = False
    overloaded: bool = False
    ramping: bool = True
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
            self.ramping = False
        elif self.was_full and self.reported_waiting == 0:
            grown = self.limit * 2 if self.ramping else self.limit + LIMIT_STEP
            self.limit = min(float(self.most), grown)
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
        return self._steps_slowly() or self._holds_back()

    def _steps_slowly(self) -> bool:
        """Tell whether gaps are over the target, and not by the engine's nature."""
        if not self.gaps:
            return False
        self.gap_baseline = _lower(self.gap_baseline, median(self.gaps))
        allowed = max(GAP_TARGET_SECONDS, GAP_FACTOR * self.gap_baseline)
        return _high(self.gaps) > allowed

    def _holds_back(self) -> bool:
        """Tell whether first parts come as late as if requests were queued."""
        if not self.first_parts:
            return False
        self.baseline = _lower(self.baseline, min(self.first_parts))
        usual = median(self.first_parts)
        relative = LATENCY_FACTOR * self.baseline
        if usual > max(LATENCY_FLOOR_SECONDS, relative):
            return True
        return _high(self.first_parts) > max(FIRST_PART_TARGET_SECONDS, relative)


def _lower(baseline: float, seen: float) -> float:
    """Return the least value seen, which slowly forgets."""
    if baseline == 0.0:
        return seen
    return min(baseline * BASELINE_DECAY, seen)
