"""Counters of router incarnations at the coordinator, without network."""

from unittest import TestCase

from nose2.tools import params

from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.coordinator import FleetCoordinator
from pistachiolever.control.directory import Directory
from pistachiolever.fairness.const import (
    INCARNATION_EXPIRY_SECONDS,
    TOMBSTONE_SECONDS,
)
from pistachiolever.fairness.counters import ServiceCounters
from pistachiolever.wire.models import RouterHeartbeat, RouterHeartbeatReply, Sender

SERVICE = "planning"
CUT_SECONDS = (60.0, TOMBSTONE_SECONDS + 60.0, 30 * TOMBSTONE_SECONDS)


class CutOffRouterTest(TestCase):
    """A router that control has closed returns after a while."""

    def setUp(self) -> None:
        """Create a coordinator without routers."""
        self.coordinator = FleetCoordinator(Directory(4.0, AttachmentTable(64)), -100.0)

    def publish(
        self, counters: ServiceCounters, incarnation: str, now: float
    ) -> RouterHeartbeatReply:
        """Send all counters of a router in a heartbeat."""
        self.coordinator.expire(now)
        accounts = counters.collect_updates(SERVICE, full=True)
        sender = Sender("router", incarnation)
        heartbeat = RouterHeartbeat(
            sender, "127.0.0.1:2", "fd", 1, accounts, [], full=True
        )
        return self.coordinator.router_heartbeat(
            heartbeat, Sender("control", "c"), 1, now
        )

    def total(self) -> float:
        """Return the service of the account over all routers."""
        return self.coordinator.totals.service_totals(SERVICE).total_by_account["a"]

    # After two hours control had forgotten what it had counted, and added it again.
    @params(*CUT_SECONDS)
    def test_service_before_the_cut_is_counted_once(self, seconds: float) -> None:
        counters = ServiceCounters()
        counters.charge_service("a", 100.0)
        self.publish(counters, "i1", 0.0)
        for step in range(1, 10):
            self.coordinator.expire(seconds * step / 10)
        counters.charge_service("a", 10.0)
        reply = self.publish(counters, "i1", seconds)
        self.assertTrue(reply.expired)
        self.assertEqual(self.total(), 100.0)
        counters.start_incarnation(reply.closed)
        self.publish(counters, "i2", seconds + 1)
        self.assertEqual(self.total(), 110.0)

    # A router that restarts often must not add to the memory of control for ever.
    def test_replaced_incarnations_are_forgotten(self) -> None:
        step = TOMBSTONE_SECONDS / 4
        self.assertGreater(step, INCARNATION_EXPIRY_SECONDS)
        for life in range(200):
            counters = ServiceCounters()
            counters.charge_service("a", 1.0)
            self.publish(counters, f"i{life}", life * step)
        self.assertEqual(self.total(), 200.0)
        self.assertLessEqual(len(self.coordinator.totals.record_by_incarnation), 6)
