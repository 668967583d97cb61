"""One member of the registry: its agreement, its directory and its watchers."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import Event, create_task_group, current_time, move_on_after, sleep
from attrs import define, field

from pistachiolever.control.commands import ConfigurationStored, StoreConfiguration
from pistachiolever.control.consensus import (
    ConsensusNode,
    NotLeaderError,
    OutcomeUnknownError,
)
from pistachiolever.control.state import ControlState
from pistachiolever.control.storage import Identity, LogStorage
from pistachiolever.core.ids import new_id
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import CallRefusedError, InnerFace, PeerCaller
from pistachiolever.events.const import EventCode
from pistachiolever.events.lines import EventLines
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import address_of
from pistachiolever.raft.models import Join, RaftEnvelope, Received, RoleChanged
from pistachiolever.registry.const import (
    ANNOUNCE_PATH,
    FOUNDER_LIFE,
    HAND_OVER_SECONDS,
    JOIN_PATH,
    JOIN_SECONDS,
    LEADER_CALL_SECONDS,
    LEADER_WAIT_SECONDS,
    LOST_LEADER_SECONDS,
    OPERATOR_SECONDS,
    RAFT_CALL_SECONDS,
    RAFT_PATH,
    READ_PATH,
    ROUTER_SECONDS,
    STORE_PATH,
    WATCH_HOLD_SECONDS,
    WATCH_PATH,
)
from pistachiolever.registry.endpoint_news import EndpointNews
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import (
    Accepted,
    AnnounceBatch,
    JoinReply,
    JoinRequest,
    ReadReply,
    ReadRequest,
    StoreReply,
    StoreRequest,
    WatchReply,
    WatchRequest,
)
from pistachiolever.registry.settings import RegistrySettings


class DocumentCheck(Protocol):
    """Tells the version of a configuration document."""

    def __call__(self, document: bytes) -> int:
        """Return the version; raise InvalidConfigurationError."""


@define
class MemberLink:
    """The task that sends messages of the agreement to one other member."""

    address: str
    caller: PeerCaller
    outbox: Mailbox[RaftEnvelope] = field(factory=Mailbox)

    async def run(self) -> None:
        """Send what the outbox holds; lost messages are the agreement's matter."""
        while envelopes := await self.outbox.take_all():
            try:
                await self.caller.call(
                    self.address, RAFT_PATH, envelopes, Accepted, RAFT_CALL_SECONDS
                )
            except PeerError:
                continue


