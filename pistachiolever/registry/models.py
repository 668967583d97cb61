"""Messages between members of the registry, and between members and watchers."""

from attrs import field, frozen

from pistachiolever.discovery.models import Announcement


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
class Accepted:
    """Empty reply to a call that was accepted."""


@frozen
class WatchRequest:
    """What a watcher has already received, so that only updates are sent.

    `version` is the newest configuration version that the watcher has from any member.
    `life` is the answering member's incarnation, `change` its change number and
    `members` the addresses of the voters, all as of its last reply.
    """

    watcher_id: str
    is_router: bool
    version: int
    life: str = ""
    change: int = 0
    members: list[str] = field(factory=list)


@frozen
class WatchReply:
    """Updates for a watcher; `document` is empty if it has the newest version.

    `life`, `change` and `members` are as in the request; `routers` is the number of
    routers that watch the answering member.
    """

    life: str
    change: int
    members: list[str]
    routers: int
    version: int = -1
    document: str = ""
    announcements: list[Announcement] = field(factory=list)
