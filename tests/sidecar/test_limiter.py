"""The concurrency limit follows the endpoint."""

from unittest import TestCase

from nose2.tools import params

from pistachiolever.declarations.models import ServiceKind
from pistachiolever.sidecar.limiter import ConcurrencyLimiter


def drive(
    limiter: ConcurrencyLimiter, capacity: int, step: float, windows: int
) -> list[int]:
    """Play an engine that serves `capacity` together and queues the rest."""
    limits = []
    now = 0.0
    for _ in range(windows):
        now += 0.5
        running = limiter.allowed()
        limiter.see_running(running)
        for place in range(running):
            rounds = place // capacity
            limiter.see_first_part(step * 2 + rounds * step * 40)
            limiter.see_gap(step)
        limiter.adjust(now)
        limits.append(limiter.allowed())
    return limits


class LimiterTest(TestCase):
    """Full batch, near-empty queue; slow by nature is not slow by load."""

    @params((8, 0.01), (32, 0.02), (16, 0.044))
    def test_settles_near_the_capacity(self, capacity: int, step: float) -> None:
        limits = drive(ConcurrencyLimiter(ServiceKind.MODEL, 256), capacity, step, 200)
        settled = limits[100:]
        self.assertGreaterEqual(min(settled), capacity * 0.8)
        self.assertLessEqual(max(settled), capacity * 2.5)

    @params(0.044, 0.08, 0.2)
    def test_engine_slow_by_nature_keeps_its_limit(self, step: float) -> None:
        # Found by the relay benchmark: an engine at the target pace fell to one.
        limits = drive(ConcurrencyLimiter(ServiceKind.MODEL, 64), 1000, step, 40)
        self.assertEqual(limits[-1], 64)

    def test_ramps_up_within_seconds(self) -> None:
        limits = drive(ConcurrencyLimiter(ServiceKind.MODEL, 256), 1000, 0.01, 8)
        self.assertEqual(limits[-1], 256)

    def test_overload_of_a_plain_service_lowers_it(self) -> None:
        limiter = ConcurrencyLimiter(ServiceKind.PLAIN, 10)
        limiter.see_overload()
        self.assertTrue(limiter.adjust(1.0))
        self.assertEqual(limiter.allowed(), 9)
