"""Tests of the concurrency limiter."""

from unittest import TestCase

from nose2.tools import params

from pistachiolever.declarations.models import ServiceKind
from pistachiolever.sidecar.limiter import ConcurrencyLimiter


def simulate(
    limiter: ConcurrencyLimiter, capacity: int, step: float, windows: int
) -> list[int]:
    """Simulate an engine that runs `capacity` requests and queues the others."""
    limits = []
    now = 0.0
    for _ in range(windows):
        now += 0.5
        running = limiter.allowed()
        limiter.observe_running(running)
        for position in range(running):
            batches_ahead = position // capacity
            limiter.observe_first_chunk(step * 2 + batches_ahead * step * 40)
            limiter.observe_token_interval(step)
        limiter.adjust(now)
        limits.append(limiter.allowed())
    return limits


class LimiterTest(TestCase):
    """The limit settles at a full batch, also for engines with long token intervals."""

    @params((8, 0.01), (32, 0.02), (16, 0.044))
    def test_settles_near_the_capacity(self, capacity: int, step: float) -> None:
        limits = simulate(
            ConcurrencyLimiter(ServiceKind.MODEL, 256), capacity, step, 200
        )
        settled = limits[100:]
        self.assertGreaterEqual(min(settled), capacity * 0.8)
        self.assertLessEqual(max(settled), capacity * 2.5)

    @params(0.044, 0.08, 0.2)
    def test_slow_engine_without_queue_reaches_the_maximum(self, step: float) -> None:
        # A token interval at or above the target must not count as congestion if it is
        # the engine's baseline: in the relay benchmark the limit fell to 1.
        limits = simulate(ConcurrencyLimiter(ServiceKind.MODEL, 64), 1000, step, 40)
        self.assertEqual(limits[-1], 64)

    def test_slow_start_reaches_the_maximum_within_seconds(self) -> None:
        limits = simulate(ConcurrencyLimiter(ServiceKind.MODEL, 256), 1000, 0.01, 8)
        self.assertEqual(limits[-1], 256)

    def test_overload_of_a_plain_service_lowers_the_limit(self) -> None:
        limiter = ConcurrencyLimiter(ServiceKind.PLAIN, 10)
        limiter.record_overload()
        self.assertTrue(limiter.adjust(1.0))
        self.assertEqual(limiter.allowed(), 9)
