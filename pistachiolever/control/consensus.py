"""Runs one Raft member: its storage, its proposals and its linearizable reads."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from anyio import Event, create_task_group, fail_after, sleep, to_thread
from attrs import define, field

from pistachiolever.control.commands import Command, encode_command
from pistachiolever.control.const import DISK_RETRY_SECONDS, PROPOSE_TIMEOUT_SECONDS
from pistachiolever.control.state import Result
from pistachiolever.control.storage import LogStorage, Record
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.raft.const import (
    RAFT_TICK_SECONDS,
    SNAPSHOT_THRESHOLD_BYTES,
    SNAPSHOT_THRESHOLD_ENTRIES,
)
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Apply,
    Compact,
    HardState,
    MembersChanged,
    PersistEntries,
    PersistSnapshot,
    PersistState,
    ProposalAppended,
    ProposalRejected,
    Propose,
    RaftAction,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Read,
    ReadReady,
    ReadRejected,
    Restore,
    RoleChanged,
    SendMessage,
    TransferLeadership,
)


class NotLeaderError(Exception):
    """This process is not the leader; the call had no effect."""


class OutcomeUnknownError(Exception):
    """A command was proposed, but it is unknown whether it will be committed."""


class ReplicatedStateMachine(Protocol):
    """The state to which committed commands are applied; it must be deterministic."""

    def apply_text(self, text: str) -> Result:
        """Apply one committed command in its encoded form."""

    def dump(self) -> str:
        """Return the whole state as text, for a snapshot."""

    def load(self, text: str) -> None:
        """Replace the state by one that `dump` returned."""


class ConsensusListener(Protocol):
    """Receives the events of a consensus node."""

    def applied(self) -> None:
        """A command was applied or the whole state was replaced."""

    def role_changed(self, action: RoleChanged) -> None:
        """This member became leader or follower, or the known leader changed."""

    def members_changed(self, members: list[str]) -> None:
        """The set of voters changed."""

    def disk_failed(self, error: OSError) -> None:
        """A write to disk failed; it is retried."""


@define
class Proposal:
    """A proposed command and its result, which a caller waits for."""

    command: Command
    done: Event = field(factory=Event)
    index: int = 0
    term: int = 0
    result: Result | None = None
    rejected: bool = False


@define
class PendingReadBarrier:
    """A linearizable read that waits for a quorum to confirm leadership."""

    done: Event = field(factory=Event)
    ready: bool = False


@define
class ConsensusNode:
    """One Raft member: owns its state machine, its log and its storage."""

    core: RaftCore
    storage: LogStorage
    state: ReplicatedStateMachine
    listener: ConsensusListener
    send: Callable[[RaftEnvelope], None]
    now: Callable[[], float]
    inbox: Mailbox[RaftInput] = field(factory=Mailbox)
    proposal_by_token: dict[int, Proposal] = field(factory=dict)
    proposals_by_index: dict[int, list[Proposal]] = field(factory=dict)
    read_barrier_by_token: dict[int, PendingReadBarrier] = field(factory=dict)
    next_token: int = 0
    stopping: bool = False

    async def run(self) -> None:
        """Process messages until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._process_inbox)
            group.start_soon(self._tick)

    async def propose(
        self, command: Command, seconds: float = PROPOSE_TIMEOUT_SECONDS
    ) -> Result:
        """Commit a command and return its result.

        Raise NotLeaderError if it was not proposed, and OutcomeUnknownError if it is
        unknown whether it will be committed.
        """
        if not self.core.is_leader or self.stopping:
            raise NotLeaderError
        token = self._allocate_token()
        proposal = Proposal(command)
        self.proposal_by_token[token] = proposal
        self.inbox.put(Propose(token, encode_command(command)))
        try:
            with fail_after(seconds):
                await proposal.done.wait()
        except TimeoutError as error:
            raise OutcomeUnknownError from error
        finally:
            self.proposal_by_token.pop(token, None)
        if proposal.rejected:
            raise NotLeaderError
        if proposal.result is None:
            raise OutcomeUnknownError
        return proposal.result

    async def read_barrier(self, seconds: float) -> None:
        """Wait until a read of the local state is linearizable.

        Raise NotLeaderError if a quorum does not confirm leadership in time.
        """
        if not self.core.is_leader or self.stopping:
            raise NotLeaderError
        token = self._allocate_token()
        pending = PendingReadBarrier()
        self.read_barrier_by_token[token] = pending
        self.inbox.put(Read(token))
        try:
            with fail_after(seconds):
                await pending.done.wait()
        except TimeoutError as error:
            raise NotLeaderError from error
        finally:
            self.read_barrier_by_token.pop(token, None)
        if not pending.ready:
            raise NotLeaderError

    def transfer_leadership(self) -> None:
        """Transfer leadership to another member and reject further calls."""
        self.stopping = True
        self.inbox.put(TransferLeadership())

    def _allocate_token(self) -> int:
        """Return a number that identifies one call."""
        self.next_token += 1
        return self.next_token

    async def _tick(self) -> None:
        """Put a tick into the inbox periodically, unless messages are queued."""
        while True:
            if not len(self.inbox):
                self.inbox.put(RaftTick())
            await sleep(RAFT_TICK_SECONDS)

    async def _process_inbox(self) -> None:
        """Handle all queued messages, sync to disk once, then perform the actions."""
        while messages := await self.inbox.get_all():
            actions: list[RaftAction] = []
            for message in messages:
                actions.extend(self.core.handle(message, self.now()))
            await self._persist(actions)
            for action in actions:
                self._perform(action)
            self._compact_if_large()

    async def _persist(self, actions: list[RaftAction]) -> None:
        """Write and sync what the actions require, before any is performed.

        A failed write is retried until it succeeds. Meanwhile this member sends no
        message, so that the others continue without it.
        """
        records: list[Record] = []
        for action in actions:
            if isinstance(action, PersistState):
                records.append(action.hard_state)
            elif isinstance(action, PersistEntries):
                records.extend(action.entries)
            elif isinstance(action, PersistSnapshot):
                # The new snapshot and log replace the earlier records of the batch.
                records = []
                hard_state = HardState(self.core.term, self.core.voted_for)
                await self._retry_until_written(
                    partial(
                        self.storage.replace,
                        action.snapshot,
                        hard_state,
                        action.entries,
                    )
                )
        if records:
            await self._retry_until_written(partial(self.storage.append, records))

    async def _retry_until_written(self, write: Callable[[], None]) -> None:
        """Retry a write until it succeeds."""
        while True:
            try:
                await to_thread.run_sync(write)
                return
            except OSError as error:
                self.listener.disk_failed(error)
                await sleep(DISK_RETRY_SECONDS)

    def _perform(self, action: RaftAction) -> None:
        """Perform one action after everything was synced."""
        match action:
            case SendMessage(envelope):
                self.send(envelope)
            case Apply(entry):
                self._apply(entry.index, entry.term, entry.command)
            case Restore(snapshot):
                if snapshot.state:
                    self.state.load(snapshot.state)
                self._complete_skipped(snapshot.index)
                self.listener.applied()
            case MembersChanged(members):
                self.listener.members_changed(members)
            case RoleChanged():
                self.listener.role_changed(action)
            case _:
                self._resolve(action)

    def _resolve(self, action: RaftAction) -> None:
        """Pass the progress or result of a proposal or a read to its caller."""
        match action:
            case ProposalAppended(token, index, term):
                proposal = self.proposal_by_token.get(token)
                if proposal is not None:
                    proposal.index, proposal.term = index, term
                    self.proposals_by_index.setdefault(index, []).append(proposal)
            case ProposalRejected(token):
                proposal = self.proposal_by_token.get(token)
                if proposal is not None:
                    proposal.rejected = True
                    proposal.done.set()
            case ReadReady(token) | ReadRejected(token):
                pending = self.read_barrier_by_token.get(token)
                if pending is not None:
                    pending.ready = isinstance(action, ReadReady)
                    pending.done.set()

    def _apply(self, index: int, term: int, text: str) -> None:
        """Apply a committed command and complete the proposals at its index."""
        result = self.state.apply_text(text) if text else None
        for proposal in self.proposals_by_index.pop(index, []):
            if proposal.term == term:
                proposal.result = result
            proposal.done.set()
        # Entries without a command count, too: a member whose snapshot covers all
        # commands has caught up with the first entry of the current term.
        self.listener.applied()

    def _complete_skipped(self, index: int) -> None:
        """Complete the proposals up to an index that a snapshot covers.

        The snapshot does not tell their results.
        """
        for skipped in [i for i in self.proposals_by_index if i <= index]:
            for proposal in self.proposals_by_index.pop(skipped):
                proposal.done.set()

    def _compact_if_large(self) -> None:
        """Compact the log into a snapshot when it exceeds a threshold."""
        has_many_entries = len(self.core.log.entries) >= SNAPSHOT_THRESHOLD_ENTRIES
        if not has_many_entries and self.storage.log_bytes < SNAPSHOT_THRESHOLD_BYTES:
            return
        snapshot = self.core.make_snapshot(self.core.applied_index, self.state.dump())
        if snapshot is not None:
            self.inbox.put(Compact(snapshot))
