"""Unit tests of RaftCore."""

from random import Random
from unittest import TestCase

from nose2.tools import params

from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Append,
    Apply,
    Entry,
    Propose,
    RaftEnvelope,
    RaftInput,
    RaftTick,
    Received,
    SendMessage,
    StoredLog,
    VoteReply,
    VoteRequest,
)


def member(may_vote: bool = True, peers: int = 2) -> RaftCore:
    """Return member "a" of a cluster with up to two peers."""
    others = ["b", "c"][:peers]
    return RaftCore("a", others, Random(1), StoredLog(), may_vote)


def vote_replies(core: RaftCore, request: VoteRequest, now: float) -> list[VoteReply]:
    """Return the replies of a member to a vote request from "b"."""
    envelope = RaftEnvelope("b", "a", request)
    actions = core.handle(Received(envelope), now)
    replies = [a.envelope.message for a in actions if isinstance(a, SendMessage)]
    return [reply for reply in replies if isinstance(reply, VoteReply)]


class RaftCoreTest(TestCase):
    """Leader leases, lost disks and clusters of one member."""

    @params((0.1, False), (0.5, False), (0.7, True))
    def test_no_vote_soon_after_a_leader_was_heard(
        self, seconds: float, granted: bool
    ) -> None:
        # Candidate b may have collected its pre-votes before c became leader. A vote
        # for b would then elect a second leader while c still holds its lease.
        core = member()
        heartbeat = Append(1, "c", 0, 0, [], 0, 1)
        core.handle(Received(RaftEnvelope("c", "a", heartbeat)), 10.0)
        request = VoteRequest(2, "b", 0, 0, is_pre_vote=False)
        replies = vote_replies(core, request, 10.0 + seconds)
        self.assertEqual([reply.granted for reply in replies], [True] * granted)
        self.assertEqual(core.term, 2 if granted else 1)

    @params((True, True), (False, False))
    def test_lost_disk_has_no_vote(self, may_vote: bool, granted: bool) -> None:
        core = member(may_vote)
        request = VoteRequest(1, "b", 0, 0, is_pre_vote=False)
        replies = vote_replies(core, request, 10.0)
        self.assertEqual([reply.granted for reply in replies], [granted])
        core.handle(RaftTick(), 20.0)
        actions = core.handle(RaftTick(), 40.0)
        messages = [action for action in actions if isinstance(action, SendMessage)]
        self.assertEqual(bool(messages), may_vote)

    def test_lost_disk_catches_up_with_the_same_leader(self) -> None:
        # The leader must send entries again that the member had acknowledged before its
        # disk was lost. Otherwise the member never catches up.
        leader, follower = member(peers=1), RaftCore("b", ["a"], Random(2), StoredLog())
        cores = {"a": leader, "b": follower}

        def exchange(now: float) -> None:
            """Tick the leader and deliver messages until none are left."""
            waiting: list[tuple[str, RaftInput]] = [("a", RaftTick())]
            for _ in range(200):
                if not waiting:
                    return
                name, message = waiting.pop(0)
                for action in cores[name].handle(message, now):
                    if isinstance(action, SendMessage):
                        envelope = action.envelope
                        waiting.append((envelope.receiver, Received(envelope)))

        exchange(1.0)
        exchange(3.0)
        self.assertTrue(leader.is_leader)
        for token in range(5):
            leader.handle(Propose(token, f"c{token}"), 3.0)
        exchange(3.2)
        exchange(3.4)
        self.assertEqual(follower.commit_index, leader.commit_index)
        cores["b"] = RaftCore("b", ["a"], Random(3), StoredLog(), False)
        for step in range(5):
            exchange(3.6 + 0.2 * step)
        self.assertEqual(cores["b"].commit_index, leader.commit_index)

    def test_single_member_becomes_leader_and_commits_at_once(self) -> None:
        core = member(peers=0)
        core.handle(RaftTick(), 1.0)
        actions = core.handle(Propose(1, "x"), 1.0)
        applied = [a.entry.command for a in actions if isinstance(a, Apply)]
        self.assertEqual(applied, ["x"])
        self.assertTrue(core.has_lease(1.0))


class MemberChangeTest(TestCase):
    """At most one membership change is uncommitted."""

    # Behind 256 later entries an uncommitted change was overlooked, and a second one
    # could be appended: two majorities without a common member.
    @params((0, True), (255, True), (256, True), (700, True))
    def test_uncommitted_change_behind_later_entries(
        self, later_entries: int, found: bool
    ) -> None:
        entries = [Entry(1, 1, "x"), Entry(2, 1, "", ["a", "b", "c", "d"])]
        entries += [Entry(3 + n, 1, "y") for n in range(later_entries)]
        core = RaftCore("a", ["b", "c"], Random(1), StoredLog(entries=entries))
        self.assertEqual(core._has_uncommitted_member_change(), found)
        core.commit_index = 2
        self.assertFalse(core._has_uncommitted_member_change())
