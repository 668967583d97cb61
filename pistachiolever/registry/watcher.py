"""Follows the registry: one task watches each member that is known."""

from collections.abc import Callable
from typing import Protocol

from anyio import CancelScope, create_task_group, sleep
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerCaller
from pistachiolever.events.const import EventCode
from pistachiolever.events.lines import EventLines
from pistachiolever.registry.const import (
    WATCH_CALL_SECONDS,
    WATCH_PATH,
    WATCH_RETRY_SECONDS,
)
from pistachiolever.registry.models import WatchReply, WatchRequest


class RegistryListener(Protocol):
    """Takes in what the registry tells."""

    def apply_configuration(self, version: int, document: str) -> None:
        """Take in a configuration that is newer than all before."""

    def apply_announcements(self, news: list[Announcement]) -> None:
        """Take in what endpoints said."""

    def update_router_count(self, count: int) -> None:
        """Take in how many routers share the endpoints."""


@define
class RegistryWatcher:
    """Watches all members at once, so that no single one can hold news back."""

    watcher_id: str
    is_router: bool
    seeds: Callable[[], list[str]]
    caller: PeerCaller
    listener: RegistryListener
    events: EventLines
    version: int = -1
    members: list[str] = field(factory=list)
    scope_by_address: dict[str, CancelScope] = field(factory=dict)
    lost: set[str] = field(factory=set)
    _group: TaskGroup | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        async with create_task_group() as group:
            self._group = group
            while True:
                self._follow_members()
                await sleep(WATCH_RETRY_SECONDS)

    def is_connected(self) -> bool:
        """Tell whether some member answers."""
        return any(address not in self.lost for address in self.scope_by_address)

    def _follow_members(self) -> None:
        """Watch every address that is or may be a member, and no other."""
        wanted = set(self.members)
        if not wanted or wanted <= self.lost:
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
                    reply = await self.caller.call(
                        address, WATCH_PATH, request, WatchReply, WATCH_CALL_SECONDS
                    )
                except PeerError as error:
                    self._note_lost(address, error)
                    await sleep(WATCH_RETRY_SECONDS)
                    continue
                self._note_answer(address)
                self._take(reply)
                request = evolve(
                    request,
                    life=reply.life,
                    change=reply.change,
                    members=reply.members,
                )
        del self.scope_by_address[address]
        self.lost.discard(address)

    def _take(self, reply: WatchReply) -> None:
        """Hand on what is new."""
        if reply.announcements:
            self.listener.apply_announcements(reply.announcements)
        if reply.document and reply.version > self.version:
            self.version = reply.version
            self.listener.apply_configuration(reply.version, reply.document)
        if reply.members:
            self.members = reply.members
        self.listener.update_router_count(reply.routers)

    def _note_lost(self, address: str, error: PeerError) -> None:
        """Record that a member no longer answers."""
        if address not in self.lost:
            self.lost.add(address)
            self.events.record(EventCode.MEMBER_LOST, member=address, error=str(error))

    def _note_answer(self, address: str) -> None:
        """Record that a member answers again."""
        if address in self.lost:
            self.lost.discard(address)
            self.events.record(EventCode.MEMBER_FOUND, member=address)
