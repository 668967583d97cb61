"""Exchanges usage and loads with agents, routers and the other members."""

from collections.abc import Callable

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup
from attrs import define, field

from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.registry.const import DIGEST_PATH
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.const import (
    DIGEST_TIMEOUT_SECONDS,
    IDLE_DIGEST_SECONDS,
    PUBLISH_SECONDS,
)
from pistachiolever.usage.models import DigestReply, MemberDigest


@define
class PeerState:
    """What a peer has accepted: the state of this member, and the peer's incarnation.

    `number` is -1 until the peer has accepted a complete digest.
    """

    number: int = -1
    life: str = ""
    sent_at: float = float("-inf")
    is_sending: bool = False


@define
class UsageExchange:
    """Publishes a member's aggregate: one digest to each other member, in turn.

    `peers` returns the addresses of the other members; `on_publish` is called when
    there is something new for routers.
    """

    aggregate: UsageAggregate
    client: PeerClient
    now: Callable[[], float]
    peers: Callable[[], list[str]]
    on_publish: Callable[[], None]
    state_by_peer: dict[str, PeerState] = field(factory=dict)

    async def run(self) -> None:
        """Publish periodically until cancelled."""
        async with create_task_group() as group:
            while True:
                await sleep(PUBLISH_SECONDS)
                changed = self.aggregate.publish(self.now())
                if changed:
                    self.on_publish()
                self._send_digests(group, changed)

    def handle_digest(self, digest: MemberDigest) -> DigestReply:
        """Apply the digest of another member."""
        self.aggregate.handle_digest(digest, self.now())
        return DigestReply(self.aggregate.life)

    def _send_digests(self, group: TaskGroup, changed: bool) -> None:
        """Start sending to each peer that is not still receiving an earlier digest."""
        peers = self.peers()
        for address in self.state_by_peer.keys() - set(peers):
            del self.state_by_peer[address]
        now = self.now()
        for address in peers:
            state = self.state_by_peer.setdefault(address, PeerState())
            is_due = changed or state.number < self.aggregate.number
            is_due = is_due or now - state.sent_at >= IDLE_DIGEST_SECONDS
            if is_due and not state.is_sending:
                state.is_sending, state.sent_at = True, now
                group.start_soon(self._send_digest, address, state)

    async def _send_digest(self, address: str, state: PeerState) -> None:
        """Send what a peer has not accepted yet; a lost digest is sent again."""
        number = self.aggregate.number
        digest = self.aggregate.digest_since(state.number, self.now())
        try:
            reply = await self.client.call(
                address, DIGEST_PATH, digest, DigestReply, DIGEST_TIMEOUT_SECONDS
            )
        except PeerError:
            # The watch and Raft messages report members that do not respond.
            return
        finally:
            state.is_sending = False
        is_complete = state.number < 0 or reply.life == state.life
        state.number = number if is_complete else -1
        state.life = reply.life
