"""Routers that decide on the same loads don't overload other domains."""

from itertools import pairwise

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
        size = max(1 / SLOTS, work / SETTINGS.spillover_short_wait_seconds)
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
        size = 0.2 / SETTINGS.spillover_short_wait_seconds
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

    # A closed loop: routers see loads that are old, and leave while it is cheap.
    @params(1.2, 2.0, 5.0)
    def test_pressure_of_the_other_domain_stays_within_its_spare_capacity(
        self, factor: float
    ) -> None:
        """Delayed loads made routers fill the other domain in turns."""
        routers = [TestRouter(seed) for seed in range(ROUTERS)]
        history = [(factor * 0.5, 0.2)] * 4
        work = 0.01
        size = work / SETTINGS.spillover_short_wait_seconds / ENGINES
        most = 0.0
        for step in range(80):
            now = step * 0.25
            seen_own, seen_other = history[-4]
            own, other = 0.5 * factor, 0.2
            for router in routers:
                router.hear({"d1": seen_own, "d2": seen_other}, now)
                for _ in range(4):
                    price = router.price(now, "d2", work=work, home_work=work)
                    if price.reason is Reason.SHORT:
                        router.spillover.record_departure(
                            "models", Option("d2", work, 0.0, SLOTS), price, now
                        )
                        own, other = own - size, other + size
            history.append((max(0.0, own), other))
            most = max(most, other)
        self.assertLessEqual(most, 1.0)
        tail = [other for _, other in history[-40:]]
        self.assertLessEqual(max(tail) - min(tail), 0.8)


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
