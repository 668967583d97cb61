"""The work that waiting requests cause, in emulated time."""

from anyio import current_time, run, sleep_forever
from attrs import define, evolve

from pistachiolever.admission.models import Bid, BidReply
from pistachiolever.emulator.clock import EmulatedLoop
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_attempt import RecordingSink
from tests.gateway.test_continued_streams import RefusingAdmission, make_request
from tests.gateway.test_notices import endpoints_of, make_fleet
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

DEADLINE_SECONDS = 8.0
MAX_BIDS = 8


@define
class UndecidedAdmission(RefusingAdmission):
    """An endpoint that neither grants nor refuses."""

    async def acquire(self, bid: Bid) -> BidReply:
        """Count the bid and wait."""
        self.bids.append(bid)
        await sleep_forever()
        return BidReply(False, self.load())


class WaitingRequestTest(CaseTest):
    """A waiting request asks other endpoints less and less often."""

    # It bid four times a second at one endpoint after the other, on a new connection
    # each time, so that a few hundred waiting requests used up a router's processor.
    def test_waiting_requests_used_up_the_processor_with_bids(self) -> None:
        admission = UndecidedAdmission()
        run(self.wait, admission, backend_options={"loop_factory": EmulatedLoop})
        self.assertGreaterEqual(len(admission.bids), 3)
        self.assertLessEqual(len(admission.bids), MAX_BIDS)

    # These bids took most of the processor time that it lacked.
    def test_overloaded_router_makes_no_further_bids(self) -> None:
        admission = UndecidedAdmission()
        backend_options = {"loop_factory": EmulatedLoop}
        run(self.wait, admission, True, backend_options=backend_options)
        self.assertEqual(len(admission.bids), 1)

    async def wait(
        self, admission: UndecidedAdmission, is_overloaded: bool = False
    ) -> None:
        """Process a request until its deadline."""
        fleet = make_fleet(endpoints_of(3), [0.0])
        fleet.is_overloaded = is_overloaded
        fleet.now = current_time
        fleet.table = RouteTable(CONFIGURATION)
        for handle in fleet.handle_by_id.values():
            handle._admission = admission  # type: ignore[assignment]
        now = current_time()
        request = make_request(fleet, RequestMetadata("a"))
        request = evolve(
            request,
            content_id="",
            arrived_at=now,
            target_at=now + 1.0,
            deadline_at=now + DEADLINE_SECONDS,
        )
        await RequestProcessor(fleet, HeaderFormat(), request, RecordingSink()).run()
