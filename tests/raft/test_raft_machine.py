"""Stateful tests of Raft against one history of applied commands."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Apply,
    Compact,
    Entry,
    HardState,
    PersistEntries,
    PersistSnapshot,
    PersistState,
    ProposalAppended,
    Propose,
    RaftAction,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Received,
    Restore,
    SendMessage,
    Snapshot,
    StoredLog,
)
from tests.support.profile import CHEAP_STATEFUL

MEMBERS = ["a", "b", "c"]
GROUPS = [["a", "b"], ["b", "c"], ["c", "a"], MEMBERS]


class FakeDisk:
    """The synced state of one member, which a crash preserves."""

    def __init__(self) -> None:
        """Start empty."""
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []

    def write(self, action: RaftAction) -> None:
        """Persist what an action requires."""
        if isinstance(action, PersistState):
            self.hard_state = action.hard_state
        elif isinstance(action, PersistEntries):
            first = action.entries[0].index
            kept = [entry for entry in self.entries if entry.index < first]
            self.entries = kept + list(action.entries)
        elif isinstance(action, PersistSnapshot):
            self.snapshot = action.snapshot
            self.entries = list(action.entries)

    def stored(self) -> StoredLog:
        """Return the state that a restarted member loads."""
        return StoredLog(self.hard_state, self.snapshot, list(self.entries))


class RaftMachine(RuleBasedStateMachine):
    """Messages are lost, duplicated and reordered; members crash between steps."""

    def __init__(self) -> None:
        """Start three members."""
        super().__init__()
        self.now = 1.0
        self.rng = Random(1)
        self.disk_by_member = {member: FakeDisk() for member in MEMBERS}
        self.core_by_member: dict[str, RaftCore] = {}
        self.applied_by_member: dict[str, list[str]] = {}
        self.state_by_member: dict[str, list[str]] = {}
        self.undelivered: list[RaftEnvelope] = []
        self.applied_history: list[str] = []
        self.leaders_by_term: dict[int, str] = {}
        self.member_by_token: dict[int, str] = {}
        self.isolated: set[str] = set()
        self.next_command = 0
        for member in MEMBERS:
            self._start(member)

    def _start(self, member: str) -> None:
        """Start a member from its disk."""
        stored = self.disk_by_member[member].stored()
        others = [other for other in MEMBERS if other != member]
        core = RaftCore(member, others, Random(self.rng.random()), stored)
        self.core_by_member[member] = core
        text = stored.snapshot.state
        self.state_by_member[member] = text.split(",") if text else []

    def _handle(self, member: str, message: RaftInput, crash: bool = False) -> None:
        """Let a member handle an input; it may crash before it syncs."""
        actions = self.core_by_member[member].handle(message, self.now)
        if crash:
            self._start(member)
            return
        for action in actions:
            self.disk_by_member[member].write(action)
        for action in actions:
            self._perform(member, action)

    def _perform(self, member: str, action: RaftAction) -> None:
        """Perform one action after everything was synced."""
        if isinstance(action, SendMessage):
            if (
                member not in self.isolated
                and action.envelope.receiver not in self.isolated
            ):
                self.undelivered.append(action.envelope)
        elif isinstance(action, Apply) and action.entry.command:
            self.state_by_member[member].append(action.entry.command)
            self._check_history(member)
        elif isinstance(action, Restore):
            text = action.snapshot.state
            self.state_by_member[member] = text.split(",") if text else []
            self._check_history(member)
        elif isinstance(action, ProposalAppended):
            self.member_by_token[action.token] = member

    def _check_history(self, member: str) -> None:
        """Check that a member's applied commands match the applied history."""
        state = self.state_by_member[member]
        common = min(len(state), len(self.applied_history))
        assert state[:common] == self.applied_history[:common], (
            member,
            state,
            self.applied_history,
        )
        if len(state) > len(self.applied_history):
            self.applied_history = list(state)

    @rule(seconds=st.floats(0.01, 1.5))
    def let_time_pass(self, seconds: float) -> None:
        """Advance time and tick every member."""
        self.now += seconds
        for member in MEMBERS:
            self._handle(member, RaftTick())

    @rule(
        group=st.sampled_from(GROUPS),
        position=st.integers(0, 1),
        seconds=st.floats(0.05, 3.0),
        commands=st.integers(0, 2),
    )
    def work_in_partition(
        self, group: list[str], position: int, seconds: float, commands: int
    ) -> None:
        """Connect only a group of members; one of them may campaign and propose."""
        self.now += seconds
        first = group[position]
        self._handle(first, RaftTick())
        self._deliver_in_partition(group)
        for _ in range(commands):
            self.propose(first)
        self._deliver_in_partition(group)
        self._handle(first, RaftTick())

    @rule(group=st.sampled_from(GROUPS), rounds=st.integers(1, 4))
    def start_elections(self, group: list[str], rounds: int) -> None:
        """Let two members campaign at once, for a limited number of rounds."""
        self.now += 3.0
        for member in group[:2]:
            self._handle(member, RaftTick())
        for _ in range(rounds):
            waiting, self.undelivered = self.undelivered, []
            for envelope in waiting:
                self._handle(envelope.receiver, Received(envelope))

    @rule(voter=st.sampled_from(MEMBERS), candidate=st.sampled_from(MEMBERS))
    def handle_one_candidate_and_crash(self, voter: str, candidate: str) -> None:
        """Deliver one candidate's messages to a voter, which then crashes."""
        for envelope in list(self.undelivered):
            if (envelope.sender, envelope.receiver) == (candidate, voter):
                self.undelivered.remove(envelope)
                self._handle(voter, Received(envelope))
        self._start(voter)

    def _deliver_in_partition(self, group: list[str]) -> None:
        """Deliver the messages within a group; keep the others."""
        for _ in range(4):
            waiting, self.undelivered = self.undelivered, []
            for envelope in waiting:
                if envelope.sender in group and envelope.receiver in group:
                    self._handle(envelope.receiver, Received(envelope))
                else:
                    self.undelivered.append(envelope)

    @rule(data=st.data(), count=st.integers(1, 8))
    def deliver(self, data: st.DataObject, count: int) -> None:
        """Deliver some messages in any order."""
        for _ in range(count):
            if not self.undelivered:
                return
            position = data.draw(st.integers(0, len(self.undelivered) - 1))
            envelope = self.undelivered.pop(position)
            self._handle(envelope.receiver, Received(envelope))

    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages in order."""
        for _ in range(3):
            waiting, self.undelivered = self.undelivered, []
            for envelope in waiting:
                self._handle(envelope.receiver, Received(envelope))

    @rule(data=st.data())
    def duplicate(self, data: st.DataObject) -> None:
        """Deliver a message and keep it for another delivery."""
        if self.undelivered:
            envelope = data.draw(st.sampled_from(self.undelivered))
            self._handle(envelope.receiver, Received(envelope))

    @rule(data=st.data(), count=st.integers(1, 5))
    def lose_messages(self, data: st.DataObject, count: int) -> None:
        """Lose some messages."""
        for _ in range(min(count, len(self.undelivered))):
            self.undelivered.pop(data.draw(st.integers(0, len(self.undelivered) - 1)))

    @rule(member=st.sampled_from(MEMBERS))
    def propose(self, member: str) -> None:
        """Propose a command at a member."""
        self.next_command += 1
        self._handle(member, Propose(self.next_command, f"c{self.next_command}"))

    @rule(member=st.sampled_from(MEMBERS))
    def propose_and_crash(self, member: str) -> None:
        """Crash a member between a proposal and its sync."""
        self.next_command += 1
        self._handle(member, Propose(self.next_command, f"c{self.next_command}"), True)

    @rule(member=st.sampled_from(MEMBERS))
    def crash(self, member: str) -> None:
        """Restart a member from its disk."""
        self._start(member)

    @rule(member=st.sampled_from(MEMBERS), is_cut=st.booleans())
    def cut_off(self, member: str, is_cut: bool) -> None:
        """Isolate a member, or reconnect it."""
        if is_cut:
            self.isolated.add(member)
        else:
            self.isolated.discard(member)

    @rule(member=st.sampled_from(MEMBERS))
    def compact(self, member: str) -> None:
        """Compact a member's log into a snapshot of its applied state."""
        core = self.core_by_member[member]
        term = core.log.term_at(core.applied_index)
        if term is not None:
            state = ",".join(self.state_by_member[member])
            snapshot = Snapshot(core.applied_index, term, state)
            self._handle(member, Compact(snapshot))

    @invariant()
    def at_most_one_leader_per_term(self) -> None:
        """No term has two leaders, and at most one member holds the leader lease."""
        holders = []
        for member, core in self.core_by_member.items():
            if core.is_leader:
                leader = self.leaders_by_term.setdefault(core.term, member)
                assert leader == member, core.term
            if core.has_lease(self.now):
                holders.append(member)
        assert len(holders) <= 1, holders

    def teardown(self) -> None:
        """Reconnect all members; they elect a leader and commit a new command."""
        self.isolated.clear()
        proposed_at = ""
        for _ in range(200):
            self.now += 0.1
            for member in MEMBERS:
                self._handle(member, RaftTick())
            self.deliver_all()
            leaders = [m for m in MEMBERS if self.core_by_member[m].is_leader]
            if leaders and leaders[-1] != proposed_at:
                proposed_at = leaders[-1]
                self.propose(proposed_at)
            elif proposed_at and self._has_converged():
                return
        raise AssertionError("no convergence after all members were reconnected")

    def _has_converged(self) -> bool:
        """Return whether all members have applied the newest command."""
        newest = f"c{self.next_command}"
        return all(newest in state for state in self.state_by_member.values())


RaftMachine.TestCase.settings = CHEAP_STATEFUL
RaftMachineTest = RaftMachine.TestCase
