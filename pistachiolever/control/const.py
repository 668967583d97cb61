"""Constants of the control process."""

from typing import Final

FORMAT_VERSION: Final = 1
LOCK_FILE: Final = "lock"
IDENTITY_FILE: Final = "identity.json"
SNAPSHOT_FILE: Final = "snapshot.json"
LOG_FILE: Final = "log"
CLAIM_TIMEOUT_SECONDS: Final = 900.0
PROPOSE_TIMEOUT_SECONDS: Final = 4.0
MAX_HISTORY: Final = 64
MAX_CHANGE_IDS: Final = 4096
WARM_UP_LEASE_PERIODS: Final = 2.0
EXTRA_ATTACHMENT_SECONDS: Final = 10.0
MAX_OUTCOME_BYTES: Final = 64 * 1024
MAX_DECLARATIONS_BYTES: Final = 8 * 1024 * 1024
MAX_CLOSED_BEFORE_OPEN: Final = 10_000
# A full or failing disk is asked again after this.
DISK_RETRY_SECONDS: Final = 0.1
