"""File names, limits and timeouts of the control process."""

from typing import Final

FORMAT_VERSION: Final = 1
LOCK_FILE: Final = "lock"
IDENTITY_FILE: Final = "identity.json"
SNAPSHOT_FILE: Final = "snapshot.json"
LOG_FILE: Final = "log"
# Files that a member must not forget once it has told others of their content.
DURABLE_FILES: Final = (IDENTITY_FILE, SNAPSHOT_FILE, LOG_FILE)
# Written to find out whether a new data folder has room; nobody reads it.
ROOM_FILE: Final = "room"
ROOM_BYTES: Final = 4096
# A claim that is open for longer is reported as unknown instead of running.
CLAIM_TIMEOUT_SECONDS: Final = 900.0
PROPOSE_TIMEOUT_SECONDS: Final = 4.0
# Revisions and results of changes that are kept; the oldest ones are removed first.
MAX_HISTORY: Final = 64
MAX_CHANGE_IDS: Final = 4096
# A new leader sends no changed endpoint sets for this many lease periods, so that
# sidecars can renew their leases first.
WARM_UP_LEASE_PERIODS: Final = 2.0
# Lifetime of an attachment of one more router to an endpoint.
EXTRA_ATTACHMENT_SECONDS: Final = 10.0
# The outcome of a claim is stored only up to this size.
MAX_OUTCOME_BYTES: Final = 64 * 1024
MAX_DECLARATIONS_BYTES: Final = 8 * 1024 * 1024
# Attempts abandoned before their claim arrived that are remembered.
MAX_CLOSED_BEFORE_OPEN: Final = 10_000
# Departures of endpoints that are kept: more than leave while a late announcement of
# one of them can still arrive.
MAX_DEPARTURES: Final = 1_000
# Delay before a failed write, for example to a full disk, is retried.
DISK_RETRY_SECONDS: Final = 0.1
