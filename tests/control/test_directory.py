"""Leases, attachments and extra attachments."""

from random import Random
from unittest import TestCase

from nose2.tools import params

from pistachiolever.control.attachment import AttachmentTable, pair_weight
from pistachiolever.control.directory import Directory
from pistachiolever.wire.models import (
    EndpointEntry,
    RouterHeartbeat,
    Sender,
    ServiceBacklog,
    SidecarHeartbeat,
)


def renew_endpoint(
    directory: Directory, endpoint_id: str, now: float, draining: bool = False
) -> None:
    """Renew the lease of an endpoint with free capacity that has seen no bid."""
    entry = EndpointEntry(endpoint_id, "planning", "127.0.0.1:1", "fd")
    sender = Sender(f"sidecar-{endpoint_id}", "i")
    heartbeat = SidecarHeartbeat(sender, entry, 1, 8, 0, False, draining)
    directory.renew_endpoint(heartbeat, now)


def renew_router(
    directory: Directory, process_id: str, now: float, waiting: int = 0
) -> None:
    """Renew the lease of a router with a number of queued requests."""
    backlogs = [ServiceBacklog("planning", waiting)] if waiting else []
    sender = Sender(process_id, "i")
    heartbeat = RouterHeartbeat(sender, "127.0.0.1:2", "fd", 1, [], backlogs)
    directory.renew_router(heartbeat, now)


class AttachmentTest(TestCase):
    """The incrementally updated table equals one computed from scratch."""

    @params(1, 2, 3)
    def test_any_order_gives_the_highest_weights(self, seed: int) -> None:
        rng = Random(seed)
        table = AttachmentTable(3)
        routers: set[str] = set()
        endpoints: set[str] = set()
        for _ in range(400):
            name = f"{rng.randrange(12)}"
            match rng.randrange(4):
                case 0:
                    table.add_router(name)
                    routers.add(name)
                case 1:
                    table.drop_router(name)
                    routers.discard(name)
                case 2:
                    table.add_endpoint(name)
                    endpoints.add(name)
                case _:
                    table.drop_endpoint(name)
                    endpoints.discard(name)
            for router in routers:
                expected = {
                    endpoint
                    for endpoint in endpoints
                    if router
                    in sorted(routers, key=lambda r: pair_weight(endpoint, r))[-3:]
                }
                self.assertEqual(table.endpoints_of(router), expected)


class DirectoryTest(TestCase):
    """Leases end by timeout or drain; idle endpoints go to routers with a queue."""

    def test_endpoint_is_removed_when_its_lease_expires(self) -> None:
        directory = Directory(4.0, AttachmentTable(3))
        renew_router(directory, "router-1", 0.0)
        renew_endpoint(directory, "engine-1", 0.0)
        self.assertEqual(len(directory.endpoint_set_for("router-1", 0.0).endpoints), 1)
        directory.expire(4.1)
        self.assertEqual(directory.endpoint_set_for("router-1", 4.1).endpoints, [])

    def test_draining_endpoint_is_removed_at_once(self) -> None:
        directory = Directory(4.0, AttachmentTable(3))
        renew_router(directory, "router-1", 0.0)
        renew_endpoint(directory, "engine-1", 0.0)
        renew_endpoint(directory, "engine-1", 0.1, draining=True)
        self.assertEqual(directory.endpoint_set_for("router-1", 0.1).endpoints, [])

    def test_lone_backlogged_router_gets_every_idle_endpoint(self) -> None:
        directory = Directory(4.0, AttachmentTable(2))
        names = [f"engine-{number}" for number in range(12)]
        for now in (0.0, 1.0, 2.0):
            for number in range(8):
                renew_router(
                    directory, f"router-{number}", now, 50 if number == 5 else 0
                )
            for name in names:
                renew_endpoint(directory, name, now)
        endpoints = directory.endpoint_set_for("router-5", 2.0).endpoints
        self.assertEqual([entry.endpoint_id for entry in endpoints], sorted(names))
        endpoints_after_expiry = directory.endpoint_set_for("router-5", 20.0).endpoints
        self.assertLess(len(endpoints_after_expiry), len(names))
