"""Reading prompts leaves running answers the pace they limit."""

from pistachiolever.admission.const import MAX_SECONDS_PER_TOKEN
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.throttle import (
    PrefillThrottle,
    RunningAnswer,
    target_seconds_per_token,
)
from tests.support.cases import CaseTest

POLICY = AdmissionPolicy()


class TargetSecondsPerTokenTest(CaseTest):
    """The pace follows the answers that are in the greatest limit."""

    def test_table(self) -> None:
        calm = RunningAnswer(100, 0, 30.0)
        hurried = RunningAnswer(400, 0, 25.0)
        self.assertEqual(target_seconds_per_token([], POLICY), MAX_SECONDS_PER_TOKEN)
        self.assertEqual(
            target_seconds_per_token([calm], POLICY), MAX_SECONDS_PER_TOKEN
        )
        mixed = [hurried] * 3 + [calm] * 7
        self.assertLess(target_seconds_per_token(mixed, POLICY), MAX_SECONDS_PER_TOKEN)
        almost_done = RunningAnswer(400, 790, 2.0)
        self.assertGreater(
            target_seconds_per_token([almost_done], POLICY),
            target_seconds_per_token([hurried], POLICY),
        )


class PrefillThrottleTest(CaseTest):
    """The share shrinks while tokens are slow and comes back after."""

    def drive(self, throttle: PrefillThrottle, events_each: int, steps: int) -> None:
        """Let four runs make so many events of six tokens in each tenth."""
        for _ in range(steps):
            self.now += 0.1
            self.events += events_each
            throttle.observe({str(n): self.events for n in range(4)}, 6, self.now)
            throttle.adjust(0.03)

    def test_share(self) -> None:
        self.now, self.events = 1.0, 1
        throttle = PrefillThrottle()
        self.drive(throttle, 0, 40)
        self.assertAlmostEqual(throttle.fraction, POLICY.least_flow_share)
        self.drive(throttle, 2, 120)
        self.assertGreater(throttle.fraction, 0.9)
        self.assertLess(throttle.seconds_per_token, 0.01)

    def test_credit_comes_in_at_the_share(self) -> None:
        throttle = PrefillThrottle(fraction=0.5, refilled_at=1.0)
        throttle.credit_tokens = 0.0
        throttle.refill(10_000, 1.1)
        self.assertAlmostEqual(throttle.credit_tokens, 500)
        throttle.consume(2500)
        throttle.refill(10_000, 1.3)
        self.assertAlmostEqual(throttle.credit_tokens, -1000)
