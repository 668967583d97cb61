"""Constants of the sidecar."""

from typing import Final

TICK_SECONDS: Final = 0.05
# The limit is a number of concurrent requests. Per window it grows by the increment or
# is multiplied by the backoff factor.
INITIAL_LIMIT: Final = 4.0
MIN_LIMIT: Final = 1.0
LIMIT_INCREMENT: Final = 1.0
LIMIT_BACKOFF_FACTOR: Final = 0.9
LIMIT_WINDOW_SECONDS: Final = 0.5
FIRST_CHUNK_TARGET_SECONDS: Final = 0.5
TOKEN_INTERVAL_TARGET_SECONDS: Final = 0.044
# Latencies up to these multiples of their baselines never count as congestion.
TOKEN_INTERVAL_FACTOR: Final = 2.0
FIRST_CHUNK_FACTOR: Final = 3.0
# A median time to first chunk below this is never taken as congestion.
FIRST_CHUNK_FLOOR_SECONDS: Final = 0.1
# Growth factor of a baseline per window, so that it follows an engine that got slower.
BASELINE_GROWTH: Final = 1.02
# Interval between load queries, and their timeout.
LOAD_POLL_SECONDS: Final = 1.0
# Estimates the input tokens of a request from the length of its input.
CHARS_PER_TOKEN: Final = 4
# Time for which a late dispatch of a request that was cancelled before is refused.
TOMBSTONE_SECONDS: Final = 120.0
# Claimed attempts remembered, so that none is started twice.
MAX_SEEN_ATTEMPTS: Final = 100_000
# Messages to a router within this time of the last write are sent together.
MIN_SEND_INTERVAL_SECONDS: Final = 0.003
KEEPALIVE_SECONDS: Final = 1.0
INITIAL_CLAIM_RETRY_DELAY_SECONDS: Final = 0.2
MAX_CLAIM_RETRY_DELAY_SECONDS: Final = 5.0
