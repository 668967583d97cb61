"""Sorts engines into capacity classes by their measured rates, without I/O."""

from math import exp2, log2

from attrs import define, field

from pistachiolever.slowdown.const import (
    ALIKE_AGAIN_RATIO,
    ALIKE_RATIO,
    CLASS_HYSTERESIS,
    CLASS_REVIEW_SECONDS,
    CLASS_REVIEW_SECONDS_EACH,
    CLASSES_PER_DOUBLING,
    MAX_CLASS,
)


@define
class CapacityClasses:
    """The classes of a service's engines, relative to the mean of their rates.

    Engines without a known rate, and all engines that are alike, are in class 0. A
    higher class by CLASSES_PER_DOUBLING is twice the capacity. `class_by_id` holds the
    others only; `moving_ids` are on their way to the class of their rate.
    """

    rate_by_id: dict[str, float] = field(factory=dict)
    class_by_id: dict[str, int] = field(factory=dict)
    moving_ids: set[str] = field(factory=set)
    are_alike: bool = True
    has_changes: bool = False
    reviewed_at: float = float("-inf")

    def update_rate(self, endpoint_id: str, rate: float) -> None:
        """Apply a measured rate; 0 means that none is known."""
        if rate > 0 and self.rate_by_id.get(endpoint_id) != rate:
            self.rate_by_id[endpoint_id] = rate
            self.has_changes = True

    def discard(self, endpoint_id: str) -> None:
        """Forget an engine."""
        self.has_changes |= self.rate_by_id.pop(endpoint_id, None) is not None
        self.class_by_id.pop(endpoint_id, None)
        self.moving_ids.discard(endpoint_id)

    def weight(self, endpoint_id: str) -> float:
        """Return the capacity of an engine's class; that of class 0 is 1.0."""
        return exp2(self.class_by_id.get(endpoint_id, 0) / CLASSES_PER_DOUBLING)

    def review(self, now: float) -> bool:
        """Adjust the classes if that is due; return whether any has changed."""
        each = CLASS_REVIEW_SECONDS_EACH * len(self.rate_by_id)
        if now - self.reviewed_at < max(CLASS_REVIEW_SECONDS, each):
            return False
        if not (self.has_changes or self.moving_ids):
            return False
        self.reviewed_at, self.has_changes = now, False
        if not self.rate_by_id:
            return False
        ratio = max(self.rate_by_id.values()) / min(self.rate_by_id.values())
        limit = ALIKE_RATIO if self.are_alike else ALIKE_AGAIN_RATIO
        self.are_alike = ratio <= limit
        if self.are_alike:
            changed = bool(self.class_by_id)
            self.class_by_id.clear()
            self.moving_ids.clear()
            return changed
        rates = self.rate_by_id.values()
        mean = sum(log2(rate) for rate in rates) / len(rates)
        changes = [
            self._review_engine(endpoint_id, CLASSES_PER_DOUBLING * (log2(rate) - mean))
            for endpoint_id, rate in self.rate_by_id.items()
        ]
        return any(changes)

    def _review_engine(self, endpoint_id: str, position: float) -> bool:
        """Move an engine one class towards its position, if that is far away."""
        known = self.class_by_id.get(endpoint_id, 0)
        target = max(-MAX_CLASS, min(MAX_CLASS, round(position)))
        if abs(position - known) > CLASS_HYSTERESIS:
            self.moving_ids.add(endpoint_id)
        if target == known:
            self.moving_ids.discard(endpoint_id)
        if endpoint_id not in self.moving_ids:
            return False
        changed = known + (1 if target > known else -1)
        self.class_by_id[endpoint_id] = changed
        if changed == 0:
            del self.class_by_id[endpoint_id]
        return True
