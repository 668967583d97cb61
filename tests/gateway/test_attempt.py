"""Timeouts of an attempt that has not received its response."""

from random import Random
from typing import Any

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.attempt import Attempt
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.models import RequestHead
from tests.gateway.test_relay import CONFIGURATION, ROUTES
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest

NOW = 100.0


class ResponseTimeoutTest(CaseTest):
    """Long prefill of a large prompt must not count as an unresponsive endpoint.

    Otherwise the request is sent to a second endpoint, which prefills it again.
    """

    def attempt(
        self,
        route: int,
        expected_prefill_seconds: float,
        seconds_to_target: float,
        attempt_count: int = 1,
    ) -> Attempt:
        """Return an attempt that waits for its first chunk."""
        settings = GatewaySettings("r", "n", "", "", "", 2, 1, 10, 99)
        events = make_discarding_logger("r")
        fleet = FleetView(
            settings,
            lambda _: CONFIGURATION,
            PeerClient(),
            events,
            Random(1),
            lambda: NOW,
        )
        announcement = Announcement("e", 1, 1, EndpointState.READY, "s", "a:1", "n")
        fleet.apply_announcements([announcement])
        request = ProxyRequest(
            RequestMetadata("id"),
            RequestHead(b"GET", b"/"),
            b"",
            ROUTES[route],
            CONFIGURATION.services[0],
            "one",
            0,
            NOW,
            NOW + seconds_to_target,
            NOW + 30.0,
            attempt_count=attempt_count,
        )
        handle = fleet.handle_by_id["e"]
        no_sink: Any = None
        return Attempt(
            fleet,
            HeaderFormat(),
            request,
            handle,
            no_sink,
            EventSplitter(),
            expected_prefill_seconds,
        )

    def test_table(self) -> None:
        cases: list[tuple[Any, float, float]] = [
            # Past its target, with one second of expected prefill.
            ((2, 1.0, -1.0), 3.0, 30.0),
            ((2, 0.05, 1.0), 1.0, 2.0),
            ((2, 0.0, -5.0), 0.5, 1.0),
            # Not retryable, or no attempts left: may last until the deadline.
            ((3, 0.0, -5.0), 30.0, 30.0),
            ((2, 0.0, -5.0, 2), 30.0, 30.0),
        ]
        for case, minimum, maximum in cases:
            with self.subTest(case):
                seconds = self.attempt(*case)._response_timeout_seconds()
                self.assertGreaterEqual(seconds, minimum)
                self.assertLessEqual(seconds, maximum)
