"""What a router does with orders of evacuation."""

from typing import Any, cast

from anyio import Event, create_task_group, fail_after, run
from anyio.lowlevel import checkpoint
from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.admission.models import Bid, BidReply, Load, PromptPart
from pistachiolever.core.verdict import Verdict
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import ConnectionPool
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.evacuation.view import EvacuationView
from pistachiolever.gateway.attempt import Attempt
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.models import Header
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_attempt import RecordingSink
from tests.gateway.test_continued_streams import make_request
from tests.gateway.test_notices import endpoints_of, make_fleet, usable
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

NOW = 100.0
NORTH = EvacuationOrders(1, ["north"])
ALL = EvacuationOrders(1, ["north", "south"])


class ViewTest(CaseTest):
    """Only the revision decides, since members send orders late and repeated."""

    @params(
        ("newer", [NORTH, EvacuationOrders(2)], set()),
        ("late", [EvacuationOrders(2), NORTH], set()),
        ("repeated", [NORTH, NORTH], {"north"}),
        ("after a long time out of touch", [NORTH, EvacuationOrders(9, ["x"])], {"x"}),
    )
    def test_newest_orders_count(
        self, name: str, orders: list[EvacuationOrders], domains: set[str]
    ) -> None:
        view = EvacuationView()
        for known in orders:
            view.apply(known)
        self.assertEqual(view.domains, domains, name)

    def test_change(self) -> None:
        view = EvacuationView()
        view.apply(NORTH)
        change = view.apply(EvacuationOrders(2, ["south"]))
        assert change is not None
        self.assertEqual((change.started, change.ended), ({"south"}, {"north"}))
        self.assertIsNone(view.apply(NORTH))


def fleet_of_two_domains() -> FleetView:
    """Return a router's view of two endpoints in each of two domains."""
    endpoints = [
        evolve(endpoint, failure_domain="north" if n < 2 else "south", version="v1")
        for n, endpoint in enumerate(endpoints_of(4))
    ]
    fleet = make_fleet(endpoints, [NOW])
    fleet.table = RouteTable(CONFIGURATION)
    return fleet


@define(eq=False)
class RefusalSink(RecordingSink):
    """A caller that keeps the status and headers of its response."""

    status: int = 0
    headers: list[Header] = field(factory=list)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Keep a complete response."""
        await checkpoint()
        self.status, self.headers = status, headers


@define(eq=False)
class UndecidedAdmission:
    """An agent that leaves each bid undecided."""

    bid_ids: list[str] = field(factory=list)
    has_bid: Event = field(factory=Event)

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait until the bid is withdrawn."""
        self.bid_ids.append(bid.bid_id)
        self.has_bid.set()
        await Event().wait()
        raise AssertionError

    def load(self) -> Load:
        """Return the load of an idle endpoint."""
        return Load()

    def is_local(self) -> bool:
        """Return false."""
        return False


@define(eq=False)
class UnusedConnection:
    """A connection to which nothing is sent."""

    is_closed: bool = False

    async def close(self) -> None:
        """Close the connection."""
        self.is_closed = True


@define(eq=False)
class SlowPool(ConnectionPool):
    """Opens a connection while an evacuation arrives."""

    fleet: Any = None
    opened: UnusedConnection = field(factory=UnusedConnection)

    async def acquire(self, address: str, connect_seconds: float) -> ClientConnection:
        """Apply the evacuation; return a connection that can't send."""
        self.fleet.apply_evacuations(NORTH)
        connection: ClientConnection = cast(Any, self.opened)
        return connection


