"""Limits of admission before one endpoint; tokens, seconds and shares."""

from typing import Final

# Prompt tokens that an engine reads in a second until its own pace is seen.
INITIAL_PREFILL_TOKENS_PER_SECOND: Final = 45_000.0
# How long a run takes until some have ended.
INITIAL_RUN_SECONDS: Final = 0.1
# Slowest reading that is believed, in tokens a second: a twentieth of the first
# guess, so that one stall does not close an engine.
MIN_PREFILL_TOKENS_PER_SECOND: Final = 2_000.0
# Weight of what was seen before, at each new prompt that was read.
PREFILL_RATE_DECAY: Final = 0.93
# Prompts shorter than this tell more of the fixed time than of the pace.
MIN_PREFILL_SAMPLE_TOKENS: Final = 500
# Seconds from the end of reading to the first part at the router.
FIRST_CHUNK_SECONDS: Final = 0.04
# Time over which service is remembered; about the window of the shares.
SERVICE_DECAY_SECONDS: Final = 4.0
# A token that is generated counts as much as so many that are read.
OUTPUT_TOKEN_WEIGHT: Final = 2.0
# Shortest time after which a refused caller should come back.
MIN_RETRY_AFTER_SECONDS: Final = 0.4
# Longest; the shares of accounts have recovered by then (SERVICE_DECAY_SECONDS).
MAX_RETRY_AFTER_SECONDS: Final = 4.0
# Requests that wait before one endpoint; more are refused at once.
MAX_QUEUED_REQUESTS: Final = 400
# How often what waits is looked at again.
REVIEW_INTERVAL_SECONDS: Final = 0.02
# A granted request that the engine does not list for so long has ended unseen.
MISSING_RUN_TIMEOUT_SECONDS: Final = 1.0
# How often the engine beside this process is asked for its report.
REPORT_INTERVAL_SECONDS: Final = 0.1
# A report on the own VM takes milliseconds; five periods without one is silence.
REPORT_TIMEOUT_SECONDS: Final = 0.5
# How often a router tells the ends of its requests and learns the load.
PROGRESS_INTERVAL_SECONDS: Final = 0.1
# Six periods without an answer: the agent is taken as lost.
PROGRESS_TIMEOUT_SECONDS: Final = 0.6
# How often an agent tells a router what each account asked and got.
USAGE_INTERVAL_SECONDS: Final = 0.25
BID_PATH: Final = "/admission/bid"
PROGRESS_PATH: Final = "/admission/progress"
# Tokens that a running answer is taken to lack at least; a few events.
MIN_REMAINING_TOKENS: Final = 32.0
# Longest pace that is asked for, in seconds a token: an engine that only reads makes
# a token in 0.045 s, so nothing is held back beyond it.
MAX_SECONDS_PER_TOKEN: Final = 0.05
# Weight of what was seen before, at each new measurement of the pace.
SECONDS_PER_TOKEN_DECAY: Final = 0.8
# Steps of the share of reading at each report of the engine.
THROTTLE_DECREASE_FACTOR: Final = 0.9
THROTTLE_INCREASE_FACTOR: Final = 1.04
