"""Hypothesis settings of all property tests; derandomized to be reproducible."""

from hypothesis import HealthCheck, settings

STATEFUL = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
MANY = settings(
    max_examples=10_000,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CHEAP_STATEFUL = settings(STATEFUL, max_examples=400, stateful_step_count=60)
