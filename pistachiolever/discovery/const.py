"""Time constants of the endpoint directory, in seconds."""

from typing import Final

# An endpoint that sent no announcement for this long is removed; its next announcement
# adds it again. Routers go on using it as long as it accepts connections, because the
# connection to the control processes may be what is down.
ENDPOINT_EXPIRY_SECONDS: Final = 30.0
# How long watchers are told of an endpoint that was removed in this way.
EXPIRY_KEPT_SECONDS: Final = 600.0
# How long the end of an incarnation is kept, so that announcements of it that arrive
# late are rejected.
TOMBSTONE_SECONDS: Final = 60.0
# How long an end without a known incarnation blocks every announcement of the same id.
UNKNOWN_TOMBSTONE_SECONDS: Final = 5.0
# How long a version of a service is remembered after its last announcement.
VERSION_KEPT_SECONDS: Final = 600.0
