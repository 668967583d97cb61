"""Constants of the router."""

from typing import Final

TICK_SECONDS: Final = 0.05
BID_REFRESH_SECONDS: Final = 1.0
# An account may use up to this fraction of the free queue memory.
QUEUE_THRESHOLD_FACTOR: Final = 0.5
# The retry budget is counted in retries.
INITIAL_RETRY_BUDGET: Final = 10.0
MAX_RETRY_BUDGET: Final = 100.0
BASE_RETRY_DELAY_SECONDS: Final = 0.1
MAX_RETRY_DELAY_SECONDS: Final = 2.0
MAX_ATTEMPTS: Final = 3
DRAIN_RETRY_AFTER_SECONDS: Final = 1.0
BUSY_RETRY_AFTER_SECONDS: Final = 2.0
MAX_RETRY_AFTER_SECONDS: Final = 60.0
INITIAL_EJECTION_SECONDS: Final = 2.0
MAX_EJECTION_SECONDS: Final = 30.0
# Memory that a queued request uses besides its content.
REQUEST_OVERHEAD_BYTES: Final = 1024
UNAVAILABLE_RETRY_AFTER_SECONDS: Final = 5.0
# How long a sidecar continues a run whose caller disconnected or reads too slowly.
DISCONNECT_RETENTION_SECONDS: Final = 5.0
SLOW_READER_RETENTION_SECONDS: Final = 600.0
INITIAL_RECONNECT_DELAY_SECONDS: Final = 0.2
MAX_RECONNECT_DELAY_SECONDS: Final = 5.0
# Open streams to callers; further requests are refused.
MAX_STREAMS: Final = 10_000
# A Last-Event-ID with a greater number is invalid.
MAX_EVENT_NUMBER: Final = 10_000_000
MAX_CLAIM_RELEASE_ATTEMPTS: Final = 8
# Without slack more grants are returned, and each leaves a slot idle meanwhile.
GRANT_LIMIT_SLACK_REQUESTS: Final = 2.0
