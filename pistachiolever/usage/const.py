"""Constants of the fleet-wide sums of usage and loads; times are in seconds."""

from typing import Final

# Shortest time between two reports of an agent. Every stage of the way to a router
# takes up to as long, so that a router's sums are at most three times as old.
REPORT_SECONDS: Final = 0.25
# An agent without news reports at least this often.
IDLE_REPORT_SECONDS: Final = 2.0
# Time between two publications of a member, to the other members and to routers.
PUBLISH_SECONDS: Final = 0.25
# A member sends the others a digest at least this often.
IDLE_DIGEST_SECONDS: Final = 2.0
DIGEST_TIMEOUT_SECONDS: Final = 0.5
REPORT_TIMEOUT_SECONDS: Final = 0.6
# An agent that has not reported to a member for this long is forgotten there.
AGENT_EXPIRY_SECONDS: Final = 6.0
# For this long after an agent's first report a member tells the others that it has it.
ATTACHED_SECONDS: Final = 5.0
# A router that no member has heard of for this long is not counted. It is long, since
# a router that is only out of touch still uses its part of what routers share.
ROUTER_EXPIRY_SECONDS: Final = 60.0
# Time after which a member tells the others again of a router.
ROUTER_REPEAT_SECONDS: Final = 20.0
# A router that has not heard of the sums for this long uses what it knows itself.
STALE_SECONDS: Final = 2.5
# Time from a grant until the sums at its router include it: the age of the sums and
# the time on the network.
UNSEEN_SECONDS: Final = 0.8
# A load is reported when the expected wait has changed by more than this,
CHANGED_WAIT_SECONDS: Final = 0.02
# or the running requests by more than this fraction of the slots,
CHANGED_SLOT_FRACTION: Final = 0.125
# or the slowdown by more than this: a fifth of the usual step to 2.5,
CHANGED_SLOWDOWN: Final = 0.3
# or the free memory by more than this fraction.
CHANGED_MEMORY_FRACTION: Final = 0.1
# Decayed amounts below this many weighted tokens are forgotten.
MIN_AMOUNT: Final = 1.0
# Time between two searches for what can be forgotten.
EXPIRY_CHECK_SECONDS: Final = 2.0
# A decayed amount is kept for so many states, so that peers and routers learn of it.
KEPT_STATES: Final = 40
# A load that was not reported again for this long belongs to an agent that is gone.
LOAD_EXPIRY_SECONDS: Final = 60.0
# Loads in one message to a router. It looks at few endpoints for each request, and the
# number of endpoints must not determine what each router receives.
MAX_UPDATE_LOADS: Final = 64
