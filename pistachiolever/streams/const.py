"""Constants of the record of streams; times are in seconds."""

from typing import Final

# Callers resume a stream before their deadline, by their own clock.
DEADLINE_MARGIN_SECONDS: Final = 10.0
# Streams that one process remembers; the oldest ones are forgotten first.
MAX_STREAMS: Final = 100_000
# Time between two searches for streams that can be forgotten.
EXPIRY_CHECK_SECONDS: Final = 5.0
KEY_BYTES: Final = 12
# A stream began no longer ago than this many times the timeout of its route.
AGE_FACTOR: Final = 2.0
# Time to ask the members of the registry, and time after which one that did not reply
# is asked again.
LOOKUP_SECONDS: Final = 0.3
SILENT_MEMBER_SECONDS: Final = 1.0
# Lookups of this time are sent together.
LOOKUP_BATCH_SECONDS: Final = 0.003
# An unknown stream is looked up once more after this time, in which its start is
# reported.
LOOKUP_RETRY_SECONDS: Final = 0.35
LOOKUPS: Final = 2
# Members are asked again about an unconfirmed version after this time, in which they
# tell each other of new endpoints.
CONFIRM_RETRY_SECONDS: Final = 0.1
# A stream waits for so long for the first confirmed version of its service, which is
# looked for at this interval.
CONFIRM_WAIT_SECONDS: Final = 0.6
CONFIRM_POLL_SECONDS: Final = 0.02
# A version that is the only one for so long becomes the base version of its service:
# all endpoints have announced themselves by then, also after a loss of all disks.
BASE_SECONDS: Final = 4.0
# Members of an earlier build are asked again about base versions after this time, all
# members after the second one if a service has none, or the third one if it is absent.
UNTOLD_RETRY_SECONDS: Final = 1.0
NO_BASE_REFRESH_SECONDS: Final = 3.0
BASE_REFRESH_SECONDS: Final = 60.0
# Most members that keep one record, and time for them to reply.
MAX_RECORD_COPIES: Final = 3
RECORD_SECONDS: Final = 0.5
# What is recorded to find out whether enough members do. It is the key of no stream.
PROBE_KEY: Final = "probe"
PROBE_MS: Final = 1000
# What a member tells of the time for which it has heard of endpoints if it has missed
# nothing since its fleet began.
COMPLETE_HISTORY_MS: Final = 2**40
# Versions of a service that are remembered as confirmed.
MAX_KNOWN_VERSIONS: Final = 1_000
# Files of a member's data folder in which it keeps the streams that it knows. A file is
# left for the other one from the first size on, and at the second size at last.
JOURNAL_FILES: Final = ("streams.0", "streams.1")
MIN_JOURNAL_FILE_BYTES: Final = 128 * 1024
MAX_JOURNAL_FILE_BYTES: Final = 4 * 1024 * 1024
# File of a member's data folder with the versions of services.
VERSIONS_FILE: Final = "versions"
# Streams of this time are written with one sync, unless a router waits for one.
JOURNAL_SECONDS: Final = 0.2
# After each write the disk is left to the log for so many times as long, or once as
# long if a router waits for a stream.
JOURNAL_DISK_FACTOR: Final = 4.0
# Time until a failed write is retried.
JOURNAL_RETRY_SECONDS: Final = 1.0
