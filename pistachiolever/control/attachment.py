"""Which routers each endpoint works with, by rendezvous hashing, kept step by step."""

from hashlib import blake2b
from heapq import nlargest
from typing import Final

from attrs import define, field, frozen

WEIGHT_BYTES: Final = 8


@frozen
class Attachment:
    """A router of an endpoint and the weight of the pair."""

    weight: bytes
    process_id: str


@define
class AttachmentTable:
    """Each endpoint works with the `count` routers of the greatest weight.

    A router that joins costs a hash for each endpoint; one that leaves, a hash
    for each pair of its endpoints with the other routers.
    """

    count: int
    routers: set[str] = field(factory=set)
    chosen_by_endpoint: dict[str, list[Attachment]] = field(factory=dict)
    endpoints_by_router: dict[str, set[str]] = field(factory=dict)

    def endpoints_of(self, process_id: str) -> set[str]:
        """Return the endpoints that a router works with."""
        return self.endpoints_by_router.get(process_id, set())

    def add_endpoint(self, endpoint_id: str) -> None:
        """Choose the routers of a new endpoint."""
        if endpoint_id in self.chosen_by_endpoint:
            return
        self._choose(endpoint_id)

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Forget an endpoint."""
        for attachment in self.chosen_by_endpoint.pop(endpoint_id, []):
            self.endpoints_by_router[attachment.process_id].discard(endpoint_id)

    def add_router(self, process_id: str) -> None:
        """Give a new router the endpoints for which it weighs enough."""
        if process_id in self.routers:
            return
        self.routers.add(process_id)
        self.endpoints_by_router[process_id] = set()
        for endpoint_id, chosen in self.chosen_by_endpoint.items():
            attachment = Attachment(pair_weight(endpoint_id, process_id), process_id)
            if len(chosen) < self.count:
                self._attach(endpoint_id, chosen, attachment)
                continue
            least = min(chosen, key=_weight_of)
            if attachment.weight > least.weight:
                chosen.remove(least)
                self.endpoints_by_router[least.process_id].discard(endpoint_id)
                self._attach(endpoint_id, chosen, attachment)

    def drop_router(self, process_id: str) -> None:
        """Give the endpoints of a router that left to others."""
        if process_id not in self.routers:
            return
        self.routers.discard(process_id)
        for endpoint_id in self.endpoints_by_router.pop(process_id):
            for attachment in self.chosen_by_endpoint[endpoint_id]:
                if attachment.process_id != process_id:
                    self.endpoints_by_router[attachment.process_id].discard(endpoint_id)
            self._choose(endpoint_id)

    def _choose(self, endpoint_id: str) -> None:
        """Choose the routers of an endpoint among all."""
        pairs = (
            Attachment(pair_weight(endpoint_id, process_id), process_id)
            for process_id in self.routers
        )
        chosen: list[Attachment] = []
        self.chosen_by_endpoint[endpoint_id] = chosen
        for attachment in nlargest(self.count, pairs, key=_weight_of):
            self._attach(endpoint_id, chosen, attachment)

    def _attach(
        self, endpoint_id: str, chosen: list[Attachment], attachment: Attachment
    ) -> None:
        """Add a router to an endpoint's."""
        chosen.append(attachment)
        self.endpoints_by_router[attachment.process_id].add(endpoint_id)


def pair_weight(endpoint_id: str, process_id: str) -> bytes:
    """Return the rendezvous weight of a pair."""
    text = f"{endpoint_id}|{process_id}".encode()
    return blake2b(text, digest_size=WEIGHT_BYTES).digest()


def _weight_of(attachment: Attachment) -> bytes:
    """Return what attachments are ranked by."""
    return attachment.weight
