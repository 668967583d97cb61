"""Serves watchers: holds their requests until there are updates."""

from collections.abc import Callable
from random import Random

from anyio import Event, move_on_after, sleep
from attrs import define, field

from pistachiolever.control.state import ControlState
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement
from pistachiolever.forwarding.directory import SiblingDirectory
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import address_of
from pistachiolever.registry.const import (
    DIRECTORY_PUBLISH_SECONDS,
    QUORUM_CONTACT_SECONDS,
    WATCH_HOLD_SECONDS,
)
from pistachiolever.registry.models import MemberInfo, WatchReply, WatchRequest
from pistachiolever.usage.aggregate import UsageAggregate


@define
class WatchService:
    """What one member tells its watchers.

    `caught_up` is true once an entry of the current term was applied since the start,
    `synced` once the directory was filled. Before that, and while the member is out of
    touch with a quorum, what it knows may be older than what was acknowledged. It tells
    nothing of endpoints before both: they may have left, by the log or by the others.
    """

    core: RaftCore
    state: ControlState
    directory: EndpointDirectory
    aggregate: UsageAggregate
    now: Callable[[], float]
    rng: Random
    caught_up: bool = False
    synced: bool = False
    changed: Event = field(factory=Event)
    directory_changed: Event = field(factory=Event)
    published_change: int = 0
    siblings: SiblingDirectory = field(factory=SiblingDirectory)
    _changes_since: dict[int, list[Announcement]] = field(factory=dict)

    async def run(self) -> None:
        """Publish changes of the directory until cancelled.

        While many endpoints announce themselves, watchers get their changes together.
        """
        while True:
            await self.directory_changed.wait()
            self.directory_changed = Event()
            self.publish_directory()
            await sleep(DIRECTORY_PUBLISH_SECONDS)

    def publish_directory(self) -> None:
        """Let watchers see the directory as it is now, once departures are known."""
        if not self._knows_departures():
            return
        self.published_change = self.directory.change_number
        self._changes_since.clear()
        self.notify()

    def notify(self) -> None:
        """Wake the requests that wait for updates."""
        changed, self.changed = self.changed, Event()
        changed.set()

    def handle_applied(self) -> None:
        """Check whether the configuration is current; wake the waiting requests."""
        core = self.core
        if not self.caught_up and core.log.term_at(core.applied_index) == core.term:
            self.caught_up = True
            # A watcher must not get the configuration before the departures.
            self.publish_directory()
        self.notify()

    def _knows_departures(self) -> bool:
        """Return whether all departures acknowledged before the start are known."""
        return self.synced and self.caught_up

    def members(self) -> list[MemberInfo]:
        """Return the voters, of which watchers should watch some."""
        addresses = [address_of(member) for member in self.core.members]
        return [MemberInfo(a, self.aggregate.domain_of(a)) for a in addresses]

    def is_behind(self) -> bool:
        """Return whether this member may miss what was committed recently."""
        silent_seconds = self.now() - self.core.last_quorum_contact()
        return silent_seconds > QUORUM_CONTACT_SECONDS

    async def handle_watch(self, request: WatchRequest) -> WatchReply:
        """Reply when there are updates, or after WATCH_HOLD_SECONDS."""
        self.aggregate.record_router(request.watcher_id, self.now())
        if request.forward_address:
            self.siblings.record(request.domain, request.forward_address, self.now())
        with move_on_after(WATCH_HOLD_SECONDS):
            while not self._has_updates(request):
                await self.changed.wait()
        return self._make_reply(request)

    def _has_updates(self, request: WatchRequest) -> bool:
        """Return whether there are updates for a watcher."""
        if not self.synced:
            return False
        return (
            request.life != self.aggregate.life
            or self.published_change > request.change
            or self._has_newer_configuration(request)
            or self._has_newer_evacuations(request)
            or (request.wants_usage and self.aggregate.number > request.usage)
            or self.members() != request.members
        )

    def _announcements_since(self, change: int) -> list[Announcement]:
        """Return what has changed in the directory since a watcher's last reply.

        It may be newer than what is published; then the watcher gets it twice.
        """
        if change >= self.published_change or not self._knows_departures():
            return []
        known = self._changes_since.get(change)
        if known is None:
            known = self._changes_since[change] = self.directory.changed_since(change)
        return known

    def _expired_since(self, change: int) -> list[Announcement]:
        """Return the endpoints that timed out since a watcher's last reply."""
        if change >= self.published_change or not self._knows_departures():
            return []
        return self.directory.expired_since(change)

    def _has_newer_configuration(self, request: WatchRequest) -> bool:
        """Return whether there is a configuration that may be sent to a watcher."""
        if self.state.configuration.version <= request.version:
            return False
        return self.caught_up and not self.is_behind()

    def _has_newer_evacuations(self, request: WatchRequest) -> bool:
        """Return whether there are orders of evacuation to send to a watcher."""
        known = request.evacuations
        if known is None or self.state.evacuations.revision <= known:
            return False
        return self.caught_up and not self.is_behind()

    def _make_reply(self, request: WatchRequest) -> WatchReply:
        """Return the updates for a watcher."""
        current, now = self.state.configuration, self.now()
        is_newer = self._has_newer_configuration(request)
        knows = request.life == self.aggregate.life
        usage = None
        if request.wants_usage:
            known = request.usage if knows else -1
            usage = self.aggregate.update_since(known, now, self.rng)
        return WatchReply(
            self.aggregate.life,
            self.published_change,
            self.members(),
            self.aggregate.router_count(now),
            current.version if is_newer else -1,
            current.document if is_newer else "",
            self._announcements_since(request.change if knows else -1),
            usage,
            self.is_behind(),
            self._expired_since(request.change) if knows else [],
            self.state.evacuations if self._has_newer_evacuations(request) else None,
        )
