"""Times and sizes of the emulator; times are in seconds."""

from typing import Final

# Engines hand events on in lots of this time, which saves the emulator most work.
EVENT_LOT_SECONDS: Final = 0.1
# A caller gives up a stream that is silent for the longest of these: seconds, times
# its target, times its longest pause.
SILENCE_SECONDS: Final = 2.0
SILENCE_TARGETS: Final = 4.0
SILENCE_GAPS: Final = 8.0
# A caller's deadline lies between this part of the kind's deadline and the whole.
LEAST_DEADLINE_SHARE: Final = 0.85
# Callers come back after Retry-After if it is at most this part of their time left.
HONOURED_SHARE: Final = 1 / 3
# What a generation is worth beside its size, and its most, against its kind's mean.
BASE_WORTH: Final = 0.3
MOST_WORTH: Final = 4.0
# Requests of a clump come within this time.
CLUMP_SECONDS: Final = 0.1
# Names in the configuration of an emulated platform.
SERVICE_ID: Final = "models"
HOST: Final = "emulated"
MODEL: Final = "m"
# The header that tells an emulated engine how long the answer is.
OUTPUT_HEADER: Final = b"x-emulated-output"
# A part that is read again within this time after its last use is counted.
READ_AGAIN_SECONDS: Final = 10.0
# Birth of all emulated engines, in milliseconds since the epoch; any time will do.
EPOCH_MS: Final = 1_700_000_000_000