class RouterTest(CaseTest):
    """No way of choosing an endpoint leads to an evacuated domain."""

    def setUp(self) -> None:
        """Create a router."""
        self.fleet = fleet_of_two_domains()

    def candidates(self, part_id: str = "", **options: Any) -> set[str]:
        """Return the ids of the candidates, also those that the caller names."""
        candidates = self.fleet.selection.candidates("s", set(), part_id, **options)
        return {candidate.endpoint.endpoint_id for candidate in candidates}

    @params(
        ("any", {}),
        ("home of a prompt part", {"part_id": "p"}),
        ("used by an earlier prompt", {"extra": ["e0", "e1"]}),
        ("stream that goes on", {"version": "v1"}),
    )
    def test_candidates(self, name: str, options: dict[str, Any]) -> None:
        self.assertEqual(self.candidates(**options), {"e0", "e1", "e2", "e3"}, name)
        self.fleet.apply_evacuations(NORTH)
        self.assertEqual(self.candidates(**options), {"e2", "e3"}, name)
        self.assertEqual(usable(self.fleet), {"e2", "e3"}, name)
        self.fleet.apply_evacuations(EvacuationOrders(2))
        self.assertEqual(self.candidates(**options), {"e0", "e1", "e2", "e3"}, name)

    def test_preferred_home_is_elsewhere(self) -> None:
        self.fleet.apply_evacuations(NORTH)
        shared = [PromptPart("p", 5000), PromptPart("own", 700)]
        placement, index = self.fleet.placement, self.fleet.index("s")
        plan = placement.plan("m", 5700, shared, index, NOW)
        candidates = self.fleet.selection.candidates("s", set(), "p")
        best = placement.rank(plan, candidates, NOW)[0].endpoint
        self.assertEqual(best.failure_domain, "south")

    # Draining endpoints serve streams that no other version can continue.
    def test_draining_endpoint_of_a_version(self) -> None:
        handle = self.fleet.handle_by_id["e0"]
        draining = evolve(
            handle.endpoint, sequence=2, state=EndpointState.DRAINING, version="v0"
        )
        self.fleet.apply_announcements([evolve(handle.endpoint, version="v0")])
        self.fleet.apply_announcements([draining])
        self.assertTrue(self.fleet.selection.usable("s", set(), "v0"))
        self.fleet.apply_evacuations(NORTH)
        self.assertEqual(self.fleet.selection.usable("s", set(), "v0"), [])

    def test_endpoint_that_is_added_later(self) -> None:
        self.fleet.apply_evacuations(NORTH)
        late = Announcement("e9", 7, 1, EndpointState.READY, "s", "10.0.0.9:1", "north")
        self.fleet.apply_announcements([late])
        self.assertEqual(usable(self.fleet), {"e2", "e3"})

    def test_request_whose_connection_is_being_opened(self) -> None:
        pool = SlowPool(fleet=self.fleet)
        self.fleet.pool = pool
        attempt = Attempt(
            self.fleet,
            HeaderFormat(),
            self.make_request(),
            self.fleet.handle_by_id["e0"],
            RecordingSink(),
            EventSplitter(),
        )
        result = run(attempt.run)
        self.assertEqual((result.verdict, result.sent), (Verdict.NOT_RUN, False))
        self.assertTrue(pool.opened.is_closed)

    def make_request(self) -> ProxyRequest:
        """Return a request for a stream."""
        return make_request(self.fleet, RequestMetadata("b"))

    # Requests that waited for an agent there were sent after the order.
    def test_waiting_requests_are_placed_again(self) -> None:
        async def test() -> None:
            agents = {"north": UndecidedAdmission(), "south": UndecidedAdmission()}
            for handle in self.fleet.handle_by_id.values():
                admission: Any = agents[handle.endpoint.failure_domain]
                handle._admission = admission
            processor = RequestProcessor(
                self.fleet, HeaderFormat(), self.make_request(), RefusalSink()
            )
            with fail_after(0.2):
                async with create_task_group() as group:
                    group.start_soon(processor.run)
                    await agents["north"].has_bid.wait()
                    self.fleet.apply_evacuations(NORTH)
                    await agents["south"].has_bid.wait()
                    group.cancel_scope.cancel()
            self.assertEqual(len(agents["north"].bid_ids), 1)

        run(test)

    @params(("whole service", ALL, "evacuated"), ("none", EvacuationOrders(1), ""))
    def test_service_without_other_endpoints_is_refused_at_once(
        self, name: str, orders: EvacuationOrders, reason: str
    ) -> None:
        self.fleet.apply_evacuations(orders)
        self.assertEqual(self.fleet.selection.all_evacuated("s"), bool(reason), name)
        if not reason:
            return
        sink = RefusalSink()
        processor = RequestProcessor(
            self.fleet, HeaderFormat(), self.make_request(), sink
        )
        run(processor.run)
        self.assertEqual(processor.failures.no_grant_reason(), reason)
        self.assertEqual(sink.status, 503)
        self.assertEqual([name for name, _ in sink.headers], [b"retry-after"])
