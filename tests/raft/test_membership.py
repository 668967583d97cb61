"""Members change one at a time, and lost disks never count again."""

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pistachiolever.raft.const import MEMBER_TIMEOUT_SECONDS
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.membership import MemberStatus, next_members
from pistachiolever.raft.models import (
    Apply,
    Join,
    PersistEntries,
    PersistSnapshot,
    PersistState,
    ProposalAppended,
    Propose,
    RaftAction,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Read,
    ReadReady,
    Received,
    Restore,
    SendMessage,
    StoredLog,
    TransferLeadership,
)
from tests.raft.test_raft_machine import FakeDisk
from tests.support.cases import CaseTest
from tests.support.profile import CHEAP_STATEFUL

FOUNDERS = ["a/0", "b/0", "c/0"]


def view(member: str, silent: float = 0.0, caught_up: bool = True) -> MemberStatus:
    """Return what a leader knows of a member."""
    return MemberStatus(member, silent, caught_up)


class NextMembersTest(CaseTest):
    """The choice of the next members, as a table."""

    def test_table(self) -> None:
        dead = MEMBER_TIMEOUT_SECONDS
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
            "a dead one of five keeps its disk's vote": (
                [*FOUNDERS, "d/1", "e/1"],
                [view("b/0"), view("c/0", dead), view("d/1"), view("e/1")],
                None,
            ),
            "a dead one of five makes room for a successor": (
                [*FOUNDERS, "d/1", "e/1"],
                [view("b/0"), view("c/0", dead), *map(view, ["d/1", "e/1", "f/1"])],
                ["a/0", "b/0", "d/1", "e/1"],
            ),
            "two dead of five": (
                [*FOUNDERS, "d/1", "e/1"],
                [view("b/0", dead), view("c/0", dead + 1), view("d/1"), view("e/1")],
                ["a/0", "b/0", "d/1", "e/1"],
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


def is_write(action: RaftAction) -> bool:
    """Tell whether an action goes to the disk."""
    return isinstance(action, PersistState | PersistEntries | PersistSnapshot)


class MembershipMachine(RuleBasedStateMachine):
    """Members are cut off, crash, lose disks, join and are dropped.

    Disks stall, and a crash then leaves any part of what they were writing. At most
    `tolerated` disks are lost until those before are replaced: one is what a fleet of
    three bears.
    """

    tolerated = 1

    def __init__(self) -> None:
        """Start three founders; two more VMs may join."""
        super().__init__()
        self.now = 1.0
        self.rng = Random(7)
        self.disks: dict[str, FakeDisk] = {}
        self.cores: dict[str, RaftCore] = {}
        self.states: dict[str, list[str]] = {}
        self.life_by_address = dict.fromkeys("abcde", 0)
        self.bag: list[RaftEnvelope] = []
        self.oracle: list[str] = []
        self.acknowledged: list[str] = []
        self.reads: dict[int, set[str]] = {}
        self.placed_by: dict[str, int] = {}
        self.cut: set[str] = set()
        self.lag_by_address = dict.fromkeys("abcde", 0.0)
        self.next_number = 0
        self.lost: set[str] = set()
        self.stalled: set[str] = set()
        self.writing: dict[str, list[RaftAction]] = {}
        self.unread: dict[str, list[RaftInput]] = {}
        for member in FOUNDERS:
            self.disks[member] = FakeDisk()
            self._start(member)

    def _start(self, member: str) -> None:
        """Start a member from its disk, with a part of what it was writing."""
        half_done = self.writing.pop(member, [])
        for action in half_done[: self.rng.randint(0, len(half_done))]:
            self.disks[member].write(action)
        self.unread.pop(member, None)
        stored: StoredLog = self.disks[member].stored()
        founder = member in FOUNDERS
        peers = [m for m in FOUNDERS if m != member] if founder else []
        self.cores[member] = RaftCore(
            member,
            peers,
            Random(self.rng.random()),
            stored,
            starts_as_learner=not founder,
        )
        text = stored.snapshot.state
        self.states[member] = text.split(",") if text else []

    def _give(self, member: str, message: RaftInput) -> None:
        """Give a living member a message."""
        if member not in self.cores:
            return
        if member in self.writing:
            # A member that waits for its disk does nothing else.
            self.unread.setdefault(member, []).append(message)
            return
        own_now = self.now - self.lag_by_address[member[0]]
        actions = self.cores[member].handle(message, own_now)
        if member[0] in self.stalled and any(map(is_write, actions)):
            self.writing[member] = actions
            return
        self._finish(member, actions)

    def _finish(self, member: str, actions: list[RaftAction]) -> None:
        """Write what actions demand, then carry them out."""
        for action in actions:
            self.disks[member].write(action)
        for action in actions:
            self._perform(member, action)

    def _perform(self, member: str, action: RaftAction) -> None:
        """Carry out one action."""
        if isinstance(action, SendMessage):
            self.bag.append(action.envelope)
        elif isinstance(action, Apply) and action.entry.command:
            self.states[member].append(action.entry.command)
            self._check(member)
            self._acknowledge(member, action)
        elif isinstance(action, Restore):
            text = action.snapshot.state
            self.states[member] = text.split(",") if text else []
            self._check(member)
        elif isinstance(action, ProposalAppended):
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

    @rule(address=st.sampled_from("abcde"))
    def stall_disk(self, address: str) -> None:
        """A disk stops taking writes, or takes them again after those that wait."""
        if address not in self.stalled:
            self.stalled.add(address)
            return
        self._release(address)
        self._deliver()

    def _release(self, address: str) -> None:
        """Let a disk take writes again."""
        self.stalled.discard(address)
        for member in [member for member in self.writing if member[0] == address]:
            self._finish(member, self.writing.pop(member))
            for message in self.unread.pop(member, []):
                self._give(member, message)

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

    @rule(address=st.sampled_from("abcde"))
    def lose_disk(self, address: str) -> None:
        """One VM loses its disk and comes back in a new life."""
        known = [member for member in self.cores if member.startswith(address)]
        if not known or len(self._unreplaced()) >= self.tolerated:
            return
        for member in known:
            del self.cores[member]
            self.writing.pop(member, None)
        self.lost -= set(known)
        self.lost.add(self._join_anew(address))

    def _unreplaced(self) -> set[str]:
        """Return the new lives of lost disks that are not members yet, surely."""
        for core in self.cores.values():
            if core.is_leader and not core._has_uncommitted_member_change():
                self.lost -= set(core.members)
        return self.lost

    def _join_anew(self, address: str) -> str:
        """Start a VM with an empty disk in a new life."""
        self.life_by_address[address] += 1
        member = f"{address}/{self.life_by_address[address]}"
        self.disks[member] = FakeDisk()
        self._start(member)
        return member

    @rule()
    def add(self) -> None:
        """A VM joins at a new address."""
        if not any(member.startswith("d") for member in self.cores):
            self._join_anew("d")

    @rule()
    def hand_over(self) -> None:
        """The leader is told to stop and lets another lead."""
        for member, core in list(self.cores.items()):
            if core.is_leader:
                self._give(member, TransferLeadership())
        self._deliver()

    @invariant()
    def nothing_acknowledged_is_lost(self) -> None:
        """What an operator was told is in force stands in the one history."""
        known = set(self.oracle)
        assert all(command in known for command in self.acknowledged)

    def teardown(self) -> None:
        """Once all is joined, the fleet works again and remembers everything."""
        self.cut = set()
        for address in list(self.stalled):
            self._release(address)
        self._run(12.0)
        leaders = [m for m, core in self.cores.items() if core.is_leader]
        assert leaders, "nobody leads"
        best = max(leaders, key=lambda member: self.cores[member].term)
        assert set(self.acknowledged) <= set(self.states[best])


MembershipTest = MembershipMachine.TestCase
MembershipTest.settings = CHEAP_STATEFUL


class FiveMembersMachine(MembershipMachine):
    """Five members, of which any two may lose their disks at the same moment."""

    tolerated = 2

    def __init__(self) -> None:
        """Let two more VMs join the founders before anything happens."""
        super().__init__()
        for address in "de":
            self._join_anew(address)
        self._run(12.0)
        assert all(len(core.members) == 5 for core in self.cores.values())

    @rule(addresses=st.sets(st.sampled_from("abcde"), min_size=2, max_size=3))
    def cut_off_several(self, addresses: set[str]) -> None:
        """Cut two or three VMs off from all others; a change is tried meanwhile."""
        self.cut = addresses
        self.change()

    @rule(first=st.sampled_from("abcde"), second=st.sampled_from("abcde"))
    def lose_two_disks(self, first: str, second: str) -> None:
        """Two VMs lose their disks at once, right after a change."""
        self.change()
        self.lose_disk(first)
        if second != first:
            self.lose_disk(second)


FiveMembersTest = FiveMembersMachine.TestCase
FiveMembersTest.settings = settings(CHEAP_STATEFUL, max_examples=100)
