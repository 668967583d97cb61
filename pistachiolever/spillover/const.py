"""Constants of spillover; times are in seconds, pressures are fractions."""

from typing import Final

# Price of another failure domain while nothing is short or known: about one round trip.
REMOTE_DOMAIN_PENALTY_SECONDS: Final = 0.004
# Round trip between two domains; one way takes 0.9 to 1.4 ms.
DEFAULT_LATENCY_SECONDS: Final = 0.0024
# Price of moving a megabyte between domains. A prompt of 12,000 tokens (about 48 KB)
# costs as much as two round trips, far less than to prefill it again (0.2 s).
DEFAULT_SECONDS_PER_MEGABYTE: Final = 0.1
# Expected wait at which an endpoint has no room left: half of the shortest target of
# streams (0.5 s), since a request's own prefill takes the other half.
DEFAULT_SHORT_WAIT_SECONDS: Final = 0.25
# Loads that are older say nothing: an endpoint in touch reports at least every 2 s,
# and a report takes up to 0.75 s to arrive.
MAX_LOAD_AGE_SECONDS: Final = 3.0
# A domain up to the first mean pressure of its endpoints has room, at the second one
# it is short. At the first one a caller waits for a quarter of its target.
CALM_PRESSURE: Final = 0.5
SHORT_PRESSURE: Final = 1.0
# Limit of the pressure of one endpoint, so that a few endpoints don't decide on many.
MAX_ENDPOINT_PRESSURE: Final = 2.0
# Shortage (0 to 1) changes by at most so much per second: a full swing takes longer
# than a router's view is old (0.75 s), so that routers see the effect of a change.
MAX_CHANGE_PER_SECOND: Final = 1.0
# A domain begins and stops being short at these shortages. Between them lies at least
# 0.6 s at the limit of change, so a single late report causes no event.
SHORT_BEGINS: Final = 0.8
SHORT_ENDS: Final = 0.2
# Time between two estimates; reports arrive as often.
ESTIMATE_SECONDS: Final = 0.25
# Time until the loads show what routers have sent: the age of a router's view.
VIEW_SECONDS: Final = 0.8
# Fraction of the spare capacity that routers use in one period of VIEW_SECONDS. Any
# interval of that length touches at most two periods of each router.
PERIOD_FRACTION: Final = 0.5
BYTES_PER_MEGABYTE: Final = 1_000_000
# Bytes of an event on the wire, and of a prompt token in a body of unknown size.
EVENT_BYTES: Final = 200
TOKEN_BYTES: Final = 4
