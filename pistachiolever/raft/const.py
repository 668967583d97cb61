"""Times of the agreement, in seconds."""

from typing import Final

ELECTION_TIMEOUT_SECONDS: Final = 0.6
ELECTION_JITTER_SECONDS: Final = 0.6
# After a start, with no leader heard yet: a fleet that lost power comes back sooner.
INITIAL_ELECTION_TIMEOUT_SECONDS: Final = 0.4
HEARTBEAT_SECONDS: Final = 0.1
LEASE_SECONDS: Final = 0.5
MAX_APPEND_ENTRIES: Final = 256
SNAPSHOT_THRESHOLD_ENTRIES: Final = 2000
# Entries carry whole configurations: the log of a small disk stays under this.
SNAPSHOT_THRESHOLD_BYTES: Final = 8 * 1024 * 1024
RAFT_TICK_SECONDS: Final = 0.05
# Five members bear two losses; more only make each change slower.
MAX_MEMBERS: Final = 5
# A member is dropped only while so many living ones are left: they bear one loss.
MIN_LIVE_MEMBERS_TO_REMOVE: Final = 3
# Shorter than the time in which a successor starts to count, so that a lost member
# stops counting before another one may be lost.
MEMBER_TIMEOUT_SECONDS: Final = 2.5
# A learner that did not answer for so long is not made a member.
ACTIVE_LEARNER_SECONDS: Final = 0.5
# A learner that is silent for so long is forgotten; it asks again.
LEARNER_TIMEOUT_SECONDS: Final = 5.0
