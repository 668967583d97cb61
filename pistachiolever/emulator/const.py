"""Times and sizes of the emulator; times are in seconds."""

from typing import Final

# Engines deliver events in batches of this length, which saves most of the emulator's
# work.
EVENT_BATCH_SECONDS: Final = 0.1
# Time of a turn of the event loop once some tasks have a processor.
POLL_SECONDS: Final = 1e-6
# A caller gives up a response that has not started after the largest of these: seconds,
# multiples of its kind's target time, multiples of its kind's longest allowed gap.
MIN_START_TIMEOUT_SECONDS: Final = 2.0
START_TIMEOUT_TARGETS: Final = 4.0
START_TIMEOUT_GAPS: Final = 8.0
# A caller's deadline is between this fraction of its kind's deadline and the whole.
MIN_DEADLINE_FRACTION: Final = 0.85
# Callers honour Retry-After up to this fraction of the time left to their deadline.
MAX_RETRY_AFTER_FRACTION: Final = 1 / 3
# The credit of a request is its kind's `worth` times a factor: this fraction is
# independent of the request's size, the rest is proportional to it, up to a maximum.
BASE_CREDIT_FRACTION: Final = 0.3
MAX_CREDIT_FACTOR: Final = 4.0
# The requests of a burst arrive within this time.
BURST_SECONDS: Final = 0.1
# Names in the configuration of an emulated platform.
SERVICE_ID: Final = "models"
HOST: Final = "emulated"
MODEL: Final = "m"
# The header that tells an emulated engine how many tokens to generate.
OUTPUT_HEADER: Final = b"x-emulated-output"
# A shared part that is prefilled again within this time after its last use counts
# as repeated prefill.
REPEATED_PREFILL_SECONDS: Final = 10.0
# Start time of all emulated engines, in milliseconds since the epoch; any time works.
ENGINE_START_MS: Final = 1_700_000_000_000
