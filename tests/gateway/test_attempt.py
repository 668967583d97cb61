"""Timeouts of an attempt that has not received its response."""

from collections.abc import Callable
from random import Random
from typing import Any

from anyio import Event, run
from anyio.lowlevel import checkpoint
from attrs import define, evolve, field

from pistachiolever.admission.models import PromptPart
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.attempt import Attempt
from pistachiolever.gateway.event_stream import EventSplitter
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import Header, RequestHead, ResponseHead
from pistachiolever.quarantine.models import PartReport
from tests.gateway.test_relay import CONFIGURATION, ROUTES
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest

NOW = 100.0
FIRST_EVENT = b"id: 1\ndata: x\n\n"
SECOND_EVENT = b"id: 2\ndata: y\n\n"


@define(eq=False)
class PausedSink:
    """A caller before whose reads the process is paused for long."""

    attempt: Attempt
    started: bool = False
    stalled: list[bool] = field(factory=list)

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""
        self.started = True
        self._pause()

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._pause()

    async def finish(self) -> None:
        """Complete the response."""

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""

    def _pause(self) -> None:
        """Look for a stall after a pause."""
        self.attempt.first_chunk_at = NOW - 10.0
        self.stalled.append(self.attempt._is_stalled())


@define(eq=False)
class RecordingSink:
    """A caller that reads all the time."""

    started: bool = False
    received: bytes = b""

    async def start(self, status: int, headers: list[Header]) -> None:
        """Send the head of the response."""
        await checkpoint()
        self.started = True

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await checkpoint()
        self.received += data

    async def finish(self) -> None:
        """Complete the response."""

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response."""


@define(eq=False)
class ResumingConnection:
    """A connection whose endpoint goes on when another one grants the rest."""

    kept_bytes = 0

    fleet: FleetView
    requests: int = 0
    reads: int = 0
    granted: Event = field(factory=Event)

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Return the head of the response."""
        return ResponseHead(200, [(b"x-signature", b"s")])

    async def read_chunk(self) -> bytes | None:
        """Return the first event, and the second one after a long silence."""
        self.reads += 1
        if self.reads == 1:
            return FIRST_EVENT
        self.fleet.now = lambda: NOW + 10.0
        await self.granted.wait()
        return SECOND_EVENT

    async def grant(self, is_stalled: Callable[[], bool]) -> bool:
        """Let the endpoint go on in the turn in which another one grants the rest."""
        self.granted.set()
        return is_stalled()


@define(eq=False)
class SlowSink(RecordingSink):
    """A caller that takes some time to read each event."""

    seconds: float = 0.0
    clock: list[float] = field(factory=lambda: [NOW])

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self.clock[0] += self.seconds


