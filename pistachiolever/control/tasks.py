"""The tasks of a control process: they own its disk, peers and state."""

from functools import partial

from anyio import Event, create_task_group, fail_after, sleep, to_thread
from attrs import define, field

from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.commands import Command, command_of, command_text
from pistachiolever.control.const import PROPOSE_SECONDS
from pistachiolever.control.directory import Directory
from pistachiolever.control.hub import Hub
from pistachiolever.control.state import ControlState, Result
from pistachiolever.control.storage import Identity, LogStorage, Record
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.client import FleetClient, PeerError
from pistachiolever.edge.context import ProcessContext
from pistachiolever.events.const import EventCode
from pistachiolever.raft.const import RAFT_TICK_SECONDS, SNAPSHOT_ENTRIES
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Apply,
    Compacted,
    HardState,
    PersistEntries,
    PersistSnapshot,
    PersistState,
    ProposalPlaced,
    ProposalRefused,
    Propose,
    RaftAction,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Restore,
    RoleChanged,
    SendRaft,
    Snapshot,
)
from pistachiolever.settings.models import ControlSettings
from pistachiolever.wire.const import RAFT_PATH


class NotLeadingError(Exception):
    """This control process does not lead; nothing was done."""


class OutcomeUnknownError(Exception):
    """A command was placed, but it is not known whether it will be committed."""


@define
class Proposal:
    """A command whose result a caller waits for."""

    command: Command
    done: Event = field(factory=Event)
    index: int = 0
    term: int = 0
    result: Result | None = None
    refused: bool = False


@define
class PeerLink:
    """The task that sends messages to one other member."""

    member_id: str
    address: str
    client: FleetClient
    outbox: Mailbox[RaftEnvelope] = field(factory=Mailbox)

    async def run(self) -> None:
        """Send what the outbox holds; lost messages are the agreement's matter."""
        while envelopes := await self.outbox.take_all():
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
    inbox: Mailbox[RaftInput] = field(factory=Mailbox)
    link_by_member: dict[str, PeerLink] = field(factory=dict)
    proposal_by_token: dict[int, Proposal] = field(factory=dict)
    proposals_by_index: dict[int, list[Proposal]] = field(factory=dict)
    next_token: int = 0
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
            group.start_soon(self._agree)
            group.start_soon(self._tick)
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
        if not self.core.is_leader or self.draining:
            raise NotLeadingError
        self.next_token += 1
        token = self.next_token
        proposal = Proposal(command)
        self.proposal_by_token[token] = proposal
        self.inbox.put(Propose(token, command_text(command)))
        try:
            with fail_after(PROPOSE_SECONDS):
                await proposal.done.wait()
        except TimeoutError as error:
            raise OutcomeUnknownError from error
        finally:
            self.proposal_by_token.pop(token, None)
        if proposal.refused:
            raise NotLeadingError
        if proposal.result is None:
            raise OutcomeUnknownError
        return proposal.result

    def leads(self) -> bool:
        """Tell whether this process may answer for the whole fleet now."""
        if self.hub is None:
            return False
        return self.core.has_lease(self.context.now())

    # The agreement.

    async def _tick(self) -> None:
        """Let time pass for the agreement and the leases."""
        while True:
            self.inbox.put(RaftTick())
            if self.hub is not None:
                for ended in self.hub.expire(self.context.now()):
                    self.context.recorder.record(
                        EventCode.LEASE_ENDED,
                        endpoint_id=ended.process_id,
                        detail=f"role={ended.detail}",
                    )
            await sleep(RAFT_TICK_SECONDS)

    async def _agree(self) -> None:
        """Handle all waiting messages, sync once, then act."""
        while messages := await self.inbox.take_all():
            actions: list[RaftAction] = []
            for message in messages:
                actions.extend(self.core.handle(message, self.context.now()))
            await self._persist(actions)
            for action in actions:
                self._perform(action)
            self._compact_if_long()

    async def _persist(self, actions: list[RaftAction]) -> None:
        """Write and sync what the actions demand, before any is performed."""
        records: list[Record] = []
        for action in actions:
            if isinstance(action, PersistState):
                records.append(action.hard_state)
            elif isinstance(action, PersistEntries):
                records.extend(action.entries)
            elif isinstance(action, PersistSnapshot):
                records = []
                replace = partial(
                    self.storage.replace,
                    action.snapshot,
                    self._hard_state(),
                    action.entries,
                )
                await to_thread.run_sync(replace)
        if records:
            await to_thread.run_sync(self.storage.append, records)

    def _perform(self, action: RaftAction) -> None:
        """Do one action after everything was synced."""
        match action:
            case SendRaft(envelope):
                self.link_by_member[envelope.receiver].outbox.put(envelope)
            case Apply(entry):
                self._apply(entry.index, entry.term, entry.command)
            case Restore(snapshot):
                self.state.load(snapshot.state)
                self._signal_change()
            case ProposalPlaced(token, index, term):
                proposal = self.proposal_by_token.get(token)
                if proposal is not None:
                    proposal.index, proposal.term = index, term
                    self.proposals_by_index.setdefault(index, []).append(proposal)
            case ProposalRefused(token):
                proposal = self.proposal_by_token.get(token)
                if proposal is not None:
                    proposal.refused = True
                    proposal.done.set()
            case RoleChanged(leads):
                self._change_role(leads)

    def _apply(self, index: int, term: int, text: str) -> None:
        """Run a committed command and answer who waits for it."""
        result: Result | None = None
        revision_before = self._revision()
        if text:
            result = self.state.apply(command_of(text))
        for proposal in self.proposals_by_index.pop(index, []):
            if proposal.term == term:
                proposal.result = result
            proposal.done.set()
        if self._revision() != revision_before:
            self._signal_change()

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

    def _compact_if_long(self) -> None:
        """Write a snapshot when the log has grown long."""
        if len(self.core.log.entries) < SNAPSHOT_ENTRIES:
            return
        index = self.core.applied_index
        term = self.core.log.term_at(index)
        if term is None or index == self.core.log.snapshot.index:
            return
        self.inbox.put(Compacted(Snapshot(index, term, self.state.dump())))

    def _hard_state(self) -> HardState:
        """Return the term and vote as they stand."""
        return HardState(self.core.term, self.core.voted_for)

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
