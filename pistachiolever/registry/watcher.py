"""Watches the registry by long polls of the preferred members."""

from collections.abc import Callable
from typing import Protocol

from anyio import CancelScope, create_task_group, current_time, sleep
from anyio.abc import TaskGroup
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import (
    WATCH_CALL_SECONDS,
    WATCH_PATH,
    WATCH_RETRY_SECONDS,
    WATCHED_MEMBERS,
)
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.models import WatchReply, WatchRequest
from pistachiolever.usage.models import UsageUpdate


class RegistryListener(Protocol):
    """Receives updates from the registry."""

    def apply_configuration(self, version: int, document: str) -> None:
        """Apply a configuration that is newer than all previous ones."""

    def apply_evacuations(self, orders: EvacuationOrders) -> None:
        """Apply orders of evacuation, unless newer ones are known."""

    def apply_announcements(self, announcements: list[Announcement]) -> None:
        """Merge announcements of endpoints."""

    def apply_expired(self, announcements: list[Announcement]) -> None:
        """Apply that the registry has not heard of endpoints for long."""

    def apply_usage(self, update: UsageUpdate) -> None:
        """Apply what has changed in the accounts' usage and the endpoints' loads."""

    def update_router_count(self, count: int) -> None:
        """Update the number of routers that share the endpoints."""


@define
class RegistryWatcher:
    """Watches WATCHED_MEMBERS members, so that none alone can delay an update.

    The first one also tells the sums of usage and the loads. A configuration is applied
    only once orders of evacuation are known (`evacuations` is then their revision, at
    least 0): a restarted router serves nothing before. Siblings learn from the members
    the `forward_address` of a router.
    """

    choice: MemberChoice
    client: PeerClient
    listener: RegistryListener
    events: EventLogger
    now: Callable[[], float] = current_time
    version: int = -1
    evacuations: int = -1
    forward_address: str = ""
    primary: str = ""
    scope_by_address: dict[str, CancelScope] = field(factory=dict)
    _group: TaskGroup | None = None

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            self._group = group
            while True:
                self._update_watches()
                await sleep(WATCH_RETRY_SECONDS)

    def is_connected(self) -> bool:
        """Return whether at least one watched member responds."""
        failed = self.choice.failures_by_address
        return any(address not in failed for address in self.scope_by_address)

    def _update_watches(self) -> None:
        """Start and stop tasks so that exactly the preferred members are watched."""
        wanted = self.choice.choose(WATCHED_MEMBERS, self.now())
        self.primary = wanted[0] if wanted else ""
        for address in wanted:
            if address not in self.scope_by_address:
                assert self._group is not None
                self._group.start_soon(self._watch, address)
        for address in self.scope_by_address.keys() - set(wanted):
            self.scope_by_address[address].cancel()

    async def _watch(self, address: str) -> None:
        """Watch one member."""
        if address in self.scope_by_address:
            return
        request = WatchRequest(
            self.choice.process_id,
            self.version,
            domain=self.choice.failure_domain,
            forward_address=self.forward_address,
        )
        with CancelScope() as scope:
            self.scope_by_address[address] = scope
            while True:
                request = evolve(
                    request,
                    version=self.version,
                    evacuations=self.evacuations,
                    wants_usage=address == self.primary,
                )
                try:
                    reply = await self.client.call(
                        address, WATCH_PATH, request, WatchReply, WATCH_CALL_SECONDS
                    )
                except PeerError as error:
                    self._record_failure(address, error)
                    await sleep(WATCH_RETRY_SECONDS)
                    continue
                if self.choice.record_reply(address, reply.behind):
                    self.events.record(EventCode.MEMBER_FOUND, member=address)
                self._apply(reply)
                request = evolve(
                    request,
                    life=reply.life,
                    change=reply.change,
                    usage=reply.usage.number if reply.usage else -1,
                    members=reply.members,
                )
                if reply.document and self.version < reply.version:
                    # A member of an earlier version sends no orders of evacuation.
                    await sleep(WATCH_RETRY_SECONDS)
        del self.scope_by_address[address]

    def _apply(self, reply: WatchReply) -> None:
        """Pass the updates in a reply to the listener."""
        if reply.evacuations is not None:
            self.evacuations = max(self.evacuations, reply.evacuations.revision)
            self.listener.apply_evacuations(reply.evacuations)
        if reply.announcements:
            self.listener.apply_announcements(reply.announcements)
        if reply.expired:
            self.listener.apply_expired(reply.expired)
        is_newer = reply.document and reply.version > self.version
        if is_newer and self.evacuations >= 0:
            self.version = reply.version
            self.listener.apply_configuration(reply.version, reply.document)
        if reply.members:
            self.choice.update_members(reply.members)
        if reply.usage is not None:
            self.listener.apply_usage(reply.usage)
        self.listener.update_router_count(reply.routers)

    def _record_failure(self, address: str, error: PeerError) -> None:
        """Record that a member did not reply; log the first time."""
        if self.choice.record_failure(address, self.now()):
            self.events.record(EventCode.MEMBER_LOST, member=address, error=str(error))