@define(eq=False)
class BrokenConnection:
    """A connection that ends after one event at each of some times."""

    kept_bytes = 0

    clock: list[float]
    times: list[float]
    requests: int = 0
    sent: int = 0

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Return the head of the response."""
        return ResponseHead(200, [(b"x-signature", b"s")])

    async def read_chunk(self) -> bytes | None:
        """Return the next event."""
        if self.sent == len(self.times):
            raise PeerClosedError("closed within an answer")
        self.clock[0] = max(self.clock[0], NOW + self.times[self.sent])
        self.sent += 1
        return b"id: %d\ndata: x\n\n" % self.sent


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
        ]
        for case, minimum, maximum in cases:
            with self.subTest(case):
                seconds = self.attempt(*case)._response_timeout_seconds()
                self.assertGreaterEqual(seconds, minimum)
                self.assertLessEqual(seconds, maximum)

    # A slow but sound response was given up although nothing could replace it.
    def test_overdue_response_is_given_up_only_for_another_endpoint(self) -> None:
        other = Announcement("e2", 1, 1, EndpointState.READY, "s", "a:2", "n")
        cases: dict[str, tuple[int, int, bool, float, bool]] = {
            "another endpoint can take over": (2, 1, True, 1.0, True),
            "not due yet": (2, 1, True, -1.0, False),
            "not retryable": (3, 1, True, 1.0, False),
            "no attempts left": (2, 2, True, 1.0, False),
            "no other endpoint": (2, 1, False, 1.0, False),
        }
        for name, (route, count, has_other, overdue, stalled) in cases.items():
            with self.subTest(name):
                attempt = self.attempt(route, 0.0, 1.0, count)
                attempt.request.tried_endpoint_ids.add("e")
                if has_other:
                    attempt.fleet.apply_announcements([other])
                attempt.first_due_at = NOW - overdue
                self.assertIs(attempt._is_stalled(), stalled)

    # A complete response was given up while its caller read it slowly.
    def test_slow_caller_is_no_stall(self) -> None:
        attempt = self.attempt(0, 0.0, 1.0)
        other = Announcement("e2", 1, 1, EndpointState.READY, "s", "a:2", "n")
        attempt.fleet.apply_announcements([other])
        attempt.first_chunk_at = NOW - 10.0
        self.assertTrue(attempt._is_stalled())
        attempt.is_sending = True
        self.assertFalse(attempt._is_stalled())

    # Given up while the head was sent, the stream went on elsewhere without its events.
    def test_stream_whose_head_is_being_sent_is_no_stall(self) -> None:
        attempt = self.attempt(2, 0.0, 1.0)
        other = Announcement("e2", 1, 1, EndpointState.READY, "s", "a:2", "n")
        attempt.fleet.apply_announcements([other])
        attempt.sink = PausedSink(attempt)
        events = attempt._accept_stream(b"id: 1\ndata: x\n\n")
        run(attempt._send_events, ResponseHead(200), events)
        self.assertEqual(attempt.sink.stalled, [False, False])

    # The event counted as sent, so that the stream went on elsewhere without it.
    def test_event_that_comes_when_its_stream_is_given_up_is_not_lost(self) -> None:
        attempt = self.attempt(2, 0.0, -10.0)
        other = Announcement("e2", 1, 1, EndpointState.READY, "s", "a:2", "n")
        attempt.fleet.apply_announcements([other])
        sink = attempt.sink = RecordingSink()
        connection: Any = ResumingConnection(attempt.fleet)
        attempt.find_successor = connection.grant
        result = run(attempt._exchange_unless_stalled, connection)
        self.assertEqual(result.reason, "silent within a stream")
        self.assertEqual(sink.received, FIRST_EVENT)
        self.assertEqual(attempt.splitter.last_id, 1)

    def run_broken(self, times: list[float], sink: Any) -> Attempt:
        """Return an attempt whose stream broke off, at a clock that the sink moves."""
        attempt = self.attempt(3, 0.0, 1.0)
        parts = [PromptPart("part", 10), PromptPart("own", 10)]
        metadata = evolve(attempt.request.metadata, parts=parts)
        attempt.request.metadata = metadata
        attempt.fleet.now = lambda: sink.clock[0]
        attempt.sink = sink
        connection: Any = BrokenConnection(sink.clock, times)
        with self.assertRaises(PeerClosedError):
            run(attempt._exchange_unless_stalled, connection)
        return attempt

    # Only the end of a run counted: the parts of prompts whose streams were running
    # could be suspected and quarantined.
    def test_stream_shows_that_its_prompt_is_sound_while_it_runs(self) -> None:
        for times, expected in (([0.0, 0.2, 0.4], False), ([0.0, 0.2, 0.6], True)):
            with self.subTest(times=times):
                attempt = self.run_broken(times, SlowSink())
                sound = attempt.fleet.quarantine.sound_at_by_part
                self.assertEqual("part" in sound, expected)

    # The part under which an endpoint had crashed was taken for sound at all routers.
    def test_time_of_a_slow_caller_does_not_show_that_a_prompt_is_sound(self) -> None:
        for times in ([0.0], [0.0, 0.2], [0.0, 0.2, 0.4]):
            with self.subTest(times=times):
                attempt = self.run_broken(times, SlowSink(seconds=5.0))
                self.assertFalse(attempt.has_run())
                self.assertEqual(attempt.fleet.quarantine.sound_at_by_part, {})

    # The quarantine went on for four times as long, though nothing had been tested.
    def test_request_that_reaches_no_endpoint_does_not_use_up_a_test(self) -> None:
        attempt = self.attempt(3, 0.0, 1.0, 0)
        fleet, request, now = attempt.fleet, attempt.request, NOW
        unreachable = Announcement(
            "e", 1, 2, EndpointState.READY, "s", "127.0.0.1:1", "n"
        )
        fleet.apply_announcements([unreachable])
        parts = [PromptPart("part", 10), PromptPart("own", 10)]
        request.metadata = evolve(request.metadata, parts=parts)
        fleet.quarantine.apply({"part": PartReport({}, 0, -1, 300_000, 1)}, now)
        run(RequestProcessor(fleet, HeaderFormat(), request, RecordingSink()).run)
        self.assertEqual(request.attempt_count, 0)
        self.assertTrue(fleet.quarantine.try_send(["part"], now))
        self.assertFalse(fleet.quarantine.try_send(["part"], now))

    def test_overdue_response_is_kept_without_retry_budget(self) -> None:
        attempt = self.attempt(2, 0.0, 1.0)
        other = Announcement("e2", 1, 1, EndpointState.READY, "s", "a:2", "n")
        attempt.fleet.apply_announcements([other])
        attempt.first_due_at = NOW - 1.0
        while attempt.fleet.budget.try_acquire("s", NOW):
            self.assertTrue(attempt.request.tried_endpoint_ids <= {"e"})
        self.assertFalse(attempt._is_stalled())
