"""Sends Raft messages to another member."""

from typing import Protocol

from attrs import define, field

from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.errors import PeerError
from pistachiolever.raft.models import RaftEnvelope


class RaftCall(Protocol):
    """Sends messages to one member."""

    async def __call__(self, envelopes: list[RaftEnvelope], /) -> object:
        """Return the reply; raise PeerError if there is none."""


@define
class RaftSender:
    """Queues and sends the messages to one other member."""

    call: RaftCall
    outbox: Mailbox[RaftEnvelope] = field(factory=Mailbox)

    async def run(self) -> None:
        """Send queued messages; Raft tolerates lost ones."""
        while envelopes := await self.outbox.get_all():
            try:
                await self.call(envelopes)
            except PeerError:
                continue
