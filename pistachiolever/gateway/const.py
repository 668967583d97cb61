"""Constants of the gateway; times and penalties are in seconds."""

from typing import Final

# Fraction of the retry budget that routers use. The rest is a margin, since the
# windows of the routers and of those who check the budget do not start together.
BUDGET_FRACTION: Final = 0.8
# Routers that are assumed to share the budget until the registry reports a number.
INITIAL_ROUTER_COUNT: Final = 8
# Of the numbers of routers that were told within this time the highest one counts.
ROUTER_COUNT_SECONDS: Final = 10.0
# Time constant of the decay of an endpoint's successes and failures.
HEALTH_DECAY_SECONDS: Final = 4.0
# Penalty of an endpoint on which every request fails.
FAILURE_PENALTY_SECONDS: Final = 3.0
# Ejection of an unreachable endpoint: the first one, and the limit of its doubling.
INITIAL_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_SECONDS: Final = 8.0
# An engine is assumed to keep a prompt part in its cache for this time after its use.
PREFIX_AFFINITY_SECONDS: Final = 15.0
MAX_PREFIX_AFFINITIES: Final = 20_000
# Penalty of an endpoint without a free slot, or without memory for the prompt.
FULL_PENALTY_SECONDS: Final = 0.3
# Penalty of a plain endpoint with all slots in use; proportional below that.
BUSY_PENALTY_SECONDS: Final = 0.2
# Costs that differ by less are equal: loads are told only when the wait has changed by
# this much (CHANGED_WAIT_SECONDS).
NEARLY_EQUAL_SECONDS: Final = 0.02
# Penalty of an endpoint that is still warming up.
COLD_PENALTY_SECONDS: Final = 0.05
# A retryable request without a first chunk is retried elsewhere once its target has
# passed by this fraction of the target.
RESPONSE_TIMEOUT_TARGET_FRACTION: Final = 0.6
# It is not retried before this time plus the next factor times the expected prefill.
MIN_RESPONSE_TIMEOUT_SECONDS: Final = 0.8
PREFILL_TIMEOUT_FACTOR: Final = 3.0
# Shortest pause between events after which a resumable stream is resumed elsewhere.
MIN_STREAM_TIMEOUT_SECONDS: Final = 1.2
# Time between two checks of a stream that pauses for longer and can't be resumed.
STALL_CHECK_SECONDS: Final = 0.2
# Pause after no other endpoint took over a stalled response.
TAKE_OVER_RETRY_SECONDS: Final = 1.0
# With less time left until its deadline, a request is not sent any more.
MIN_ATTEMPT_SECONDS: Final = 0.03
# An ending process closes its connections some moments before its listener.
CRASH_CHECK_DELAY_SECONDS: Final = 0.005
# Time to connect to an endpoint that broke off a run, and time for which the connection
# may be used if the endpoint is there.
CRASH_CHECK_SECONDS: Final = 0.3
CRASH_CHECK_KEEP_ALIVE_SECONDS: Final = 1.0
# The start time that an endpoint has told is used for this time: no endpoint restarts
# within it.
INCARNATION_CHECK_SECONDS: Final = 0.5
# Reason of a refusal: no endpoint granted the request.
NO_ROOM: Final = "no-room"
# Reason of a refused bid: the rate that the endpoint named allows no more requests.
RATE_LIMITED: Final = "limited"
# Reason of a refusal: endpoints crashed under this request, or a part of its prompt.
QUARANTINED: Final = "quarantined"
# Reasons of refusals of a stream that its caller resumes: no endpoint of its version
# is left, or nobody knows its version.
VERSION_GONE: Final = "version-gone"
VERSION_UNKNOWN: Final = "version-unknown"
# Reason of a failed attempt: too few members could record the start of the stream.
UNRECORDED: Final = "unrecorded"
# Reason of a refused bid: the endpoint may have restarted, with another version.
INCARNATION_UNKNOWN: Final = "incarnation-unknown"
# The rest of a stream may wait this many times the target of its route. So often it is
# not limited by its account's share, at one router.
CONTINUED_TARGET_FACTOR: Final = 2.0
MAX_PREFERRED_RESUMPTIONS: Final = 3
# Bytes of the digest that identifies the content of a request.
CONTENT_DIGEST_BYTES: Final = 8
# Incarnations whose notices are remembered.
MAX_NOTICES: Final = 20_000
# Time that a leaving endpoint serves on unless the settings name one.
DEFAULT_DRAIN_SECONDS: Final = 2.0
# Part of the drain time within which a draining endpoint gets streams of its version.
DRAINING_USE_FRACTION: Final = 0.5
# Time for which a computed fair share is reused.
SHARE_REFRESH_SECONDS: Final = 0.05
# Responses of plain services up to this size are received completely before they are
# forwarded, so that a broken response can be replaced by one of another attempt.
MAX_BUFFERED_RESPONSE_BYTES: Final = 262_144
# Idle connections are closed this long before the endpoint would close them, since
# it announces its timeout in whole seconds.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.5
# Keep-alive time without an announced timeout; shorter than servers commonly have.
DEFAULT_KEEP_ALIVE_SECONDS: Final = 2.0
MAX_KEEP_ALIVE_SECONDS: Final = 30.0
# Callers honour a Retry-After of up to this fraction of their remaining time.
RETRY_AFTER_FRACTION: Final = 0.32
# Retry-After if no endpoint named a time: about the time to discover a new endpoint.
DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0
# Retry-After before a configuration is known; a new router gets one within this time.
STARTUP_RETRY_AFTER_SECONDS: Final = 0.5
# Time without calls to an agent after it failed to reply, and the limit of its
# doubling.
AGENT_RETRY_SECONDS: Final = 0.5
MAX_AGENT_RETRY_SECONDS: Final = 2.0
# Starts, and ends, of requests that are kept for an unresponsive agent.
MAX_UNREPORTED_RUNS: Final = 1000
# An agent replies within the target; after this additional time it is unresponsive.
BID_TIMEOUT_MARGIN_SECONDS: Final = 0.5
# A bid takes about so many turns of the event loop: to connect, to send and to read.
BID_TURNS: Final = 10
# Idle connections kept for each endpoint: as many as an engine has slots.
MAX_IDLE_ENDPOINT_CONNECTIONS: Final = 64
# Interval at which a draining router checks for open connections.
DRAIN_POLL_SECONDS: Final = 0.05
# A load balancer removes a router after two more readiness checks.
BALANCER_REMOVAL_SECONDS: Final = 2.6
# Reserved at the end of the grace period, to exit before being killed.
GRACE_MARGIN_SECONDS: Final = 0.3
# A router without any endpoint reports ready only after this time from its start.
ENDPOINT_DISCOVERY_SECONDS: Final = 1.5
# An event, or what an endpoint sends in place of one, is broken off at this size.
MAX_EVENT_BYTES: Final = 1024 * 1024
# Many small chunks cost far more time than their bytes suggest: so many parts, each of
# which may join several chunks, are the limit for one event, and for a response of a
# plain service.
MAX_EVENT_PARTS: Final = 1024
MAX_RESPONSE_PARTS: Final = 2048
# A whole response is broken off at this size.
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
# Responses to other requests that are skipped before the own one.
MAX_FOREIGN_RESPONSES: Final = 2
# Parts of the descriptors for callers and for endpoints; peers, readiness checks,
# metrics and files use the rest.
CALLER_CONNECTION_FRACTION: Final = 0.6
ENDPOINT_CONNECTION_FRACTION: Final = 0.3
DEFAULT_MAX_DESCRIPTORS: Final = 4_000
# A draining router sends a request to a plain service if so much time is left for the
# response, so many times the target of its route, and so many times the longest recent
# response. Recent ones are those of this interval and the one before.
PLAIN_RESPONSE_SECONDS: Final = 0.5
RESPONSE_TARGETS: Final = 2.0
RESPONSE_TIME_MARGIN: Final = 1.5
RESPONSE_TIME_SECONDS: Final = 10.0
# Reason of a refusal: the router stops before it could finish the request.
DRAINING: Final = "draining"
# Time for the last requests on accepted connections before the process ends.
LAST_REQUESTS_SECONDS: Final = 0.2
# Hexadecimal digits that tell the bids of one life of a router from all others.
BID_PREFIX_DIGITS: Final = 16
# Endpoints that are considered for a request: the homes of its shared part, and as many
# free and random ones. Together they are all endpoints of a small service.
HOMES: Final = 3
FREE_SAMPLES: Final = 6
RANDOM_SAMPLES: Final = 12
MAX_CACHED_HOMES: Final = 20_000
# Endpoints at which a router remembers to have used a shared part.
MAX_PART_ENDPOINTS: Final = 4
# Without news of an engine's load by others, it decays with this time constant.
OTHERS_DECAY_SECONDS: Final = 1.0
# What an endpoint told of its load is used for so long.
MAX_OTHERS_SECONDS: Final = 3.0
# Longest time without a call to an agent that has never replied.
MAX_ABSENT_AGENT_RETRY_SECONDS: Final = 30.0
# Interval at which the delay of the event loop is measured, and the weight of a sample.
DELAY_SAMPLE_SECONDS: Final = 0.05
DELAY_SAMPLE_WEIGHT: Final = 0.2
# Smoothed delays: from the first on a router sends callers to others, from the second
# on it refuses new requests, below the last it takes callers again.
BUSY_DELAY_SECONDS: Final = 0.06
SHED_DELAY_SECONDS: Final = 0.2
CALM_DELAY_SECONDS: Final = 0.02
# Shortest time for which a router sends callers to others: a load balancer needs two
# checks to notice.
MIN_BUSY_SECONDS: Final = 3.0
# Interval at which an overloaded router logs what it does.
WORK_REPORT_SECONDS: Final = 1.0
# Retry-After of a router that has no processor time; other routers may have.
OVERLOAD_RETRY_AFTER_SECONDS: Final = 0.1
# Delay of the event loop above which a router takes fewer requests at a time.
INTAKE_DELAY_SECONDS: Final = 0.04
# The limit of concurrent requests falls to this fraction at most, and at least to the
# second one, in one sample; otherwise it rises by the third, faster while it is used to
# the last.
INTAKE_DECREASE: Final = 0.5
MIN_INTAKE_DECREASE: Final = 0.9
INTAKE_INCREASE: Final = 0.02
INTAKE_RECOVERY: Final = 0.8
# Fraction of the limit from which new connections are looked at before they are set up.
INTAKE_NEAR: Final = 0.5
MIN_INTAKE: Final = 8.0
MAX_INTAKE: Final = 4_000.0
# In any second a cold engine may get its rate times the first and as many requests more
# as the second says, from all routers together; above that it may crash.
DEFAULT_COLD_OVERAGE: Final = 1.5
DEFAULT_COLD_SLACK: Final = 5.0
# Part of the rate of a cold engine that routers use if its agent does not respond,
# however small the overage is: the engine would otherwise get nothing.
MIN_AGENTLESS_FRACTION: Final = 0.25
