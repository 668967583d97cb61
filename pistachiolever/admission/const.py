"""Limits of admission before one endpoint; tokens, seconds and shares."""

from typing import Final

# Prompt tokens that an engine reads in a second until its own pace is seen.
FIRST_SPEED: Final = 45_000.0
# How long a run takes until some have ended.
FIRST_RUN_SECONDS: Final = 0.1
# Slowest reading that is believed, in tokens a second: a twentieth of the first
# guess, so that one stall does not close an engine.
LEAST_SPEED: Final = 2_000.0
# Weight of what was seen before, at each new prompt that was read.
SPEED_DECAY: Final = 0.93
# Prompts shorter than this tell more of the fixed time than of the pace.
SPEED_SAMPLE_TOKENS: Final = 500
# Seconds from the end of reading to the first part at the router.
FIRST_PART_SECONDS: Final = 0.04
# Time over which service is remembered; about the window of the shares.
SERVICE_MEMORY_SECONDS: Final = 4.0
# A token that is generated counts as much as so many that are read.
OUTPUT_TOKEN_WEIGHT: Final = 2.0
# Shortest time after which a refused caller should come back.
LEAST_RETRY_SECONDS: Final = 0.4
# Longest; the shares of accounts have recovered by then (SERVICE_MEMORY_SECONDS).
MOST_RETRY_SECONDS: Final = 4.0
# Requests that wait before one endpoint; more are refused at once.
MAX_WAITING: Final = 400
# How often what waits is looked at again.
REVIEW_SECONDS: Final = 0.02
# A granted request that the engine does not list for so long has ended unseen.
LOST_RUN_SECONDS: Final = 1.0
# How often the engine beside this process is asked for its report.
REPORT_SECONDS: Final = 0.1
# A report on the own VM takes milliseconds; five periods without one is silence.
REPORT_TIMEOUT_SECONDS: Final = 0.5
# How often a router tells the ends of its requests and learns the load.
PROGRESS_SECONDS: Final = 0.1
# Six periods without an answer: the agent is taken as lost.
PROGRESS_CALL_SECONDS: Final = 0.6
# How often an agent tells a router what each account asked and got.
SHARES_SECONDS: Final = 0.25
BID_PATH: Final = "/admission/bid"
PROGRESS_PATH: Final = "/admission/progress"
# Tokens that a running answer is taken to lack at least; a few events.
LEAST_REMAINING_TOKENS: Final = 32.0
# Longest pace that is asked for, in seconds a token: an engine that only reads makes
# a token in 0.045 s, so nothing is held back beyond it.
MOST_PACE_SECONDS: Final = 0.05
# Weight of what was seen before, at each new measurement of the pace.
PACE_DECAY: Final = 0.8
# Steps of the share of reading at each report of the engine.
FLOW_SHRINK: Final = 0.9
FLOW_GROWTH: Final = 1.04
