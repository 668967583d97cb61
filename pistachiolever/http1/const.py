"""Limits and timeouts of the HTTP layer."""

from typing import Final

# Maximum size of one socket read, as in asyncio's streams.
READ_BYTES: Final = 65_536
# Received but unprocessed input of a connection above which reading its socket
# pauses.
MAX_UNPROCESSED_BYTES: Final = 131_072
# Default limits for requests, and the limit for heads of responses.
MAX_HEAD_BYTES: Final = 16_384
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
HEAD_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 15.0
# Connecting takes one or two round trips; a peer that takes longer is unreachable.
CONNECT_SECONDS: Final = 1.0
# A peer that does not acknowledge sent data for so long is unreachable.
USER_TIMEOUT_SECONDS: Final = 3.0
# TCP keep-alive probes detect an unresponsive peer while a response is awaited.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
# How long to keep reading a rejected request, because closing a socket with unread
# input resets the connection, possibly before the response has arrived.
LINGER_SECONDS: Final = 0.3
# Connections waiting to be accepted.
LISTEN_BACKLOG: Final = 1024
