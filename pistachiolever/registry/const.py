"""Paths and times of the registry; times are in seconds."""

from typing import Final

RAFT_PATH: Final = "/registry/raft"
JOIN_PATH: Final = "/registry/join"
STORE_PATH: Final = "/registry/store"
READ_PATH: Final = "/registry/read"
ANNOUNCE_PATH: Final = "/registry/announce"
WATCH_PATH: Final = "/registry/watch"

# An operator's client gives up on a member after a second.
OPERATOR_SECONDS: Final = 0.85
# One try at a leader; short, since the leader known here may be the one that died.
LEADER_CALL_SECONDS: Final = 0.4
LEADER_WAIT_SECONDS: Final = 0.03
# A lost message of the agreement is repeated by the next heartbeat.
RAFT_CALL_SECONDS: Final = 0.5
JOIN_SECONDS: Final = 0.4
# Without a leader for so long a member asks to be taken in, in case it was dropped.
LOST_LEADER_SECONDS: Final = 1.5
# How long a watch is held when nothing is new; silent connections show by it.
WATCH_HOLD_SECONDS: Final = 1.0
WATCH_CALL_SECONDS: Final = 1.6
WATCH_RETRY_SECONDS: Final = 0.15
# Announcements that change nothing are passed on together.
GOSSIP_SECONDS: Final = 0.25
# An endpoint waits a second for its acknowledgement.
SPREAD_SECONDS: Final = 0.45
# A router that did not watch for so long is not counted.
ROUTER_TIMEOUT_SECONDS: Final = 3.0
EXPIRE_SECONDS: Final = 1.0
# Time for another member to take over when this one stops.
HAND_OVER_SECONDS: Final = 0.4
FOUNDER_LIFE: Final = "0"
