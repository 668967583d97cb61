"""Returns are planned only where the settings or uneven engines call for it."""

from attrs import evolve
from nose2.tools import params

from pistachiolever.gateway.bidding import Bidding
from pistachiolever.gateway.failures import FailureResponder
from pistachiolever.gateway.models import RequestMetadata
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_attempt import RecordingSink
from tests.gateway.test_continued_streams import make_request
from tests.gateway.test_notices import endpoints_of, make_fleet
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

USUAL_RATE, SLOW_RATE = 50_000.0, 20_000.0


class PlannedReturnsTest(CaseTest):
    """Callers of other deployments come back when the agents say."""

    # A deployment that asks for none of it would get other times than before.
    @params((False, False, False), (True, False, True), (False, True, True))
    def test_returns_are_planned(
        self, is_set: bool, is_uneven: bool, expected: bool
    ) -> None:
        fleet = make_fleet(endpoints_of(8), [100.0])
        fleet.table = RouteTable(CONFIGURATION)
        fleet.settings = evolve(fleet.settings, plans_returns=is_set)
        for number, endpoint_id in enumerate(sorted(fleet.handle_by_id)):
            is_slow = is_uneven and number % 2 == 0
            rate = SLOW_RATE if is_slow else USUAL_RATE
            fleet.index("s").classes.update_rate(endpoint_id, rate)
        fleet.index("s").classes.review(100.0)
        request = make_request(fleet, RequestMetadata("a"))
        bidding = Bidding(fleet, request)
        responder = FailureResponder(fleet, request, RecordingSink(), bidding)
        self.assertEqual(responder._plans_returns(), expected)
