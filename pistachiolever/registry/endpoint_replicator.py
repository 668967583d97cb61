"""Replicates the announcements of endpoints between the members of the registry."""

from collections.abc import Awaitable, Callable

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup
from attrs import define, field

from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.fields import InvalidAnnouncementError
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
    SYNC_PATH,
    SYNC_SECONDS,
    UNCHANGED_ANNOUNCE_SECONDS,
)
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import AnnounceBatch, AnnounceReply, SyncRequest


@define
class PeerQueue:
    """Announcements that another member has not accepted yet, by endpoint."""

    unsent_by_id: dict[str, Announcement] = field(factory=dict)
    is_sending: bool = False

    def add(self, announcements: list[Announcement]) -> None:
        """Queue announcements, unless newer ones of the same endpoints are queued."""
        for announcement in announcements:
            known = self.unsent_by_id.get(announcement.endpoint_id)
            if known is None or known.sort_key < announcement.sort_key:
                self.unsent_by_id[announcement.endpoint_id] = announcement

    def pop_all(self) -> list[Announcement]:
        """Remove and return the queued announcements."""
        announcements = list(self.unsent_by_id.values())
        self.unsent_by_id.clear()
        return announcements


async def commit_nothing(announcement: Announcement) -> None:
    """Take a departure for recorded."""


