"""Asks the members of the registry where streams began."""

from collections.abc import Callable

from anyio import Event, create_task_group, sleep
from attrs import define, field

from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.registry.const import STREAMS_PATH
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.streams.const import (
    LOOKUP_BATCH_SECONDS,
    LOOKUP_SECONDS,
    SILENT_MEMBER_SECONDS,
)
from pistachiolever.streams.models import StreamQuery, StreamReply


@define(eq=False)
class PendingLookup:
    """A lookup of one stream and the replies of the members.

    The `key` is empty if only the versions of the service are looked up.
    """

    key: str
    service_id: str
    window_seconds: float
    member_count: int = 0
    replies: list[StreamReply] = field(factory=list)
    done: Event = field(factory=Event)


@define
class StreamLookup:
    """Looks up streams at all members; those of a moment together.

    Members that have just failed to reply are not asked.
    """

    client: PeerClient
    choice: MemberChoice
    now: Callable[[], float]
    pending: Mailbox[PendingLookup] = field(factory=Mailbox)
    silent_until: dict[str, float] = field(factory=dict)

    async def run(self) -> None:
        """Send lookups until cancelled."""
        async with create_task_group() as group:
            while lookups := await self.pending.get_all():
                await sleep(LOOKUP_BATCH_SECONDS)
                lookups += self.pending.get_all_nowait()
                group.start_soon(self._ask_members, lookups)

    async def find(
        self, key: str, service_id: str, window_seconds: float
    ) -> PendingLookup:
        """Return a lookup with all replies that came in time."""
        lookup = PendingLookup(key, service_id, window_seconds)
        self.pending.put(lookup)
        await lookup.done.wait()
        return lookup

    async def find_versions(self, service_id: str) -> PendingLookup:
        """Return a lookup of the versions of a service that serve now."""
        return await self.find("", service_id, 0.0)

    async def _ask_members(self, lookups: list[PendingLookup]) -> None:
        """Send some lookups to all members; wait for their replies."""
        addresses = self.choice.addresses()
        now = self.now()
        self.silent_until = {
            address: until
            for address, until in self.silent_until.items()
            if until > now and address in addresses
        }
        query = StreamQuery(
            list(dict.fromkeys(lookup.key for lookup in lookups if lookup.key)),
            list(dict.fromkeys(lookup.service_id for lookup in lookups)),
            round(max(lookup.window_seconds for lookup in lookups) * 1000),
        )
        replies: list[StreamReply] = []
        async with create_task_group() as group:
            for address in addresses:
                if address not in self.silent_until:
                    group.start_soon(self._ask, address, query, replies)
        for lookup in lookups:
            lookup.member_count = len(addresses)
            lookup.replies = replies
            lookup.done.set()

    async def _ask(
        self, address: str, query: StreamQuery, replies: list[StreamReply]
    ) -> None:
        """Send a query to one member."""
        try:
            reply = await self.client.call(
                address, STREAMS_PATH, query, StreamReply, LOOKUP_SECONDS
            )
        except PeerError:
            # The watch reports members that do not respond.
            self.silent_until[address] = self.now() + SILENT_MEMBER_SECONDS
            return
        replies.append(reply)
