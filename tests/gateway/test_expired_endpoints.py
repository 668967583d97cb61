"""Endpoints that the registry has not heard of for long, at a router."""

from attrs import evolve
from nose2.tools import params

from tests.gateway.test_notices import endpoints_of, make_fleet, usable
from tests.support.cases import CaseTest


class ExpiredEndpointTest(CaseTest):
    """A router uses an expired endpoint until it accepts no connection."""

    def setUp(self) -> None:
        """Create a router that knows two endpoints."""
        self.clock = [1.0]
        self.endpoints = endpoints_of(2)
        self.fleet = make_fleet(self.endpoints, self.clock)

    def fail_to_connect(self, endpoint_id: str) -> None:
        """Record that an endpoint accepts no connection."""
        handle = self.fleet.handle_by_id[endpoint_id]
        self.fleet.record_unreachable(handle, "refused")

    # Routers kept an endpoint that had ended without a word, and tried it for ever.
    @params(True, False)
    def test_unreachable_endpoint_is_forgotten(self, fails_first: bool) -> None:
        if fails_first:
            self.fail_to_connect("e0")
        self.fleet.apply_expired(self.endpoints[:1])
        if not fails_first:
            self.fail_to_connect("e0")
        self.assertEqual(set(self.fleet.handle_by_id), {"e1"})
        self.assertEqual(set(self.fleet.directory.record_by_id), {"e1"})
        self.clock[0] += 1000.0
        self.assertEqual(usable(self.fleet), {"e1"})
        self.assertEqual(self.fleet.expired_ids, set())

    # Only the connection from the endpoint to the registry may be down.
    def test_reachable_endpoint_is_used(self) -> None:
        self.fail_to_connect("e0")
        self.clock[0] += 1000.0
        self.fleet.handle_by_id["e0"].health.record_success(self.clock[0])
        self.fleet.apply_expired(self.endpoints)
        self.assertEqual(usable(self.fleet), {"e0", "e1"})

    @params(("same", 5, 2), ("restarted", 9, 1))
    def test_endpoint_that_announces_itself_again(
        self, name: str, born_ms: int, sequence: int
    ) -> None:
        again = evolve(self.endpoints[0], born_ms=born_ms, sequence=sequence)
        self.fleet.apply_expired(self.endpoints[:1])
        self.fleet.apply_announcements([again])
        self.fail_to_connect("e0")
        self.clock[0] += 1000.0
        self.assertEqual(usable(self.fleet), {"e0", "e1"}, name)

    def test_forgotten_endpoint_comes_back(self) -> None:
        self.fleet.apply_expired(self.endpoints[:1])
        self.fail_to_connect("e0")
        self.fleet.apply_announcements([evolve(self.endpoints[0], sequence=2)])
        self.assertEqual(usable(self.fleet), {"e0", "e1"})

    # News of an incarnation that has been replaced must not end the new one.
    def test_expiry_of_an_earlier_incarnation(self) -> None:
        self.fleet.apply_announcements([evolve(self.endpoints[0], born_ms=9)])
        self.fleet.apply_expired(self.endpoints[:1])
        self.fail_to_connect("e0")
        self.assertEqual(set(self.fleet.handle_by_id), {"e0", "e1"})
