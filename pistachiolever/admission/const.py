"""Constants of admission control."""

from typing import Final

# Prefill rate assumed until one was measured.
INITIAL_PREFILL_TOKENS_PER_SECOND: Final = 45_000.0
# Duration of a run assumed until some have ended.
INITIAL_RUN_SECONDS: Final = 0.1
# Lower limit of the estimated prefill rate, about a twentieth of the initial value, so
# that a single stall of the engine does not make its agent refuse everything.
MIN_PREFILL_TOKENS_PER_SECOND: Final = 2_000.0
# Weight that earlier samples of the prefill rate keep at each new one.
PREFILL_RATE_DECAY: Final = 0.93
# Shorter prompts are no samples: fixed overhead dominates their time to first chunk.
MIN_PREFILL_SAMPLE_TOKENS: Final = 500
# Time from the end of prefill to the first chunk at the router.
FIRST_CHUNK_SECONDS: Final = 0.04
# Time constant of the decay of recent service and demand, about as long as the window
# over which fair shares are assessed.
SERVICE_DECAY_SECONDS: Final = 4.0
# Weight of an output token in weighted tokens; a prompt token weighs 1.
OUTPUT_TOKEN_WEIGHT: Final = 2.0
# Shortest time after which a refused caller is asked to retry.
MIN_RETRY_AFTER_SECONDS: Final = 0.4
# Longest one: by then the accounts' service has decayed (SERVICE_DECAY_SECONDS).
MAX_RETRY_AFTER_SECONDS: Final = 4.0
# Queued requests of one endpoint; further ones are refused at once.
MAX_QUEUED_REQUESTS: Final = 400
# Time between two reviews of the queue.
REVIEW_INTERVAL_SECONDS: Final = 0.02
# A granted run that the engine does not list for this time counts as ended.
MISSING_RUN_TIMEOUT_SECONDS: Final = 1.0
# Time between two requests for the engine's report.
REPORT_INTERVAL_SECONDS: Final = 0.1
# A report on the same VM takes milliseconds; this is five intervals.
REPORT_TIMEOUT_SECONDS: Final = 0.5
# Starts and ends of requests are collected for this long before they are reported.
PROGRESS_BATCH_SECONDS: Final = 0.01
# Many times the round trip: an agent without a reply counts as unresponsive.
PROGRESS_TIMEOUT_SECONDS: Final = 0.6
BID_PATH: Final = "/admission/bid"
PROGRESS_PATH: Final = "/admission/progress"
# A running response is assumed to have at least this many tokens (a few events) left.
MIN_REMAINING_TOKENS: Final = 32.0
# Longest target token interval. Under continuous prefill an engine generates a token
# every 0.045 s, so a longer interval never needs throttling.
MAX_SECONDS_PER_TOKEN: Final = 0.05
# Weight that earlier samples of the token interval keep at each new one.
SECONDS_PER_TOKEN_DECAY: Final = 0.8
# Factors of the prefill fraction, applied at each report of the engine.
THROTTLE_DECREASE_FACTOR: Final = 0.9
THROTTLE_INCREASE_FACTOR: Final = 1.04
# A rate that an endpoint names counts as at least this many requests a second, so that
# it is asked again now and then.
MIN_REQUESTS_PER_SECOND: Final = 0.1
# Requests that are granted at once, if fewer came before: those of this time.
RATE_BURST_SECONDS: Final = 1.0
# Without a request for this long, a process saves no more than its part of a burst:
# callers that were refused have come back by then.
IDLE_RATE_SECONDS: Final = MAX_RETRY_AFTER_SECONDS
# After this time without a run an engine is asked whether it is cold: evacuations and
# lost domains last longer, pauses between the requests of a used engine are shorter.
COLD_IDLE_SECONDS: Final = 1.0
# The engine on the same VM usually answers in milliseconds; until then requests wait,
# rather than be refused for a rate that may not apply. A health check takes longer only
# if the engine is in trouble, and then ends after the second time.
COLD_ANSWER_SECONDS: Final = 0.1
HEALTH_TIMEOUT_SECONDS: Final = 1.0
# Shortest time between a failed health check and the next one, for services that name
# a shorter time of a start: a check has a cost.
MIN_COLD_CHECK_SECONDS: Final = 1.0
# A rate that no bid has named for this long does not apply any more. Routers apply a
# new configuration within a few seconds of each other.
COLD_NAMED_SECONDS: Final = 10.0
# Where each process may grant less than one request at once, all together save this
# many, or those of two reviews of the queue (REVIEW_INTERVAL_SECONDS). The rest of the
# burst is for the chance that many grant within the same second.
COLD_SAVED_REQUESTS: Final = 1.0
COLD_SAVED_SECONDS: Final = 0.04
