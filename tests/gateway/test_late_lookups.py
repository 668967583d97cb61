"""What a router asks other processes for a request ends before its deadline."""

from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Any

from anyio import fail_after, run, sleep_forever
from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.gateway.bidding import Bidding
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.http1.models import Header
from pistachiolever.routing.table import RouteTable
from pistachiolever.streams.origins import Resolution
from tests.gateway.test_attempt import RecordingSink
from tests.gateway.test_continued_streams import (
    NOW,
    RefusingAdmission,
    make_request,
)
from tests.gateway.test_notices import endpoints_of, make_fleet
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest

DEADLINE_SECONDS = 0.2
LATE_SECONDS = 0.2
LIMIT_SECONDS = 5.0


@define
class AnsweredSink(RecordingSink):
    """A caller that remembers the statuses that it gets."""

    statuses: list[int] = field(factory=list)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Remember the status."""
        self.statuses.append(status)


class UnresponsiveAgent(RefusingAdmission):
    """An agent that does not respond, so that the router decides."""

    def is_local(self) -> bool:
        """Return true."""
        return True


class StandingMembers:
    """Members of the registry that accept questions and stand still."""

    async def find(self, request: ProxyRequest) -> Resolution:
        """Wait for replies."""
        await sleep_forever()
        return Resolution()


async def ask_start_time(address: str) -> int:
    """Ask an engine that stands still."""
    await sleep_forever()
    return 0


def make_fleet_of_two_versions() -> FleetView:
    """Return a router's view that no member has confirmed."""
    first, second = endpoints_of(2)
    endpoints = [evolve(first, version="v1"), evolve(second, version="v2")]
    fleet = make_fleet(endpoints, [NOW])
    fleet.table = RouteTable(CONFIGURATION)
    fleet.apply_announcements(
        [evolve(endpoint, sequence=endpoint.sequence + 1) for endpoint in endpoints]
    )
    admission: Any = RefusingAdmission()
    for handle in fleet.handle_by_id.values():
        handle._admission = admission
    return fleet


async def find_version_of_a_stream(fleet: FleetView) -> None:
    """Resume a stream of which only the members know the version."""
    request = make_late(fleet, RequestMetadata("b", last_event_id=4, resumes="a"))
    sink = AnsweredSink()
    processor = RequestProcessor(
        fleet, HeaderFormat(), request, sink, StandingMembers()
    )
    await processor.run()
    assert sink.statuses == [503]


async def wait_for_first_version(fleet: FleetView) -> None:
    """Begin a stream while no version is confirmed."""
    request = make_late(fleet, RequestMetadata("b"))
    processor = RequestProcessor(fleet, HeaderFormat(), request, RecordingSink())
    await processor._wait_for_version()


async def find_start_time(fleet: FleetView) -> None:
    """Ask an engine without agent whether it has restarted."""
    fleet.incarnations.probe = ask_start_time
    handle = fleet.handle_by_id["e0"]
    handle.endpoint = evolve(handle.endpoint, agent="10.0.0.1:90")
    admission: Any = UnresponsiveAgent()
    handle._admission = admission
    bidding = Bidding(fleet, make_late(fleet, RequestMetadata("b")))
    assert not await bidding._is_known_incarnation(handle)


def make_late(fleet: FleetView, metadata: RequestMetadata) -> ProxyRequest:
    """Return a request whose deadline is near."""
    request = make_request(fleet, metadata)
    request.deadline_at = NOW + DEADLINE_SECONDS
    return request


class DeadlineTest(CaseTest):
    """A process that stands still keeps no caller waiting beyond its deadline."""

    # CONFIG: these waits ended after their own time, up to a second after the deadline.
    @params(find_version_of_a_stream, wait_for_first_version, find_start_time)
    def test_wait_ends_at_the_deadline(
        self, wait: Callable[[FleetView], Awaitable[None]]
    ) -> None:
        async def measure() -> float:
            fleet = make_fleet_of_two_versions()
            started_at = monotonic()
            with fail_after(LIMIT_SECONDS):
                await wait(fleet)
            return monotonic() - started_at

        self.assertLess(run(measure), DEADLINE_SECONDS + LATE_SECONDS)
