"""What endpoints say of themselves, passed on among the members of the registry."""

from collections.abc import Callable

from anyio import create_task_group, sleep
from attrs import define, field

from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerCaller
from pistachiolever.events.const import EventCode
from pistachiolever.events.lines import EventLines
from pistachiolever.registry.const import (
    ANNOUNCE_PATH,
    EXPIRE_SECONDS,
    GOSSIP_SECONDS,
    SPREAD_SECONDS,
)
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.models import Accepted, AnnounceBatch


@define
class EndpointNews:
    """The directory of one member, and what it has still to tell the others.

    `others` returns the addresses of the other members, `changed` is called when
    watchers have something to learn.
    """

    caller: PeerCaller
    events: EventLines
    now: Callable[[], float]
    others: Callable[[], list[str]]
    changed: Callable[[], None]
    directory: EndpointDirectory = field(factory=EndpointDirectory)
    untold: dict[str, Announcement] = field(factory=dict)

    async def run(self) -> None:
        """Work until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self._gossip)
            group.start_soon(self._expire)

    async def announce(self, news: Announcement) -> None:
        """Take in what an endpoint says; raise UnavailableError if it can't spread."""
        matters = self.directory.merge(news, self.now())
        self.untold[news.endpoint_id] = news
        if matters:
            self._note(news, "announced")
            self.changed()
        if news.state is EndpointState.DRAINING:
            # Acknowledged only where routers surely hear of it, also when resent.
            await self._spread_now(news)

    async def leave(self, endpoint_id: str, born_ms: int | None) -> None:
        """Note that an endpoint's life ends; raise UnavailableError as above."""
        news = self.directory.mark_gone(endpoint_id, born_ms, self.now())
        self._note(news, "left")
        self.untold[news.endpoint_id] = news
        self.changed()
        await self._spread_now(news)

    def hear(self, batch: AnnounceBatch) -> None:
        """Merge what another member heard."""
        now = self.now()
        changes = [
            news for news in batch.announcements if self.directory.merge(news, now)
        ]
        for news in changes:
            self._note(news, "told")
        if changes:
            self.changed()

    async def _spread_now(self, news: Announcement) -> None:
        """Tell the other members before the endpoint is answered."""
        others = self.others()
        heard = await self._tell_all(others, AnnounceBatch([news]))
        if others and heard * 2 < len(others):
            raise UnavailableError("too few members heard that the endpoint leaves")

    async def _gossip(self) -> None:
        """Pass on announcements that need not arrive at once."""
        while True:
            await sleep(GOSSIP_SECONDS)
            if not self.untold:
                continue
            batch = AnnounceBatch(list(self.untold.values()))
            self.untold.clear()
            await self._tell_all(self.others(), batch)

    async def _tell_all(self, addresses: list[str], batch: AnnounceBatch) -> int:
        """Send announcements to members; return how many heard them."""
        heard: list[str] = []

        async def tell(address: str) -> None:
            """Tell one member; it hears the next announcements if these fail."""
            try:
                await self.caller.call(
                    address, ANNOUNCE_PATH, batch, Accepted, SPREAD_SECONDS
                )
            except PeerError:
                return
            heard.append(address)

        async with create_task_group() as group:
            for address in addresses:
                group.start_soon(tell, address)
        return len(heard)

    async def _expire(self) -> None:
        """Drop endpoints that are silent for long."""
        while True:
            await sleep(EXPIRE_SECONDS)
            for endpoint_id in self.directory.expire(self.now()):
                self.events.record(EventCode.ENDPOINT_DROPPED, endpoint=endpoint_id)

    def _note(self, news: Announcement, what: str) -> None:
        """Record a change of an endpoint."""
        self.events.record(
            EventCode.ENDPOINT_CHANGED,
            endpoint=news.endpoint_id,
            what=what,
            state=news.state.value,
            born=news.born_ms,
            sequence=news.sequence,
            service=news.service_id,
            address=news.address,
        )
