"""Membership changes: one voter at a time, and a lost disk loses its vote for good."""

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


def status(
    member: str, seconds_since_reply: float = 0.0, caught_up: bool = True
) -> MemberStatus:
    """Return a leader's view of a member."""
    return MemberStatus(member, seconds_since_reply, caught_up)


class NextMembersTest(CaseTest):
    """The next set of voters for each case."""

    def test_table(self) -> None:
        timeout = MEMBER_TIMEOUT_SECONDS
        cases = {
            "no change": (FOUNDERS, [status("b/0"), status("c/0")], None),
            "a caught-up learner": (
                FOUNDERS,
                [status("b/0"), status("c/0"), status("d/1")],
                [*FOUNDERS, "d/1"],
            ),
            "a learner that is behind": (
                FOUNDERS,
                [status("b/0"), status("c/0"), status("d/1", 0.0, False)],
                None,
            ),
            "an unresponsive learner": (
                FOUNDERS,
                [status("b/0"), status("c/0"), status("d/1", 2.0)],
                None,
            ),
            "a new incarnation replaces a lost disk": (
                FOUNDERS,
                [status("b/0"), status("c/0", 1.0), status("c/1")],
                ["a/0", "b/0", "c/1"],
            ),
            "a dead one of three stays": (
                FOUNDERS,
                [status("b/0"), status("c/0", timeout)],
                None,
            ),
            "a dead one of four is removed": (
                [*FOUNDERS, "d/1"],
                [status("b/0"), status("c/0", timeout), status("d/1")],
                ["a/0", "b/0", "d/1"],
            ),
            "two dead of four stay": (
                [*FOUNDERS, "d/1"],
                [status("b/0", timeout), status("c/0", timeout), status("d/1")],
                None,
            ),
            "a dead one of five stays": (
                [*FOUNDERS, "d/1", "e/1"],
                [status("b/0"), status("c/0", timeout), status("d/1"), status("e/1")],
                None,
            ),
            "a dead one of five is removed for a learner": (
                [*FOUNDERS, "d/1", "e/1"],
                [
                    status("b/0"),
                    status("c/0", timeout),
                    *map(status, ["d/1", "e/1", "f/1"]),
                ],
                ["a/0", "b/0", "d/1", "e/1"],
            ),
            "of two dead of five the longest dead is removed": (
                [*FOUNDERS, "d/1", "e/1"],
                [
                    status("b/0", timeout),
                    status("c/0", timeout + 1),
                    status("d/1"),
                    status("e/1"),
                ],
                ["a/0", "b/0", "d/1", "e/1"],
            ),
            "no learner is promoted beyond five voters": (
                [*FOUNDERS, "d/1", "e/1"],
                [status(m) for m in ["b/0", "c/0", "d/1", "e/1", "f/1"]],
                None,
            ),
        }
        for name, (members, statuses, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(next_members("a/0", members, statuses), expected)


def is_persist_action(action: RaftAction) -> bool:
    """Return whether an action writes to disk."""
    return isinstance(action, PersistState | PersistEntries | PersistSnapshot)


class MembershipMachine(RuleBasedStateMachine):
    """Members are isolated, crash, lose disks, join and are removed.

    Disks stall, and a crash then leaves any part of the unfinished writes. At most
    `tolerated_losses` disks are lost before earlier ones are replaced by new voters;
    three voters tolerate one.
    """

    tolerated_losses = 1

    def __init__(self) -> None:
        """Start three founders."""
        super().__init__()
        self.now = 1.0
        self.rng = Random(7)
        self.disk_by_member: dict[str, FakeDisk] = {}
        self.core_by_member: dict[str, RaftCore] = {}
        self.state_by_member: dict[str, list[str]] = {}
        self.incarnation_by_address = dict.fromkeys("abcde", 0)
        self.undelivered: list[RaftEnvelope] = []
        self.applied_history: list[str] = []
        self.acknowledged: list[str] = []
        self.reads: dict[int, set[str]] = {}
        self.term_by_command: dict[str, int] = {}
        self.isolated: set[str] = set()
        self.clock_lag_by_address = dict.fromkeys("abcde", 0.0)
        self.next_number = 0
        self.pending_replacements: set[str] = set()
        self.stalled_disks: set[str] = set()
        self.unwritten_actions: dict[str, list[RaftAction]] = {}
        self.queued_inputs: dict[str, list[RaftInput]] = {}
        for member in FOUNDERS:
            self.disk_by_member[member] = FakeDisk()
            self._start(member)

    def _start(self, member: str) -> None:
        """Start a member from its disk, which has a part of its unfinished writes."""
        unwritten = self.unwritten_actions.pop(member, [])
        for action in unwritten[: self.rng.randint(0, len(unwritten))]:
            self.disk_by_member[member].write(action)
        self.queued_inputs.pop(member, None)
        stored: StoredLog = self.disk_by_member[member].stored()
        is_founder = member in FOUNDERS
        peers = [m for m in FOUNDERS if m != member] if is_founder else []
        self.core_by_member[member] = RaftCore(
            member,
            peers,
            Random(self.rng.random()),
            stored,
            starts_as_learner=not is_founder,
        )
        text = stored.snapshot.state
        self.state_by_member[member] = text.split(",") if text else []

    def _handle(self, member: str, message: RaftInput) -> None:
        """Let a running member handle an input."""
        if member not in self.core_by_member:
            return
        if member in self.unwritten_actions:
            # A member that waits for its disk handles no inputs.
            self.queued_inputs.setdefault(member, []).append(message)
            return
        local_now = self.now - self.clock_lag_by_address[member[0]]
        actions = self.core_by_member[member].handle(message, local_now)
        if member[0] in self.stalled_disks and any(map(is_persist_action, actions)):
            self.unwritten_actions[member] = actions
            return
        self._persist_and_perform(member, actions)

    def _persist_and_perform(self, member: str, actions: list[RaftAction]) -> None:
        """Write what the actions require, then perform them."""
        for action in actions:
            self.disk_by_member[member].write(action)
        for action in actions:
            self._perform(member, action)

    def _perform(self, member: str, action: RaftAction) -> None:
        """Perform one action."""
        if isinstance(action, SendMessage):
            self.undelivered.append(action.envelope)
        elif isinstance(action, Apply) and action.entry.command:
            self.state_by_member[member].append(action.entry.command)
            self._check_history(member)
            self._acknowledge(member, action)
        elif isinstance(action, Restore):
            text = action.snapshot.state
            self.state_by_member[member] = text.split(",") if text else []
            self._check_history(member)
        elif isinstance(action, ProposalAppended):
            self.term_by_command[f"x{action.token}"] = action.term
        elif isinstance(action, ReadReady):
            seen = self.reads.pop(action.token)
            assert seen <= set(self.state_by_member[member]), "a read missed a change"

    def _acknowledge(self, member: str, action: Apply) -> None:
        """Record a change that is acknowledged to an operator."""
        command = action.entry.command
        is_acknowledged = self.term_by_command.get(command) == action.entry.term
        if is_acknowledged and command not in self.acknowledged:
            self.acknowledged.append(command)

    def _check_history(self, member: str) -> None:
        """Check that all members apply the same commands in the same order."""
        state = self.state_by_member[member]
        common = min(len(state), len(self.applied_history))
        assert state[:common] == self.applied_history[:common], (
            member,
            state,
            self.applied_history,
        )
        if len(state) > len(self.applied_history):
            self.applied_history = list(state)

    def _deliver(self) -> None:
        """Deliver messages between connected members until none are left."""
        for _ in range(60):
            batch, self.undelivered = self.undelivered, []
            if not batch:
                return
            for envelope in batch:
                addresses = {
                    envelope.sender.split("/")[0],
                    envelope.receiver.split("/")[0],
                }
                if not addresses & self.isolated:
                    self._handle(envelope.receiver, Received(envelope))

    def _run(self, seconds: float, frozen: str = "") -> None:
        """Advance time in small steps; a frozen VM handles no ticks."""
        for _ in range(int(seconds / 0.1)):
            self.now += 0.1
            for member in list(self.core_by_member):
                if member[0] != frozen:
                    self._handle(member, RaftTick())
            for member in list(self.core_by_member):
                if member not in self.core_by_member[member].members:
                    for other in list(self.core_by_member):
                        if not {member[0], other[0]} & self.isolated:
                            self._handle(other, Join(member))
            self._deliver()

    @rule(seconds=st.floats(0.1, 4.0))
    def pass_time(self, seconds: float) -> None:
        """Run all members for a while."""
        self._run(seconds)

    @rule()
    def change_configuration(self) -> None:
        """Propose a change at every member that is leader."""
        for member, core in list(self.core_by_member.items()):
            if core.is_leader:
                self.next_number += 1
                self._handle(member, Propose(self.next_number, f"x{self.next_number}"))
        self._deliver()

    @rule()
    def read(self) -> None:
        """Read at every leader; the result must include all acknowledged changes."""
        for member, core in list(self.core_by_member.items()):
            if core.is_leader:
                self.next_number += 1
                self.reads[self.next_number] = set(self.acknowledged)
                self._handle(member, Read(self.next_number))
        self._deliver()

    @rule(address=st.sampled_from("abcd"))
    def cut_off(self, address: str) -> None:
        """Isolate one VM, or reconnect it."""
        self.isolated = set() if address in self.isolated else {address}

    @rule(address=st.sampled_from("abc"), seconds=st.floats(0.5, 3.0))
    def suspend(self, address: str, seconds: float) -> None:
        """Suspend one VM with its clock; propose and read at once when it resumes."""
        before, self.isolated = self.isolated, {address}
        self._run(seconds, frozen=address)
        self.clock_lag_by_address[address] += int(seconds / 0.1) * 0.1
        self.change_configuration()
        self.read()
        self.isolated = before
        self._deliver()

    @rule(address=st.sampled_from("abcde"))
    def stall_disk(self, address: str) -> None:
        """Stall the writes of a disk, or resume it."""
        if address not in self.stalled_disks:
            self.stalled_disks.add(address)
            return
        self._resume_disk(address)
        self._deliver()

    def _resume_disk(self, address: str) -> None:
        """Finish a disk's stalled writes and handle the inputs queued meanwhile."""
        self.stalled_disks.discard(address)
        for member in [
            member for member in self.unwritten_actions if member[0] == address
        ]:
            self._persist_and_perform(member, self.unwritten_actions.pop(member))
            for message in self.queued_inputs.pop(member, []):
                self._handle(member, message)

    @rule(address=st.sampled_from("abc"))
    def crash(self, address: str) -> None:
        """Restart one VM with its disk."""
        for member in list(self.core_by_member):
            if member.startswith(address):
                self._start(member)

    @rule()
    def crash_all(self) -> None:
        """Restart all VMs at once; undelivered messages are lost."""
        self.undelivered = []
        for member in list(self.core_by_member):
            self._start(member)

    @rule(address=st.sampled_from("abcde"))
    def lose_disk(self, address: str) -> None:
        """Replace one VM's disk by an empty one, which starts a new incarnation."""
        incarnations = [
            member for member in self.core_by_member if member.startswith(address)
        ]
        if (
            not incarnations
            or len(self._update_pending_replacements()) >= self.tolerated_losses
        ):
            return
        for member in incarnations:
            del self.core_by_member[member]
            self.unwritten_actions.pop(member, None)
        self.pending_replacements -= set(incarnations)
        self.pending_replacements.add(self._start_new_incarnation(address))

    def _update_pending_replacements(self) -> set[str]:
        """Return the replacements of lost disks that no committed entry includes."""
        for core in self.core_by_member.values():
            if core.is_leader and not core._has_uncommitted_member_change():
                self.pending_replacements -= set(core.members)
        return self.pending_replacements

    def _start_new_incarnation(self, address: str) -> str:
        """Start a new incarnation with an empty disk at an address."""
        self.incarnation_by_address[address] += 1
        member = f"{address}/{self.incarnation_by_address[address]}"
        self.disk_by_member[member] = FakeDisk()
        self._start(member)
        return member

    @rule()
    def add_member(self) -> None:
        """Start a VM at a new address."""
        if not any(member.startswith("d") for member in self.core_by_member):
            self._start_new_incarnation("d")

    @rule()
    def leadership_transfer(self) -> None:
        """Let the leader transfer its leadership."""
        for member, core in list(self.core_by_member.items()):
            if core.is_leader:
                self._handle(member, TransferLeadership())
        self._deliver()

    @invariant()
    def no_acknowledged_change_is_lost(self) -> None:
        """Every acknowledged change is part of the applied history."""
        applied = set(self.applied_history)
        assert all(command in applied for command in self.acknowledged)

    def teardown(self) -> None:
        """Reconnect all members; a leader with all acknowledged changes is elected."""
        self.isolated = set()
        for address in list(self.stalled_disks):
            self._resume_disk(address)
        self._run(12.0)
        leaders = [m for m, core in self.core_by_member.items() if core.is_leader]
        assert leaders, "no leader"
        newest_leader = max(
            leaders, key=lambda member: self.core_by_member[member].term
        )
        assert set(self.acknowledged) <= set(self.state_by_member[newest_leader])


MembershipTest = MembershipMachine.TestCase
MembershipTest.settings = CHEAP_STATEFUL


class FiveMembersMachine(MembershipMachine):
    """Five voters, of which any two may lose their disks at the same time."""

    tolerated_losses = 2

    def __init__(self) -> None:
        """Start with two more VMs that have become voters."""
        super().__init__()
        for address in "de":
            self._start_new_incarnation(address)
        self._run(12.0)
        assert all(len(core.members) == 5 for core in self.core_by_member.values())

    @rule(addresses=st.sets(st.sampled_from("abcde"), min_size=2, max_size=3))
    def cut_off_several(self, addresses: set[str]) -> None:
        """Isolate two or three VMs and propose a change."""
        self.isolated = addresses
        self.change_configuration()

    @rule(first=st.sampled_from("abcde"), second=st.sampled_from("abcde"))
    def lose_two_disks(self, first: str, second: str) -> None:
        """Two VMs lose their disks at once after a change was proposed."""
        self.change_configuration()
        self.lose_disk(first)
        if second != first:
            self.lose_disk(second)


FiveMembersTest = FiveMembersMachine.TestCase
FiveMembersTest.settings = settings(CHEAP_STATEFUL, max_examples=100)
