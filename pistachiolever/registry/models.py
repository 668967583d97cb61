"""Messages of the registry's members and of those who watch it."""

from attrs import field, frozen

from pistachiolever.discovery.models import Announcement


@frozen
class JoinRequest:
    """A member that does not count asks to be taken in."""

    member_id: str


@frozen
class JoinReply:
    """The members as the answering one knows them."""

    members: list[str]


@frozen
class StoreRequest:
    """A checked configuration, for the leader to commit."""

    version: int
    document: str


@frozen
class StoreReply:
    """The version in force after the commit."""

    version: int


@frozen
class ReadRequest:
    """Ask the leader for the configuration that surely is the newest."""


@frozen
class ReadReply:
    """The newest configuration; version -1 where there is none."""

    version: int
    document: str


@frozen
class AnnounceBatch:
    """Announcements that another member heard."""

    announcements: list[Announcement]


@frozen
class Accepted:
    """A call was taken in."""


@frozen
class WatchRequest:
    """What a watcher knows already, so that only news is sent.

    `life` and `change` are the member's as of its last reply.
    """

    watcher_id: str
    is_router: bool
    version: int
    life: str = ""
    change: int = 0
    members: list[str] = field(factory=list)


@frozen
class WatchReply:
    """What is new; `document` is empty when the watcher has the newest version."""

    life: str
    change: int
    members: list[str]
    routers: int
    version: int = -1
    document: str = ""
    announcements: list[Announcement] = field(factory=list)
