"""Clients of admission leave nothing behind when bids or endpoints go."""

from random import Random
from typing import Any

from anyio import (
    CancelScope,
    create_task_group,
    current_time,
    move_on_after,
    run,
    sleep,
    sleep_forever,
)
from attrs import define, evolve

from pistachiolever.discovery.models import EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.admission_clients import (
    LocalAdmission,
    RemoteAdmission,
    make_local_admission,
)
from tests.admission.test_core import BID
from tests.gateway.test_notices import ENDPOINT, make_fleet
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest


@define
class UnreachableClient(PeerClient):
    """Fails all calls and counts them."""

    calls: int = 0

    async def call(self, *args: Any) -> Any:
        """Raise PeerError."""
        self.calls += 1
        raise PeerError("unreachable", False)


def make_admission(client: PeerClient) -> RemoteAdmission:
    """Return the client of an agent."""
    events = make_discarding_logger("r")
    return RemoteAdmission("a:1", client, make_fallback, events, current_time)


def make_fallback() -> LocalAdmission:
    """Return what decides without the agent."""
    return make_local_admission(Random(1), current_time, lambda: 1.0)


class CancelledBidTest(CaseTest):
    """A router forgets the bids that are cancelled."""

    # Bids cancelled at the fallback stayed in the set of its bids for ever.
    def test_bid_cancelled_at_the_fallback(self) -> None:
        async def cancel() -> RemoteAdmission:
            admission = make_admission(UnreachableClient())
            # The first bid takes the only slot.
            only = evolve(BID, slots=1)
            await admission.acquire(only)
            for number in range(20):
                with move_on_after(0.001):
                    await admission.acquire(evolve(only, bid_id=f"b{number}"))
            return admission

        admission = run(cancel)
        self.assertEqual(admission.local_ids, {BID.bid_id})


class GoneEndpointTest(CaseTest):
    """Nothing runs for an endpoint that is gone."""

    # The tasks of an endpoint went on calling its agent after the endpoint was gone.
    def test_tasks_end_with_the_endpoint(self) -> None:
        async def replace_endpoints() -> tuple[int, int]:
            client = UnreachableClient()
            fleet = make_fleet([], [100.0])
            fleet.client = client
            async with create_task_group() as group:
                group.start_soon(fleet.run)
                for number in range(30):
                    announcement = evolve(ENDPOINT, agent="a:1", born_ms=number)
                    fleet.apply_announcements([announcement])
                    await sleep(0.001)
                gone = evolve(ENDPOINT, born_ms=29, state=EndpointState.GONE)
                fleet.apply_announcements([gone])
                await sleep(0.05)
                before = client.calls
                await sleep(0.4)
                after = client.calls
                group.cancel_scope.cancel()
            return before, after

        before, after = run(replace_endpoints)
        self.assertEqual(before, after)

    def test_waiting_bid_is_placed_anew(self) -> None:
        async def wait_for_grant() -> bool:
            fleet = make_fleet([ENDPOINT], [100.0])
            handle = fleet.handle_by_id["e0"]
            withdrawn = False

            async def wait() -> None:
                nonlocal withdrawn
                with CancelScope() as scope:
                    handle.bid_scopes.add(scope)
                    await sleep_forever()
                withdrawn = True

            async with create_task_group() as group:
                group.start_soon(wait)
                await sleep(0.01)
                gone = evolve(ENDPOINT, state=EndpointState.GONE)
                fleet.apply_announcements([gone])
                await sleep(0.01)
                group.cancel_scope.cancel()
            return withdrawn

        self.assertTrue(run(wait_for_grant))
