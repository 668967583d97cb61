"""Entries, messages and actions of the agreement."""

from attrs import field, frozen


@frozen
class Entry:
    """One place in the log; `command` is the text of a command.

    An entry with `members` carries no command: it replaces the members that count.
    """

    index: int
    term: int
    command: str
    members: list[str] = field(factory=list)


@frozen
class HardState:
    """What a member must remember before it answers anyone."""

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
    """What a member finds on its disk when it starts."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(factory=list)


# Messages between members.


@frozen
class VoteRequest:
    """Ask for a vote; a pre-vote only asks whether it would be given."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    leader_asked: bool = False


@frozen
class VoteReply:
    """Answer a vote request."""

    term: int
    granted: bool
    is_pre_vote: bool


@frozen
class Append:
    """Entries after a known place, or none: a heartbeat of the leader."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sequence: int


@frozen
class AppendReply:
    """Tell how far the log agrees with the leader's."""

    term: int
    success: bool
    match_index: int
    sequence: int


@frozen
class InstallSnapshot:
    """The state itself, for a member that is too far behind."""

    term: int
    leader: str
    snapshot: Snapshot
    sequence: int


@frozen
class TimeoutNow:
    """The leader is about to stop: stand for election without waiting."""

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
    """Add a command to the log; `token` names the proposal to its caller."""

    token: int
    command: str


@frozen
class Read:
    """Find out whether what is committed here surely is the newest."""

    token: int


@frozen
class Join:
    """A member asks to be taken in; it counts once its log has caught up."""

    member_id: str


@frozen
class TransferLeadership:
    """This member is about to stop; the next one should lead at once."""


@frozen
class Received:
    """A message of another member."""

    envelope: RaftEnvelope


@frozen
class Compact:
    """The state machine wrote a snapshot; entries up to it may go."""

    snapshot: Snapshot


@frozen
class RaftTick:
    """Time passed."""


RaftInput = Propose | Read | Join | TransferLeadership | Received | Compact | RaftTick


# Actions. All of one batch's `Persist...` must be synced before any other is done.


@frozen
class PersistState:
    """Write the term and vote."""

    hard_state: HardState


@frozen
class PersistEntries:
    """Write entries; they replace everything from the first one's index on."""

    entries: list[Entry]


@frozen
class PersistSnapshot:
    """Write a snapshot; it replaces the log up to its index."""

    snapshot: Snapshot
    entries: list[Entry]


@frozen
class SendMessage:
    """Send a message to a member."""

    envelope: RaftEnvelope


@frozen
class Apply:
    """Run a committed command on the state machine."""

    entry: Entry


@frozen
class Restore:
    """Replace the state machine's state."""

    snapshot: Snapshot


@frozen
class ProposalAppended:
    """A proposal stands in the log at an index, not yet committed."""

    token: int
    index: int
    term: int


@frozen
class ProposalRefused:
    """A proposal was not placed; another member may lead."""

    token: int
    leader: str


@frozen
class ReadReady:
    """Everything that was committed when the read came is applied here."""

    token: int


@frozen
class ReadRefused:
    """This member cannot tell what the newest state is."""

    token: int


@frozen
class MembersChanged:
    """Other members count from now on."""

    members: list[str]


@frozen
class RoleChanged:
    """This member began or ceased to lead."""

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
    | ProposalRefused
    | ReadReady
    | ReadRefused
    | MembersChanged
    | RoleChanged
)
