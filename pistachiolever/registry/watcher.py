"""Watches the registry with one long-polling task for each known member."""

from collections.abc import Callable
from typing import Protocol

from anyio import CancelScope, create_task_group, sleep
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import (
    WATCH_CALL_SECONDS,
    WATCH_PATH,
    WATCH_RETRY_SECONDS,
)
from pistachiolever.registry.models import WatchReply, WatchRequest


class RegistryListener(Protocol):
    """Receives updates from the registry."""

    def apply_configuration(self, version: int, document: str) -> None:
        """Apply a configuration that is newer than all previous ones."""

    def apply_announcements(self, announcements: list[Announcement]) -> None:
        """Merge announcements of endpoints."""

    def update_router_count(self, count: int) -> None:
        """Update the number of routers that share the endpoints."""


@define
class RegistryWatcher:
    """Watches all members at once, so that none alone can delay an update."""

    watcher_id: str
    is_router: bool
    seeds: Callable[[], list[str]]
    client: PeerClient
    listener: RegistryListener
    events: EventLogger
    version: int = -1
    members: list[str] = field(factory=list)
    scope_by_address: dict[str, CancelScope] = field(factory=dict)
    unreachable: set[str] = field(factory=set)
    _group: TaskGroup | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            self._group = group
            while True:
                self._update_watches()
                await sleep(WATCH_RETRY_SECONDS)

    def is_connected(self) -> bool:
        """Return whether at least one member responds."""
        return any(address not in self.unreachable for address in self.scope_by_address)

    def _update_watches(self) -> None:
        """Start and stop tasks so that exactly the known members are watched.

        The seeds are added if no member is known or none responds.
        """
        wanted = set(self.members)
        if not wanted or wanted <= self.unreachable:
            wanted |= set(self.seeds())
        for address in wanted - self.scope_by_address.keys():
            assert self._group is not None
            self._group.start_soon(self._watch, address)
        for address in self.scope_by_address.keys() - wanted:
            self.scope_by_address[address].cancel()

    async def _watch(self, address: str) -> None:
        """Watch one member."""
        if address in self.scope_by_address:
            return
        request = WatchRequest(self.watcher_id, self.is_router, self.version)
        with CancelScope() as scope:
            self.scope_by_address[address] = scope
            while True:
                request = evolve(request, version=self.version)
                try:
                    reply = await self.client.call(
                        address, WATCH_PATH, request, WatchReply, WATCH_CALL_SECONDS
                    )
                except PeerError as error:
                    self._record_unreachable(address, error)
                    await sleep(WATCH_RETRY_SECONDS)
                    continue
                self._record_reachable(address)
                self._apply(reply)
                request = evolve(
                    request,
                    life=reply.life,
                    change=reply.change,
                    members=reply.members,
                )
        del self.scope_by_address[address]
        self.unreachable.discard(address)

    def _apply(self, reply: WatchReply) -> None:
        """Pass the updates in a reply to the listener."""
        if reply.announcements:
            self.listener.apply_announcements(reply.announcements)
        if reply.document and reply.version > self.version:
            self.version = reply.version
            self.listener.apply_configuration(reply.version, reply.document)
        if reply.members:
            self.members = reply.members
        self.listener.update_router_count(reply.routers)

    def _record_unreachable(self, address: str, error: PeerError) -> None:
        """Record that a member stopped answering."""
        if address not in self.unreachable:
            self.unreachable.add(address)
            self.events.record(EventCode.MEMBER_LOST, member=address, error=str(error))

    def _record_reachable(self, address: str) -> None:
        """Record that a member responds again."""
        if address in self.unreachable:
            self.unreachable.discard(address)
            self.events.record(EventCode.MEMBER_FOUND, member=address)
