"""Odd entries among the announcements, at whole members and their watchers."""

from math import isfinite

from anyio import sleep
from attrs import evolve
from orjson import dumps

from pistachiolever.discovery.directory import EndpointRecord
from pistachiolever.discovery.fields import InvalidAnnouncementError
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.http1.models import Header, RequestHead
from pistachiolever.http1.server import HttpServer
from pistachiolever.platform.control import ControlApi
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from tests.discovery.test_check import (
    HEARTBEAT,
    ODD_FIELDS,
    STORED,
)
from tests.http1.test_odd_addresses import ODD_ADDRESSES
from tests.registry.test_process import (
    Fleet,
    Listener,
    document,
    make_discarding_logger,
    run_with_fleet,
)
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

SOUND = Announcement("e1", 9, 1, EndpointState.READY, "s", "10.0.0.1:80", "north")
DEEP = b"[" * 100_000
ODD_BODIES = [
    *(dumps(HEARTBEAT | {"address": address}) for address in ODD_ADDRESSES),
    *(dumps(HEARTBEAT | {name: value}) for name, value in ODD_FIELDS),
    b'{"seq":' + b"9" * 6000 + b"}",
    b'{"models":' + DEEP,
    DEEP,
    b"\xff\xfe",
]


async def call(address: str, method: bytes, body: bytes) -> int:
    """Send a heartbeat, or the end of an endpoint; return the status."""
    headers: list[Header] = [
        (b"host", address.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    request = RequestHead(method, b"/api/instances/e1", headers)
    head, _ = await PeerClient().exchange(address, request, body, 5.0)
    return head.status


class OddEntryTest(CaseTest):
    """Members and watchers follow the other endpoints beside an odd entry."""

    # They were acknowledged and told to all members and routers, where the newest of
    # them took the place of a sound endpoint.
    def test_odd_calls_are_refused_and_the_others_hold(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            listener = Listener()
            watcher = RegistryWatcher(
                MemberChoice("router", "north", lambda: fleet.seeds[:1]),
                PeerClient(),
                listener,
                make_discarding_logger("router"),
            )
            fleet.group.start_soon(watcher.run)
            member = fleet.member_by_name["b"].process
            api = ControlApi(member, 7400)
            address = free_address()
            fleet.group.start_soon(HttpServer(address, api.handle).serve)
            await member.endpoints.announce(SOUND)
            await sleep(0.05)
            found = []
            for body in ODD_BODIES:
                found.append(await call(address, b"PUT", body))
            found.append(await call(address, b"DELETE", b'{"born":%d}' % (2**64 - 1)))
            self.assertEqual(found, [400] * len(found))
            await fleet.until(
                lambda: listener.state_by_id == {"e1": EndpointState.READY}
            )
            for known in fleet.member_by_name.values():
                active = known.process.endpoints.directory.active()
                self.assertEqual(active, [SOUND])
            await fleet.store(document(4))
            await fleet.until(lambda: listener.versions == [4])

        run_with_fleet(test)

    # An earlier version has accepted them, and tells them on.
    def test_stored_odd_entries_reach_no_other_member(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            member = fleet.member_by_name["b"].process
            directory = member.endpoints.directory
            for number, stored in enumerate(STORED):
                if not isfinite(stored.cold_seconds):
                    # JSON has no such number.
                    continue
                odd = evolve(stored, endpoint_id=f"{stored.endpoint_id}{number}")
                directory.change_number += 1
                directory._set(EndpointRecord(odd, 1e9, directory.change_number))
            for queue in member.endpoints._queues().values():
                queue.add(directory.changed_since(-1))
            await member.endpoints.announce(SOUND)
            others = [fleet.member_by_name[name].process for name in "ac"]
            await fleet.until(
                lambda: all(
                    other.endpoints.directory.active() == [SOUND] for other in others
                )
            )
            for other in others:
                await other.endpoints.sync()
                self.assertEqual(other.endpoints.directory.active(), [SOUND])
            self.assertTrue(member.endpoints.directory.active())

        run_with_fleet(test)

    # It took the place of the endpoint, whose later heartbeats no longer counted.
    def test_unnamed_service_takes_no_place_of_an_endpoint(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            member = fleet.member_by_name["b"].process
            member.service_ids = lambda _: {"s", "other"}
            odd = evolve(SOUND, service_id="x", born_ms=10)
            # Without a configuration, any service may be named later.
            await member.endpoints.announce(
                evolve(odd, endpoint_id="e3", address="a:1")
            )
            await fleet.store(document(4))
            await fleet.until(lambda: member.state.configuration.version == 4)
            await member.endpoints.announce(SOUND)
            for entry in (odd, evolve(odd, endpoint_id="e2")):
                for state in (EndpointState.READY, EndpointState.DRAINING):
                    with self.assertRaises(InvalidAnnouncementError):
                        await member.endpoints.announce(evolve(entry, state=state))
            self.assertIn(SOUND, member.endpoints.directory.active())
            # At an address of its own, its end can be acknowledged.
            await member.endpoints.announce(
                evolve(
                    odd, endpoint_id="e2", address="a:2", state=EndpointState.DRAINING
                )
            )
            # Addresses are used again by endpoints of other named services.
            reused = evolve(odd, endpoint_id="e4", service_id="other")
            await member.endpoints.announce(reused)
            active = member.endpoints.directory.active()
            self.assertIn(reused, active)
            self.assertNotIn(SOUND, active)

        run_with_fleet(test)
