"""Paths and time constants of the registry; times are in seconds."""

from typing import Final

RAFT_PATH: Final = "/registry/raft"
JOIN_PATH: Final = "/registry/join"
STORE_PATH: Final = "/registry/store"
READ_PATH: Final = "/registry/read"
COMMIT_PATH: Final = "/registry/commit"
ANNOUNCE_PATH: Final = "/registry/announce"
SYNC_PATH: Final = "/registry/sync"
WATCH_PATH: Final = "/registry/watch"
REPORT_PATH: Final = "/registry/report"
DIGEST_PATH: Final = "/registry/digest"
STREAMS_PATH: Final = "/registry/streams"
RECORD_PATH: Final = "/registry/record"
SIBLINGS_PATH: Final = "/registry/siblings"

# An operator's client stops waiting for a member after one second.
OPERATOR_TIMEOUT_SECONDS: Final = 0.85
# Timeout of one call to the leader. It is short because the leader known here may be
# the one that failed.
LEADER_CALL_SECONDS: Final = 0.4
LEADER_RETRY_SECONDS: Final = 0.03
# Raft messages are not retried: the next heartbeat replaces a lost one.
RAFT_CALL_SECONDS: Final = 0.5
# Time to commit that an endpoint leaves, after other members were told of it: the
# endpoint waits one second for its acknowledgement.
DEPARTURE_COMMIT_SECONDS: Final = 0.45
# Interval between join requests, and the timeout of each.
JOIN_SECONDS: Final = 0.4
# A voter that has had no leader for this long sends join requests, in case the others
# removed it.
LEADER_TIMEOUT_SECONDS: Final = 1.5
# How long a watch request is held when there are no updates. The regular replies let
# a watcher detect a dead connection.
WATCH_HOLD_SECONDS: Final = 1.0
WATCH_CALL_SECONDS: Final = 1.6
WATCH_RETRY_SECONDS: Final = 0.15
# Interval at which announcements that need no confirmation are sent in a batch.
ANNOUNCE_BATCH_SECONDS: Final = 0.25
# An endpoint waits one second for its acknowledgement.
REPLICATE_TIMEOUT_SECONDS: Final = 0.45
# Time between two publications of changes of the endpoint directory to watchers.
DIRECTORY_PUBLISH_SECONDS: Final = 0.1
# A restarted member waits this long for the directories of the others before it tells
# watchers what it knows.
SYNC_SECONDS: Final = 0.6
# An announcement without changes is sent to the other members at most this often; they
# would forget the endpoint after six times as long.
UNCHANGED_ANNOUNCE_SECONDS: Final = 5.0
# A watcher watches this many members, so that none alone can delay an update.
WATCHED_MEMBERS: Final = 2
# Time until a member that did not reply is tried again, and the limit of its doubling.
MEMBER_RETRY_SECONDS: Final = 1.0
MAX_MEMBER_RETRY_SECONDS: Final = 8.0
# A member without contact with a quorum for this long tells so: what it knows may be
# out of date. Twice an election takes less.
QUORUM_CONTACT_SECONDS: Final = 1.5
EXPIRY_CHECK_SECONDS: Final = 1.0
# How long a stopping member waits for another one to become leader.
LEADER_TRANSFER_SECONDS: Final = 0.4
FOUNDER_INCARNATION: Final = "0"
