"""The price of leaving a domain rises and falls with the room in both."""

from attrs import evolve
from nose2.tools import params

from pistachiolever.admission.models import Load
from pistachiolever.spillover.const import REMOTE_DOMAIN_PENALTY_SECONDS as CONSTANT
from pistachiolever.spillover.estimate import endpoint_pressure
from pistachiolever.spillover.models import LeavingRequest, Reason
from tests.spillover.support import SETTINGS, SHORT_REQUEST, TestRouter
from tests.support.cases import CaseTest

LATENCY = SETTINGS.spillover_latency_seconds
LONG_REQUEST = LeavingRequest("models", 500_000, 1.2)


class PriceTest(CaseTest):
    """Each test prices requests under one state of the domains."""

    @params(
        ({}, 0.0),
        ({"d1": 2.0}, 0.0),
        ({"d2": 2.0}, 0.0),
        ({"d1": 0.0, "d2": 0.0}, 0.0),
        ({"d1": 0.5, "d2": 0.4}, 0.0),
        ({"d1": 2.0, "d2": 0.0}, 3.01),
    )
    def test_calm_unknown_or_stale_domains_cost_the_constant(
        self, pressure_by_domain: dict[str, float], silent_seconds: float
    ) -> None:
        """A deployment whose domains have room is served as before."""
        router = TestRouter()
        at = router.hear_for(pressure_by_domain, 0.0, 3.0)
        price = router.price(at + silent_seconds, request=LONG_REQUEST, work=0.2)
        self.assertEqual(price.seconds, CONSTANT)
        self.assertIn(price.reason, (Reason.CALM, Reason.UNKNOWN))

    # For each case: the bounds of the price of a request with few bytes.
    @params(
        ("own domain short", {"d1": 2.0, "d2": 0.0}, LATENCY, LATENCY),
        ("other domain short", {"d1": 0.0, "d2": 2.0}, CONSTANT + 0.01, 0.02),
        ("both short", {"d1": 2.0, "d2": 2.0}, CONSTANT, CONSTANT + 0.003),
        ("the other one shorter", {"d1": 0.75, "d2": 2.0}, CONSTANT + 0.005, 0.02),
        ("nearly calm", {"d1": 0.55, "d2": 0.0}, LATENCY, CONSTANT),
    )
    def test_price_follows_the_room(
        self,
        name: str,
        pressure_by_domain: dict[str, float],
        lowest: float,
        highest: float,
    ) -> None:
        router = TestRouter(router_count=1)
        at = router.hear_for(pressure_by_domain, 0.0, 3.0)
        price = router.price(at).seconds
        self.assertGreaterEqual(price, lowest, name)
        self.assertLessEqual(price, highest, name)

    # For each case: what makes the first request leave later than the second one.
    @params(
        (LONG_REQUEST, 0.01, 0.01, SHORT_REQUEST, 0.01, 0.01),
        (LONG_REQUEST, 0.1, 0.001, LONG_REQUEST, 0.1, 0.1),
        (evolve(LONG_REQUEST, target_seconds=0.0), 0.1, 0.1, LONG_REQUEST, 0.1, 0.1),
    )
    def test_who_leaves_first(
        self,
        later: LeavingRequest,
        later_work: float,
        later_home_work: float,
        first: LeavingRequest,
        first_work: float,
        first_home_work: float,
    ) -> None:
        """Many bytes, a warm prefix at home or a missed target raise the price."""
        router = TestRouter(router_count=1)
        at = router.hear_for({"d1": 2.0, "d2": 0.0}, 0.0, 3.0)
        high = router.price(at, "d2", later, later_work, later_home_work)
        low = router.price(at, "d2", first, first_work, first_home_work)
        self.assertGreater(high.seconds, low.seconds)

    def test_bytes_never_outweigh_a_warm_prefix_abroad(self) -> None:
        """A price above the prefill that it avoids would destroy reuse."""
        router = TestRouter(router_count=1)
        request = LeavingRequest("models", 12_000 * 4, 1.2)
        for pressures in ({"d1": 0.0, "d2": 2.0}, {"d1": 2.0, "d2": 0.0}):
            at = router.hear_for(pressures, 0.0, 3.0)
            warm = router.price(at, "d2", request, 0.13, 0.24).seconds
            cold = router.price(at, "d2", request, 0.24, 0.24).seconds
            self.assertLessEqual(warm, cold)
            self.assertLess(warm - 0.13, 0.24 - 0.13)

    def test_only_the_short_domain_is_expensive(self) -> None:
        """With two short domains the third one takes what leaves."""
        router = TestRouter(router_count=1)
        at = router.hear_for({"d1": 2.0, "d2": 2.0, "d3": 0.0}, 0.0, 3.0)
        self.assertLess(router.price(at, "d3").seconds, CONSTANT)
        self.assertGreater(router.price(at, "d2").seconds, CONSTANT)

    def test_domain_that_is_lost_and_returns_begins_with_the_constant(self) -> None:
        """Old shortage must not steer requests to, or from, a domain that is back."""
        router = TestRouter(router_count=1)
        at = router.hear_for({"d1": 0.0, "d2": 2.0}, 0.0, 3.0)
        self.assertGreater(router.price(at).seconds, CONSTANT)
        at = router.hear_for({"d1": 0.0}, at + 0.25, 4.0)
        self.assertEqual(router.price(at).seconds, CONSTANT)
        router.hear({"d1": 0.0, "d2": 2.0}, at + 0.25)
        self.assertEqual(router.price(at + 0.25).seconds, CONSTANT)

    @params(
        (Load(slots=10, running=4, waiting=1, speed=1000.0), 0.5),
        (Load(slots=10, unread_tokens=250.0, speed=1000.0), 1.0),
        (Load(slots=10, speed=1000.0, limit_seconds=0.125), 0.5),
        (Load(slots=10, queued_tokens=9000.0, speed=1000.0), 2.0),
        (Load(slots=0), 0.0),
    )
    def test_pressure_of_an_endpoint(self, load: Load, pressure: float) -> None:
        self.assertAlmostEqual(endpoint_pressure(load, 0.25), pressure)
