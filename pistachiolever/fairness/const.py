"""Constants of the fair-sharing algorithm."""

from typing import Final

BACKLOG_GRACE_SECONDS: Final = 3.0
INCARNATION_EXPIRY_SECONDS: Final = 10.0
TOMBSTONE_SECONDS: Final = 7200.0
ESTIMATE_SMOOTHING_FACTOR: Final = 0.2
# The first estimate is this fraction of the cost of the requested output tokens.
INITIAL_ESTIMATE_FRACTION: Final = 0.25
STARVATION_SECONDS: Final = 10.0
# One grant in this many goes to the account that was unserved for longest, if that
# is over STARVATION_SECONDS.
STARVATION_GRANT_INTERVAL: Final = 8
EPSILON: Final = 1e-9
