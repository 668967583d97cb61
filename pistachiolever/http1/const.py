"""Bounds of the HTTP layer, in bytes and seconds."""

from typing import Final

# One read of a socket; the size that asyncio's own streams use.
READ_BYTES: Final = 65_536
# Unread input of one connection before its socket is no longer read.
MAX_UNREAD_BYTES: Final = 131_072
# Heads of requests and answers where no configuration says otherwise.
MAX_HEAD_BYTES: Final = 16_384
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
HEAD_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 15.0
# A connection is opened within a round trip or two; more means a lost peer.
CONNECT_SECONDS: Final = 1.0
# Unacknowledged bytes for so long mean that the peer is out of reach.
USER_TIMEOUT_SECONDS: Final = 3.0
# Keep-alive probes find a peer that went silent while an answer is due.
PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1
PROBE_COUNT: Final = 3
# How long the last bytes of a refused request are read, so that closing the
# connection does not reset it before the refusal arrives.
LINGER_SECONDS: Final = 0.3
# Requests that may wait to be accepted.
LISTEN_BACKLOG: Final = 1024
