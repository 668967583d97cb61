"""A control process: its storage, its Raft messages to peers and its state."""

from functools import partial

from anyio import Event, create_task_group, sleep
from attrs import define, field

from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.commands import Command
from pistachiolever.control.consensus import ConsensusNode, NotLeaderError
from pistachiolever.control.const import PROPOSE_TIMEOUT_SECONDS
from pistachiolever.control.coordinator import FleetCoordinator
from pistachiolever.control.directory import Directory
from pistachiolever.control.raft_sender import RaftSender
from pistachiolever.control.state import ControlState, Result
from pistachiolever.control.storage import Identity, LogStorage
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext
from pistachiolever.events.const import EventCode
from pistachiolever.raft.const import RAFT_TICK_SECONDS
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import RaftEnvelope, Received, RoleChanged
from pistachiolever.settings.models import ControlSettings
from pistachiolever.wire.const import RAFT_PATH


@define
class ControlProcess:
    """One control process: a Raft member that coordinates the fleet while it leads."""

    context: ProcessContext
    settings: ControlSettings
    client: FleetClient
    storage: LogStorage
    state: ControlState = field(init=False)
    core: RaftCore = field(init=False)
    coordinator: FleetCoordinator | None = None
    consensus: ConsensusNode = field(init=False)
    sender_by_member: dict[str, RaftSender] = field(factory=dict)
    unknown_senders: set[str] = field(factory=set)
    notified_revision: int = 0
    revision_changed: Event = field(factory=Event)
    stopped: Event = field(factory=Event)
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        """Recover the state from disk."""
        identity = self.storage.load_identity()
        if identity is None:
            identity = self._create_identity()
        stored = self.storage.load()
        addresses = self.context.settings.control_addresses
        own = self.context.settings.address
        self.state = ControlState(self.settings.claim_window_seconds)
        if stored.snapshot.state:
            self.state.load(stored.snapshot.state)
        # Members are identified by address, because the settings list only the
        # addresses of other control processes.
        others = [address for address in addresses if address != own]
        self.core = RaftCore(own, others, self.context.rng, stored, identity.may_vote)
        self.consensus = ConsensusNode(
            self.core, self.storage, self.state, self, self._send, self.context.now
        )
        self.notified_revision = self._revision()
        self.sender_by_member = {
            address: RaftSender(partial(self._call_member, address))
            for address in others
        }
        self.context.recorder.record(
            EventCode.LOG_RECOVERED,
            detail=f"snapshot={stored.snapshot.index} entries={len(stored.entries)} "
            f"may_vote={identity.may_vote}",
        )

    def _create_identity(self) -> Identity:
        """Create the identity of a folder that the `init` command has not set up.

        It may replace a lost folder, so it may vote only if there is no other control
        process.
        """
        is_only_member = len(self.context.settings.control_addresses) == 1
        identity = Identity(self.context.settings.address, is_only_member)
        self.storage.save_identity(identity)
        return identity

    async def run(self) -> None:
        """Run until stopped."""
        self.context.recorder.record(EventCode.PROCESS_STARTED, detail="role=control")
        async with create_task_group() as group:
            group.start_soon(self.consensus.run)
            group.start_soon(self._expire_leases)
            for sender in self.sender_by_member.values():
                group.start_soon(sender.run)
            await self.stopped.wait()
            group.cancel_scope.cancel()
        self.context.recorder.record(EventCode.PROCESS_STOPPED)

    async def drain(self) -> None:
        """Stop at once; the log on disk needs no flushing."""
        self.context.recorder.record(EventCode.PROCESS_DRAINING)
        self.draining = True
        self.revision_changed.set()
        self.stopped.set()

    async def propose(self, command: Command) -> Result:
        """Commit a command and return its result.

        Raise NotLeaderError or OutcomeUnknownError.
        """
        if self.draining:
            raise NotLeaderError
        return await self.consensus.propose(command)

    def holds_lease(self) -> bool:
        """Return whether this process leads and may answer for the whole fleet."""
        if self.coordinator is None:
            return False
        return self.core.has_lease(self.context.now())

    def receive(self, envelopes: list[RaftEnvelope]) -> None:
        """Pass Raft messages from other members to the consensus node.

        Those of a process that is no member are dropped; it is logged once.
        """
        for envelope in envelopes:
            if envelope.sender in self.sender_by_member:
                self.consensus.inbox.put(Received(envelope))
            elif envelope.sender not in self.unknown_senders:
                self.unknown_senders.add(envelope.sender)
                self.context.recorder.record(
                    EventCode.PEER_REFUSED, detail=f"no member: {envelope.sender}"
                )

    async def _expire_leases(self) -> None:
        """Periodically end the leases that were not renewed."""
        while True:
            if self.coordinator is not None:
                for ended in self.coordinator.expire(self.context.now()):
                    self.context.recorder.record(
                        EventCode.LEASE_ENDED,
                        endpoint_id=ended.process_id,
                        detail=f"role={ended.role}",
                    )
            await sleep(RAFT_TICK_SECONDS)

    def _send(self, envelope: RaftEnvelope) -> None:
        """Queue a message for the task that sends to its receiver."""
        self.sender_by_member[envelope.receiver].outbox.put(envelope)

    async def _call_member(self, address: str, envelopes: list[RaftEnvelope]) -> None:
        """Send Raft messages to another member."""
        await self.client.call(
            address, RAFT_PATH, envelopes, bool, PROPOSE_TIMEOUT_SECONDS
        )

    # ConsensusListener.

    def applied(self) -> None:
        """Notify watchers if a new revision is in force."""
        if self._revision() != self.notified_revision:
            self.notified_revision = self._revision()
            self._notify_revision_watchers()

    def members_changed(self, members: list[str]) -> None:
        """Do nothing: the members of this deployment are fixed."""

    def disk_failed(self, error: OSError) -> None:
        """Record that a write to disk failed."""
        self.context.recorder.record(EventCode.DISK_FAILED, detail=str(error))

    def role_changed(self, action: RoleChanged) -> None:
        """Start or stop coordinating the fleet."""
        self._change_role(action.is_leader)

    def _change_role(self, is_leader: bool) -> None:
        """Create the coordinator on a leader, drop it otherwise."""
        if not is_leader:
            self.coordinator = None
            return
        directory = Directory(
            self.context.settings.lease_seconds,
            AttachmentTable(self.settings.attach_count),
        )
        self.coordinator = FleetCoordinator(directory, self.context.now())

    def _notify_revision_watchers(self) -> None:
        """Record the new revision and wake its watchers."""
        self.context.revision = self._revision()
        self.context.recorder.record(
            EventCode.REVISION_ACCEPTED, detail=f"revision={self._revision()}"
        )
        revision_changed, self.revision_changed = self.revision_changed, Event()
        revision_changed.set()

    def _revision(self) -> int:
        """Return the number of the local revision in force, or 0."""
        current = self.state.current()
        return current.number if current else 0
