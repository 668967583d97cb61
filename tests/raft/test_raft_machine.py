"""Stateful fuzzing of the agreement against one list of committed commands."""

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
    """What one member has synced; a crash loses the rest."""

    def __init__(self) -> None:
        """Start empty."""
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []

    def write(self, action: RaftAction) -> None:
        """Keep what an action demands."""
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
        """Return what a restart finds."""
        return StoredLog(self.hard_state, self.snapshot, list(self.entries))


class RaftMachine(RuleBasedStateMachine):
    """Messages are lost, doubled and reordered; members crash between steps."""

    def __init__(self) -> None:
        """Start three members."""
        super().__init__()
        self.now = 1.0
        self.rng = Random(1)
        self.disk_by_member = {member: FakeDisk() for member in MEMBERS}
        self.core_by_member: dict[str, RaftCore] = {}
        self.applied_by_member: dict[str, list[str]] = {}
        self.state_by_member: dict[str, list[str]] = {}
        self.bag: list[RaftEnvelope] = []
        self.oracle: list[str] = []
        self.leaders_by_term: dict[int, str] = {}
        self.placed: dict[int, str] = {}
        self.cut: set[str] = set()
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

    def _give(self, member: str, message: RaftInput, crash: bool = False) -> None:
        """Give a member a message; it may crash before it syncs."""
        actions = self.core_by_member[member].handle(message, self.now)
        if crash:
            self._start(member)
            return
        for action in actions:
            self.disk_by_member[member].write(action)
        for action in actions:
            self._perform(member, action)

    def _perform(self, member: str, action: RaftAction) -> None:
        """Carry out one action after everything was synced."""
        if isinstance(action, SendMessage):
            if member not in self.cut and action.envelope.receiver not in self.cut:
                self.bag.append(action.envelope)
        elif isinstance(action, Apply) and action.entry.command:
            self.state_by_member[member].append(action.entry.command)
            self._check_oracle(member)
        elif isinstance(action, Restore):
            text = action.snapshot.state
            self.state_by_member[member] = text.split(",") if text else []
            self._check_oracle(member)
        elif isinstance(action, ProposalAppended):
            self.placed[action.token] = member

    def _check_oracle(self, member: str) -> None:
        """What a member has applied agrees with all that was ever applied."""
        state = self.state_by_member[member]
        common = min(len(state), len(self.oracle))
        assert state[:common] == self.oracle[:common], (member, state, self.oracle)
        if len(state) > len(self.oracle):
            self.oracle = list(state)

    @rule(seconds=st.floats(0.01, 1.5))
    def let_time_pass(self, seconds: float) -> None:
        """Tick every member after a while."""
        self.now += seconds
        for member in MEMBERS:
            self._give(member, RaftTick())

    @rule(
        group=st.sampled_from(GROUPS),
        place=st.integers(0, 1),
        seconds=st.floats(0.05, 3.0),
        commands=st.integers(0, 2),
    )
    def work_within(
        self, group: list[str], place: int, seconds: float, commands: int
    ) -> None:
        """Let only some members hear each other; one of them may stand or lead."""
        self.now += seconds
        first = group[place]
        self._give(first, RaftTick())
        self._deliver_within(group)
        for _ in range(commands):
            self.propose(first)
        self._deliver_within(group)
        self._give(first, RaftTick())

    @rule(group=st.sampled_from(GROUPS), rounds=st.integers(1, 4))
    def stand_together(self, group: list[str], rounds: int) -> None:
        """Let two members stand at once, and stop anywhere on the way."""
        self.now += 3.0
        for member in group[:2]:
            self._give(member, RaftTick())
        for _ in range(rounds):
            waiting, self.bag = self.bag, []
            for envelope in waiting:
                self._give(envelope.receiver, Received(envelope))

    @rule(voter=st.sampled_from(MEMBERS), candidate=st.sampled_from(MEMBERS))
    def hear_one_candidate_and_crash(self, voter: str, candidate: str) -> None:
        """Deliver one candidate's messages to a voter, which crashes after it."""
        for envelope in list(self.bag):
            if (envelope.sender, envelope.receiver) == (candidate, voter):
                self.bag.remove(envelope)
                self._give(voter, Received(envelope))
        self._start(voter)

    def _deliver_within(self, group: list[str]) -> None:
        """Deliver what members of a group say to each other; keep the rest."""
        for _ in range(4):
            waiting, self.bag = self.bag, []
            for envelope in waiting:
                if envelope.sender in group and envelope.receiver in group:
                    self._give(envelope.receiver, Received(envelope))
                else:
                    self.bag.append(envelope)

    @rule(data=st.data(), count=st.integers(1, 8))
    def deliver(self, data: st.DataObject, count: int) -> None:
        """Deliver some messages in any order."""
        for _ in range(count):
            if not self.bag:
                return
            place = data.draw(st.integers(0, len(self.bag) - 1))
            envelope = self.bag.pop(place)
            self._give(envelope.receiver, Received(envelope))

    @rule()
    def deliver_all(self) -> None:
        """Deliver everything that waits, in order."""
        for _ in range(3):
            waiting, self.bag = self.bag, []
            for envelope in waiting:
                self._give(envelope.receiver, Received(envelope))

    @rule(data=st.data())
    def double(self, data: st.DataObject) -> None:
        """Deliver a message and keep it."""
        if self.bag:
            envelope = data.draw(st.sampled_from(self.bag))
            self._give(envelope.receiver, Received(envelope))

    @rule(data=st.data(), count=st.integers(1, 5))
    def lose(self, data: st.DataObject, count: int) -> None:
        """Lose some messages."""
        for _ in range(min(count, len(self.bag))):
            self.bag.pop(data.draw(st.integers(0, len(self.bag) - 1)))

    @rule(member=st.sampled_from(MEMBERS))
    def propose(self, member: str) -> None:
        """Propose a command at any member."""
        self.next_command += 1
        self._give(member, Propose(self.next_command, f"c{self.next_command}"))

    @rule(member=st.sampled_from(MEMBERS))
    def propose_and_crash(self, member: str) -> None:
        """Crash a member between a proposal and its sync."""
        self.next_command += 1
        self._give(member, Propose(self.next_command, f"c{self.next_command}"), True)

    @rule(member=st.sampled_from(MEMBERS))
    def crash(self, member: str) -> None:
        """Restart a member from its disk."""
        self._start(member)

    @rule(member=st.sampled_from(MEMBERS), is_cut=st.booleans())
    def cut_off(self, member: str, is_cut: bool) -> None:
        """Cut a member off, or join it again."""
        if is_cut:
            self.cut.add(member)
        else:
            self.cut.discard(member)

    @rule(member=st.sampled_from(MEMBERS))
    def compact(self, member: str) -> None:
        """Write a snapshot of what a member has applied."""
        core = self.core_by_member[member]
        term = core.log.term_at(core.applied_index)
        if term is not None:
            state = ",".join(self.state_by_member[member])
            snapshot = Snapshot(core.applied_index, term, state)
            self._give(member, Compact(snapshot))

    @invariant()
    def one_leader_a_term(self) -> None:
        """No term has two leaders, and only one member ever holds the lease."""
        holders = []
        for member, core in self.core_by_member.items():
            if core.is_leader:
                leader = self.leaders_by_term.setdefault(core.term, member)
                assert leader == member, core.term
            if core.has_lease(self.now):
                holders.append(member)
        assert len(holders) <= 1, holders

    def teardown(self) -> None:
        """Heal: a leader comes, a new command commits, all agree."""
        self.cut.clear()
        proposed_by = ""
        for _ in range(200):
            self.now += 0.1
            for member in MEMBERS:
                self._give(member, RaftTick())
            self.deliver_all()
            leaders = [m for m in MEMBERS if self.core_by_member[m].is_leader]
            if leaders and leaders[-1] != proposed_by:
                proposed_by = leaders[-1]
                self.propose(proposed_by)
            elif proposed_by and self._agree():
                return
        raise AssertionError("no agreement after everything healed")

    def _agree(self) -> bool:
        """Tell whether all members have applied the newest command."""
        newest = f"c{self.next_command}"
        return all(newest in state for state in self.state_by_member.values())


RaftMachine.TestCase.settings = CHEAP_STATEFUL
RaftMachineTest = RaftMachine.TestCase
