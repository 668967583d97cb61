"""Times of the agreement, in seconds."""

from typing import Final

ELECTION_SECONDS: Final = 0.6
ELECTION_SPREAD_SECONDS: Final = 0.6
HEARTBEAT_SECONDS: Final = 0.1
LEASE_SECONDS: Final = 0.5
MAX_APPEND_ENTRIES: Final = 256
SNAPSHOT_ENTRIES: Final = 2000
RAFT_TICK_SECONDS: Final = 0.05
