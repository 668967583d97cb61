"""Times of the directory of endpoints, in seconds."""

from typing import Final

# An endpoint that did not announce itself for so long is dropped; it comes back with
# its next announcement. It is used until then while its answers are good, since the
# control may be what is cut off.
FORGET_SECONDS: Final = 30.0
# How long the end of a life is remembered against late announcements of it.
TOMBSTONE_SECONDS: Final = 60.0
# How long an end of unknown birth holds back any announcement under its id.
UNKNOWN_TOMBSTONE_SECONDS: Final = 5.0
