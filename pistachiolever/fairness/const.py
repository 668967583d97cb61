"""Constants of the accounting of service."""

from typing import Final

BACKLOG_GRACE_SECONDS: Final = 3.0
INCARNATION_EXPIRY_SECONDS: Final = 10.0
TOMBSTONE_SECONDS: Final = 7200.0
ESTIMATE_GAIN: Final = 0.2
ESTIMATE_START_FRACTION: Final = 0.25
STARVATION_SECONDS: Final = 10.0
STARVATION_GRANT_INTERVAL: Final = 8
EPSILON: Final = 1e-9
