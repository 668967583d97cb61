"""Default values of declarations."""

from typing import Final

DEFAULT_WEIGHT: Final = 1.0
DEFAULT_MAX_OUTPUT_TOKENS: Final = 4096
DEFAULT_MAX_CONCURRENCY: Final = 16
DEFAULT_QUEUE_COUNT: Final = 256
DEFAULT_QUEUE_BYTES: Final = 1024 * 1024
DEFAULT_QUEUE_SECONDS: Final = 120.0
DEFAULT_RETRY_FRACTION: Final = 0.1
DEFAULT_PRESET_ID: Final = "ordinary-day"
