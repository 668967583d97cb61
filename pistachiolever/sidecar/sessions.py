"""Sessions with routers and batching of outgoing messages."""

from attrs import define, field

from pistachiolever.core.mailbox import Mailbox
from pistachiolever.wire.models import Chunk, Chunks, SidecarMessage


@define
class RouterSession:
    """An open session with one router."""

    router_id: str
    outbox: Mailbox[SidecarMessage] = field(factory=Mailbox)


def merge_chunks(messages: list[SidecarMessage]) -> list[SidecarMessage]:
    """Merge consecutive `Chunks` messages into one to keep batches small."""
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
