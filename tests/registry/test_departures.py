"""What was acknowledged to an endpoint that leaves survives the loss of all members."""

from functools import partial

from anyio import sleep
from attrs import evolve
from nose2.tools import params

from pistachiolever.control.commands import RecordDeparture
from pistachiolever.control.const import MAX_DEPARTURES
from pistachiolever.control.state import ControlState
from pistachiolever.discovery.models import EndpointState
from pistachiolever.raft.models import Compact
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import WatchReply, WatchRequest
from pistachiolever.registry.process import RegistryProcess
from tests.discovery.test_directory import READY_ENDPOINT
from tests.registry.test_process import Fleet, document, run_with_fleet
from tests.support.cases import CaseTest

DRAINING = evolve(READY_ENDPOINT, sequence=5, state=EndpointState.DRAINING)
LATE = evolve(READY_ENDPOINT, sequence=4)
RESTARTED = evolve(READY_ENDPOINT, born_ms=200)


async def leave(member: RegistryProcess, state: EndpointState) -> None:
    """Announce that the endpoint drains, or its end, until that is acknowledged."""
    while True:
        try:
            if state is EndpointState.DRAINING:
                await member.endpoints.announce(DRAINING)
            else:
                await member.endpoints.deregister("e1", None)
            return
        except UnavailableError:
            await sleep(0.05)


async def stop_after_departure(fleet: Fleet, state: EndpointState) -> None:
    """Let an endpoint leave, and stop all members once that is acknowledged."""
    await fleet.start_founders()
    await fleet.store(document(1))
    await fleet.first().endpoints.announce(READY_ENDPOINT)
    await leave(fleet.first(), state)
    for name in "abc":
        await fleet.stop(name)


class DepartureTest(CaseTest):
    """A late announcement does not make an endpoint ready again that has left."""

    # The ends of endpoints were kept in memory only: after all members had been killed,
    # a late heartbeat made the endpoint ready again.
    @params(EndpointState.DRAINING, EndpointState.GONE)
    def test_departure_survives_a_restart_of_all(self, state: EndpointState) -> None:
        async def test(fleet: Fleet) -> None:
            await stop_after_departure(fleet, state)
            for name in "abc":
                fleet.start(name, founder=True)
            await fleet.until(lambda: bool(fleet.leader()))
            members = [member.process for member in fleet.member_by_name.values()]
            await fleet.until(lambda: all(m.state.departure_count for m in members))
            for member in members:
                await member.endpoints.announce(LATE)
                known = member.endpoints.directory.record_by_id["e1"].announcement
                self.assertEqual(known.state, state)
            # The next incarnation counts as usual.
            await members[0].endpoints.announce(RESTARTED)
            self.assertEqual(members[0].endpoints.directory.active(), [RESTARTED])

        run_with_fleet(test)

    # An acknowledgement that only memory backs would be broken by the next restart.
    def test_departure_is_not_acknowledged_without_a_quorum(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            member = fleet.first()
            await member.endpoints.announce(READY_ENDPOINT)
            for name in "bc":
                await fleet.stop(name)
            with self.assertRaises(UnavailableError):
                await member.endpoints.announce(DRAINING)

        run_with_fleet(test)

    # A draining endpoint repeats its announcement each second.
    def test_repeated_departures_are_recorded_once_and_bounded(self) -> None:
        state = ControlState(0.0)
        for sequence in (5, 6, 7):
            state.apply(RecordDeparture(evolve(DRAINING, sequence=sequence)))
        self.assertEqual(state.departure_count, 1)
        for number in range(MAX_DEPARTURES):
            state.apply(RecordDeparture(evolve(DRAINING, endpoint_id=f"x{number}")))
        self.assertEqual(len(state.departure_by_endpoint), MAX_DEPARTURES)
        copy = ControlState(0.0)
        copy.load(state.dump())
        self.assertEqual(copy.departure_by_endpoint, state.departure_by_endpoint)


async def watch(
    member: RegistryProcess, request: WatchRequest
) -> tuple[WatchReply, WatchRequest]:
    """Return the reply to a watch request, and the watcher's next request."""
    reply = await member.watches.handle_watch(request)
    next_request = evolve(
        request, life=reply.life, change=reply.change, members=reply.members
    )
    return reply, next_request


class RestartedMemberTest(CaseTest):
    """A member that has just started tells nothing that departures may contradict."""

    # A restarted member told routers of a late heartbeat before it knew what was
    # committed: they sent requests to an endpoint that had left.
    @params(EndpointState.DRAINING, EndpointState.GONE)
    def test_tells_of_endpoints_once_it_knows_departures(
        self, state: EndpointState
    ) -> None:
        async def test(fleet: Fleet) -> None:
            await stop_after_departure(fleet, state)
            fleet.start("a", founder=True)
            member = fleet.first()
            await fleet.until(lambda: member.watches.synced)
            await member.endpoints.announce(LATE)
            reply, request = await watch(member, WatchRequest("r", -1))
            self.assertEqual((reply.announcements, reply.expired), ([], []))
            held, request = await watch(member, request)
            self.assertEqual((held.announcements, held.expired), ([], []))
            for name in "bc":
                fleet.start(name, founder=True)
            while reply.version < 0:
                reply, request = await watch(member, request)
            # A router uses the endpoints once it has the configuration.
            states = [known.state for known in reply.announcements]
            self.assertEqual((reply.version, states), (1, [state]))

        run_with_fleet(test)


def has_version(process: RegistryProcess, version: int) -> bool:
    """Return whether a member has applied a version."""
    return process.state.configuration.version == version


def has_empty_log(process: RegistryProcess) -> bool:
    """Return whether a snapshot covers the log of a member."""
    return not process.core.log.entries


class CaughtUpTest(CaseTest):
    """A restarted member tells routers the configuration without a further change."""

    # A member whose snapshot covered its whole log told no configuration to routers
    # until the next change was committed.
    def test_member_with_a_snapshot_only_catches_up(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(7))
            for member in fleet.member_by_name.values():
                process = member.process
                await fleet.until(partial(has_version, process, 7))
                snapshot = process.core.make_snapshot(
                    process.core.applied_index, process.state.dump()
                )
                assert snapshot is not None
                process.consensus.inbox.put(Compact(snapshot))
                await fleet.until(partial(has_empty_log, process))
            for name in "abc":
                await fleet.stop(name)
            for name in "abc":
                fleet.start(name, founder=True)
            await fleet.until(
                lambda: all(
                    member.process.watches.caught_up
                    for member in fleet.member_by_name.values()
                )
            )
            self.assertEqual(fleet.first().state.configuration.version, 7)

        run_with_fleet(test)
