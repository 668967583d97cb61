"""Runs one member of the agreement: its disk, its proposals and its reads."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

from anyio import Event, create_task_group, fail_after, sleep, to_thread
from attrs import define, field

from pistachiolever.control.commands import Command, command_text
from pistachiolever.control.const import DISK_RETRY_SECONDS, PROPOSE_SECONDS
from pistachiolever.control.state import Result
from pistachiolever.control.storage import LogStorage, Record
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.raft.const import (
    RAFT_TICK_SECONDS,
    SNAPSHOT_ENTRIES,
    SNAPSHOT_LOG_BYTES,
)
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Apply,
    Compacted,
    HandOver,
    HardState,
    MembersChanged,
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
    Read,
    ReadReady,
    ReadRefused,
    Restore,
    RoleChanged,
    SendRaft,
)


class NotLeadingError(Exception):
    """This control process does not lead; nothing was done."""


class OutcomeUnknownError(Exception):
    """A command was placed, but it is not known whether it will be committed."""


class ReplicatedState(Protocol):
    """What every member computes from the same commands."""

    def apply_text(self, text: str) -> Result:
        """Run one committed command."""

    def dump(self) -> str:
        """Return the whole state as text."""

    def load(self, text: str) -> None:
        """Replace the state by one that was dumped."""


class AgreementWatcher(Protocol):
    """Is told what the agreement comes to."""

    def applied(self) -> None:
        """A command ran or the whole state was replaced."""

    def role_changed(self, action: RoleChanged) -> None:
        """This member began or ceased to lead, or knows another leader."""

    def members_changed(self, members: list[str]) -> None:
        """Other members count from now on."""

    def disk_failed(self, error: OSError) -> None:
        """The disk refused a write; it is tried again."""


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
class WaitingRead:
    """A read that waits until the state here surely is the newest."""

    done: Event = field(factory=Event)
    ready: bool = False


@define
class Agreement:
    """One member: a task that owns its state machine, its log and its disk."""

    core: RaftCore
    storage: LogStorage
    state: ReplicatedState
    watcher: AgreementWatcher
    send: Callable[[RaftEnvelope], None]
    now: Callable[[], float]
    inbox: Mailbox[RaftInput] = field(factory=Mailbox)
    proposal_by_token: dict[int, Proposal] = field(factory=dict)
    proposals_by_index: dict[int, list[Proposal]] = field(factory=dict)
    read_by_token: dict[int, WaitingRead] = field(factory=dict)
    next_token: int = 0
    stopping: bool = False

    async def run(self) -> None:
        """Work until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._agree)
            group.start_soon(self._tick)

    async def propose(
        self, command: Command, seconds: float = PROPOSE_SECONDS
    ) -> Result:
        """Commit a command; raise NotLeadingError or OutcomeUnknownError."""
        if not self.core.is_leader or self.stopping:
            raise NotLeadingError
        token = self._take_token()
        proposal = Proposal(command)
        self.proposal_by_token[token] = proposal
        self.inbox.put(Propose(token, command_text(command)))
        try:
            with fail_after(seconds):
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

    async def confirm(self, seconds: float) -> None:
        """Return once the state here surely is the newest, or raise."""
        if not self.core.is_leader or self.stopping:
            raise NotLeadingError
        token = self._take_token()
        read = WaitingRead()
        self.read_by_token[token] = read
        self.inbox.put(Read(token))
        try:
            with fail_after(seconds):
                await read.done.wait()
        except TimeoutError as error:
            raise NotLeadingError from error
        finally:
            self.read_by_token.pop(token, None)
        if not read.ready:
            raise NotLeadingError

    def hand_over(self) -> None:
        """Let another member lead; take no more proposals."""
        self.stopping = True
        self.inbox.put(HandOver())

    def _take_token(self) -> int:
        """Return a number that names one call."""
        self.next_token += 1
        return self.next_token

    async def _tick(self) -> None:
        """Let time pass for the agreement."""
        while True:
            if not len(self.inbox):
                self.inbox.put(RaftTick())
            await sleep(RAFT_TICK_SECONDS)

    async def _agree(self) -> None:
        """Handle all waiting messages, sync once, then act."""
        while messages := await self.inbox.get_all():
            actions: list[RaftAction] = []
            for message in messages:
                actions.extend(self.core.handle(message, self.now()))
            await self._persist(actions)
            for action in actions:
                self._perform(action)
            self._compact_if_long()

    async def _persist(self, actions: list[RaftAction]) -> None:
        """Write and sync what the actions demand, before any is performed.

        A disk that refuses writes is tried again until it takes them: meanwhile this
        member is silent, so that the others go on without it.
        """
        records: list[Record] = []
        for action in actions:
            if isinstance(action, PersistState):
                records.append(action.hard_state)
            elif isinstance(action, PersistEntries):
                records.extend(action.entries)
            elif isinstance(action, PersistSnapshot):
                records = []
                hard_state = HardState(self.core.term, self.core.voted_for)
                await self._until_written(
                    partial(
                        self.storage.replace,
                        action.snapshot,
                        hard_state,
                        action.entries,
                    )
                )
        if records:
            await self._until_written(partial(self.storage.append, records))

    async def _until_written(self, write: Callable[[], None]) -> None:
        """Repeat a write until the disk takes it."""
        while True:
            try:
                await to_thread.run_sync(write)
                return
            except OSError as error:
                self.watcher.disk_failed(error)
                await sleep(DISK_RETRY_SECONDS)

    def _perform(self, action: RaftAction) -> None:
        """Do one action after everything was synced."""
        match action:
            case SendRaft(envelope):
                self.send(envelope)
            case Apply(entry):
                self._apply(entry.index, entry.term, entry.command)
            case Restore(snapshot):
                if snapshot.state:
                    self.state.load(snapshot.state)
                self.watcher.applied()
            case MembersChanged(members):
                self.watcher.members_changed(members)
            case RoleChanged():
                self.watcher.role_changed(action)
            case _:
                self._answer(action)

    def _answer(self, action: RaftAction) -> None:
        """Tell the one who waits what became of a proposal or a read."""
        match action:
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
            case ReadReady(token) | ReadRefused(token):
                read = self.read_by_token.get(token)
                if read is not None:
                    read.ready = isinstance(action, ReadReady)
                    read.done.set()

    def _apply(self, index: int, term: int, text: str) -> None:
        """Run a committed command and answer who waits for it."""
        result = self.state.apply_text(text) if text else None
        for proposal in self.proposals_by_index.pop(index, []):
            if proposal.term == term:
                proposal.result = result
            proposal.done.set()
        if text:
            self.watcher.applied()

    def _compact_if_long(self) -> None:
        """Write a snapshot when the log has grown long."""
        is_long = len(self.core.log.entries) >= SNAPSHOT_ENTRIES
        if not is_long and self.storage.log_bytes < SNAPSHOT_LOG_BYTES:
            return
        snapshot = self.core.compacted(self.core.applied_index, self.state.dump())
        if snapshot is not None:
            self.inbox.put(Compacted(snapshot))
