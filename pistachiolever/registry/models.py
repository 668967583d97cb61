"""Messages between members of the registry, and between members and watchers."""

from attrs import field, frozen

from pistachiolever.discovery.models import Announcement
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.usage.models import UsageUpdate


@frozen
class JoinRequest:
    """Asks to add a member that is not a voter."""

    member_id: str


@frozen
class JoinReply:
    """The voters known to the answering member."""

    members: list[str]


@frozen
class StoreRequest:
    """Asks the leader to commit a validated configuration."""

    version: int
    document: str


@frozen
class StoreReply:
    """The version in force after the commit."""

    version: int


@frozen
class CommitRequest:
    """Asks the leader to commit an encoded command."""

    command: str


@frozen
class ReadRequest:
    """Asks the leader for a linearizable read of the configuration."""


@frozen
class ReadReply:
    """The newest configuration; version -1 if none is stored."""

    version: int
    document: str


@frozen
class AnnounceBatch:
    """Announcements that the sending member received from endpoints."""

    announcements: list[Announcement]


@frozen
class AnnounceReply:
    """Newer announcements of the same endpoints that the receiver knows."""

    newer: list[Announcement] = field(factory=list)


@frozen
class SyncRequest:
    """Asks for the whole endpoint directory, after a restart."""


@frozen
class Accepted:
    """Empty reply to a call that was accepted."""


@frozen
class MemberInfo:
    """Address of a voter and its failure domain, empty if not known yet."""

    address: str
    domain: str = ""


@frozen
class ReportReply:
    """Reply to an agent's report: the member's incarnation and the voters.

    `behind` is true if the member has had no contact with a quorum recently.
    """

    life: str
    members: list[MemberInfo] = field(factory=list)
    behind: bool = False


@frozen
class WatchRequest:
    """What a watcher has already received, so that only updates are sent.

    `version` is the newest configuration version that the watcher has from any member.
    `life` is the answering member's incarnation, `change` the number of its directory,
    `usage` that of its sums and `members` the voters, all as of its last reply. Only a
    watcher that `wants_usage` gets the sums. `evacuations` is the revision of the
    orders of evacuation that it has from any member, None if it is of an earlier
    version that applies none. A router of `domain` takes forwarded connections at
    `forward_address`; empty if it takes none.
    """

    watcher_id: str
    version: int
    wants_usage: bool = False
    life: str = ""
    change: int = 0
    usage: int = 0
    members: list[MemberInfo] = field(factory=list)
    evacuations: int | None = None
    domain: str = ""
    forward_address: str = ""


@frozen
class WatchReply:
    """Updates for a watcher; `document` is empty if it has the newest version.

    `life`, `change` and `members` are as in the request, `behind` as in ReportReply;
    `routers` is the number of routers in the fleet. `expired` are the last
    announcements of endpoints that the member has not heard of for long. `usage` is
    what has changed in the sums, None if the watcher does not want it. `evacuations`
    are the orders of evacuation, None if the watcher has the newest ones.
    """

    life: str
    change: int
    members: list[MemberInfo]
    routers: int
    version: int = -1
    document: str = ""
    announcements: list[Announcement] = field(factory=list)
    usage: UsageUpdate | None = None
    behind: bool = False
    expired: list[Announcement] = field(factory=list)
    evacuations: EvacuationOrders | None = None
