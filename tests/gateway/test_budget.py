"""Retries of all routers stay within the fleet's budget in any sliding window."""

from random import Random

from pistachiolever.gateway.budget import RetryBudget
from tests.gateway.test_notices import make_fleet
from tests.support.cases import CaseTest

RATIO, WINDOW, SLACK, ROUTERS = 0.2, 10.0, 54.0, 4


class RetryBudgetTest(CaseTest):
    """Each router only knows its own requests."""

    def test_no_window_exceeds_the_budget(self) -> None:
        rng = Random(5)
        budgets = [RetryBudget(RATIO, WINDOW, SLACK, ROUTERS) for _ in range(ROUTERS)]
        requests: list[float] = []
        retries: list[float] = []
        now = 0.0
        for _ in range(20_000):
            burst = 10 if int(now) % 7 == 0 else 1
            now += rng.expovariate(100.0 * burst)
            # Load is uneven between routers; nearly every request asks for a retry.
            budget = budgets[min(ROUTERS - 1, int(rng.expovariate(1.0)))]
            budget.record_request("s", now)
            requests.append(now)
            if rng.random() < 0.9 and budget.try_acquire("s", now):
                retries.append(now)
        self.assertGreater(len(retries), len(requests) * 0.1)
        for start in range(0, int(now) - int(WINDOW)):
            end = start + WINDOW
            retries_in_window = sum(start <= at < end for at in retries)
            requests_in_window = sum(start <= at < end for at in requests)
            self.assertLessEqual(retries_in_window, RATIO * requests_in_window + SLACK)

    def test_lone_router_gets_all_the_slack(self) -> None:
        lone = RetryBudget(RATIO, WINDOW, SLACK, 1)
        one_of_many = RetryBudget(RATIO, WINDOW, SLACK, 54)
        self.assertGreater(lone.remaining("s", 1.0), 40)
        self.assertFalse(one_of_many.try_acquire("s", 1.0))


class RouterCountTest(CaseTest):
    """The number of routers, as members of the registry tell it."""

    # A restarted member that knew one router let it use the whole fleet's slack.
    def test_member_that_has_just_started_does_not_raise_the_budget(self) -> None:
        clock = [100.0]
        fleet = make_fleet([], clock)
        fleet.update_router_count(68)
        before = fleet.budget.remaining("s", clock[0])
        clock[0] += 1.0
        fleet.update_router_count(1)
        self.assertEqual(fleet.budget.remaining("s", clock[0]), before)
        clock[0] += 60.0
        fleet.update_router_count(40)
        self.assertGreater(fleet.budget.remaining("s", clock[0]), before)