@define
class RegistryProcess:
    """One member of the registry."""

    settings: RegistrySettings
    storage: LogStorage
    check: DocumentCheck
    events: EventLines
    rng: Random
    caller: PeerCaller = field(factory=PeerCaller)
    instruments: Instruments = field(factory=Instruments)
    now: Callable[[], float] = current_time
    life: str = field(init=False)
    identity: Identity = field(init=False)
    state: ControlState = field(init=False)
    core: RaftCore = field(init=False)
    agreement: ConsensusNode = field(init=False)
    endpoints: EndpointNews = field(init=False)
    link_by_member: dict[str, MemberLink] = field(factory=dict)
    new_links: Mailbox[MemberLink] = field(factory=Mailbox)
    watched_at_by_router: dict[str, float] = field(factory=dict)
    known_addresses: list[str] = field(factory=list)
    changed: Event = field(factory=Event)
    settled: bool = False
    seen_version: int = -1

    def __attrs_post_init__(self) -> None:
        """Recover from the disk."""
        self.life = new_id(self.rng)
        known = self.storage.load_identity()
        self.identity = known or self._first_identity()
        stored = self.storage.load()
        self.state = ControlState(0.0)
        if stored.snapshot.state:
            self.state.load(stored.snapshot.state)
        own = self.identity.member_id
        others = [member for member in self.identity.founders if member != own]
        self.core = RaftCore(
            own, others, self.rng, stored, starts_as_learner=not self.identity.founders
        )
        self.agreement = ConsensusNode(
            self.core, self.storage, self.state, self, self._send, self.now
        )
        self.endpoints = EndpointNews(
            self.caller, self.events, self.now, self._other_addresses, self._wake
        )
        self.known_addresses = list(self.settings.seeds)
        gauge = self.instruments.gauge
        gauge(
            "pistachiolever_configuration_version",
            lambda: self.state.configuration.version,
        )
        gauge(
            "pistachiolever_endpoints", lambda: len(self.endpoints.directory.living())
        )
        gauge("pistachiolever_routers", self._router_count)
        gauge("pistachiolever_leads", lambda: self.core.is_leader)
        gauge("pistachiolever_members", lambda: len(self.core.members))
        gauge("pistachiolever_term", lambda: self.core.term)
        self.events.record(
            EventCode.LOG_RECOVERED,
            member=own,
            founders=self.identity.founders,
            snapshot=stored.snapshot.index,
            entries=len(stored.entries),
            version=self.state.configuration.version,
        )

    def _first_identity(self) -> Identity:
        """Take an empty folder into use.

        Only a founder that is a seed counts from the start. Any other empty folder
        may be one that was lost, so it gets a new life and has to join.
        """
        address = self.settings.address
        if self.settings.founder and address in self.settings.seeds:
            founders = [f"{seed}/{FOUNDER_LIFE}" for seed in self.settings.seeds]
            identity = Identity(f"{address}/{FOUNDER_LIFE}", True, founders=founders)
        else:
            identity = Identity(f"{address}/{new_id(self.rng)[:12]}", True)
        self.storage.save_identity(identity)
        return identity

    async def run(self) -> None:
        """Work until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.agreement.run)
            group.start_soon(self._join_when_out)
            group.start_soon(self.endpoints.run)
            while links := await self.new_links.take_all():
                for link in links:
                    group.start_soon(link.run)

    async def hand_over(self) -> None:
        """Let another member lead before this one stops."""
        self.agreement.transfer_leadership()
        with move_on_after(HAND_OVER_SECONDS):
            while self.core.is_leader:
                await sleep(LEADER_WAIT_SECONDS)

    def face(self) -> InnerFace:
        """Return what answers the calls of the fleet."""
        face = InnerFace(self.caller.secret)
        face.add(RAFT_PATH, list[RaftEnvelope], self._take_raft)
        face.add(JOIN_PATH, JoinRequest, self._take_join)
        face.add(STORE_PATH, StoreRequest, self._take_store)
        face.add(READ_PATH, ReadRequest, self._take_read)
        face.add(ANNOUNCE_PATH, AnnounceBatch, self._take_announcements)
        face.add(WATCH_PATH, WatchRequest, self._take_watch)
        return face

    # Operators.

    async def store(self, document: bytes) -> int:
        """Commit a configuration; return the version then in force.

        Raise InvalidConfigurationError for one that must not be in force, and
        UnavailableError when it is not known to be committed.
        """
        version = self.check(document)
        request = StoreRequest(version, document.decode())
        with move_on_after(OPERATOR_SECONDS):
            while True:
                reply = await self._store_once(request)
                if reply is not None:
                    self.events.record(
                        EventCode.CONFIGURATION_ACKNOWLEDGED,
                        version=version,
                        in_force=reply.version,
                    )
                    return reply.version
                await sleep(LEADER_WAIT_SECONDS)
        raise UnavailableError("no leader committed the configuration in time")

    async def _store_once(self, request: StoreRequest) -> StoreReply | None:
        """Commit here or at the leader; None when that did not work."""
        try:
            if self.core.is_leader:
                return await self._commit(request)
            if not self.core.leader:
                return None
            return await self.caller.call(
                address_of(self.core.leader),
                STORE_PATH,
                request,
                StoreReply,
                LEADER_CALL_SECONDS,
            )
        except (NotLeaderError, OutcomeUnknownError, PeerError):
            return None

    async def _commit(self, request: StoreRequest) -> StoreReply:
        """Commit a configuration as the leader."""
        command = StoreConfiguration(request.version, request.document)
        result = await self.agreement.propose(command, OPERATOR_SECONDS)
        if not isinstance(result, ConfigurationStored):
            raise OutcomeUnknownError
        return StoreReply(result.version)

    async def read(self) -> ReadReply:
        """Return the newest configuration; raise UnavailableError if unsure."""
        with move_on_after(OPERATOR_SECONDS):
            while True:
                reply = await self._read_once()
                if reply is not None:
                    return reply
                await sleep(LEADER_WAIT_SECONDS)
        raise UnavailableError("no quorum confirms which configuration is newest")

    async def _read_once(self) -> ReadReply | None:
        """Read here or at the leader; None when that did not work."""
        try:
            if self.core.is_leader:
                return await self._confirmed()
            if not self.core.leader:
                return None
            return await self.caller.call(
                address_of(self.core.leader),
                READ_PATH,
                ReadRequest(),
                ReadReply,
                LEADER_CALL_SECONDS,
            )
        except (NotLeaderError, PeerError):
            return None

    async def _confirmed(self) -> ReadReply:
        """Return the configuration once a quorum confirmed that this member leads."""
        await self.agreement.read_barrier(LEADER_CALL_SECONDS)
        current = self.state.configuration
        return ReadReply(current.version, current.document)

    # The agreement.

    def _send(self, envelope: RaftEnvelope) -> None:
        """Leave a message for the task that sends to its receiver."""
        link = self.link_by_member.get(envelope.receiver)
        if link is None:
            link = MemberLink(address_of(envelope.receiver), self.caller)
            self.link_by_member[envelope.receiver] = link
            self.new_links.put(link)
        link.outbox.put(envelope)

    async def _join_when_out(self) -> None:
        """Ask to be taken in while this member does not count or hears no leader."""
        while True:
            await sleep(JOIN_SECONDS)
            silent = self.now() - self.core.last_contact_at
            is_out = self.core.member_id not in self.core.members
            if self.core.is_leader or not (is_out or silent > LOST_LEADER_SECONDS):
                continue
            async with create_task_group() as group:
                for address in self._other_addresses():
                    group.start_soon(self._ask_to_join, address)

    async def _ask_to_join(self, address: str) -> None:
        """Ask one member; learn the others from its answer."""
        request = JoinRequest(self.core.member_id)
        try:
            reply = await self.caller.call(
                address, JOIN_PATH, request, JoinReply, JOIN_SECONDS
            )
        except PeerError:
            return
        for member in reply.members:
            if address_of(member) not in self.known_addresses:
                self.known_addresses.append(address_of(member))

    def _other_addresses(self) -> list[str]:
        """Return where other members are, or may be while none is known."""
        addresses = [address_of(member) for member in self.core.members]
        if self.core.member_id not in self.core.members:
            addresses.extend(self.known_addresses)
        unique = dict.fromkeys(addresses)
        unique.pop(self.settings.address, None)
        return list(unique)

    # What the agreement tells.

    def applied(self) -> None:
        """Tell watchers of a new configuration."""
        version = self.state.configuration.version
        if version != self.seen_version:
            self.seen_version = version
            self.events.record(
                EventCode.CONFIGURATION_COMMITTED,
                version=version,
                index=self.core.applied_index,
                term=self.core.term,
            )
        self._settle()
        self._wake()

    def members_changed(self, members: list[str]) -> None:
        """Tell watchers where the members are."""
        self.events.record(EventCode.MEMBERS_CHANGED, members=members)
        for member in [m for m in self.link_by_member if m not in members]:
            if address_of(member) in {address_of(m) for m in members}:
                self.link_by_member.pop(member).outbox.close()
        self._wake()

    def role_changed(self, action: RoleChanged) -> None:
        """Record who leads."""
        self.events.record(
            EventCode.LEADER_CHANGED,
            leads=action.is_leader,
            term=action.term,
            leader=action.leader,
        )

    def disk_failed(self, error: OSError) -> None:
        """Record that the disk refused a write."""
        self.events.record(EventCode.DISK_FAILED, error=str(error))

    def _settle(self) -> None:
        """Note that something was committed in the term that is known here."""
        core = self.core
        if not self.settled and core.log.term_at(core.applied_index) == core.term:
            self.settled = True

    def _wake(self) -> None:
        """Wake those who wait for news."""
        changed, self.changed = self.changed, Event()
        changed.set()

    # Calls of the fleet.

    async def _take_raft(self, envelopes: list[RaftEnvelope]) -> Accepted:
        """Take messages of another member."""
        for envelope in envelopes:
            self.agreement.inbox.put(Received(envelope))
        return Accepted()

    async def _take_join(self, request: JoinRequest) -> JoinReply:
        """Take in another member if this one leads; tell who the members are."""
        self.agreement.inbox.put(Join(request.member_id))
        return JoinReply(list(self.core.members))

    async def _take_store(self, request: StoreRequest) -> StoreReply:
        """Commit a configuration for another member."""
        try:
            return await self._commit(request)
        except (NotLeaderError, OutcomeUnknownError) as error:
            raise CallRefusedError(409) from error

    async def _take_read(self, _request: ReadRequest) -> ReadReply:
        """Read for another member."""
        try:
            return await self._confirmed()
        except NotLeaderError as error:
            raise CallRefusedError(409) from error

    async def _take_announcements(self, batch: AnnounceBatch) -> Accepted:
        """Merge what another member heard."""
        self.endpoints.hear(batch)
        return Accepted()

    async def _take_watch(self, request: WatchRequest) -> WatchReply:
        """Answer as soon as there is news, or after the hold."""
        if request.is_router:
            self.watched_at_by_router[request.watcher_id] = self.now()
        with move_on_after(WATCH_HOLD_SECONDS):
            while not self._has_news(request):
                await self.changed.wait()
        if request.is_router:
            self.watched_at_by_router[request.watcher_id] = self.now()
        return self._news(request)

    def _has_news(self, request: WatchRequest) -> bool:
        """Tell whether a watcher lacks anything."""
        return (
            request.life != self.life
            or self.endpoints.directory.change > request.change
            or (self.settled and self.state.configuration.version > request.version)
            or self._member_addresses() != request.members
        )

    def _news(self, request: WatchRequest) -> WatchReply:
        """Return what a watcher lacks."""
        current = self.state.configuration
        is_newer = self.settled and current.version > request.version
        known = request.change if request.life == self.life else -1
        return WatchReply(
            self.life,
            self.endpoints.directory.change,
            self._member_addresses(),
            self._router_count(),
            current.version if is_newer else -1,
            current.document if is_newer else "",
            self.endpoints.directory.after(known),
        )

    def _member_addresses(self) -> list[str]:
        """Return the addresses that watchers should watch."""
        return [address_of(member) for member in self.core.members]

    def _router_count(self) -> int:
        """Return how many routers watched lately."""
        limit = self.now() - ROUTER_SECONDS
        for router, at in list(self.watched_at_by_router.items()):
            if at < limit:
                del self.watched_at_by_router[router]
        return len(self.watched_at_by_router)
