"""The pause that a busy endpoint asks for with Retry-After."""

from typing import Final

# Longest pause that an endpoint may ask for; longer ones are cut to it.
MAX_PAUSE_SECONDS: Final = 60.0
# Time after a pause within which requests to the endpoint rise to its capacity.
PAUSE_RAMP_SECONDS: Final = 0.5


def pause_seconds(retry_after: str) -> float | None:
    """Return the length of a requested pause, up to MAX_PAUSE_SECONDS.

    None if the value is not a number of seconds above 0.
    """
    try:
        seconds = float(retry_after)
    except ValueError:
        return None
    # The comparison is also false for NaN.
    if not seconds > 0:
        return None
    return min(seconds, MAX_PAUSE_SECONDS)
