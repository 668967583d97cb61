"""How long an endpoint may be silent before its request is sent again elsewhere."""

from random import Random
from typing import Any

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.attempt import Attempt
from pistachiolever.gateway.dialect import Dialect
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import CallerFacts, PassRequest
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.models import RequestHead
from tests.gateway.test_relay import CONFIGURATION, ROUTES
from tests.registry.test_process import discarded_lines
from tests.support.cases import CaseTest

NOW = 100.0


class SilenceTest(CaseTest):
    """A large prompt is read for seconds: that is no silence."""

    def attempt(
        self, route: int, reading: float, target_left: float, sends: int = 1
    ) -> Attempt:
        """Return a send that waits for its first part."""
        settings = GatewaySettings("r", "n", "", "", "", 2, 1, 10, 99)
        lines = discarded_lines("r")
        fleet = FleetView(
            settings,
            lambda _: CONFIGURATION,
            PeerClient(),
            lines,
            Random(1),
            lambda: NOW,
        )
        news = Announcement("e", 1, 1, EndpointState.READY, "s", "a:1", "n")
        fleet.apply_announcements([news])
        request = PassRequest(
            CallerFacts("id"),
            RequestHead(b"GET", b"/"),
            b"",
            ROUTES[route],
            CONFIGURATION.services[0],
            "one",
            0,
            NOW,
            NOW + target_left,
            NOW + 30.0,
            sends=sends,
        )
        handle = fleet.handle_by_id["e"]
        no_sink: Any = None
        return Attempt(
            fleet,
            Dialect(),
            request,
            handle,
            no_sink,
            EventSplitter(),
            reading,
        )

    def test_table(self) -> None:
        cases: list[tuple[Any, float, float]] = [
            # A caller that came back late, with a prompt that takes a second.
            ((2, 1.0, -1.0), 3.0, 30.0),
            ((2, 0.05, 1.0), 1.0, 2.0),
            ((2, 0.0, -5.0), 0.5, 1.0),
            # Not to be sent again: waited for to the end.
            ((3, 0.0, -5.0), 30.0, 30.0),
            ((2, 0.0, -5.0, 2), 30.0, 30.0),
        ]
        for case, least, most in cases:
            with self.subTest(case):
                seconds = self.attempt(*case)._silence_seconds()
                self.assertGreaterEqual(seconds, least)
                self.assertLessEqual(seconds, most)
