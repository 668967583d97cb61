"""Limits of admission before one endpoint; tokens, seconds and shares."""

from typing import Final

# Prompt tokens that an engine reads in a second until its own pace is seen.
FIRST_SPEED: Final = 45_000.0
# How long a run takes until some have ended.
FIRST_RUN_SECONDS: Final = 0.1
LEAST_SPEED: Final = 2_000.0
# Weight of what was seen before, at each new prompt that was read.
SPEED_DECAY: Final = 0.93
# Prompts shorter than this tell more of the fixed time than of the pace.
SPEED_SAMPLE_TOKENS: Final = 500
# Unread prompt tokens handed to an engine before the next one waits here, where the
# order can still change: a few round trips of work.
UNREAD_TOKENS: Final = 3_000
# Share of the engine's memory that is promised; the rest covers wrong estimates, as
# a full memory preempts running requests.
MEMORY_SHARE: Final = 0.9
# Seconds from the end of reading to the first part at the router.
FIRST_PART_SECONDS: Final = 0.04
# Time over which service is remembered; about the window of the shares.
SERVICE_MEMORY_SECONDS: Final = 4.0
# A token that is generated counts as much as so many that are read.
GENERATED_WEIGHT: Final = 2.0
# Expected output while no better is known: this part of the most.
OUTPUT_SHARE: Final = 0.5
# A request is refused once waiting and reading would take more than this part of its
# target: while what comes can be read, and while far more comes.
CALM_WAIT_SHARE: Final = 1.0
BUSY_WAIT_SHARE: Final = 0.5
# Demand beyond what can be read, as a part of it, at which the busy share holds.
FULL_EXCESS: Final = 0.35
# At most this part of the target is set aside for reading the own prompt, so that
# the largest prompts are not refused for their size alone.
OWN_READING_SHARE: Final = 0.25
# A request that does not fit into memory lets others pass for this part of its
# target, then holds them back.
PASS_SHARE: Final = 0.3
# Shortest time after which a refused caller should come back.
LEAST_RETRY_SECONDS: Final = 0.4
MOST_RETRY_SECONDS: Final = 4.0
# A prompt lets others of its kind pass that come within so many times its reading.
SIZE_WEIGHT: Final = 5.0
# But not longer than this part of its target, so that it is not passed for ever.
MOST_PASSED_SHARE: Final = 0.4
# Requests that wait before one endpoint; more are refused at once.
MAX_WAITING: Final = 400
# How often what waits is looked at again.
REVIEW_SECONDS: Final = 0.02
# A granted request that the engine does not list for so long has ended unseen.
LOST_RUN_SECONDS: Final = 1.0
# How often the engine beside this process is asked for its report.
REPORT_SECONDS: Final = 0.1
REPORT_CALL_SECONDS: Final = 0.5
# How often a router tells the ends of its requests and learns the load.
PROGRESS_SECONDS: Final = 0.1
PROGRESS_CALL_SECONDS: Final = 0.6
BID_PATH: Final = "/admission/bid"
PROGRESS_PATH: Final = "/admission/progress"
# Part of the time left within which a running answer should be complete.
DEADLINE_SHARE: Final = 0.75
# An answer may be so many times as long as expected: hints are right at the median.
OUTPUT_SPREAD: Final = 2.0
LEAST_REMAINING_TOKENS: Final = 32.0
# The pace follows the answers that need more speed than this part of all.
NEED_QUANTILE: Final = 0.1
MOST_PACE_SECONDS: Final = 0.05
SHORTEST_PACE_SECONDS: Final = 0.03
# Weight of what was seen before, at each new measurement of the pace.
PACE_DECAY: Final = 0.8
# Steps of the share of reading at each report of the engine.
FLOW_SHRINK: Final = 0.9
FLOW_GROWTH: Final = 1.04
LEAST_FLOW_SHARE: Final = 0.7
