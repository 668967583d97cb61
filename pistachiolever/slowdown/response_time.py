"""Expected response times of plain endpoints."""

from math import pow, sqrt

from pistachiolever.slowdown.const import MAX_UTILIZATION, PLAIN_WORK_SECONDS


def plain_wait_seconds(requests: float, slots: int, slowdown: float) -> float:
    """Return the expected time of a further request beyond its usual work.

    The wait is that of a queue with `slots` servers at this utilization (Sakasegawa's
    approximation), plus that for the requests that have no slot.
    """
    slots = max(1, slots)
    utilization = min(MAX_UTILIZATION, requests / slots)
    exponent = sqrt(2.0 * (slots + 1)) - 1.0
    wait = pow(utilization, exponent) / (slots * (1.0 - utilization))
    wait += max(0, requests + 1 - slots) / slots
    return PLAIN_WORK_SECONDS * (slowdown * (1.0 + wait) - 1.0)
