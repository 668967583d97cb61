"""Constants of the quarantine of parts of requests; times are in seconds."""

from typing import Final

# Endpoints that have crashed under a part before it is quarantined.
CRASHES_TO_QUARANTINE: Final = 3
# After so many crashes a request with the part is not repeated at another endpoint.
CRASHES_TO_STOP_REPEATS: Final = 2
# Crashes within this time of each other may have a common cause, such as an outage.
OUTAGE_SECONDS: Final = 2.0
# Time for other routers to tell of sound runs before a part is quarantined: each stage
# of the way between routers takes up to a quarter of a second.
SETTLE_SECONDS: Final = 1.0
# A run that lasts so long after its first chunk shows that its prompt is sound.
SOUND_RUN_SECONDS: Final = 0.5
# After a sound run a part is not suspected for this long.
SOUND_SECONDS: Final = 30.0
# Interval at which the sound runs of a part are told again, if no crash counts.
SOUND_REPEAT_SECONDS: Final = 10.0
# The first quarantine, the factor for each further one, and the longest.
QUARANTINE_SECONDS: Final = 120.0
QUARANTINE_FACTOR: Final = 4.0
MAX_QUARANTINE_SECONDS: Final = 6 * 3600.0
# After a quarantine one router tests the part with a request. Routers wait for up to so
# long times their number, so that the first one's test is known to the others.
TEST_SPREAD_SECONDS: Final = 2.0
# Crashes are remembered for this long.
EVIDENCE_SECONDS: Final = 600.0
# The newest crashes that are remembered of a part.
MAX_CRASHES: Final = 32
# Parts of which crashes, and of which sound runs, are remembered.
MAX_SUSPECTED_PARTS: Final = 500
MAX_SOUND_PARTS: Final = 20_000
# Time of day of two processes for the same event may differ by this much in messages.
TIME_TOLERANCE_SECONDS: Final = 1.0
# Interval at which a router reports quarantines again, for members that have restarted.
REPEAT_REPORT_SECONDS: Final = 5.0
# Begins the id of a request's content, as opposed to that of a prompt part.
CONTENT_PREFIX: Final = "content:"
