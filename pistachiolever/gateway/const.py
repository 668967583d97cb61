"""Times and weights of the pass-through router; times are in seconds."""

from typing import Final

# Repeats a router may make count only this part of the budget, since the windows of
# the routers and of those who count do not start together.
BUDGET_FRACTION: Final = 0.8
# Routers assumed to share the budget until the registry tells.
INITIAL_ROUTER_COUNT: Final = 8
# Memory of an endpoint's outcomes.
HEALTH_DECAY_SECONDS: Final = 4.0
# What an endpoint whose requests all fail is set behind others in the choice.
FAILURE_PENALTY_SECONDS: Final = 3.0
# An endpoint that can't be reached is left alone, longer each time.
INITIAL_EJECTION_SECONDS: Final = 0.5
MAX_EJECTION_SECONDS: Final = 8.0
# A part is taken as kept by an engine for so long after its last use there.
PREFIX_AFFINITY_SECONDS: Final = 15.0
MAX_PREFIX_AFFINITIES: Final = 20_000
# What a full endpoint is set behind others.
FULL_PENALTY_SECONDS: Final = 0.3
# What a fully busy plain endpoint is set behind an idle one.
BUSY_PENALTY_SECONDS: Final = 0.2
# What another failure domain is set behind the own one: about a round trip.
REMOTE_DOMAIN_PENALTY_SECONDS: Final = 0.004
# What an endpoint that still warms up is set behind others.
COLD_PENALTY_SECONDS: Final = 0.05
# A repeatable request without a first part is sent again elsewhere after its target
# and this part of it.
RESPONSE_TIMEOUT_TARGET_FRACTION: Final = 0.6
MIN_RESPONSE_TIMEOUT_SECONDS: Final = 0.8
# Reading may take so many times as long as expected before that is called silence.
PREFILL_TIMEOUT_FACTOR: Final = 3.0
# A repeatable stream that falls silent between events is resumed elsewhere.
MIN_STREAM_TIMEOUT_SECONDS: Final = 1.2
# Least time left with which a request is worth sending.
MIN_ATTEMPT_SECONDS: Final = 0.03
# The shares of accounts are computed anew after this.
SHARE_REFRESH_SECONDS: Final = 0.05
# Answers of plain services up to this size are whole before they are passed on.
MAX_BUFFERED_RESPONSE_BYTES: Final = 262_144
# Engines close idle connections after a time they tell in whole seconds.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.5
# Where no time is told; shorter than the idle times that servers commonly have.
DEFAULT_KEEP_ALIVE_SECONDS: Final = 2.0
MAX_KEEP_ALIVE_SECONDS: Final = 30.0
# Share of a caller's remaining time after which it no longer honours Retry-After.
RETRY_AFTER_FRACTION: Final = 0.32
# Told where no endpoint said when it is free: about the time to find a new one.
DEFAULT_RETRY_AFTER_SECONDS: Final = 1.0
# A router that started learns its configuration within about this.
STARTUP_RETRY_AFTER_SECONDS: Final = 0.5
# An agent that did not answer is asked again after this.
AGENT_RETRY_SECONDS: Final = 0.5
# Starts and ends that are kept for an agent that does not answer.
MAX_UNREPORTED_RUNS: Final = 1000
# An agent decides within the target; later than this beyond it, it is lost.
BID_TIMEOUT_MARGIN_SECONDS: Final = 0.5
# Idle connections kept to one endpoint: as many as an engine has slots.
MAX_IDLE_ENDPOINT_CONNECTIONS: Final = 64
# How often a draining router looks whether it is done.
DRAIN_POLL_SECONDS: Final = 0.05
# After the order to stop, the balancer asks twice more before it looks elsewhere.
BALANCER_REMOVAL_SECONDS: Final = 2.6
# Set aside at the end of the grace period, to end before being killed.
GRACE_MARGIN_SECONDS: Final = 0.3
# A router without any endpoint is not ready until so long after its start.
ENDPOINT_DISCOVERY_SECONDS: Final = 1.5
