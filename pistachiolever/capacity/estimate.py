"""Estimates when the engines of a service have room for a request of a given size.

Without I/O: the loads are those that a router uses to place requests.
"""

from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import DecayingSum
from pistachiolever.capacity.const import MAX_LOAD_AGE_SECONDS, MIN_KNOWN_FRACTION
from pistachiolever.capacity.models import (
    KnownLoad,
    MeanRun,
    RequestSize,
    RoomEstimate,
)


@define
class RunStatistics:
    """Decaying sums of the runs that this router has seen end."""

    count: DecayingSum = field(factory=DecayingSum)
    seconds: DecayingSum = field(factory=DecayingSum)
    tokens: DecayingSum = field(factory=DecayingSum)

    def record(self, seconds: float, tokens: float, now: float) -> None:
        """Count a run with its duration and the memory that it held."""
        self.count.add(1.0, now)
        self.seconds.add(seconds, now)
        self.tokens.add(tokens, now)

    def mean(self, now: float) -> MeanRun:
        """Return the mean of the recent runs."""
        count = self.count.value_at(now)
        if count <= 0.0:
            return MeanRun()
        return MeanRun(
            self.seconds.value_at(now) / count, self.tokens.value_at(now) / count
        )


def estimate_room(
    known: list[KnownLoad], size: RequestSize, mean: MeanRun
) -> RoomEstimate:
    """Return when the best of some engines has room for a request."""
    current = [
        entry
        for entry in known
        if entry.age_seconds <= MAX_LOAD_AGE_SECONDS and entry.load.speed > 0
    ]
    if not known or len(current) < MIN_KNOWN_FRACTION * len(known):
        return RoomEstimate()
    return RoomEstimate(min(_room_seconds(entry, size, mean) for entry in current))


def _room_seconds(known: KnownLoad, size: RequestSize, mean: MeanRun) -> float:
    """Return when one engine has room: a short queue, a slot and memory."""
    load = known.load
    seconds = max(
        (load.unread_tokens + load.queued_tokens) / load.speed,
        _needed_ends(load, size, mean) * mean.seconds / max(1, load.running),
        load.limit_seconds,
    )
    return max(0.0, seconds - known.age_seconds)


def _needed_ends(load: Load, size: RequestSize, mean: MeanRun) -> float:
    """Return how many runs must end before the request has a slot and memory."""
    slots = max(0, load.running + load.waiting + 1 - load.slots)
    missing = size.prompt_tokens + size.output_tokens - load.free_memory_tokens
    return max(slots, missing / max(1.0, mean.tokens))
