"""What a member tells its watchers, without network."""

from random import Random

from anyio import create_task_group, run, sleep
from attrs import evolve

from pistachiolever.control.state import ControlState
from pistachiolever.discovery.const import ENDPOINT_EXPIRY_SECONDS
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import EndpointState
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import HardState, Snapshot, StoredLog
from pistachiolever.registry.const import QUORUM_CONTACT_SECONDS
from pistachiolever.registry.models import WatchReply, WatchRequest
from pistachiolever.registry.watch_service import WatchService
from pistachiolever.usage.aggregate import UsageAggregate
from tests.registry.test_endpoint_replicator import ENDPOINT
from tests.support.cases import CaseTest
from tests.usage.test_aggregate import report


def make_service(clock: list[float], version: int = 4) -> WatchService:
    """Return a member that holds a configuration and follows a leader."""
    stored = StoredLog(HardState(1, ""), Snapshot(0, 0, ""), [])
    core = RaftCore("m1/0", ["m2/0", "m3/0"], Random(1), stored)
    core.last_contact_at = clock[0]
    state = ControlState(0.0)
    state.configuration = evolve(state.configuration, version=version, document="{}")
    service = WatchService(
        core,
        state,
        EndpointDirectory(),
        UsageAggregate("m1", "life"),
        lambda: clock[0],
        Random(1),
        caught_up=True,
        synced=True,
    )
    return service


def watch(service: WatchService, request: WatchRequest) -> WatchReply:
    """Return the reply to one request."""
    return run(service.handle_watch, request)


class WatchServiceTest(CaseTest):
    """Updates, and what a member that may be out of date keeps back."""

    def test_first_reply_is_complete(self) -> None:
        service = make_service([1.0])
        service.directory.merge(ENDPOINT, 1.0)
        service.publish_directory()
        service.aggregate.handle_report(report("a1", hot=(9, 9)), 1.0)
        service.aggregate.publish(1.0)
        reply = watch(service, WatchRequest("r", -1, wants_usage=True))
        self.assertEqual((reply.version, reply.announcements), (4, [ENDPOINT]))
        self.assertEqual(reply.usage and reply.usage.uses, {"hot": (9, 9)})
        self.assertEqual(reply.routers, 1)

    def test_later_reply_has_only_changes(self) -> None:
        service = make_service([1.0])
        service.directory.merge(ENDPOINT, 1.0)
        service.publish_directory()
        first = watch(service, WatchRequest("r", -1))
        service.directory.merge(evolve(ENDPOINT, endpoint_id="e2", address="x:1"), 1.0)
        service.publish_directory()
        request = WatchRequest(
            "r", 4, False, first.life, first.change, members=first.members
        )
        second = watch(service, request)
        self.assertEqual([a.endpoint_id for a in second.announcements], ["e2"])
        self.assertEqual((second.document, second.usage), ("", None))

    # After a restart a router took a configuration, with a key that had been
    # withdrawn, from a member that was cut off.
    def test_member_without_quorum_sends_no_configuration(self) -> None:
        clock = [1.0]
        service = make_service(clock)
        clock[0] += QUORUM_CONTACT_SECONDS + 0.1
        reply = watch(service, WatchRequest("r", -1))
        self.assertEqual((reply.version, reply.document, reply.behind), (-1, "", True))

    # A restarted member has no ends of incarnations until it has asked the others.
    def test_member_without_directory_holds_requests(self) -> None:
        service = make_service([1.0])
        service.synced = False
        gone = evolve(ENDPOINT, state=EndpointState.GONE)

        async def watch_while_syncing() -> WatchReply:
            replies: list[WatchReply] = []

            async def request() -> None:
                replies.append(await service.handle_watch(WatchRequest("r", -1)))

            async with create_task_group() as group:
                group.start_soon(request)
                await sleep(0.05)
                self.assertEqual(replies, [])
                service.directory.merge(gone, 1.0)
                service.synced = True
                service.publish_directory()
            return replies[0]

        self.assertEqual(run(watch_while_syncing).announcements, [gone])

    # Watchers kept an endpoint that had ended without a word.
    def test_watcher_hears_of_an_expired_endpoint(self) -> None:
        service = make_service([1.0])
        service.directory.merge(ENDPOINT, 1.0)
        service.publish_directory()
        first = watch(service, WatchRequest("r", -1))
        service.directory.expire(1.5 + ENDPOINT_EXPIRY_SECONDS)
        service.publish_directory()
        request = WatchRequest(
            "r", 4, False, first.life, first.change, members=first.members
        )
        second = watch(service, request)
        self.assertEqual((second.announcements, second.expired), ([], [ENDPOINT]))
        self.assertGreater(second.change, first.change)
        third = watch(service, WatchRequest("r2", -1))
        self.assertEqual((third.announcements, third.expired), ([], []))

    # Each announcement woke all watchers: after all processes had been killed, 3,000
    # endpoints that announced themselves made 300 routers wait for 6.5 s.
    def test_changes_of_many_endpoints_come_together(self) -> None:
        service = make_service([1.0])

        async def announce() -> list[int]:
            sizes: list[int] = []
            request = WatchRequest("r", 4, life="life", members=service.members())

            async def watch_changes() -> None:
                nonlocal request
                while True:
                    reply = await service.handle_watch(request)
                    sizes.append(len(reply.announcements))
                    request = evolve(request, change=reply.change)

            async with create_task_group() as group:
                group.start_soon(service.run)
                group.start_soon(watch_changes)
                for number in range(1000):
                    name = f"e{number}"
                    service.directory.merge(
                        evolve(ENDPOINT, endpoint_id=name, address=f"{name}:1"), 1.0
                    )
                    service.directory_changed.set()
                    await sleep(0)
                await sleep(0.25)
                group.cancel_scope.cancel()
            return sizes

        sizes = run(announce)
        self.assertGreaterEqual(sum(sizes), 1000)
        self.assertLess(len(sizes), 12)
