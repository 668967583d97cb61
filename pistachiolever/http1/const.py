"""Limits and timeouts of the HTTP layer."""

from typing import Final

# Maximum size of one socket read, as in asyncio's streams.
READ_BYTES: Final = 65_536
# Chunks that are joined to one part of a body.
MAX_JOINED_CHUNKS: Final = 64
# Received but unprocessed input of a connection above which reading its socket
# pauses.
MAX_UNPROCESSED_BYTES: Final = 131_072
# Sends to a peer that takes all, after which other tasks run.
MAX_SENDS_IN_A_TURN: Final = 64
# Default limits for requests, and the limit for heads of responses.
MAX_HEAD_BYTES: Final = 16_384
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
HEAD_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 15.0
# Connecting takes one or two round trips; a peer that takes longer is unreachable.
CONNECT_SECONDS: Final = 1.0
# A peer that does not acknowledge sent data for so long is unreachable.
USER_TIMEOUT_SECONDS: Final = 3.0
# The same for a client of a server, which may read nothing for a while.
CLIENT_USER_TIMEOUT_SECONDS: Final = 15.0
# TCP keep-alive probes detect an unresponsive peer while a response is awaited.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 3
# How long to keep reading a rejected request, because closing a socket with unread
# input resets the connection, possibly before the response has arrived.
LINGER_SECONDS: Final = 0.3
# Connections waiting to be accepted.
LISTEN_BACKLOG: Final = 1024
# A body of which nothing arrives for so long is rejected, however long it takes in
# all. As long as a connection may be idle between requests.
BODY_STALL_SECONDS: Final = 15.0
# Part of the memory for what is held for clients. A process needs about 50 MB itself,
# and of the rest about as much again for copies that are sent or decoded.
CLIENT_MEMORY_FRACTION: Final = 0.2
# Bytes held for the clients of a process without a limit of memory in its settings.
DEFAULT_HELD_BYTES: Final = 64 * 1024 * 1024
BYTES_PER_MB: Final = 1024 * 1024
# Bytes held of a response from which on they are counted. Sound responses hold less.
MIN_COUNTED_BYTES: Final = 16_384
# Memory of one parsed header field beside its bytes: a tuple, two objects, a place.
FIELD_BYTES: Final = 160
# Shortest line of a header field, with LF only.
MIN_FIELD_BYTES: Final = 3
# Fields of a head: no more fit into one of the default size.
MAX_FIELDS: Final = MAX_HEAD_BYTES // MIN_FIELD_BYTES
# Requests that a client sends in a row ahead of the responses; common clients send one
# at a time, and those that pipeline a few.
MAX_PIPELINED_REQUESTS: Final = 100
# Bytes that count as progress of a connection: the size of one head.
PROGRESS_BYTES: Final = 16_384
# A client that reads nothing for so long may lose its response for lack of memory.
# The longest pause that the routes of a deployment allow between events.
UNREAD_SECONDS: Final = 0.8
# Seconds after which a refused client may return.
REFUSED_RETRY_SECONDS: Final = 1
# Connections that make room at once.
MAX_CUT_CONNECTIONS: Final = 64
# Bytes of a request on the wire beyond its body: chunk sizes, extensions, trailers.
MAX_FRAMING_BYTES: Final = 1024 * 1024
# Interim responses (1xx) before a response; a peer that sends more is broken.
MAX_INTERIM_RESPONSES: Final = 16
# Connections that a server keeps open unless it is told otherwise.
DEFAULT_MAX_CONNECTIONS: Final = 2_000
# Connections for scrapes or for checks of readiness: a few clients open them, and the
# descriptors outside of the limits for callers suffice for them.
MAX_MONITORING_CONNECTIONS: Final = 96
# Pause after the system refused another connection, for instance for lack of
# descriptors.
ACCEPT_RETRY_SECONDS: Final = 0.05
# A limit that is reached is reported at most this often.
LIMIT_REPORT_SECONDS: Final = 1.0
# A new connection is not closed for another one before its request had time to arrive.
FIRST_REQUEST_SECONDS: Final = 0.5
# Interval at which new connections of an overloaded server are looked at.
SCREENING_SECONDS: Final = 0.005
