"""Routers that decide on the same loads don't overload other domains."""

from itertools import pairwise
from random import Random

from nose2.tools import params

from pistachiolever.spillover.const import (
    MAX_CHANGE_PER_SECOND,
    REMOTE_DOMAIN_PENALTY_SECONDS as CONSTANT,
    VIEW_SECONDS,
)
from pistachiolever.spillover.models import LeavingRequest, Option, Reason
from tests.spillover.support import ENGINES, SETTINGS, SLOTS, TestRouter
from tests.support.cases import CaseTest

ROUTERS = 26
SHORT = {"d1": 2.0, "d2": 0.0}
# Work that an idle engine has room for.
SPARE_SECONDS = SETTINGS.spillover_short_wait_seconds
# A request of 2,000 uncached tokens.
WORK_SECONDS = 0.04
STEP_SECONDS = 0.05
# Error of adding up some hundred sizes.
ROUNDING = 1e-9


class DampingTest(CaseTest):
    """All routers decide at once on the same loads."""

    @params((0.0, 0.002), (0.0, 0.04), (0.4, 0.01), (0.8, 0.01), (0.8, 0.05))
    def test_all_routers_together_send_no_more_than_the_spare_capacity(
        self, pressure: float, work: float
    ) -> None:
        """Each of them alone could fill the other domain; none sees the others."""
        routers = [TestRouter(seed) for seed in range(ROUTERS)]
        size = max(1 / SLOTS, work / SPARE_SECONDS)
        spare = ENGINES * (1.0 - pressure)
        sent = 0.0
        for router in routers:
            at = router.hear_for({"d1": 2.0, "d2": pressure}, 0.0, 3.0)
            request = LeavingRequest("models", 1000, 10.0)
            for step in range(200):
                now = at + step * VIEW_SECONDS / 200
                price = router.price(now, "d2", request, work, work)
                router.spillover.record_departure(
                    "models", Option("d2", work, 0.0, SLOTS), price, now
                )
                sent += size * (price.reason is Reason.SHORT)
        self.assertGreater(sent, 0.0)
        self.assertLessEqual(sent, spare + ROUNDING)

    def test_large_requests_leave_at_a_few_random_routers(self) -> None:
        """A part below one request must not let every router send one."""
        sent = 0
        for seed in range(ROUTERS):
            router = TestRouter(seed)
            at = router.hear_for({"d1": 2.0, "d2": 0.5}, 0.0, 3.0)
            request = LeavingRequest("models", 1000, 10.0)
            price = router.price(at, "d2", request, 0.2, 0.2)
            sent += price.reason is Reason.SHORT
        size = 0.2 / SPARE_SECONDS
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent * size, ENGINES * 0.5)

    def test_price_changes_at_a_limited_rate(self) -> None:
        """A domain that returns, or a burst, must not turn all routers at once."""
        router = TestRouter(router_count=1)
        at = router.hear_for({"d1": 0.0, "d2": 0.0}, 0.0, 1.0)
        prices = []
        for step in range(12):
            now = at + step * 0.25
            router.hear(SHORT if step < 6 else {"d1": 0.0, "d2": 0.0}, now)
            prices.append(router.price(now).seconds)
        swing = CONSTANT - SETTINGS.spillover_latency_seconds
        step_limit = MAX_CHANGE_PER_SECOND * 0.25 * swing + 1e-9
        changes = [abs(after - before) for before, after in pairwise(prices)]
        self.assertLessEqual(max(changes), step_limit)
        self.assertLess(min(prices), CONSTANT)
        self.assertEqual(prices[-1], CONSTANT)

    # For each case: demands of the short and of the other domain, as multiples of their
    # capacities.
    @params((1.2, 0.3), (2.0, 0.3), (5.0, 0.3), (2.0, 0.6), (5.0, 0.6), (5.0, 0.9))
    def test_wait_in_the_other_domain_stays_short(
        self, demand: float, other_demand: float
    ) -> None:
        """Routers that see loads 0.8 s late filled another domain in turns."""
        waits, left_seconds = self.simulate(demand, other_demand)
        self.assertGreater(left_seconds, 0.0)
        self.assertLessEqual(max(waits), SPARE_SECONDS)

    def simulate(self, demand: float, other_demand: float) -> tuple[list[float], float]:
        """Return the waits in the other domain, and the work that left, in seconds.

        All routers are in the short domain; only what leaves as SHORT moves.
        """
        left_seconds = 0.0
        routers = [TestRouter(seed) for seed in range(ROUTERS)]
        rng = Random(1)
        own, other, due, waits = 0.0, 0.0, 0.0, [0.0]
        history = [(0.0, 0.0)] * (round(VIEW_SECONDS / STEP_SECONDS) + 1)
        for step in range(round(8.0 / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if step % round(0.25 / STEP_SECONDS) == 0:
                seen = dict(zip(("d1", "d2"), history[0], strict=True))
                for router in routers:
                    router.hear(seen, now)
            due += demand * ENGINES * STEP_SECONDS / WORK_SECONDS
            while due >= 1.0:
                due -= 1.0
                router = rng.choice(routers)
                if self.leaves(router, now):
                    left_seconds += WORK_SECONDS
                    other += WORK_SECONDS / ENGINES
                else:
                    own += WORK_SECONDS / ENGINES
            own = min(1.0, max(0.0, own - STEP_SECONDS))
            other = max(0.0, other - (1 - other_demand) * STEP_SECONDS)
            limit = SETTINGS.spillover_short_wait_seconds
            history = [*history[1:], (own / limit, other / limit)]
            waits.append(other)
        return waits, left_seconds

    def leaves(self, router: TestRouter, now: float) -> bool:
        """Return whether a request leaves as the own domain is short."""
        work = WORK_SECONDS
        price = router.price(now, work=work, home_work=work)
        router.spillover.record_departure(
            "models", Option("d2", work, 0.0, SLOTS), price, now
        )
        return price.reason is Reason.SHORT


class EventsTest(CaseTest):
    """Changes are told once each."""

    def test_shortage_begins_and_ends_once(self) -> None:
        router = TestRouter()
        at = router.hear_for({"d1": 2.0, "d2": 0.0}, 0.0, 3.0)
        at = router.hear_for({"d1": 0.7, "d2": 0.0}, at, 3.0)
        router.hear_for({"d1": 0.2, "d2": 0.0}, at, 3.0)
        told = [(change.domain, change.is_short) for change in router.changes.changes]
        self.assertEqual(told, [("d1", True), ("d1", False)])

    def test_shortage_ends_with_a_domain_that_is_no_longer_heard_of(self) -> None:
        """A lost domain would count as short for ever."""
        router = TestRouter()
        at = router.hear_for({"d1": 2.0, "d2": 0.0}, 0.0, 3.0)
        router.hear_for({"d2": 0.0}, at + 0.25, 4.0)
        told = [change.is_short for change in router.changes.changes]
        self.assertEqual(told, [True, False])
