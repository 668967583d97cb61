"""Constants of the fair-sharing algorithm."""

from typing import Final

# A backlog that no router reported for this time has ended.
BACKLOG_GRACE_SECONDS: Final = 3.0
# A router incarnation that published nothing for this time is closed.
INCARNATION_EXPIRY_SECONDS: Final = 10.0
# A closed incarnation that its router has replaced is remembered for this time after
# its last counted message.
TOMBSTONE_SECONDS: Final = 7200.0
# Weight of a new cost in the moving average.
ESTIMATE_SMOOTHING_FACTOR: Final = 0.2
# The first estimate is this fraction of the cost of the requested output tokens.
INITIAL_ESTIMATE_FRACTION: Final = 0.25
# An account that was unserved for longer takes precedence for single grants.
STARVATION_SECONDS: Final = 10.0
# One grant in this many goes to the account that was unserved for longest, if that
# is over STARVATION_SECONDS.
STARVATION_GRANT_INTERVAL: Final = 8
# Smaller differences from the floor are rounding errors and change no lift.
EPSILON: Final = 1e-9
