"""Log entries, messages, inputs and actions of Raft."""

from attrs import field, frozen


@frozen
class Entry:
    """A log entry; `command` is an encoded command.

    An entry with `members` carries no command: it replaces the set of voters.
    """

    index: int
    term: int
    command: str
    members: list[str] = field(factory=list)


@frozen
class HardState:
    """State that a member must persist before it replies to a message."""

    term: int = 0
    voted_for: str = ""


@frozen
class Snapshot:
    """The state after all entries up to an index."""

    index: int = 0
    term: int = 0
    state: str = ""
    members: list[str] = field(factory=list)


@frozen
class StoredLog:
    """The persisted state that a member loads when it starts."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(factory=list)


# Messages between members.


@frozen
class VoteRequest:
    """Request a vote; a pre-vote only asks whether it would be granted.

    `leader_asked` marks an election that a leadership transfer started.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    leader_asked: bool = False


@frozen
class VoteReply:
    """Reply to a vote request."""

    term: int
    granted: bool
    is_pre_vote: bool


@frozen
class Append:
    """Replicate the entries after a given index; without entries it is a heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sequence: int


@frozen
class AppendReply:
    """Report up to which index the log matches the leader's.

    After a failure, `match_index` is a hint where to retry.
    """

    term: int
    success: bool
    match_index: int
    sequence: int


@frozen
class InstallSnapshot:
    """Send a snapshot to a member whose next entries are already compacted."""

    term: int
    leader: str
    snapshot: Snapshot
    sequence: int


@frozen
class TimeoutNow:
    """Ask the receiver to start an election at once, to transfer leadership to it."""

    term: int


RaftMessage = (
    VoteRequest | VoteReply | Append | AppendReply | InstallSnapshot | TimeoutNow
)


@frozen
class RaftEnvelope:
    """A message with its sender and receiver."""

    sender: str
    receiver: str
    message: RaftMessage


# Inputs.


@frozen
class Propose:
    """Append a command to the log; `token` identifies the proposal to its caller."""

    token: int
    command: str


@frozen
class Read:
    """Start a linearizable read; `token` identifies it to its caller."""

    token: int


@frozen
class Join:
    """A member asks to join as learner; it becomes a voter once it has caught up."""

    member_id: str


@frozen
class TransferLeadership:
    """Transfer leadership to another member, because this one is about to stop."""


@frozen
class Received:
    """A message from another member."""

    envelope: RaftEnvelope


@frozen
class Compact:
    """Compact the log up to a snapshot that the state machine made."""

    snapshot: Snapshot


@frozen
class RaftTick:
    """Check the timers."""


RaftInput = Propose | Read | Join | TransferLeadership | Received | Compact | RaftTick


# Actions. All `Persist...` actions of a batch must be synced before any other action of
# the batch is performed.


@frozen
class PersistState:
    """Persist the term and the vote."""

    hard_state: HardState


@frozen
class PersistEntries:
    """Persist entries, which replace all entries from the first one's index on."""

    entries: list[Entry]


@frozen
class PersistSnapshot:
    """Persist a snapshot and the entries after it, which replace the whole log."""

    snapshot: Snapshot
    entries: list[Entry]


@frozen
class SendMessage:
    """Send a message to a member."""

    envelope: RaftEnvelope


@frozen
class Apply:
    """Apply a committed command to the state machine."""

    entry: Entry


@frozen
class Restore:
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@frozen
class ProposalAppended:
    """A proposal was appended to the log, but is not committed yet."""

    token: int
    index: int
    term: int


@frozen
class ProposalRejected:
    """A proposal was rejected, because this member is not the leader."""

    token: int
    leader: str


@frozen
class ReadReady:
    """All commands that were committed when the read started are applied here."""

    token: int


@frozen
class ReadRejected:
    """A read failed, because this member is not or no longer the leader."""

    token: int


@frozen
class MembersChanged:
    """The set of voters changed."""

    members: list[str]


@frozen
class RoleChanged:
    """This member became leader or follower, or the known leader changed."""

    is_leader: bool
    term: int
    leader: str


RaftAction = (
    PersistState
    | PersistEntries
    | PersistSnapshot
    | SendMessage
    | Apply
    | Restore
    | ProposalAppended
    | ProposalRejected
    | ReadReady
    | ReadRejected
    | MembersChanged
    | RoleChanged
)
