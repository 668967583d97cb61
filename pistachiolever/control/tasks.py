"""The tasks of a control process: they own its disk, peers and state."""

from anyio import Event, create_task_group, sleep
from attrs import define, field

from pistachiolever.control.agreement import Agreement, NotLeadingError
from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.commands import Command
from pistachiolever.control.const import PROPOSE_SECONDS
from pistachiolever.control.directory import Directory
from pistachiolever.control.hub import Hub
from pistachiolever.control.state import ControlState, Result
from pistachiolever.control.storage import Identity, LogStorage
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.raft.const import RAFT_TICK_SECONDS
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import RaftEnvelope, Received, RoleChanged
from pistachiolever.settings.models import ControlSettings
from pistachiolever.wire.const import RAFT_PATH


@define
class PeerLink:
    """The task that sends messages to one other member."""

    member_id: str
    address: str
    client: FleetClient
    outbox: Mailbox[RaftEnvelope] = field(factory=Mailbox)

    async def run(self) -> None:
        """Send what the outbox holds; lost messages are the agreement's matter."""
        while envelopes := await self.outbox.get_all():
            try:
                await self.client.call(
                    self.address, RAFT_PATH, envelopes, bool, PROPOSE_SECONDS
                )
            except PeerError:
                continue


@define
class ControlProcess:
    """One control process."""

    context: ProcessContext
    settings: ControlSettings
    client: FleetClient
    storage: LogStorage
    state: ControlState = field(init=False)
    core: RaftCore = field(init=False)
    hub: Hub | None = None
    agreement: Agreement = field(init=False)
    link_by_member: dict[str, PeerLink] = field(factory=dict)
    seen_revision: int = 0
    changed: Event = field(factory=Event)
    stopped: Event = field(factory=Event)
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        """Recover from the disk."""
        identity = self.storage.load_identity()
        if identity is None:
            identity = self._first_identity()
        stored = self.storage.load()
        addresses = self.context.settings.control_addresses
        own = self.context.settings.address
        self.state = ControlState(self.settings.claim_window_seconds)
        if stored.snapshot.state:
            self.state.load(stored.snapshot.state)
        # Members are named by address: ids of settings are not known to others.
        others = [address for address in addresses if address != own]
        self.core = RaftCore(own, others, self.context.rng, stored, identity.may_vote)
        self.agreement = Agreement(
            self.core, self.storage, self.state, self, self._send, self.context.now
        )
        self.seen_revision = self._revision()
        self.link_by_member = {
            address: PeerLink(address, address, self.client) for address in others
        }
        self.context.recorder.record(
            EventCode.LOG_RECOVERED,
            detail=f"snapshot={stored.snapshot.index} entries={len(stored.entries)} "
            f"may_vote={identity.may_vote}",
        )

    def _first_identity(self) -> Identity:
        """Take a new folder into use; only `init` or a lone process may vote."""
        alone = len(self.context.settings.control_addresses) == 1
        identity = Identity(self.context.settings.address, alone)
        self.storage.save_identity(identity)
        return identity

    async def run(self) -> None:
        """Work until stopped."""
        self.context.recorder.record(EventCode.PROCESS_STARTED, detail="role=control")
        async with create_task_group() as group:
            group.start_soon(self.agreement.run)
            group.start_soon(self._expire_leases)
            for link in self.link_by_member.values():
                group.start_soon(link.run)
            await self.stopped.wait()
            group.cancel_scope.cancel()
        self.context.recorder.record(EventCode.PROCESS_STOPPED)

    async def drain(self) -> None:
        """Stop; the log on disk is complete at any moment."""
        self.context.recorder.record(EventCode.PROCESS_DRAINING)
        self.draining = True
        self.changed.set()
        self.stopped.set()

    async def propose(self, command: Command) -> Result:
        """Commit a command; raise NotLeadingError or OutcomeUnknownError."""
        if self.draining:
            raise NotLeadingError
        return await self.agreement.propose(command)

    def leads(self) -> bool:
        """Tell whether this process may answer for the whole fleet now."""
        if self.hub is None:
            return False
        return self.core.has_lease(self.context.now())

    def receive(self, envelopes: list[RaftEnvelope]) -> None:
        """Take messages of another member."""
        for envelope in envelopes:
            self.agreement.inbox.put(Received(envelope))

    async def _expire_leases(self) -> None:
        """End the leases of endpoints that fell silent."""
        while True:
            if self.hub is not None:
                for ended in self.hub.expire(self.context.now()):
                    self.context.recorder.record(
                        EventCode.LEASE_ENDED,
                        endpoint_id=ended.process_id,
                        detail=f"role={ended.detail}",
                    )
            await sleep(RAFT_TICK_SECONDS)

    def _send(self, envelope: RaftEnvelope) -> None:
        """Leave a message for the task that sends to its receiver."""
        self.link_by_member[envelope.receiver].outbox.put(envelope)

    # What the agreement tells.

    def applied(self) -> None:
        """Wake those who wait, if another revision came into force."""
        if self._revision() != self.seen_revision:
            self.seen_revision = self._revision()
            self._signal_change()

    def members_changed(self, members: list[str]) -> None:
        """Take no note: the members of this deployment are fixed."""

    def disk_failed(self, error: OSError) -> None:
        """Record that the disk refused a write."""
        self.context.recorder.record(EventCode.DISK_FAILED, detail=str(error))

    def role_changed(self, action: RoleChanged) -> None:
        """Begin or cease to answer for the fleet."""
        self._change_role(action.leads)

    def _change_role(self, leads: bool) -> None:
        """Begin or cease to answer for the fleet."""
        if not leads:
            self.hub = None
            return
        directory = Directory(
            self.context.settings.lease_seconds,
            AttachmentTable(self.settings.attach_count),
        )
        self.hub = Hub(directory, self.context.now())

    def _signal_change(self) -> None:
        """Wake those who wait for a new revision."""
        self.context.revision = self._revision()
        self.context.recorder.record(
            EventCode.REVISION_ACCEPTED, detail=f"revision={self._revision()}"
        )
        changed, self.changed = self.changed, Event()
        changed.set()

    def _revision(self) -> int:
        """Return the revision in force here."""
        current = self.state.current()
        return current.number if current else 0
