"""One member of the registry: consensus, endpoint directory and watchers."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

from anyio import create_task_group, current_time, move_on_after, sleep
from attrs import define, field

from pistachiolever.control.commands import RecordDeparture
from pistachiolever.control.consensus import ConsensusNode
from pistachiolever.control.raft_sender import RaftSender
from pistachiolever.control.state import ControlState
from pistachiolever.control.storage import Identity, LogStorage
from pistachiolever.core.ids import new_id
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.discovery.models import Announcement
from pistachiolever.edge.errors import CallRefusedError, PeerError
from pistachiolever.edge.peers import PeerApi, PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.forwarding.models import SiblingQuery, SiblingReply
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import address_of
from pistachiolever.raft.models import Join, RaftEnvelope, Received, RoleChanged
from pistachiolever.registry.const import (
    ANNOUNCE_PATH,
    DEPARTURE_COMMIT_SECONDS,
    DIGEST_PATH,
    FOUNDER_INCARNATION,
    JOIN_PATH,
    JOIN_SECONDS,
    LEADER_RETRY_SECONDS,
    LEADER_TIMEOUT_SECONDS,
    LEADER_TRANSFER_SECONDS,
    RAFT_CALL_SECONDS,
    RAFT_PATH,
    RECORD_PATH,
    REPORT_PATH,
    SIBLINGS_PATH,
    STREAMS_PATH,
    SYNC_PATH,
    WATCH_PATH,
)
from pistachiolever.registry.endpoint_replicator import EndpointReplicator
from pistachiolever.registry.evacuation_calls import EvacuationCalls
from pistachiolever.registry.leader_calls import LeaderCalls
from pistachiolever.registry.models import (
    Accepted,
    AnnounceBatch,
    AnnounceReply,
    JoinReply,
    JoinRequest,
    ReadReply,
    ReportReply,
    StoreRequest,
    SyncRequest,
    WatchRequest,
)
from pistachiolever.registry.settings import RegistrySettings
from pistachiolever.registry.stream_store import StreamStore
from pistachiolever.registry.usage_exchange import UsageExchange
from pistachiolever.registry.version_store import VersionStore
from pistachiolever.registry.watch_service import WatchService
from pistachiolever.streams.const import COMPLETE_HISTORY_MS
from pistachiolever.streams.journal import StreamJournal
from pistachiolever.streams.models import StreamQuery, StreamRecords, StreamReply
from pistachiolever.streams.version_history import VersionHistory
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.models import AgentReport, DigestReply, MemberDigest


class DocumentValidator(Protocol):
    """Validates a configuration document and reads its version."""

    def __call__(self, document: bytes) -> int:
        """Return the version; raise InvalidConfigurationError."""


def name_no_services(document: str) -> set[str]:
    """Return that the services of a configuration are not known."""
    return set()


@define
class RegistryProcess:
    """One member of the registry.

    `incarnation` identifies this run of the process. The incarnation in a member id
    identifies a data folder instead. `service_ids` returns the services that a
    configuration names, none if they are not known.
    """

    settings: RegistrySettings
    storage: LogStorage
    validate: DocumentValidator
    events: EventLogger
    rng: Random
    client: PeerClient = field(factory=PeerClient)
    instruments: Instruments = field(factory=Instruments)
    now: Callable[[], float] = current_time
    service_ids: Callable[[str], set[str]] = name_no_services
    incarnation: str = field(init=False)
    started_at: float = field(init=False)
    identity: Identity = field(init=False)
    state: ControlState = field(init=False)
    core: RaftCore = field(init=False)
    consensus: ConsensusNode = field(init=False)
    leader_calls: LeaderCalls = field(init=False)
    evacuations: EvacuationCalls = field(init=False)
    endpoints: EndpointReplicator = field(init=False)
    watches: WatchService = field(init=False)
    usage: UsageExchange = field(init=False)
    streams: StreamStore = field(init=False)
    versions: VersionStore = field(init=False)
    sender_by_member: dict[str, RaftSender] = field(factory=dict)
    new_senders: Mailbox[RaftSender] = field(factory=Mailbox)
    known_addresses: list[str] = field(factory=list)
    recorded_version: int = -1
    named_version: int = -1
    named_services: set[str] = field(factory=set)
    restored_departures: int = 0

    def __attrs_post_init__(self) -> None:
        """Restore the state from disk."""
        self.incarnation = new_id(self.rng)
        self.started_at = self.now()
        known = self.storage.load_identity()
        self.identity = known or self._create_identity()
        stored = self.storage.load()
        self.state = ControlState(0.0)
        if stored.snapshot.state:
            self.state.load(stored.snapshot.state)
        own, founders = self.identity.member_id, self.identity.founders
        others = [member for member in founders if member != own]
        self.core = RaftCore(
            own, others, self.rng, stored, starts_as_learner=not founders
        )
        self.consensus = ConsensusNode(
            self.core, self.storage, self.state, self, self._send, self.now
        )
        self.leader_calls = LeaderCalls(
            self.core, self.consensus, self.state, self.client
        )
        self.evacuations = EvacuationCalls(self.leader_calls, self.state, self.events)
        self.endpoints = EndpointReplicator(
            self.client,
            self.events,
            self.now,
            self._other_addresses,
            self._notify_directory,
            lambda: not self.watches.is_behind(),
            self._names_service,
            self._commit_departure,
        )
        aggregate = UsageAggregate(
            self.settings.address, self.incarnation, self.settings.failure_domain
        )
        self.watches = WatchService(
            self.core,
            self.state,
            self.endpoints.directory,
            aggregate,
            self.now,
            self.rng,
        )
        self.usage = UsageExchange(
            aggregate,
            self.client,
            self.now,
            self._other_addresses,
            self.watches.notify,
        )
        self.streams = StreamStore(
            StreamJournal(aggregate.streams), self.storage.disk, self.events, self.now
        )
        self.versions = VersionStore(
            VersionHistory(),
            self.storage.disk,
            self.events,
            self.endpoints.directory.remembered_versions,
            self.now,
        )
        self._restore_departures()
        self.known_addresses = list(self.settings.seeds)
        gauge = self.instruments.gauge
        gauge(
            "pistachiolever_configuration_version",
            lambda: self.state.configuration.version,
        )
        gauge(
            "pistachiolever_endpoints", lambda: len(self.endpoints.directory.active())
        )
        gauge("pistachiolever_routers", lambda: aggregate.router_count(self.now()))
        gauge("pistachiolever_evacuated_domains", self.evacuations.count)
        gauge("pistachiolever_leads", lambda: self.core.is_leader)
        gauge("pistachiolever_members", lambda: len(self.core.members))
        gauge("pistachiolever_streams", lambda: len(aggregate.streams.record_by_key))
        gauge("pistachiolever_term", lambda: self.core.term)
        self.events.record(
            EventCode.LOG_RECOVERED,
            member=own,
            founders=founders,
            snapshot=stored.snapshot.index,
            entries=len(stored.entries),
            version=self.state.configuration.version,
            streams=self.streams.load(),
        )
        self._restore_versions(is_new_fleet=known is None and bool(founders))

    def _restore_versions(self, is_new_fleet: bool) -> None:
        """Restore which versions served before a restart."""
        history = self.versions.history
        self.versions.load(is_new_fleet)
        if self.streams.is_damaged:
            history.is_complete = False
        self.endpoints.directory.restore_versions(
            history.versions_by_service, self.now()
        )

    def _notify_directory(self) -> None:
        """Handle a change of the endpoint directory."""
        self.watches.directory_changed.set()
        self.versions.notify()

    def _create_identity(self) -> Identity:
        """Create the identity of a member whose data folder is empty.

        Only a founder that is one of the seeds is a voter from the start. Any other
        empty folder may replace a lost disk, so the member gets a new incarnation and
        has to join.
        """
        address = self.settings.address
        if self.settings.founder and address in self.settings.seeds:
            founders = [f"{seed}/{FOUNDER_INCARNATION}" for seed in self.settings.seeds]
            identity = Identity(
                f"{address}/{FOUNDER_INCARNATION}", True, founders=founders
            )
        else:
            identity = Identity(f"{address}/{new_id(self.rng)[:12]}", True)
        self.storage.save_identity(identity)
        return identity

    async def run(self) -> None:
        """Run until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.consensus.run)
            group.start_soon(self._join_when_needed)
            group.start_soon(self.endpoints.run)
            group.start_soon(self.usage.run)
            group.start_soon(self.watches.run)
            group.start_soon(self.streams.run)
            group.start_soon(self.versions.run)
            group.start_soon(self._sync_endpoints)
            while senders := await self.new_senders.get_all():
                for sender in senders:
                    group.start_soon(sender.run)

    async def _sync_endpoints(self) -> None:
        """Fill the directory after the start, then serve watchers."""
        await self.endpoints.sync()
        self.watches.synced = True
        self.watches.publish_directory()

    async def transfer_leadership(self) -> None:
        """Let another member become leader before this one stops."""
        self.consensus.transfer_leadership()
        with move_on_after(LEADER_TRANSFER_SECONDS):
            while self.core.is_leader:
                await sleep(LEADER_RETRY_SECONDS)

    def api(self) -> PeerApi:
        """Return the API for calls of other members and of watchers."""
        api = PeerApi(self.client.secret)
        api.add(RAFT_PATH, list[RaftEnvelope], self._handle_raft)
        api.add(JOIN_PATH, JoinRequest, self._handle_join)
        self.leader_calls.add_to(api)
        api.add(ANNOUNCE_PATH, AnnounceBatch, self._handle_announcements)
        api.add(SYNC_PATH, SyncRequest, self._handle_sync)
        api.add(WATCH_PATH, WatchRequest, self.watches.handle_watch)
        api.add(REPORT_PATH, AgentReport, self._handle_report)
        api.add(DIGEST_PATH, MemberDigest, self._handle_digest)
        api.add(STREAMS_PATH, StreamQuery, self._handle_stream_query)
        api.add(RECORD_PATH, StreamRecords, self._handle_records)
        api.add(SIBLINGS_PATH, SiblingQuery, self._handle_sibling_query)
        return api

    # Calls of operators.

    async def store(self, document: bytes) -> int:
        """Commit a configuration; return the version then in force.

        Raise InvalidConfigurationError if the document is invalid, and
        UnavailableError if it may not have been committed.
        """
        version = self.validate(document)
        request = StoreRequest(version, document.decode())
        reply = await self.leader_calls.store(request)
        self.events.record(
            EventCode.CONFIGURATION_ACKNOWLEDGED,
            version=version,
            in_force=reply.version,
        )
        return reply.version

    async def read(self) -> ReadReply:
        """Return the newest configuration; raise UnavailableError if unconfirmed."""
        return await self.leader_calls.read()

    async def _commit_departure(self, announcement: Announcement) -> None:
        """Commit that an endpoint leaves; raise UnavailableError if it may not be.

        A restart of all members would otherwise forget it, and a late announcement
        would make the endpoint ready again.
        """
        if not self.state.knows_departure(announcement):
            await self.leader_calls.commit(
                RecordDeparture(announcement), DEPARTURE_COMMIT_SECONDS
            )

    # Raft messages and membership.

    def _send(self, envelope: RaftEnvelope) -> None:
        """Queue a message for the task that sends to its receiver."""
        sender = self.sender_by_member.get(envelope.receiver)
        if sender is None:
            address = address_of(envelope.receiver)
            sender = RaftSender(partial(self._call_member, address))
            self.sender_by_member[envelope.receiver] = sender
            self.new_senders.put(sender)
        sender.outbox.put(envelope)

    async def _call_member(self, address: str, envelopes: list[RaftEnvelope]) -> None:
        """Send Raft messages to another member."""
        await self.client.call(
            address, RAFT_PATH, envelopes, Accepted, RAFT_CALL_SECONDS
        )

    async def _join_when_needed(self) -> None:
        """Send join requests while this member is a learner or has lost its leader."""
        while True:
            await sleep(JOIN_SECONDS)
            since_leader = self.now() - self.core.last_contact_at
            is_learner = self.core.member_id not in self.core.members
            if self.core.is_leader or not (
                is_learner or since_leader > LEADER_TIMEOUT_SECONDS
            ):
                continue
            async with create_task_group() as group:
                for address in self._other_addresses():
                    group.start_soon(self._request_join, address)

    async def _request_join(self, address: str) -> None:
        """Send a join request to one member; add the members that its reply names."""
        request = JoinRequest(self.core.member_id)
        try:
            reply = await self.client.call(
                address, JOIN_PATH, request, JoinReply, JOIN_SECONDS
            )
        except PeerError:
            return
        for member in reply.members:
            if address_of(member) not in self.known_addresses:
                self.known_addresses.append(address_of(member))

    def _other_addresses(self) -> list[str]:
        """Return the addresses of the other voters.

        For a learner also those of the seeds and of members named in join replies.
        """
        addresses = [address_of(member) for member in self.core.members]
        if self.core.member_id not in self.core.members:
            addresses.extend(self.known_addresses)
        unique = dict.fromkeys(addresses)
        unique.pop(self.settings.address, None)
        return list(unique)

    def _names_service(self, service_id: str) -> bool | None:
        """Return whether the configuration names a service, None if none is known."""
        current = self.state.configuration
        if current.version > self.named_version:
            self.named_version = current.version
            self.named_services = self.service_ids(current.document)
        return service_id in self.named_services if self.named_services else None

    # Notifications from consensus.

    def applied(self) -> None:
        """Record a newly committed configuration and notify the watchers."""
        version = self.state.configuration.version
        if version != self.recorded_version:
            self.recorded_version = version
            self.events.record(
                EventCode.CONFIGURATION_COMMITTED,
                version=version,
                index=self.core.applied_index,
                term=self.core.term,
            )
        self._restore_departures()
        was_caught_up = self.watches.caught_up
        self.watches.handle_applied()
        if self.watches.caught_up and not was_caught_up:
            self.events.record(
                EventCode.MEMBER_CAUGHT_UP,
                seconds=round(self.now() - self.started_at, 3),
                index=self.core.applied_index,
                departures=len(self.state.departure_by_endpoint),
            )

    def _restore_departures(self) -> None:
        """Let the directory know what was committed of endpoints that leave."""
        if self.state.departure_count == self.restored_departures:
            return
        self.restored_departures = self.state.departure_count
        self.endpoints.restore(list(self.state.departure_by_endpoint.values()))

    def members_changed(self, members: list[str]) -> None:
        """Record the new voters, stop sending to replaced ones, notify the watchers."""
        self.events.record(EventCode.MEMBERS_CHANGED, members=members)
        for member in [m for m in self.sender_by_member if m not in members]:
            if address_of(member) in {address_of(m) for m in members}:
                self.sender_by_member.pop(member).outbox.close()
        self.watches.notify()

    def role_changed(self, action: RoleChanged) -> None:
        """Record the current leader."""
        self.events.record(
            EventCode.LEADER_CHANGED,
            leads=action.is_leader,
            term=action.term,
            leader=action.leader,
        )

    def disk_failed(self, error: OSError) -> None:
        """Record a failed write to disk."""
        self.events.record(EventCode.DISK_FAILED, error=str(error))

    # Calls of other members and of watchers.

    async def _handle_raft(self, envelopes: list[RaftEnvelope]) -> Accepted:
        """Handle Raft messages from another member."""
        for envelope in envelopes:
            self.consensus.inbox.put(Received(envelope))
        return Accepted()

    async def _handle_join(self, request: JoinRequest) -> JoinReply:
        """Pass on a join request to consensus; return the current voters."""
        self.consensus.inbox.put(Join(request.member_id))
        return JoinReply(list(self.core.members))

    async def _handle_announcements(self, batch: AnnounceBatch) -> AnnounceReply:
        """Merge announcements received by another member."""
        return self.endpoints.merge_batch(batch)

    async def _handle_sync(self, _request: SyncRequest) -> AnnounceBatch:
        """Return the endpoint directory to a member that has restarted."""
        return self.endpoints.everything()

    async def _handle_report(self, report: AgentReport) -> ReportReply:
        """Apply an agent's report of usage and load."""
        self.streams.add(self.usage.aggregate.handle_report(report, self.now()))
        watches = self.watches
        return ReportReply(self.incarnation, watches.members(), watches.is_behind())

    async def _handle_digest(self, digest: MemberDigest) -> DigestReply:
        """Apply another member's digest of usage and loads."""
        return self.usage.handle_digest(digest)

    async def _handle_sibling_query(self, query: SiblingQuery) -> SiblingReply:
        """Tell a router which others of its failure domain watch this member."""
        siblings = self.watches.siblings
        return SiblingReply(siblings.find(query.domain, self.now(), self.rng))

    async def _handle_stream_query(self, query: StreamQuery) -> StreamReply:
        """Tell a router where streams began, and which versions have served."""
        now = self.now()
        seen_from = now - query.window_ms / 1000
        directory = self.endpoints.directory
        history = self.versions.history
        observed_ms = round((now - self.started_at) * 1000)
        if history.is_complete:
            observed_ms = COMPLETE_HISTORY_MS
        if not self.watches.synced or self.watches.is_behind():
            observed_ms = 0
        return StreamReply(
            self.usage.aggregate.streams.pack(query.keys, now),
            {
                service_id: sorted(directory.versions(service_id, seen_from))
                for service_id in query.service_ids
            },
            observed_ms,
            history.saved_versions(query.service_ids),
            history.saved_bases(query.service_ids),
        )

    async def _handle_records(self, records: StreamRecords) -> Accepted:
        """Keep streams on disk whose events a router is about to forward."""
        table = self.usage.aggregate.streams
        table.merge(records.streams, self.now())
        if not await self.streams.save(records.streams):
            raise CallRefusedError(503, "the disk does not keep streams")
        return Accepted()
