"""Limits and timeouts of forwarded connections; times are in seconds."""

from typing import Final

# Processor time of forwarding a request, as a part of that of serving it.
FORWARD_COST: Final = 0.4
# A router forwards new connections once its event loop is late by so much, for so many
# samples of the delay. It has so many own requests then, or this part of its limit:
# a forwarded request needs less of its time.
FORWARD_FROM: Final = 0.1
FORWARD_DELAY_SECONDS: Final = 0.01
LATE_SAMPLES: Final = 20
MIN_OWN_REQUESTS: Final = 12
# A router takes forwarded connections while it uses less than this part of its limit,
# and its event loop has not been late by FORWARD_DELAY_SECONDS for LATE_SAMPLES.
FORWARDED_SHARE: Final = 0.8
# Connections that are forwarded at a time; each needs two descriptors.
MAX_FORWARDED: Final = 256
# Siblings that are tried for one connection.
MAX_TRIES: Final = 2
# Time between two connections to a sibling: a sample of its delay.
FORWARD_GAP_SECONDS: Final = 0.05
# A sibling that has refused a connection, or can't be reached, gets none for this time.
SIBLING_PAUSE_SECONDS: Final = 0.5
UNREACHABLE_PAUSE_SECONDS: Final = 4.0
# Time for the reply to a greeting, and how long a sibling without one gets none: its
# process stands still, while the system accepts connections for it.
GREETING_SECONDS: Final = 0.3
SILENT_PAUSE_SECONDS: Final = 1.0
# Time for a sibling's own response at the deadline of a request, and the longest time
# for the response to a request without a deadline that is known here.
DEADLINE_MARGIN_SECONDS: Final = 0.1
MAX_RESPONSE_SECONDS: Final = 60.0
# Siblings are in the same failure domain, so connecting takes a round trip of it.
CONNECT_SECONDS: Final = 0.3
# Time between two questions for the siblings: of a router that has much to do, and of
# any router.
BUSY_QUERY_SECONDS: Final = 2.0
IDLE_QUERY_SECONDS: Final = 15.0
QUERY_POLL_SECONDS: Final = 0.1
QUERY_TIMEOUT_SECONDS: Final = 0.4
# A router watches its members all the time; one that has not for so long is gone.
SIBLING_EXPIRY_SECONDS: Final = 4.0
# Siblings that a member names.
MAX_SIBLINGS: Final = 32
# What precedes the bytes of a forwarded connection: the version of the configuration
# by which the forwarding router would handle its request. A preface without a request
# is a greeting, to which a sibling replies before it gets the request.
PREFACE: Final = b"FORWARD %d\r\n"
GREETING: Final = PREFACE + b"\r\n"
GREETING_REPLY: Final = b"FORWARD READY\r\n"
PREFACE_START: Final = b"FORWARD "
# The response of a sibling that does not take a connection: nothing was done for it.
REFUSAL: Final = (
    b"HTTP/1.1 421 Not Forwarded\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
# The responses to callers whose sibling has ended, or not responded in time: the
# request may have run.
BROKEN_OFF_RESPONSE: Final = (
    b"HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
TIMED_OUT_RESPONSE: Final = (
    b"HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)
