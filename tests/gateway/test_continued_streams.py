"""Which bids the rest of a stream gets, compared with a new one."""

from typing import Any

from anyio import create_task_group, run
from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.admission.models import Bid, BidReply, Load
from pistachiolever.gateway.attempt import Attempt
from pistachiolever.gateway.bidding import Bidding
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.gateway.stream_origins import StreamOrigins
from pistachiolever.http1.models import RequestHead
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.stream_lookup import StreamLookup
from pistachiolever.routing.models import (
    EngineCapacity,
    ProxyService,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable
from pistachiolever.streams.models import StreamOrigin, stream_key
from tests.gateway.test_attempt import RecordingSink
from tests.gateway.test_notices import endpoints_of, make_fleet
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

NOW = 100.0
ENDPOINTS = 4
TOKENS_PER_SECOND = 1000.0
ACCOUNT = "one"


@define
class RefusingAdmission:
    """An endpoint that refuses all bids and remembers them."""

    bids: list[Bid] = field(factory=list)

    async def acquire(self, bid: Bid) -> BidReply:
        """Refuse the bid."""
        self.bids.append(bid)
        return BidReply(False, Load(), "late", 0.5)

    def load(self) -> Load:
        """Return the load of an idle endpoint."""
        return Load()

    def is_local(self) -> bool:
        """Return false."""
        return False


@define
class ReleasedAdmission(RefusingAdmission):
    """An endpoint that remembers which grants were given back."""

    bid_ids: list[str] = field(factory=list)

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Record the end of a grant."""
        self.bid_ids.append(bid_id)


def make_busy_fleet(admission: Any) -> FleetView:
    """Return a router's view of engines whose accounts ask for more than there is."""
    engine = EngineCapacity(8, 100_000)
    service = evolve(CONFIGURATION.services[0], engine=engine)
    configuration = evolve(
        CONFIGURATION, services=[service], tokens_per_second=TOKENS_PER_SECOND
    )
    endpoints = [evolve(e, version="v1") for e in endpoints_of(ENDPOINTS)]
    fleet = make_fleet(endpoints, [NOW])
    fleet.table = RouteTable(configuration)
    fleet.shares.update({ACCOUNT: (90_000, 9_000), "two": (4_000, 2_000)}, NOW)
    for handle in fleet.handle_by_id.values():
        handle._admission = admission
    return fleet


def make_request(fleet: FleetView, metadata: RequestMetadata) -> ProxyRequest:
    """Return a request for a stream that may be resumed."""
    assert fleet.table is not None
    route = next(r for r in CONFIGURATION.routes if r.route_id == "plan")
    return ProxyRequest(
        metadata,
        RequestHead(b"GET", b"/plan/1", [(b"host", b"x")]),
        b"",
        route,
        fleet.table.service_by_id["s"],
        ACCOUNT,
        1,
        NOW,
        NOW + route.target_seconds,
        NOW + route.timeout_seconds,
    )


def send(fleet: FleetView, metadata: RequestMetadata) -> None:
    """Send a request of an account that is over its share."""
    run(process, fleet, make_request(fleet, metadata))


async def process(fleet: FleetView, request: ProxyRequest) -> None:
    """Process a request at a router that knows no member of the registry."""
    choice = MemberChoice("r", "north", list)
    lookup = StreamLookup(fleet.client, choice, fleet.now)
    origins = StreamOrigins(fleet, lookup)
    sink = RecordingSink()
    async with create_task_group() as group:
        group.start_soon(lookup.run)
        await RequestProcessor(fleet, HeaderFormat(), request, sink, origins).run()
        group.cancel_scope.cancel()


class ContinuedStreamTest(CaseTest):
    """A stream that has begun is finished before new ones begin."""

    # Resumed streams of large accounts were refused as beyond their share, after one
    # bid, though their endpoints were there and new streams began.
    @params((0, False), (1, True), (3, True), (4, False))
    def test_rest_of_a_stream_is_not_limited_by_the_share(
        self, resumptions: int, is_preferred: bool
    ) -> None:
        admission = RefusingAdmission()
        fleet = make_busy_fleet(admission)
        key = stream_key(ACCOUNT, "a")
        fleet.streams.add(key, StreamOrigin("s", "v1"), NOW + 9, NOW)
        metadata = RequestMetadata("b", prompt_tokens=10)
        if resumptions:
            metadata = evolve(metadata, last_event_id=4, resumes="a")
        for _ in range(max(1, resumptions)):
            admission.bids.clear()
            send(fleet, metadata)
        self.assertEqual(admission.bids[0].share is None, is_preferred)
        self.assertEqual(len(admission.bids) > 1, is_preferred)
        longer = (
            admission.bids[0].target_seconds > CONFIGURATION.routes[2].target_seconds
        )
        self.assertEqual(longer, is_preferred)

    # Any request could otherwise pass the limits by claiming that it resumes one.
    def test_stream_without_a_record_is_limited_by_the_share(self) -> None:
        admission = RefusingAdmission()
        fleet = make_busy_fleet(admission)
        send(fleet, RequestMetadata("b", last_event_id=4, resumes="forged"))
        self.assertEqual(admission.bids, [])


class ServiceTest(CaseTest):
    """A stream stays at the service that began it."""

    # The traffic split went by the id of the request that resumes the stream.
    @params(([("s", 1.0), ("t", 1.0)], "t"), ([("s", 1.0), ("t", 0.0)], None))
    def test_stream_stays_at_its_service(
        self, weights: list[tuple[str, float]], service_id: str | None
    ) -> None:
        admission: Any = RefusingAdmission()
        other = ProxyService("t")
        configuration = evolve(CONFIGURATION, services=[*CONFIGURATION.services, other])
        endpoint = evolve(endpoints_of(1)[0], service_id="t", version="v1")
        fleet = make_fleet([endpoint], [NOW])
        fleet.table = RouteTable(configuration)
        fleet.handle_by_id["e0"]._admission = admission
        key = stream_key(ACCOUNT, "a")
        fleet.streams.add(key, StreamOrigin("t", "v1"), NOW + 9, NOW)
        metadata = RequestMetadata("b", last_event_id=4, resumes="a")
        request = make_request(fleet, metadata)
        services = [WeightedService(name, weight) for name, weight in weights]
        request.route = evolve(request.route, services=services)
        run(process, fleet, request)
        self.assertEqual(len(admission.bids), service_id is not None)
        self.assertEqual(request.service.service_id, service_id or "s")


@define(eq=False)
class LateBidding(Bidding):
    """Gets the grant of another endpoint after the first event of the stalled one."""

    granted: Any = None

    async def acquire(self, elsewhere: bool = False) -> EndpointHandle | None:
        """Return the other endpoint, once the stream has begun at the first one."""
        self.request.origin = StreamOrigin("s", "v1")
        handle: EndpointHandle = self.granted
        return handle


class ChangedMeanwhileTest(CaseTest):
    """What was granted before a stream began, or before an announcement changed."""

    def setUp(self) -> None:
        """Create endpoints of two versions and a request."""
        ended: Any = ReleasedAdmission()
        first, second = endpoints_of(2)
        endpoints = [evolve(first, version="v1"), evolve(second, version="v2")]
        self.fleet = make_fleet(endpoints, [NOW])
        self.fleet.table = RouteTable(CONFIGURATION)
        self.handles = self.fleet.handle_by_id
        for handle in self.handles.values():
            handle._admission = ended
        self.released = ended.bid_ids
        self.request = make_request(self.fleet, RequestMetadata("a"))

    # A stalled stream was cut off for an endpoint that can't continue it.
    def test_successor_of_another_version_is_given_back(self) -> None:
        for endpoint_id, is_taken in (("e0", True), ("e1", False)):
            with self.subTest(endpoint_id):
                self.released.clear()
                processor = RequestProcessor(
                    self.fleet, HeaderFormat(), self.request, RecordingSink()
                )
                processor.bidding = LateBidding(
                    self.fleet, self.request, granted=self.handles[endpoint_id]
                )
                found = run(processor._find_successor, lambda: True)
                self.assertEqual(found, is_taken)
                self.assertEqual(len(self.released), not is_taken)

    # The announcement of an endpoint may name another version while it is bid for.
    def test_rest_of_a_stream_is_not_sent_to_another_version(self) -> None:
        self.request.origin = StreamOrigin("s", "v1")
        for endpoint_id, reason in (("e0", ""), ("e1", "version")):
            attempt = Attempt(
                self.fleet,
                HeaderFormat(),
                self.request,
                self.handles[endpoint_id],
                RecordingSink(),
                EventSplitter(),
            )
            self.assertEqual(attempt._held_back_reason(), reason)
