"""Raft as a pure state machine, without sockets, disks or clocks."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from pistachiolever.raft.const import (
    ELECTION_JITTER_SECONDS,
    ELECTION_TIMEOUT_SECONDS,
    HEARTBEAT_SECONDS,
    INITIAL_ELECTION_TIMEOUT_SECONDS,
    LEARNER_TIMEOUT_SECONDS,
    LEASE_SECONDS,
    MAX_APPEND_ENTRIES,
)
from pistachiolever.raft.log import RaftLog
from pistachiolever.raft.membership import MemberStatus, next_members
from pistachiolever.raft.models import (
    Append,
    AppendReply,
    Apply,
    Compact,
    Entry,
    HardState,
    InstallSnapshot,
    Join,
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
    RaftMessage,
    RaftTick,
    Read,
    ReadReady,
    ReadRejected,
    Received,
    Restore,
    RoleChanged,
    SendMessage,
    Snapshot,
    StoredLog,
    TimeoutNow,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)


@define
class PeerProgress:
    """Replication state of a follower or learner at the leader.

    `acknowledged_sent_at` is the send time of the latest message that it has replied
    to. Times are in seconds.
    """

    next_index: int
    match_index: int = 0
    sent_at: float = float("-inf")
    acknowledged_sent_at: float = float("-inf")
    last_reply_at: float = float("-inf")


@define
class PendingRead:
    """A read that waits until a quorum has replied to a message sent after it."""

    token: int
    index: int
    sequence: int
    acknowledged_by: set[str] = field(factory=set)


@define
class RaftCore:
    """One member of the Raft cluster: takes inputs, returns actions.

    `may_vote` is false for a member whose disk was lost while it kept its id: it
    replicates the log, but neither votes nor campaigns. `peers` are initially the
    other voters; membership entries of the log or the snapshot replace them. A member
    that `starts_as_learner` becomes a voter once such an entry includes it. `members`
    are the voters only.
    """

    member_id: str
    peers: list[str]
    rng: Random
    stored: StoredLog
    may_vote: bool = True
    starts_as_learner: bool = False
    now: float = 0.0
    term: int = field(init=False)
    voted_for: str = field(init=False)
    log: RaftLog = field(init=False)
    commit_index: int = field(init=False)
    applied_index: int = field(init=False)
    leader: str = ""
    is_leader: bool = False
    leader_since: float = 0.0
    first_index_of_term: int = 0
    election_deadline: float = 0.0
    last_contact_at: float = float("-inf")
    sequence: int = 0
    progress_by_peer: dict[str, PeerProgress] = field(factory=dict)
    sent_at_by_sequence: dict[int, float] = field(factory=dict)
    votes: set[str] = field(factory=set)
    pre_votes: set[str] = field(factory=set)
    members: list[str] = field(init=False)
    pending_reads: list[PendingRead] = field(factory=list)
    transfer_requested: bool = False
    _initial_members: list[str] = field(init=False)
    _actions: list[RaftAction] = field(factory=list)
    _handler_by_type: dict[type, Callable[[Any, Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Initialize from the persisted state."""
        self.term = self.stored.hard_state.term
        self.voted_for = self.stored.hard_state.voted_for
        self.log = RaftLog(self.stored.snapshot, list(self.stored.entries))
        self.commit_index = self.stored.snapshot.index
        self.applied_index = self.stored.snapshot.index
        self._initial_members = (
            [] if self.starts_as_learner else [self.member_id, *self.peers]
        )
        self._update_members()
        self._handler_by_type = {
            VoteRequest: self._handle_vote_request,
            VoteReply: self._handle_vote_reply,
            Append: self._handle_append,
            AppendReply: self._handle_append_reply,
            InstallSnapshot: self._handle_install_snapshot,
            TimeoutNow: self._handle_timeout_now,
        }

    def handle(self, message: RaftInput, now: float) -> list[RaftAction]:
        """Handle one input and return the resulting actions in order.

        `now` is in seconds.
        """
        if self.election_deadline == 0.0:
            self.election_deadline = now + (
                self._initial_election_timeout() if self.peers else 0.0
            )
        self.now = now
        self._actions = []
        if isinstance(message, Propose):
            self._propose(message)
        elif isinstance(message, Received):
            self._handle_message(message.envelope)
        elif isinstance(message, Read):
            self._start_read(message)
        elif isinstance(message, Join):
            self._add_learner(message)
        elif isinstance(message, TransferLeadership):
            self._transfer_leadership()
        elif isinstance(message, Compact):
            self._compact(message)
        elif isinstance(message, RaftTick):
            self._tick()
        return self._actions

    def has_lease(self, now: float) -> bool:
        """Return whether this member holds the leader lease.

        Meanwhile no other member becomes leader, unless by a leadership transfer.
        """
        return self.is_leader and now - self._quorum_contact_time() < LEASE_SECONDS

    def last_quorum_contact(self) -> float:
        """Return when this member last heard from a quorum, or from its leader."""
        return self._quorum_contact_time() if self.is_leader else self.last_contact_at

    # Inputs.

    def _propose(self, message: Propose) -> None:
        """Append a command to the log if this member is the leader."""
        if not self.is_leader:
            self._actions.append(ProposalRejected(message.token, self.leader))
            return
        entry = Entry(self.log.last_index() + 1, self.term, message.command)
        self.log.append(entry)
        self._actions.append(PersistEntries([entry]))
        self._actions.append(ProposalAppended(message.token, entry.index, entry.term))
        self._replicate()
        self._advance_commit()

    def _handle_message(self, envelope: RaftEnvelope) -> None:
        """Handle a message from another member."""
        if envelope.receiver != self.member_id:
            return
        message = envelope.message
        if self._ignores_candidate(message):
            return
        if message.term > self.term and not _is_pre_vote(message):
            self._become_follower(message.term, "")
        self._handler_by_type[type(message)](envelope.sender, message)

    def _ignores_candidate(self, message: RaftMessage) -> bool:
        """Return whether to ignore a vote request because a leader was heard recently.

        The leader's lease relies on this, also against a candidate that collected its
        pre-votes before the leader was elected.
        """
        if not isinstance(message, VoteRequest) or message.is_pre_vote:
            return False
        if message.leader_asked:
            return False
        return self.now - self.last_contact_at < ELECTION_TIMEOUT_SECONDS

    def _compact(self, message: Compact) -> None:
        """Discard the entries that a snapshot covers."""
        if message.snapshot.index <= self.log.snapshot.index:
            return
        self.log.compact(message.snapshot)
        self._actions.append(PersistSnapshot(message.snapshot, list(self.log.entries)))
        self._persist_state()

    def _tick(self) -> None:
        """Send due heartbeats, start a due election or step down without a quorum."""
        if self.is_leader:
            quorum_contact_at = max(self._quorum_contact_time(), self.leader_since)
            if self.peers and self.now - quorum_contact_at > ELECTION_TIMEOUT_SECONDS:
                self._become_follower(self.term, "")
                return
            self._propose_member_change()
            self._replicate()
            return
        if self.now >= self.election_deadline and self._can_campaign():
            self._start_pre_vote()

    def _can_campaign(self) -> bool:
        """Return whether this member is a voter that may become leader."""
        return self.may_vote and self.member_id in self.members

    # Elections.

    def _start_pre_vote(self) -> None:
        """Ask whether an election could be won, without incrementing the term."""
        self._clear_leader()
        self.transfer_requested = False
        self.election_deadline = self.now + self._election_timeout()
        self.pre_votes = {self.member_id}
        if self._is_quorum(len(self.pre_votes)):
            self._start_election()
            return
        self._request_votes(self.term + 1, is_pre_vote=True)

    def _start_election(self) -> None:
        """Become candidate in the next term and request votes."""
        self.term += 1
        self.voted_for = self.member_id
        self.votes = {self.member_id}
        self.pre_votes = set()
        self._persist_state()
        self.election_deadline = self.now + self._election_timeout()
        if self._is_quorum(len(self.votes)):
            self._become_leader()
            return
        self._request_votes(self.term, is_pre_vote=False)

    def _request_votes(self, term: int, is_pre_vote: bool) -> None:
        """Request a vote from every other voter."""
        for peer in self.peers:
            self._send(
                peer,
                VoteRequest(
                    term,
                    self.member_id,
                    self.log.last_index(),
                    self.log.last_term(),
                    is_pre_vote,
                    self.transfer_requested,
                ),
            )

    def _handle_vote_request(self, sender: str, message: VoteRequest) -> None:
        """Grant the vote to a candidate whose log is at least as up to date."""
        is_up_to_date = (message.last_term, message.last_index) >= (
            self.log.last_term(),
            self.log.last_index(),
        )
        if message.is_pre_vote:
            has_leader = (
                self.now - self.last_contact_at < ELECTION_TIMEOUT_SECONDS
                or self.is_leader
            )
            granted = message.term > self.term and is_up_to_date and not has_leader
            granted = granted and self.may_vote
            # A rejection carries the own term. Without it, a candidate whose term is
            # behind would ask for the same term forever.
            term = message.term if granted else self.term
            self._send(sender, VoteReply(term, granted, True))
            return
        can_vote = self.voted_for in ("", message.candidate)
        granted = (
            message.term == self.term and can_vote and is_up_to_date and self.may_vote
        )
        if granted:
            self.voted_for = message.candidate
            self.election_deadline = self.now + self._election_timeout()
            self._persist_state()
        self._send(sender, VoteReply(self.term, granted, False))

    def _handle_vote_reply(self, sender: str, message: VoteReply) -> None:
        """Count a granted vote; start the election or lead once a quorum grants it."""
        if self.is_leader:
            return
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, "")
            return
        if message.is_pre_vote:
            if message.term == self.term + 1 and self.pre_votes:
                self.pre_votes.add(sender)
                if self._is_quorum(len(self.pre_votes)):
                    self._start_election()
            return
        if message.term == self.term and self.voted_for == self.member_id:
            self.votes.add(sender)
            if self._is_quorum(len(self.votes)):
                self._become_leader()

    def _become_leader(self) -> None:
        """Become leader and append an empty entry.

        Entries of earlier terms are only committed together with one of this term.
        """
        self.is_leader = True
        self.leader_since = self.now
        self.leader = self.member_id
        self.votes = set()
        self.transfer_requested = False
        next_index = self.log.last_index() + 1
        self.first_index_of_term = next_index
        self.progress_by_peer = {
            peer: PeerProgress(next_index, last_reply_at=self.now)
            for peer in self.peers
        }
        self.sent_at_by_sequence = {}
        entry = Entry(next_index, self.term, "")
        self.log.append(entry)
        self._actions.append(PersistEntries([entry]))
        self._actions.append(RoleChanged(True, self.term, self.leader))
        self._replicate()
        self._advance_commit()

    def _become_follower(self, term: int, leader: str) -> None:
        """Become follower; a newer term resets the vote."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._persist_state()
        was_leader = self.is_leader
        self.is_leader = False
        for read in self.pending_reads:
            self._actions.append(ReadRejected(read.token))
        self.pending_reads = []
        self.pre_votes = set()
        self.votes = set()
        if leader != self.leader or was_leader:
            self.leader = leader
            self._actions.append(RoleChanged(False, self.term, leader))
        if was_leader:
            self.election_deadline = self.now + self._election_timeout()

    def _clear_leader(self) -> None:
        """Clear the known leader."""
        if self.leader:
            self.leader = ""
            self._actions.append(RoleChanged(False, self.term, ""))

    # Replication.

    def _replicate(self) -> None:
        """Send missing entries to each peer, or a heartbeat when one is due."""
        for peer, progress in self.progress_by_peer.items():
            is_behind = progress.next_index <= self.log.last_index()
            if is_behind or self.now - progress.sent_at >= HEARTBEAT_SECONDS:
                self._send_append(peer, progress)

    def _send_append(self, peer: str, progress: PeerProgress) -> None:
        """Send the next entries, or the snapshot if they are already compacted."""
        progress.sent_at = self.now
        self.sequence += 1
        self.sent_at_by_sequence[self.sequence] = self.now
        previous = progress.next_index - 1
        previous_term = self.log.term_at(previous)
        if previous_term is None:
            snapshot = self.log.snapshot
            self._send(
                peer,
                InstallSnapshot(self.term, self.member_id, snapshot, self.sequence),
            )
            progress.next_index = snapshot.index + 1
            return
        entries = self.log.entries_after(previous, MAX_APPEND_ENTRIES)
        self._send(
            peer,
            Append(
                self.term,
                self.member_id,
                previous,
                previous_term,
                entries,
                self.commit_index,
                self.sequence,
            ),
        )
        progress.next_index = previous + len(entries) + 1

    def _handle_append(self, sender: str, message: Append) -> None:
        """Append the leader's entries if the log matches at the preceding one."""
        if message.term < self.term:
            self._send(sender, AppendReply(self.term, False, 0, message.sequence))
            return
        self._follow_leader(message.leader)
        known_term = self.log.term_at(message.previous_index)
        if message.previous_index < self.log.snapshot.index:
            # Compacted entries are committed, so they match those of any leader.
            known_term = message.previous_term
        if known_term != message.previous_term:
            hint = min(self.log.last_index(), message.previous_index - 1)
            hint = max(hint, self.commit_index)
            self._send(sender, AppendReply(self.term, False, hint, message.sequence))
            return
        changed = self.log.merge(message.entries)
        if changed:
            self._actions.append(PersistEntries(changed))
            self._update_members()
        match = message.previous_index + len(message.entries)
        self._commit(min(message.commit_index, match))
        self._send(sender, AppendReply(self.term, True, match, message.sequence))

    def _handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Replace the log and the state by the leader's snapshot."""
        if message.term < self.term:
            self._send(sender, AppendReply(self.term, False, 0, message.sequence))
            return
        self._follow_leader(message.leader)
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.compact(snapshot)
            self.commit_index = snapshot.index
            self.applied_index = snapshot.index
            self._actions.append(PersistSnapshot(snapshot, list(self.log.entries)))
            self._persist_state()
            self._actions.append(Restore(snapshot))
            self._update_members()
        self._send(
            sender, AppendReply(self.term, True, snapshot.index, message.sequence)
        )

    def _handle_append_reply(self, sender: str, message: AppendReply) -> None:
        """Update a peer's progress; send what it is still missing."""
        if not self.is_leader or message.term != self.term:
            return
        progress = self.progress_by_peer.get(sender)
        if progress is None:
            return
        progress.last_reply_at = self.now
        self._acknowledge_reads(sender, message.sequence)
        sent_at = self.sent_at_by_sequence.pop(message.sequence, None)
        if sent_at is not None:
            progress.acknowledged_sent_at = max(progress.acknowledged_sent_at, sent_at)
        self._expire_sequences()
        if not message.success:
            # A match index below the known one means that the peer's disk was lost or
            # the reply is out of order. Sending from there again is safe in both cases.
            progress.match_index = min(progress.match_index, message.match_index)
            progress.next_index = message.match_index + 1
            self._send_append(sender, progress)
            return
        progress.match_index = max(progress.match_index, message.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit()
        if progress.next_index <= self.log.last_index():
            self._send_append(sender, progress)

    def _follow_leader(self, leader: str) -> None:
        """Follow the leader that was just heard and reset the election timer."""
        self._become_follower(self.term, leader)
        self.last_contact_at = self.now
        self.election_deadline = self.now + self._election_timeout()

    def _advance_commit(self) -> None:
        """Commit up to the index that a quorum has stored, if it is of this term."""
        matches = [self.progress_by_peer[peer].match_index for peer in self.peers]
        if self.member_id in self.members:
            matches.append(self.log.last_index())
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit(index)

    def _commit(self, index: int) -> None:
        """Advance the commit index and apply the newly committed entries."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index()))
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            self._actions.append(Apply(self.log.entry(self.applied_index)))
        self._complete_reads()
        if self.is_leader and self.member_id not in self.members:
            # A committed entry has removed this leader from the voters.
            self._become_follower(self.term, "")

    # Reads.

    def _start_read(self, message: Read) -> None:
        """Start a linearizable read: confirm leadership with a quorum.

        The lease is not used, because the clock of a suspended VM may stand still.
        """
        if not self.is_leader:
            self._actions.append(ReadRejected(message.token))
            return
        # What earlier leaders committed is known once this term's first entry is
        # committed, so a read cannot have a lower index.
        index = max(self.commit_index, self.first_index_of_term)
        self.pending_reads.append(PendingRead(message.token, index, self.sequence))
        for peer, progress in self.progress_by_peer.items():
            if peer in self.members:
                self._send_append(peer, progress)
        self._complete_reads()

    def _acknowledge_reads(self, sender: str, sequence: int) -> None:
        """Record a reply as an acknowledgement of all reads before its request."""
        if sender not in self.members:
            return
        for read in self.pending_reads:
            if sequence > read.sequence:
                read.acknowledged_by.add(sender)
        self._complete_reads()

    def _complete_reads(self) -> None:
        """Complete the reads that a quorum has acknowledged."""
        if not self.pending_reads:
            return
        still_pending: list[PendingRead] = []
        for read in self.pending_reads:
            acknowledgements = sum(peer in read.acknowledged_by for peer in self.peers)
            own = self.member_id in self.members
            if (
                self._is_quorum(acknowledgements + own)
                and self.applied_index >= read.index
            ):
                self._actions.append(ReadReady(read.token))
            else:
                still_pending.append(read)
        self.pending_reads = still_pending

    # Members.

    def _update_members(self) -> None:
        """Use the latest membership entry of the log, committed or not."""
        members = self.log.snapshot.members or self._initial_members
        for entry in reversed(self.log.entries):
            if entry.members:
                members = entry.members
                break
        known = getattr(self, "members", None)
        self.members = list(members)
        self.peers = [member for member in self.members if member != self.member_id]
        if known is not None and known != self.members:
            self._actions.append(MembersChanged(list(self.members)))

    def members_at(self, index: int) -> list[str]:
        """Return the voters as of an index, for a snapshot."""
        for entry in reversed(self.log.entries):
            if entry.members and entry.index <= index:
                return list(entry.members)
        return list(self.log.snapshot.members or self._initial_members)

    def _add_learner(self, message: Join) -> None:
        """Start to replicate to a new learner; it becomes a voter later."""
        if not self.is_leader or message.member_id == self.member_id:
            return
        if message.member_id not in self.progress_by_peer:
            progress = PeerProgress(self.log.last_index() + 1, last_reply_at=self.now)
            self.progress_by_peer[message.member_id] = progress
            self._send_append(message.member_id, progress)

    def _propose_member_change(self) -> None:
        """Remove unresponsive learners and propose the next membership change, if any.

        A change requires a committed entry of this term and no other pending change.
        """
        for peer, progress in list(self.progress_by_peer.items()):
            timed_out = self.now - progress.last_reply_at > LEARNER_TIMEOUT_SECONDS
            if timed_out and peer not in self.members:
                del self.progress_by_peer[peer]
        if (
            self._has_uncommitted_member_change()
            or self.log.term_at(self.commit_index) != self.term
        ):
            return
        statuses = [
            MemberStatus(
                peer,
                self.now - progress.last_reply_at,
                progress.match_index >= self.commit_index,
            )
            for peer, progress in self.progress_by_peer.items()
        ]
        members = next_members(self.member_id, self.members, statuses)
        if members is not None:
            self._append_member_change(members)

    def _has_uncommitted_member_change(self) -> bool:
        """Return whether the latest membership change is not committed yet."""
        uncommitted = self.log.entries_after(
            self.commit_index, self.log.last_index() - self.commit_index
        )
        return any(entry.members for entry in uncommitted)

    def _append_member_change(self, members: list[str]) -> None:
        """Append a membership entry, which takes effect at once."""
        entry = Entry(self.log.last_index() + 1, self.term, "", members)
        self.log.append(entry)
        self._actions.append(PersistEntries([entry]))
        self._update_members()
        for peer in self.peers:
            if peer not in self.progress_by_peer:
                next_index = self.log.last_index()
                self.progress_by_peer[peer] = PeerProgress(
                    next_index, last_reply_at=self.now
                )
        self._replicate()
        self._advance_commit()

    def _transfer_leadership(self) -> None:
        """Ask the peer with the longest matching log to start an election."""
        if not self.is_leader or not self.peers:
            return
        target = max(
            self.peers, key=lambda peer: self.progress_by_peer[peer].match_index
        )
        self._send(target, TimeoutNow(self.term))

    def _handle_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """Start an election at once, without a pre-vote, as the leader asks."""
        if message.term != self.term or not self._can_campaign() or self.is_leader:
            return
        self.transfer_requested = True
        self._start_election()

    def make_snapshot(self, index: int, state: str) -> Snapshot | None:
        """Return a snapshot at an applied index, or None if there is nothing new."""
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index:
            return None
        return Snapshot(index, term, state, self.members_at(index))

    # Helpers.

    def _quorum_contact_time(self) -> float:
        """Return the latest time at which a quorum still followed this leader.

        It is the send time of the messages that the quorum replied to.
        """
        if not self.peers:
            return self.now
        times = [
            self.progress_by_peer[peer].acknowledged_sent_at for peer in self.peers
        ]
        times.append(self.now)
        times.sort(reverse=True)
        return times[len(times) // 2]

    def _expire_sequences(self) -> None:
        """Discard the send times of messages that are considered lost."""
        for sequence, at in list(self.sent_at_by_sequence.items()):
            if self.now - at <= ELECTION_TIMEOUT_SECONDS:
                return
            del self.sent_at_by_sequence[sequence]

    def _is_quorum(self, count: int) -> bool:
        """Return whether this number of voters is a majority."""
        return count * 2 > len(self.members)

    def _election_timeout(self) -> float:
        """Return a randomized election timeout in seconds."""
        return ELECTION_TIMEOUT_SECONDS + self.rng.random() * ELECTION_JITTER_SECONDS

    def _initial_election_timeout(self) -> float:
        """Return a randomized timeout before the first election, in seconds.

        It can be short, because members that have a leader reject the pre-vote.
        """
        return INITIAL_ELECTION_TIMEOUT_SECONDS * (0.25 + 0.75 * self.rng.random())

    def _persist_state(self) -> None:
        """Persist the term and the vote before any message is sent."""
        self._actions.append(PersistState(HardState(self.term, self.voted_for)))

    def _send(self, peer: str, message: RaftMessage) -> None:
        """Send a message to a member."""
        self._actions.append(SendMessage(RaftEnvelope(self.member_id, peer, message)))


def _is_pre_vote(message: RaftMessage) -> bool:
    """Return whether the message belongs to a pre-vote, whose term is hypothetical."""
    return isinstance(message, VoteRequest | VoteReply) and message.is_pre_vote
