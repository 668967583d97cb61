"""Constants of the estimate of free capacity; times are in seconds."""

from typing import Final

# Loads older than this are not used: twice the longest time between two loads of a
# busy engine.
MAX_LOAD_AGE_SECONDS: Final = 1.5
# Fraction of the engines whose loads must be known for an estimate.
MIN_KNOWN_FRACTION: Final = 0.8
# Shortest Retry-After: about two review intervals and round trips, in which an engine
# that has just refused a request may start another one.
MIN_RETURN_SECONDS: Final = 0.05
# Part of the time until the target that remains for waiting and prefill at the return.
RETURN_MARGIN_FRACTION: Final = 0.25
