"""Reading prompts leaves running answers the pace they need."""

from pistachiolever.admission.const import MOST_PACE_SECONDS
from pistachiolever.admission.flow import ReadingFlow, RunningAnswer, needed_pace
from pistachiolever.admission.policy import AdmissionPolicy
from tests.support.cases import CaseTest

POLICY = AdmissionPolicy()


class NeededPaceTest(CaseTest):
    """The pace follows the answers that are in the greatest need."""

    def test_table(self) -> None:
        calm = RunningAnswer(100, 0, 30.0)
        hurried = RunningAnswer(400, 0, 25.0)
        self.assertEqual(needed_pace([], POLICY), MOST_PACE_SECONDS)
        self.assertEqual(needed_pace([calm], POLICY), MOST_PACE_SECONDS)
        mixed = [hurried] * 3 + [calm] * 7
        self.assertLess(needed_pace(mixed, POLICY), MOST_PACE_SECONDS)
        almost_done = RunningAnswer(400, 790, 2.0)
        self.assertGreater(
            needed_pace([almost_done], POLICY), needed_pace([hurried], POLICY)
        )


class FlowTest(CaseTest):
    """The share shrinks while tokens are slow and comes back after."""

    def drive(self, flow: ReadingFlow, events_each: int, steps: int) -> None:
        """Let four runs make so many events of six tokens in each tenth."""
        for _ in range(steps):
            self.now += 0.1
            self.events += events_each
            flow.see({str(n): self.events for n in range(4)}, 6, self.now)
            flow.adapt(0.03)

    def test_share(self) -> None:
        self.now, self.events = 1.0, 1
        flow = ReadingFlow()
        self.drive(flow, 0, 40)
        self.assertAlmostEqual(flow.share, POLICY.least_flow_share)
        self.drive(flow, 2, 120)
        self.assertGreater(flow.share, 0.9)
        self.assertLess(flow.pace, 0.01)

    def test_credit_comes_in_at_the_share(self) -> None:
        flow = ReadingFlow(share=0.5, at=1.0)
        flow.credit = 0.0
        flow.refill(10_000, 1.1)
        self.assertAlmostEqual(flow.credit, 500)
        flow.take(2500)
        flow.refill(10_000, 1.3)
        self.assertAlmostEqual(flow.credit, -1000)
