"""Replicates the announcements of endpoints between the members of the registry."""

from collections.abc import Callable

from anyio import create_task_group, sleep
from attrs import define, field

from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import (
    ANNOUNCE_BATCH_SECONDS,
    ANNOUNCE_PATH,
    EXPIRY_CHECK_SECONDS,
    REPLICATE_TIMEOUT_SECONDS,
)
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import Accepted, AnnounceBatch


@define
class EndpointReplicator:
    """The directory of one member and the announcements it has yet to send.

    `peers` returns the addresses of the other members; `on_change` is called when
    there are updates for watchers.
    """

    client: PeerClient
    events: EventLogger
    now: Callable[[], float]
    peers: Callable[[], list[str]]
    on_change: Callable[[], None]
    directory: EndpointDirectory = field(factory=EndpointDirectory)
    unsent_by_id: dict[str, Announcement] = field(factory=dict)

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._send_batches)
            group.start_soon(self._expire)

    async def announce(self, announcement: Announcement) -> None:
        """Merge an announcement from an endpoint.

        Raise UnavailableError if a draining announcement cannot be replicated.
        """
        changed = self.directory.merge(announcement, self.now())
        self.unsent_by_id[announcement.endpoint_id] = announcement
        if changed:
            self._record(announcement, "announced")
            self.on_change()
        if announcement.state is EndpointState.DRAINING:
            # Draining is acknowledged only once enough members know of it to inform
            # the routers. This also holds for a repeated announcement.
            await self._replicate(announcement)

    async def deregister(self, endpoint_id: str, born_ms: int | None) -> None:
        """Mark an endpoint gone; raise UnavailableError if this is not replicated.

        Without a start time, only a member that knows the endpoint can tell which
        incarnation ends.
        """
        if born_ms is None and endpoint_id not in self.directory.record_by_id:
            raise UnavailableError(f"the start time of {endpoint_id} is not known here")
        announcement = self.directory.mark_gone(endpoint_id, born_ms, self.now())
        self._record(announcement, "left")
        self.unsent_by_id[announcement.endpoint_id] = announcement
        self.on_change()
        await self._replicate(announcement)

    def merge_batch(self, batch: AnnounceBatch) -> None:
        """Merge announcements received from another member."""
        now = self.now()
        changes = [
            announcement
            for announcement in batch.announcements
            if self.directory.merge(announcement, now)
        ]
        for announcement in changes:
            self._record(announcement, "told")
        if changes:
            self.on_change()

    async def _replicate(self, announcement: Announcement) -> None:
        """Send an announcement now; raise if fewer than half of the peers accept it."""
        peers = self.peers()
        accepted = await self._send_to_all(peers, AnnounceBatch([announcement]))
        if peers and accepted * 2 < len(peers):
            raise UnavailableError(
                f"only {accepted} of {len(peers)} other members accepted the update of "
                f"endpoint {announcement.endpoint_id}"
            )

    async def _send_batches(self) -> None:
        """Send announcements to the other members at regular intervals."""
        while True:
            await sleep(ANNOUNCE_BATCH_SECONDS)
            if not self.unsent_by_id:
                continue
            batch = AnnounceBatch(list(self.unsent_by_id.values()))
            self.unsent_by_id.clear()
            await self._send_to_all(self.peers(), batch)

    async def _send_to_all(self, addresses: list[str], batch: AnnounceBatch) -> int:
        """Send announcements to members; return how many accepted them."""
        accepted: list[str] = []

        async def send(address: str) -> None:
            """Send to one member; after a failure it only gets later announcements."""
            try:
                await self.client.call(
                    address, ANNOUNCE_PATH, batch, Accepted, REPLICATE_TIMEOUT_SECONDS
                )
            except PeerError:
                return
            accepted.append(address)

        async with create_task_group() as group:
            for address in addresses:
                group.start_soon(send, address)
        return len(accepted)

    async def _expire(self) -> None:
        """Remove endpoints that timed out."""
        while True:
            await sleep(EXPIRY_CHECK_SECONDS)
            for endpoint_id in self.directory.expire(self.now()):
                self.events.record(EventCode.ENDPOINT_DROPPED, endpoint=endpoint_id)

    def _record(self, announcement: Announcement, what: str) -> None:
        """Record a change of an endpoint."""
        self.events.record(
            EventCode.ENDPOINT_CHANGED,
            endpoint=announcement.endpoint_id,
            what=what,
            state=announcement.state.value,
            born=announcement.born_ms,
            sequence=announcement.sequence,
            service=announcement.service_id,
            address=announcement.address,
        )