@define
class EndpointReplicator:
    """The directory of one member and the announcements it has yet to send.

    `peers` returns the addresses of the other members; `on_change` is called when
    there are updates for watchers. Endpoints time out only while `may_expire` returns
    true: a member that is cut off hears of none of them. `names_service` returns
    whether the configuration names a service, None without a configuration.
    `commit_departure` returns once the disks of a majority hold that an endpoint
    leaves, or raises UnavailableError.
    """

    client: PeerClient
    events: EventLogger
    now: Callable[[], float]
    peers: Callable[[], list[str]]
    on_change: Callable[[], None]
    may_expire: Callable[[], bool] = lambda: True
    names_service: Callable[[str], bool | None] = lambda _: True
    commit_departure: Callable[[Announcement], Awaitable[None]] = commit_nothing
    directory: EndpointDirectory = field(init=False)
    queue_by_peer: dict[str, PeerQueue] = field(factory=dict)
    sent_at_by_id: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create an empty directory."""
        self.directory = EndpointDirectory(self.names_service)

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._send_batches)
            group.start_soon(self._expire_regularly)

    async def announce(self, announcement: Announcement) -> None:
        """Merge an announcement from an endpoint.

        Raise UnavailableError if a draining announcement cannot be replicated, and
        InvalidAnnouncementError if it would take the place of an endpoint for a service
        that the configuration does not name.
        """
        is_unnamed = self.names_service(announcement.service_id) is False
        if is_unnamed and self.directory.has_other_service(announcement):
            raise InvalidAnnouncementError(
                "service: is not named, and another has its id or address"
            )
        changed = self.directory.merge(announcement, self.now())
        if changed:
            self._record(announcement, "announced")
            self.on_change()
        if announcement.state is EndpointState.DRAINING:
            # Draining is acknowledged only once enough members know of it to inform
            # the routers, and no restart can undo it. This also holds for a repeated
            # announcement.
            await self._replicate(announcement)
            await self.commit_departure(announcement)
        elif changed or self._is_refresh_due(announcement):
            self._queue_for_all([announcement])

    async def deregister(self, endpoint_id: str, born_ms: int | None) -> None:
        """Mark an endpoint gone; raise UnavailableError if this is not replicated.

        Without a start time, only a member that knows the endpoint can tell which
        incarnation ends.
        """
        if born_ms is None and endpoint_id not in self.directory.record_by_id:
            raise UnavailableError(f"the start time of {endpoint_id} is not known here")
        announcement = self.directory.mark_gone(endpoint_id, born_ms, self.now())
        self._record(announcement, "left")
        self.on_change()
        await self._replicate(announcement)
        await self.commit_departure(announcement)

    def restore(self, departures: list[Announcement]) -> None:
        """Restore departures that were recorded before a restart, or elsewhere."""
        now = self.now()
        if [a for a in departures if self.directory.restore(a, now)]:
            self.on_change()

    def merge_batch(self, batch: AnnounceBatch) -> AnnounceReply:
        """Merge announcements of another member; return newer ones that it lacks."""
        self._merge_all(batch.announcements)
        known = [
            record.announcement
            for announcement in batch.announcements
            if (record := self.directory.record_by_id.get(announcement.endpoint_id))
            and record.announcement.sort_key > announcement.sort_key
        ]
        return AnnounceReply(known)

    def everything(self) -> AnnounceBatch:
        """Return the whole directory, with the ends of incarnations."""
        return AnnounceBatch(self.directory.changed_since(-1))

    async def sync(self) -> None:
        """Merge the directories of the other members, within SYNC_SECONDS.

        Without them a restarted member would take a late announcement of an endpoint
        that has left for a new one.
        """

        async def fetch(address: str) -> None:
            """Merge the directory of one member, if it responds."""
            try:
                batch = await self.client.call(
                    address, SYNC_PATH, SyncRequest(), AnnounceBatch, SYNC_SECONDS
                )
            except PeerError as error:
                self.events.record(
                    EventCode.MEMBER_LOST, member=address, error=str(error)
                )
                return
            self._merge_all(batch.announcements)

        async with create_task_group() as group:
            for address in self.peers():
                group.start_soon(fetch, address)

    def _merge_all(self, announcements: list[Announcement]) -> None:
        """Merge announcements that another member knows."""
        now = self.now()
        changes = [a for a in announcements if self.directory.merge(a, now)]
        for announcement in changes:
            self._record(announcement, "told")
        if changes:
            self.on_change()

    def _is_refresh_due(self, announcement: Announcement) -> bool:
        """Return whether the other members should hear that an endpoint is alive."""
        record = self.directory.record_by_id.get(announcement.endpoint_id)
        if record is None or record.announcement != announcement:
            return False
        sent_at = self.sent_at_by_id.get(announcement.endpoint_id, float("-inf"))
        return self.now() - sent_at >= UNCHANGED_ANNOUNCE_SECONDS

    def _queue_for_all(self, announcements: list[Announcement]) -> None:
        """Queue announcements for the next batch to each other member."""
        for announcement in announcements:
            self.sent_at_by_id[announcement.endpoint_id] = self.now()
        for queue in self._queues().values():
            queue.add(announcements)

    def _queues(self) -> dict[str, PeerQueue]:
        """Return the queues of the current peers; a new one gets the directory."""
        peers = self.peers()
        for address in self.queue_by_peer.keys() - set(peers):
            del self.queue_by_peer[address]
        for address in peers:
            if address not in self.queue_by_peer:
                queue = self.queue_by_peer[address] = PeerQueue()
                queue.add(self.directory.changed_since(-1))
        return self.queue_by_peer

    async def _replicate(self, announcement: Announcement) -> None:
        """Send an announcement now; raise if fewer than half of the peers accept it.

        The others get it with their next batches.
        """
        peers = dict(self._queues())
        accepted: list[str] = []

        async def send(address: str, queue: PeerQueue) -> None:
            """Send to one member."""
            if await self._send(address, queue, [announcement]):
                accepted.append(address)

        async with create_task_group() as group:
            for address, queue in peers.items():
                group.start_soon(send, address, queue)
        if peers and len(accepted) * 2 < len(peers):
            raise UnavailableError(
                f"only {len(accepted)} of {len(peers)} other members accepted the "
                f"update of endpoint {announcement.endpoint_id}"
            )

    async def _send_batches(self) -> None:
        """Send queued announcements to the other members at regular intervals."""
        async with create_task_group() as group:
            while True:
                await sleep(ANNOUNCE_BATCH_SECONDS)
                self._start_batches(group)

    def _start_batches(self, group: TaskGroup) -> None:
        """Start sending to each member that is not still receiving a batch."""
        for address, queue in self._queues().items():
            if queue.unsent_by_id and not queue.is_sending:
                queue.is_sending = True
                group.start_soon(self._send_batch, address, queue)

    async def _send_batch(self, address: str, queue: PeerQueue) -> None:
        """Send what is queued for one member."""
        try:
            await self._send(address, queue, queue.pop_all())
        finally:
            queue.is_sending = False

    async def _send(
        self, address: str, queue: PeerQueue, announcements: list[Announcement]
    ) -> bool:
        """Send announcements to one member; queue them again if it does not reply."""
        try:
            reply = await self.client.call(
                address,
                ANNOUNCE_PATH,
                AnnounceBatch(announcements),
                AnnounceReply,
                REPLICATE_TIMEOUT_SECONDS,
            )
        except PeerError:
            # Raft and the watchers report members that do not respond.
            queue.add(announcements)
            return False
        self._merge_all(reply.newer)
        return True

    def expire(self) -> None:
        """Remove endpoints that timed out, and tell the watchers."""
        if not self.may_expire():
            return
        removed = self.directory.expire(self.now())
        for endpoint_id in removed:
            self.sent_at_by_id.pop(endpoint_id, None)
            self.events.record(EventCode.ENDPOINT_DROPPED, endpoint=endpoint_id)
        if removed:
            self.on_change()

    async def _expire_regularly(self) -> None:
        """Remove endpoints that timed out."""
        while True:
            await sleep(EXPIRY_CHECK_SECONDS)
            self.expire()

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
            version=announcement.version,
        )
