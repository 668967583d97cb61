"""Repeats of all routers together stay within the budget in any sliding window."""

from random import Random

from pistachiolever.gateway.budget import RetryBudget
from tests.support.cases import CaseTest

RATIO, WINDOW, SLACK, ROUTERS = 0.2, 10.0, 54.0, 4


class RetryBudgetTest(CaseTest):
    """Each router knows only its own requests."""

    def test_no_window_exceeds_the_budget(self) -> None:
        rng = Random(5)
        budgets = [RetryBudget(RATIO, WINDOW, SLACK, ROUTERS) for _ in range(ROUTERS)]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        for _ in range(20_000):
            burst = 10 if int(now) % 7 == 0 else 1
            now += rng.expovariate(100.0 * burst)
            # One router carries most; nearly every request fails and wants a repeat.
            budget = budgets[min(ROUTERS - 1, int(rng.expovariate(1.0)))]
            budget.record_request("s", now)
            requests.append(now)
            if rng.random() < 0.9 and budget.try_acquire("s", now):
                retries.append(now)
        self.assertGreater(len(retries), len(requests) * 0.1)
        for start in range(0, int(now) - int(WINDOW)):
            end = start + WINDOW
            in_window = sum(start <= at < end for at in retries)
            asked = sum(start <= at < end for at in requests)
            self.assertLessEqual(in_window, RATIO * asked + SLACK)

    def test_a_lone_router_has_all_the_slack(self) -> None:
        few = RetryBudget(RATIO, WINDOW, SLACK, 1)
        many = RetryBudget(RATIO, WINDOW, SLACK, 54)
        self.assertGreater(few.remaining("s", 1.0), 40)
        self.assertFalse(many.try_acquire("s", 1.0))
