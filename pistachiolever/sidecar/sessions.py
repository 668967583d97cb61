"""Sessions with routers: what is sent to each, in batches."""

from attrs import define, field

from pistachiolever.core.mailbox import Mailbox
from pistachiolever.wire.models import Chunk, Chunks, SidecarMessage


@define
class RouterSession:
    """The open session of one router."""

    router_id: str
    outbox: Mailbox[SidecarMessage] = field(factory=Mailbox)


def merge_chunks(messages: list[SidecarMessage]) -> list[SidecarMessage]:
    """Join neighbouring chunk messages, so that a batch carries one list."""
    merged: list[SidecarMessage] = []
    chunks: list[Chunk] = []
    for message in messages:
        if isinstance(message, Chunks):
            chunks.extend(message.chunks)
            continue
        if chunks:
            merged.append(Chunks(chunks))
            chunks = []
        merged.append(message)
    if chunks:
        merged.append(Chunks(chunks))
    return merged
