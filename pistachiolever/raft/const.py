"""Timeouts and limits of the Raft implementation; times are in seconds."""

from typing import Final

ELECTION_TIMEOUT_SECONDS: Final = 0.6
ELECTION_JITTER_SECONDS: Final = 0.6
# Upper bound of the first election timeout after a start. It is short, so that a fleet
# that lost power elects a leader sooner.
INITIAL_ELECTION_TIMEOUT_SECONDS: Final = 0.4
HEARTBEAT_SECONDS: Final = 0.1
LEASE_SECONDS: Final = 0.5
MAX_APPEND_ENTRIES: Final = 256
SNAPSHOT_THRESHOLD_ENTRIES: Final = 2000
# Entries carry whole configurations; this bounds the log on a small disk.
SNAPSHOT_THRESHOLD_BYTES: Final = 8 * 1024 * 1024
RAFT_TICK_SECONDS: Final = 0.05
# Five voters tolerate two failures; more would only slow down each commit.
MAX_MEMBERS: Final = 5
# A voter is removed only if at least this many live ones remain, which still tolerate
# one failure.
MIN_LIVE_MEMBERS_TO_REMOVE: Final = 3
# Shorter than the time in which a replacement becomes a voter, so that a failed voter
# is removed before another one may fail.
MEMBER_TIMEOUT_SECONDS: Final = 2.5
# A learner is promoted to voter only if it has replied within this time.
ACTIVE_LEARNER_SECONDS: Final = 0.5
# A learner that has not replied for this long is removed; it asks to join again.
LEARNER_TIMEOUT_SECONDS: Final = 5.0
