"""A majority elects a leader, whichever terms its members have stored."""

from random import Random

from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    Entry,
    HardState,
    RaftAction,
    RaftEnvelope,
    RaftTick,
    Received,
    SendMessage,
    Snapshot,
    StoredLog,
)
from tests.support.cases import CaseTest


def member(name: str, term: int, entries: int) -> RaftCore:
    """Return a member of three with a stored term and number of log entries."""
    peers = [other for other in "abc" if other != name]
    log = [Entry(number + 1, 1, f"x{number}") for number in range(entries)]
    stored = StoredLog(HardState(term, ""), Snapshot(), log)
    return RaftCore(name, peers, Random(name), stored)


class PreVoteTest(CaseTest):
    """Two of three members are running, so each needs the other's vote."""

    def elect(self, first: RaftCore, second: RaftCore) -> list[str]:
        """Run both members for ten seconds; return which of them are leaders."""
        core_by_member = {core.member_id: core for core in (first, second)}
        undelivered: list[RaftEnvelope] = []
        for step in range(100):
            now = 1.0 + step * 0.1
            actions: list[RaftAction] = []
            for core in core_by_member.values():
                actions.extend(core.handle(RaftTick(), now))
            undelivered = [a.envelope for a in actions if isinstance(a, SendMessage)]
            while undelivered:
                envelope = undelivered.pop(0)
                receiver = core_by_member.get(envelope.receiver)
                if receiver is not None:
                    replies = receiver.handle(Received(envelope), now)
                    undelivered.extend(
                        a.envelope for a in replies if isinstance(a, SendMessage)
                    )
        return [name for name, core in core_by_member.items() if core.is_leader]

    def test_longer_log_wins_although_its_term_is_behind(self) -> None:
        """Neither member may be refused pre-votes forever.

        A failed candidacy leaves one member with a higher term and a shorter log. It
        gets no pre-vote because of its log. The other one gets none because of its
        term, unless the rejection tells it the higher term.
        """
        for term in (1, 2, 3, 9):
            with self.subTest(term=term):
                leaders = self.elect(member("a", 1, 5), member("b", term, 3))
                self.assertEqual(leaders, ["a"])
