"""Leases of endpoints and routers, and which router is attached to which endpoint."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from attrs import define, field, frozen

from pistachiolever.control.attachment import AttachmentTable, pair_weight
from pistachiolever.control.const import EXTRA_ATTACHMENT_SECONDS
from pistachiolever.wire.models import (
    EndpointEntry,
    EndpointSet,
    RouterHeartbeat,
    SidecarHeartbeat,
)

VERSION_BYTES: Final = 8


@define
class EndpointLease:
    """The lease of an endpoint, renewed by its sidecar; `expires_at` is in seconds."""

    entry: EndpointEntry
    incarnation: str
    revision: int
    expires_at: float
    running: int = 0
    limit: int = 0
    bids_seen: bool = False


@define
class RouterLease:
    """The lease of a router; `expires_at` is in seconds."""

    process_id: str
    address: str
    failure_domain: str
    revision: int
    expires_at: float
    waiting_by_service: dict[str, int] = field(factory=dict)


@frozen
class EndedLease:
    """An expired lease, for the event log."""

    process_id: str
    role: str


@define
class Directory:
    """Leases of endpoints and routers, and the endpoint set of each router.

    The table attaches routers to endpoints. An endpoint with free capacity that has
    seen no bid is temporarily attached to one more router that has a backlog.
    """

    lease_seconds: float
    table: AttachmentTable
    endpoint_by_id: dict[str, EndpointLease] = field(factory=dict)
    router_by_id: dict[str, RouterLease] = field(factory=dict)
    extra_expiry_by_router: dict[str, dict[str, float]] = field(factory=dict)

    def renew_endpoint(self, heartbeat: SidecarHeartbeat, now: float) -> bool:
        """Renew an endpoint's lease, or end it on drain; return whether it is new."""
        entry = heartbeat.entry
        known = self.endpoint_by_id.get(entry.endpoint_id)
        if heartbeat.draining:
            if known is not None and known.incarnation == heartbeat.sender.incarnation:
                self._drop_endpoint(entry.endpoint_id)
            return False
        is_new = known is None or known.entry != entry
        self.endpoint_by_id[entry.endpoint_id] = EndpointLease(
            entry,
            heartbeat.sender.incarnation,
            heartbeat.revision,
            now + self.lease_seconds,
            heartbeat.running,
            heartbeat.limit,
            heartbeat.bids_seen,
        )
        self.table.add_endpoint(entry.endpoint_id)
        if not is_new and not heartbeat.bids_seen:
            self._attach_extra_router(entry.endpoint_id, now)
        return is_new

    def renew_router(self, heartbeat: RouterHeartbeat, now: float) -> bool:
        """Renew a router's lease, or end it on drain; return whether it is new."""
        process_id = heartbeat.sender.process_id
        is_new = process_id not in self.router_by_id
        if heartbeat.draining:
            self._drop_router(process_id)
            return False
        self.router_by_id[process_id] = RouterLease(
            process_id,
            heartbeat.address,
            heartbeat.failure_domain,
            heartbeat.revision,
            now + self.lease_seconds,
            {backlog.service_id: backlog.waiting for backlog in heartbeat.backlogs},
        )
        self.table.add_router(process_id)
        return is_new

    def expire(self, now: float) -> list[EndedLease]:
        """End and return the leases that have expired."""
        ended = []
        for endpoint_id, lease in list(self.endpoint_by_id.items()):
            if lease.expires_at <= now:
                self._drop_endpoint(endpoint_id)
                ended.append(EndedLease(endpoint_id, "endpoint"))
        for process_id, router in list(self.router_by_id.items()):
            if router.expires_at <= now:
                self._drop_router(process_id)
                ended.append(EndedLease(process_id, "router"))
        return ended

    def endpoint_set_for(self, process_id: str, now: float) -> EndpointSet:
        """Return the endpoints of a router, including extra attachments."""
        ids = set(self.table.endpoints_of(process_id))
        expiry_by_endpoint = self.extra_expiry_by_router.get(process_id, {})
        for endpoint_id, expires_at in list(expiry_by_endpoint.items()):
            if expires_at <= now or endpoint_id not in self.endpoint_by_id:
                del expiry_by_endpoint[endpoint_id]
            else:
                ids.add(endpoint_id)
        return _endpoint_set(self.endpoint_by_id[name].entry for name in sorted(ids))

    def _attach_extra_router(self, endpoint_id: str, now: float) -> None:
        """Attach an endpoint with free capacity to the router with the longest queue.

        Extra attachments that a router has already count against its backlog.
        """
        lease = self.endpoint_by_id[endpoint_id]
        if lease.running >= lease.limit:
            return
        service_id = lease.entry.service_id
        candidates = [
            router
            for router in self.router_by_id.values()
            if router.waiting_by_service.get(service_id, 0) > 0
            and not self._is_attached(router.process_id, endpoint_id)
        ]
        if not candidates:
            return
        target_router = max(
            candidates,
            key=lambda r: (
                r.waiting_by_service[service_id] - self._extra_count(r.process_id),
                pair_weight(endpoint_id, r.process_id),
            ),
        )
        expiry_by_endpoint = self.extra_expiry_by_router.setdefault(
            target_router.process_id, {}
        )
        expiry_by_endpoint[endpoint_id] = now + EXTRA_ATTACHMENT_SECONDS

    def _is_attached(self, process_id: str, endpoint_id: str) -> bool:
        """Return whether the router is already attached to the endpoint."""
        if endpoint_id in self.table.endpoints_of(process_id):
            return True
        return endpoint_id in self.extra_expiry_by_router.get(process_id, {})

    def _extra_count(self, process_id: str) -> int:
        """Return the number of a router's extra attachments."""
        return len(self.extra_expiry_by_router.get(process_id, {}))

    def _drop_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        if self.endpoint_by_id.pop(endpoint_id, None) is not None:
            self.table.drop_endpoint(endpoint_id)

    def _drop_router(self, process_id: str) -> None:
        """Remove a router."""
        self.extra_expiry_by_router.pop(process_id, None)
        if self.router_by_id.pop(process_id, None) is not None:
            self.table.drop_router(process_id)


def _endpoint_set(entries: Iterable[EndpointEntry]) -> EndpointSet:
    """Return the entries with a hash of their ids and addresses as version."""
    entry_list = list(entries)
    digest = blake2b(digest_size=VERSION_BYTES)
    for entry in entry_list:
        digest.update(f"{entry.endpoint_id} {entry.address}\n".encode())
    return EndpointSet(digest.hexdigest(), entry_list)
