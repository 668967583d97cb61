"""Announcements and deregistrations at one member of the registry."""

from typing import Any

from anyio import create_task_group, run
from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.discovery.const import ENDPOINT_EXPIRY_SECONDS
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.registry.const import SYNC_PATH
from pistachiolever.registry.endpoint_replicator import EndpointReplicator
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import AnnounceBatch, AnnounceReply
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest

ENDPOINT = Announcement("e1", 100, 1, EndpointState.READY, "s", "10.0.0.1:80", "north")


@define
class RecordingClient(PeerClient):
    """Accepts all batches and keeps their announcements."""

    sent: list[Announcement] = field(factory=list)

    async def call(self, *args: Any) -> Any:
        """Keep the announcements of a batch."""
        batch: AnnounceBatch = args[2]
        self.sent.extend(batch.announcements)
        return AnnounceReply([])


def make_replicator(client: PeerClient) -> EndpointReplicator:
    """Return a member with two peers."""
    return EndpointReplicator(
        client,
        make_discarding_logger("c"),
        lambda: 1.0,
        lambda: ["c2:1", "c3:1"],
        lambda: None,
    )


@define
class LinkedClient(PeerClient):
    """Passes batches to the replicators of other members, unless they are cut off."""

    by_address: dict[str, EndpointReplicator] = field(factory=dict)
    cut: set[str] = field(factory=set)

    async def call(self, *args: Any) -> Any:
        """Deliver a batch or return the directory of a member."""
        address, path, message = args[:3]
        if address in self.cut:
            raise PeerError("cut off", False)
        replicator = self.by_address[address]
        if path == SYNC_PATH:
            return replicator.everything()
        return replicator.merge_batch(message)


class LostMessageTest(CaseTest):
    """Members that were out of touch or restarted learn what they missed."""

    def setUp(self) -> None:
        """Create a member with two peers."""
        self.client = LinkedClient()
        self.first = make_replicator(self.client)
        for address in ("c2:1", "c3:1"):
            self.client.by_address[address] = make_replicator(RecordingClient())

    def peer(self, address: str) -> EndpointReplicator:
        """Return the replicator of a peer."""
        return self.client.by_address[address]

    async def send_batches(self) -> None:
        """Send what is queued."""
        async with create_task_group() as group:
            self.first._start_batches(group)

    # A member that missed the message told its watchers of the endpoint for ever.
    def test_end_reaches_a_member_that_was_cut_off(self) -> None:
        async def test() -> None:
            await self.first.announce(ENDPOINT)
            await self.send_batches()
            self.client.cut = {"c3:1"}
            await self.first.deregister("e1", None)
            await self.send_batches()
            self.assertEqual(self.peer("c3:1").directory.active(), [ENDPOINT])
            self.client.cut = set()
            await self.send_batches()

        run(test)
        for address in ("c2:1", "c3:1"):
            self.assertEqual(self.peer(address).directory.active(), [])

    # A late heartbeat at a restarted member made an endpoint that had left ready again.
    def test_restarted_member_asks_the_others(self) -> None:
        async def test() -> None:
            gone = evolve(ENDPOINT, state=EndpointState.GONE)
            self.peer("c2:1").directory.merge(gone, 1.0)
            await self.first.sync()
            await self.first.announce(evolve(ENDPOINT, sequence=7))

        run(test)
        self.assertEqual(self.first.directory.active(), [])

    def test_member_that_could_not_ask_is_corrected(self) -> None:
        async def test() -> None:
            gone = evolve(ENDPOINT, state=EndpointState.GONE)
            self.peer("c2:1").directory.merge(gone, 1.0)
            await self.first.announce(evolve(ENDPOINT, sequence=7))
            self.assertEqual(len(self.first.directory.active()), 1)
            await self.send_batches()

        run(test)
        self.assertEqual(self.first.directory.active(), [])

    def test_unchanged_announcements_are_sent_rarely(self) -> None:
        async def test() -> int:
            client = RecordingClient()
            replicator = make_replicator(client)
            replicator._queues()
            for sequence in range(1, 20):
                await replicator.announce(evolve(ENDPOINT, sequence=sequence))
                async with create_task_group() as group:
                    replicator._start_batches(group)
            return len(client.sent)

        # One to each of two peers, as the clock of the test stands still.
        self.assertEqual(run(test), 2)


class ExpiryTest(CaseTest):
    """Endpoints that stopped announcing themselves."""

    # Watchers were not told, and a member that was cut off expired all endpoints.
    @params((True, 1), (False, 0))
    def test_watchers_are_told_unless_the_member_is_behind(
        self, may_expire: bool, told: int
    ) -> None:
        clock, changes = [1.0], list[float]()
        replicator = EndpointReplicator(
            RecordingClient(),
            make_discarding_logger("c"),
            lambda: clock[0],
            list,
            lambda: changes.append(clock[0]),
            lambda: may_expire,
        )
        replicator.directory.merge(ENDPOINT, 1.0)
        clock[0] += ENDPOINT_EXPIRY_SECONDS + 1
        replicator.expire()
        self.assertEqual(len(changes), told)
        self.assertEqual(len(replicator.directory.active()), 1 - told)


class DeregisterTest(CaseTest):
    """A deregistration is acknowledged only if it ends an incarnation."""

    # Without a start time, a member that did not know the endpoint acknowledged the
    # deregistration, while the others went on using the endpoint.
    def test_unknown_endpoint_without_start_time(self) -> None:
        replicator = make_replicator(RecordingClient())
        with self.assertRaises(UnavailableError):
            run(replicator.deregister, "e1", None)
        self.assertEqual(replicator.directory.record_by_id, {})

    def test_ends_the_incarnation_everywhere(self) -> None:
        for known, born_ms in ((True, None), (True, 100), (False, 100)):
            with self.subTest(known=known, born_ms=born_ms):
                client = RecordingClient()
                replicator = make_replicator(client)
                if known:
                    replicator.directory.merge(ENDPOINT, 1.0)
                run(replicator.deregister, "e1", born_ms)
                self.assertEqual(len(client.sent), 2)
                other = make_replicator(client)
                other.directory.merge(evolve(ENDPOINT, sequence=9), 1.0)
                other.merge_batch(AnnounceBatch(client.sent))
                self.assertEqual(other.directory.active(), [])
