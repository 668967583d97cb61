"""Chooses when the callers of refused requests come back."""

from random import Random

from pistachiolever.capacity.const import MIN_RETURN_SECONDS, RETURN_MARGIN_FRACTION
from pistachiolever.capacity.models import ReturnLimits


def return_seconds(room_seconds: float, limits: ReturnLimits, rng: Random) -> float:
    """Return the seconds after which a caller is told to come back.

    Callers are spread evenly from the time at which there is room to the last time at
    which a response can still be on time. If that has passed, they are spread over all
    of the time for which they wait.
    """
    earliest = max(MIN_RETURN_SECONDS, room_seconds)
    latest = limits.target_seconds * (1.0 - RETURN_MARGIN_FRACTION)
    latest -= limits.prefill_seconds
    if latest <= earliest:
        latest = limits.most_seconds
    latest = min(latest, limits.most_seconds)
    if latest <= earliest:
        return max(MIN_RETURN_SECONDS, latest)
    return earliest + rng.random() * (latest - earliest)
