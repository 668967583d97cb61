"""Assigns routers to endpoints by rendezvous hashing, updated incrementally."""

from hashlib import blake2b
from heapq import nlargest
from typing import Final

from attrs import define, field, frozen

WEIGHT_BYTES: Final = 8


@frozen
class Attachment:
    """A router attached to an endpoint, and the rendezvous weight of the pair."""

    weight: bytes
    process_id: str


@define
class AttachmentTable:
    """Attaches each endpoint to the `count` routers of the highest weight.

    Adding a router costs one hash for each endpoint. Removing a router costs one hash
    for each pair of its endpoints with the other routers.
    """

    count: int
    routers: set[str] = field(factory=set)
    attachments_by_endpoint: dict[str, list[Attachment]] = field(factory=dict)
    endpoints_by_router: dict[str, set[str]] = field(factory=dict)

    def endpoints_of(self, process_id: str) -> set[str]:
        """Return the endpoints that a router is attached to."""
        return self.endpoints_by_router.get(process_id, set())

    def add_endpoint(self, endpoint_id: str) -> None:
        """Add an endpoint and attach its routers."""
        if endpoint_id in self.attachments_by_endpoint:
            return
        self._attach_highest_weights(endpoint_id)

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        for attachment in self.attachments_by_endpoint.pop(endpoint_id, []):
            self.endpoints_by_router[attachment.process_id].discard(endpoint_id)

    def add_router(self, process_id: str) -> None:
        """Add a router and attach it where it is among the highest weights."""
        if process_id in self.routers:
            return
        self.routers.add(process_id)
        self.endpoints_by_router[process_id] = set()
        for endpoint_id, attached in self.attachments_by_endpoint.items():
            attachment = Attachment(pair_weight(endpoint_id, process_id), process_id)
            if len(attached) < self.count:
                self._attach(endpoint_id, attached, attachment)
                continue
            lowest = min(attached, key=_weight_of)
            if attachment.weight > lowest.weight:
                attached.remove(lowest)
                self.endpoints_by_router[lowest.process_id].discard(endpoint_id)
                self._attach(endpoint_id, attached, attachment)

    def drop_router(self, process_id: str) -> None:
        """Remove a router and attach its endpoints to others."""
        if process_id not in self.routers:
            return
        self.routers.discard(process_id)
        for endpoint_id in self.endpoints_by_router.pop(process_id):
            for attachment in self.attachments_by_endpoint[endpoint_id]:
                if attachment.process_id != process_id:
                    self.endpoints_by_router[attachment.process_id].discard(endpoint_id)
            self._attach_highest_weights(endpoint_id)

    def _attach_highest_weights(self, endpoint_id: str) -> None:
        """Attach an endpoint to the routers of the highest weight."""
        pairs = (
            Attachment(pair_weight(endpoint_id, process_id), process_id)
            for process_id in self.routers
        )
        attached: list[Attachment] = []
        self.attachments_by_endpoint[endpoint_id] = attached
        for attachment in nlargest(self.count, pairs, key=_weight_of):
            self._attach(endpoint_id, attached, attachment)

    def _attach(
        self, endpoint_id: str, attached: list[Attachment], attachment: Attachment
    ) -> None:
        """Attach a router to an endpoint."""
        attached.append(attachment)
        self.endpoints_by_router[attachment.process_id].add(endpoint_id)


def pair_weight(endpoint_id: str, process_id: str) -> bytes:
    """Return the rendezvous weight of an endpoint and a router."""
    text = f"{endpoint_id}|{process_id}".encode()
    return blake2b(text, digest_size=WEIGHT_BYTES).digest()


def _weight_of(attachment: Attachment) -> bytes:
    """Return the sort key of an attachment."""
    return attachment.weight
