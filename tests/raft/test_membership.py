"""Members change one at a time, and lost disks never count again."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiolever.raft.const import DEAD_MEMBER_SECONDS
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import MemberView, next_members
from pistachiolever.raft.models import (
    Apply,
    HandOver,
    Join,
    ProposalPlaced,
    Propose,
    RaftAction,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Read,
    ReadReady,
    Received,
    Restore,
    SendRaft,
    StoredLog,
)
from tests.raft.test_raft_machine import FakeDisk
from tests.support.cases import CaseTest
from tests.support.profile import CHEAP_STATEFUL

FOUNDERS = ["a/0", "b/0", "c/0"]


def view(member: str, silent: float = 0.0, caught_up: bool = True) -> MemberView:
    """Return what a leader knows of a member."""
    return MemberView(member, silent, caught_up)


class NextMembersTest(CaseTest):
    """The choice of the next members, as a table."""

    def test_table(self) -> None:
        dead = DEAD_MEMBER_SECONDS
        cases = {
            "all well": (FOUNDERS, [view("b/0"), view("c/0")], None),
            "a newcomer that has caught up": (
                FOUNDERS,
                [view("b/0"), view("c/0"), view("d/1")],
                [*FOUNDERS, "d/1"],
            ),
            "a newcomer that lags": (
                FOUNDERS,
                [view("b/0"), view("c/0"), view("d/1", 0.0, False)],
                None,
            ),
            "a newcomer that fell silent": (
                FOUNDERS,
                [view("b/0"), view("c/0"), view("d/1", 2.0)],
                None,
            ),
            "a lost disk comes back empty": (
                FOUNDERS,
                [view("b/0"), view("c/0", 1.0), view("c/1")],
                ["a/0", "b/0", "c/1"],
            ),
            "never fewer than three": (
                FOUNDERS,
                [view("b/0"), view("c/0", dead)],
                None,
            ),
            "a dead one of four": (
                [*FOUNDERS, "d/1"],
                [view("b/0"), view("c/0", dead), view("d/1")],
                ["a/0", "b/0", "d/1"],
            ),
            "two dead of four are kept": (
                [*FOUNDERS, "d/1"],
                [view("b/0", dead), view("c/0", dead), view("d/1")],
                None,
            ),
            "at most five": (
                [*FOUNDERS, "d/1", "e/1"],
                [view(m) for m in ["b/0", "c/0", "d/1", "e/1", "f/1"]],
                None,
            ),
        }
        for name, (members, views, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(next_members("a/0", members, views), expected)


class MembershipMachine(RuleBasedStateMachine):
    """Members are cut off, crash, lose one disk at a time, join and are dropped.

    At most one disk is lost until the one before is replaced: that is what a fleet of
    three bears.
    """

    def __init__(self) -> None:
        """Start three founders; two more VMs may join."""
        super().__init__()
        self.now = 1.0
        self.rng = Random(7)
        self.disks: dict[str, FakeDisk] = {}
        self.cores: dict[str, RaftCore] = {}
        self.states: dict[str, list[str]] = {}
        self.life_by_address = dict.fromkeys("abc", 0)
        self.bag: list[RaftEnvelope] = []
        self.oracle: list[str] = []
        self.acknowledged: list[str] = []
        self.reads: dict[int, set[str]] = {}
        self.placed_by: dict[str, int] = {}
        self.cut: set[str] = set()
        self.lag_by_address = dict.fromkeys("abcd", 0.0)
        self.next_number = 0
        self.lost: str | None = None
        for member in FOUNDERS:
            self.disks[member] = FakeDisk()
            self._start(member)

    def _start(self, member: str) -> None:
        """Start a member from its disk."""
        stored: StoredLog = self.disks[member].stored()
        founder = member in FOUNDERS
        peers = [m for m in FOUNDERS if m != member] if founder else []
        self.cores[member] = RaftCore(
            member, peers, Random(self.rng.random()), stored, joins=not founder
        )
        text = stored.snapshot.state
        self.states[member] = text.split(",") if text else []

    def _give(self, member: str, message: RaftInput) -> None:
        """Give a living member a message."""
        if member not in self.cores:
            return
        own_now = self.now - self.lag_by_address[member[0]]
        actions = self.cores[member].handle(message, own_now)
        for action in actions:
            self.disks[member].write(action)
        for action in actions:
            self._perform(member, action)

    def _perform(self, member: str, action: RaftAction) -> None:
        """Carry out one action."""
        if isinstance(action, SendRaft):
            self.bag.append(action.envelope)
        elif isinstance(action, Apply) and action.entry.command:
            self.states[member].append(action.entry.command)
            self._check(member)
            self._acknowledge(member, action)
        elif isinstance(action, Restore):
            text = action.snapshot.state
            self.states[member] = text.split(",") if text else []
            self._check(member)
        elif isinstance(action, ProposalPlaced):
            self.placed_by[f"x{action.token}"] = action.term
        elif isinstance(action, ReadReady):
            seen = self.reads.pop(action.token)
            assert seen <= set(self.states[member]), "a read missed a change"

    def _acknowledge(self, member: str, action: Apply) -> None:
        """Note a change that an operator was told is in force."""
        command = action.entry.command
        is_told = self.placed_by.get(command) == action.entry.term
        if is_told and command not in self.acknowledged:
            self.acknowledged.append(command)

    def _check(self, member: str) -> None:
        """All members apply the same commands in the same order."""
        state = self.states[member]
        common = min(len(state), len(self.oracle))
        assert state[:common] == self.oracle[:common], (member, state, self.oracle)
        if len(state) > len(self.oracle):
            self.oracle = list(state)

    def _deliver(self) -> None:
        """Deliver what is in the bag between those that reach each other."""
        for _ in range(60):
            batch, self.bag = self.bag, []
            if not batch:
                return
            for envelope in batch:
                ends = {envelope.sender.split("/")[0], envelope.receiver.split("/")[0]}
                if not ends & self.cut:
                    self._give(envelope.receiver, Received(envelope))

    def _run(self, seconds: float, frozen: str = "") -> None:
        """Let time pass in small steps, but for a VM that is suspended."""
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            for member in list(self.cores):
                if member[0] != frozen:
                    self._give(member, RaftTick())
            for member in list(self.cores):
                if member not in self.cores[member].members:
                    for other in list(self.cores):
                        if not {member[0], other[0]} & self.cut:
                            self._give(other, Join(member))
            self._deliver()

    @rule(seconds=st.floats(0.1, 4.0))
    def pass_time(self, seconds: float) -> None:
        """Let the fleet work."""
        self._run(seconds)

    @rule()
    def change(self) -> None:
        """An operator changes something at whoever leads."""
        for member, core in list(self.cores.items()):
            if core.is_leader:
                self.next_number += 1
                self._give(member, Propose(self.next_number, f"x{self.next_number}"))
        self._deliver()

    @rule()
    def read(self) -> None:
        """An operator reads: all that was acknowledged before must be seen."""
        for member, core in list(self.cores.items()):
            if core.is_leader:
                self.next_number += 1
                self.reads[self.next_number] = set(self.acknowledged)
                self._give(member, Read(self.next_number))
        self._deliver()

    @rule(address=st.sampled_from("abcd"))
    def cut_off(self, address: str) -> None:
        """Cut one VM off, or join it again."""
        self.cut = set() if address in self.cut else {address}

    @rule(address=st.sampled_from("abc"), seconds=st.floats(0.5, 3.0))
    def suspend(self, address: str, seconds: float) -> None:
        """One VM stands still, its clock too; on waking it is asked at once."""
        before, self.cut = self.cut, {address}
        self._run(seconds, frozen=address)
        self.lag_by_address[address] += int(seconds / 0.1) * 0.1
        self.change()
        self.read()
        self.cut = before
        self._deliver()

    @rule(address=st.sampled_from("abc"))
    def crash(self, address: str) -> None:
        """One VM loses power and comes back with its disk."""
        for member in list(self.cores):
            if member.startswith(address):
                self._start(member)

    @rule()
    def crash_all(self) -> None:
        """All VMs lose power at once; messages on the way are lost."""
        self.bag = []
        for member in list(self.cores):
            self._start(member)

    @rule(address=st.sampled_from("abc"))
    def lose_disk(self, address: str) -> None:
        """One VM loses its disk and comes back in a new life."""
        if self.lost is not None and not self._is_replaced():
            return
        for member in list(self.cores):
            if member.startswith(address):
                del self.cores[member]
        self.life_by_address[address] += 1
        member = f"{address}/{self.life_by_address[address]}"
        self.disks[member] = FakeDisk()
        self._start(member)
        self.lost = member

    def _is_replaced(self) -> bool:
        """Tell whether the last lost disk counts again, by a committed change."""
        return any(
            self.lost in core.members and core.is_leader and not core._is_changing()
            for core in self.cores.values()
        )

    @rule()
    def add(self) -> None:
        """A VM joins at a new address."""
        if "d/1" not in self.cores:
            self.disks["d/1"] = FakeDisk()
            self._start("d/1")

    @rule()
    def hand_over(self) -> None:
        """The leader is told to stop and lets another lead."""
        for member, core in list(self.cores.items()):
            if core.is_leader:
                self._give(member, HandOver())
        self._deliver()

    @invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        """What an operator was told is in force stands in the one history."""
        known = set(self.oracle)
        assert all(command in known for command in self.acknowledged)

    def teardown(self) -> None:
        """Once all is joined, the fleet works again and remembers everything."""
        self.cut = set()
        self._run(12.0)
        leaders = [m for m, core in self.cores.items() if core.is_leader]
        assert leaders, "nobody leads"
        best = max(leaders, key=lambda member: self.cores[member].term)
        assert set(self.acknowledged) <= set(self.states[best])


MembershipTest = MembershipMachine.TestCase
MembershipTest.settings = CHEAP_STATEFUL
