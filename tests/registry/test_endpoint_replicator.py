"""Announcements and deregistrations at one member of the registry."""

from typing import Any

from anyio import run
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
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
