"""Asks the members of the registry for the routers of a failure domain."""

from anyio import create_task_group
from attrs import define

from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.forwarding.const import QUERY_TIMEOUT_SECONDS
from pistachiolever.forwarding.models import SiblingQuery, SiblingReply
from pistachiolever.registry.const import SIBLINGS_PATH
from pistachiolever.registry.member_choice import MemberChoice


@define
class SiblingLookup:
    """Finds the siblings of a router: each one watches some of the members."""

    client: PeerClient
    choice: MemberChoice
    own_address: str

    async def find(self) -> list[str] | None:
        """Return their addresses, None if no member replies."""
        replies: list[SiblingReply] = []
        async with create_task_group() as group:
            for address in self.choice.addresses():
                group.start_soon(self._ask, address, replies)
        if not replies:
            return None
        named = dict.fromkeys(
            address for reply in replies for address in reply.addresses
        )
        named.pop(self.own_address, None)
        return list(named)

    async def _ask(self, address: str, replies: list[SiblingReply]) -> None:
        """Ask one member."""
        query = SiblingQuery(self.choice.failure_domain)
        try:
            reply = await self.client.call(
                address, SIBLINGS_PATH, query, SiblingReply, QUERY_TIMEOUT_SECONDS
            )
        except PeerError:
            # The watch reports members that do not respond.
            return
        replies.append(reply)
