"""Prefill is throttled so that running responses get the token interval they need."""

from pistachiolever.admission.const import MAX_SECONDS_PER_TOKEN
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.throttle import (
    PrefillThrottle,
    RunningResponse,
    target_seconds_per_token,
)
from tests.support.cases import CaseTest

POLICY = AdmissionPolicy()


class TargetSecondsPerTokenTest(CaseTest):
    """The target follows the responses that need the shortest interval."""

    def test_table(self) -> None:
        calm = RunningResponse(100, 0, 30.0)
        hurried = RunningResponse(400, 0, 25.0)
        self.assertEqual(target_seconds_per_token([], POLICY), MAX_SECONDS_PER_TOKEN)
        self.assertEqual(
            target_seconds_per_token([calm], POLICY), MAX_SECONDS_PER_TOKEN
        )
        mixed = [hurried] * 3 + [calm] * 7
        self.assertLess(target_seconds_per_token(mixed, POLICY), MAX_SECONDS_PER_TOKEN)
        almost_done = RunningResponse(400, 790, 2.0)
        self.assertGreater(
            target_seconds_per_token([almost_done], POLICY),
            target_seconds_per_token([hurried], POLICY),
        )


class PrefillThrottleTest(CaseTest):
    """The prefill fraction falls while tokens are slow and recovers afterwards."""

    def drive(self, throttle: PrefillThrottle, events_each: int, steps: int) -> None:
        """Report four runs that each generate `events_each` events in every 0.1 s.

        An event holds six tokens.
        """
        for _ in range(steps):
            self.now += 0.1
            self.events += events_each
            throttle.observe({str(n): self.events for n in range(4)}, 6, self.now)
            throttle.adjust(0.03)

    def test_fraction_follows_token_interval(self) -> None:
        self.now, self.events = 1.0, 1
        throttle = PrefillThrottle()
        self.drive(throttle, 0, 40)
        self.assertAlmostEqual(throttle.fraction, POLICY.least_flow_share)
        self.drive(throttle, 2, 120)
        self.assertGreater(throttle.fraction, 0.9)
        self.assertLess(throttle.seconds_per_token, 0.01)

    def test_credit_refills_at_the_prefill_fraction(self) -> None:
        throttle = PrefillThrottle(fraction=0.5, refilled_at=1.0)
        throttle.credit_tokens = 0.0
        throttle.refill(10_000, 1.1)
        self.assertAlmostEqual(throttle.credit_tokens, 500)
        throttle.consume(2500)
        throttle.refill(10_000, 1.3)
        self.assertAlmostEqual(throttle.credit_tokens, -1000)
