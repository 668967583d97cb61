"""Responses through a whole router over loopback, from misbehaving endpoints."""

from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.const import DEFAULT_HELD_BYTES
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import (
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address, wait_until_listening
from tests.support.cases import CaseTest

LONG_BYTES = 256 * 65_536
SERVICES = [WeightedService("s", 1.0)]
ROUTES = [
    ProxyRoute("read", "x", "/read/", RequestKind.IDEMPOTENT, SERVICES, 2, 0.3, 0, 2),
    ProxyRoute("book", "x", "/book/", RequestKind.NON_IDEMPOTENT, SERVICES, 2, 0.3),
    ProxyRoute(
        "plan", "x", "/plan/", RequestKind.STREAM, SERVICES, 4, 1, 0, 2, resumable=True
    ),
    ProxyRoute("talk", "x", "/talk/", RequestKind.STREAM, SERVICES, 4, 1),
    ProxyRoute("file", "x", "/file/", RequestKind.IDEMPOTENT, SERVICES, 9, 0.3, 0, 2),
    ProxyRoute("slow", "x", "/slow/", RequestKind.IDEMPOTENT, SERVICES, 40, 0.3, 0, 2),
    ProxyRoute("bulk", "x", "/bulk/", RequestKind.NON_IDEMPOTENT, SERVICES, 9, 0.3),
    ProxyRoute("tale", "x", "/tale/", RequestKind.STREAM, SERVICES, 9, 1),
    ProxyRoute(
        "sell", "x", "/sell/", RequestKind.NON_IDEMPOTENT, SERVICES, 2, 0.3, 0, 3
    ),
    ProxyRoute(
        "epic", "x", "/epic/", RequestKind.STREAM, SERVICES, 4, 1, 0, 4, resumable=True
    ),
]
CONFIGURATION = ProxyConfiguration(
    1, ROUTES, [ProxyService("s")], [ProxyAccount("one", ["key"])]
)
HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %s\r\n"
EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(1, 7)]
Script = Callable[["Endpoint", SocketStream, bytes], Awaitable[None]]


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@define
class Endpoint:
    """An endpoint that runs a script for each request and records the request heads."""

    script: Script
    heads: list[bytes] = field(factory=list)

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until either side closes it."""
        try:
            async with stream:
                await self._serve(stream)
        except (EndOfStream, BrokenResourceError, ClosedResourceError):
            return

    async def _serve(self, stream: SocketStream) -> None:
        """Run the script for each request in turn."""
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, data = data.partition(b"\r\n\r\n")
            self.heads.append(head)
            await self.script(self, stream, head)


def value(head: bytes, name: bytes) -> bytes:
    """Return the value of a header; empty if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        key, _, text = line.partition(b":")
        if key.lower() == name:
            return text.strip()
    return b""


def id_of(head: bytes) -> bytes:
    """Return the id of a request."""
    return value(head, b"x-request-id")


async def respond(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a correct response."""
    body = HEAD % id_of(head) + b"Content-Length: 4\r\n\r\ngood"
    await stream.send(body)


async def shed(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Refuse the request for lack of capacity."""
    await stream.send(
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\n"
        b"Content-Length: 0\r\n\r\n" % id_of(head)
    )


async def ask_for_pause(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Refuse the request and ask for a pause of half a second."""
    await stream.send(
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 0.5\r\n"
        b"X-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % id_of(head)
    )


async def respond_leaving(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a correct response that says the endpoint is leaving."""
    headers = HEAD % id_of(head) + b"X-Leaving: 1\r\n"
    await stream.send(headers + b"Content-Length: 4\r\n\r\nlast")


async def fail(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Run the request and fail."""
    await stream.send(
        b"HTTP/1.1 500 No\r\nX-Signature: f\r\nX-Request-Id: %s\r\n"
        b"Content-Length: 3\r\n\r\nbad" % id_of(head)
    )


async def truncate(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Close the connection within the body."""
    await stream.send(HEAD % id_of(head) + b"Content-Length: 40\r\n\r\ngo")
    await stream.aclose()


async def vanish(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Close the connection without a response."""
    await stream.aclose()


async def garble(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send bytes that are not an HTTP response."""
    await stream.send(b"\x00\x01 no answer\r\n\r\n")


async def unsigned(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a response without a signature."""
    await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")


async def foreign(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a response to another request."""
    await stream.send(HEAD % b"another" + b"Content-Length: 4\r\n\r\nfake")


async def respond_twice(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a correct response and a second, unsolicited one."""
    body = HEAD % id_of(head) + b"Content-Length: 4\r\n\r\ngood"
    await stream.send(body + body)


async def stream_whole(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Stream all events after the Last-Event-Id of the request."""
    last = int(value(head, b"last-event-id") or b"0")
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    for event in EVENTS[last:]:
        await stream.send(chunk(event))
    await stream.send(b"0\r\n\r\n")


async def stream_part(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Close the connection within the third event."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(EVENTS[0] + EVENTS[1] + EVENTS[2][:5]))
    await sleep(0.05)
    await stream.aclose()


async def stream_drip(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Stop after two events, and send a comment now and then."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(EVENTS[0] + EVENTS[1]))
    while True:
        await stream.send(chunk(b": waiting\n\n"))
        await sleep(0.1)


async def stream_slow(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Pause for longer than the route's streams usually do."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(b"".join(EVENTS[:3])))
    await sleep(2.0)
    await stream.send(chunk(b"".join(EVENTS[3:])) + b"0\r\n\r\n")


async def stream_slow_without_ids(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Pause for long within a stream whose events have no ids."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(b"data: a\n\n"))
    await sleep(2.0)
    await stream.send(chunk(b"data: b\n\n") + b"0\r\n\r\n")


async def respond_slowly(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a correct response after the target of its route."""
    await sleep(1.2)
    await respond(endpoint, stream, head)


async def unframed(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a response without a length, delimited by the end of the connection."""
    await stream.send(HEAD % id_of(head) + b"Connection: close\r\n\r\ngood")
    await stream.aclose()


async def stream_unframed(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Stream all events after the Last-Event-Id, delimited by the connection's end."""
    last = int(value(head, b"last-event-id") or b"0")
    body = b"".join(EVENTS[last:])
    await stream.send(HEAD % id_of(head) + b"Connection: close\r\n\r\n" + body)
    await stream.aclose()


async def stream_unframed_part(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Close the connection of an unframed stream within the third event."""
    body = EVENTS[0] + EVENTS[1] + EVENTS[2][:5]
    await stream.send(HEAD % id_of(head) + b"Connection: close\r\n\r\n" + body)
    await stream.aclose()


async def stream_unframed_empty(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Close the connection of an unframed stream before the first event."""
    await stream.send(HEAD % id_of(head) + b"Connection: close\r\n\r\n")
    await stream.aclose()


async def stream_short_length(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a stream whose length ends within the second event."""
    body = EVENTS[0] + EVENTS[1][:5]
    await stream.send(HEAD % id_of(head) + b"Content-Length: %d\r\n\r\n" % len(body))
    await stream.send(body)


async def stream_short_chunks(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a stream whose last chunk ends within the second event."""
    body = EVENTS[0] + EVENTS[1][:5]
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(body) + b"0\r\n\r\n")


async def stream_without_ids(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Break off a stream whose events have no ids, after two of them."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(b"data: a\n\ndata: b\n\n"))
    await sleep(0.05)
    await stream.aclose()


async def stream_other_line_ends(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Stream all events with lines that end with CR LF."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    for event in EVENTS:
        await stream.send(chunk(event.replace(b"\n", b"\r\n")))
    await stream.send(b"0\r\n\r\n")


async def break_off_long(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Break off a response that is too long to be buffered."""
    await stream.send(HEAD % id_of(head) + b"Content-Length: 400000\r\n\r\n")
    await stream.send(b"x" * 300_000)
    await sleep(0.05)
    await stream.aclose()


async def hold(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send nothing."""
    await sleep(30)


@define
class Result:
    """What the caller received, and the number of requests at endpoints."""

    status: int
    body: bytes
    head: bytes
    attempts: int
    raw: bytes
    reset: bool


def send_request(
    path: bytes, *scripts: Script, extra: bytes = b"", version: bytes = b"1.1"
) -> Result:
    """Send one request through a router to endpoints with these scripts."""
    return send_requests(path, *scripts, extra=extra, version=version)[0]


def send_requests(
    path: bytes,
    *scripts: Script,
    extra: bytes = b"",
    version: bytes = b"1.1",
    pauses: tuple[float, ...] = (0.0,),
    deadline_ms: int = 1500,
    copies: int = 1,
    read_after_seconds: float = 0.0,
    slots: int = 8,
    retry_ratio: float = 1,
    retry_slack: float = 99,
    limit_seconds: float = 15.0,
    announced: tuple[Announcement, ...] = (),
    held_bytes: int = DEFAULT_HELD_BYTES,
) -> list[Result]:
    """Send requests through one router, each after a pause in seconds.

    `copies` of each are sent at the same time, with the same id. Each endpoint has
    `slots`; `retry_ratio` and `retry_slack` limit the fleet's retries. All must end
    within `limit_seconds`. The router learns of the `announced` endpoints first. It may
    hold `held_bytes` for callers.
    """
    request = (
        b"GET %s HTTP/%s\r\nHost: x\r\nX-Request-Id: id$\r\n"
        b"X-Deadline-Ms: %d\r\nConnection: close\r\n"
        b"Authorization: Bearer key\r\n%s\r\n" % (path, version, deadline_ms, extra)
    )
    return run(
        _send_requests,
        request,
        list(scripts),
        pauses,
        copies,
        read_after_seconds,
        slots,
        retry_ratio,
        retry_slack,
        limit_seconds,
        announced,
        held_bytes,
    )


async def _send_requests(
    request: bytes,
    scripts: list[Script],
    pauses: tuple[float, ...],
    copies: int,
    read_after_seconds: float,
    slots: int,
    retry_ratio: float,
    retry_slack: float,
    limit_seconds: float,
    announced: tuple[Announcement, ...],
    held_bytes: int,
) -> list[Result]:
    """Run a router, its endpoints and one caller."""
    settings = GatewaySettings(
        "r",
        "north",
        free_address(),
        free_address(),
        "/ready",
        2,
        retry_ratio,
        10,
        retry_slack,
    )
    events = make_discarding_logger("r")
    fleet = FleetView(
        settings, lambda _: CONFIGURATION, PeerClient(), events, Random(1), current_time
    )
    fleet.table = RouteTable(CONFIGURATION)
    watcher = RegistryWatcher(
        MemberChoice("r", "north", list), PeerClient(), fleet, events
    )
    process = GatewayProcess(
        settings, HeaderFormat(), fleet, watcher, budget=ByteBudget(held_bytes)
    )
    endpoints = [Endpoint(script) for script in scripts]
    results: list[Result] = []

    async def exchange(request_id: bytes) -> None:
        sent = request.replace(b"id$", request_id)
        results.append(
            await _exchange(settings.front_address, sent, endpoints, read_after_seconds)
        )

    with fail_after(limit_seconds):
        async with create_task_group() as group:
            group.start_soon(process.run)
            fleet.apply_announcements(list(announced))
            for number, endpoint in enumerate(endpoints):
                listener = await create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                group.start_soon(listener.serve, endpoint.serve)
                base = Announcement(
                    f"e{number}", 1, 1, EndpointState.READY, "s", "", "north", slots
                )
                fleet.apply_announcements([evolve(base, address=f"127.0.0.1:{port}")])
            await wait_until_listening(settings.front_address)
            for number, pause in enumerate(pauses, 1):
                await sleep(pause)
                async with create_task_group() as callers:
                    for _ in range(copies):
                        callers.start_soon(exchange, b"id%d" % number)
            group.cancel_scope.cancel()
    return results


async def _exchange(
    address: str, request: bytes, endpoints: list[Endpoint], read_after_seconds: float
) -> Result:
    """Send a request on a connection of its own; return the result."""
    attempts = sum(len(endpoint.heads) for endpoint in endpoints)
    host, _, port = address.rpartition(":")
    async with await connect_tcp(host, int(port)) as caller:
        await caller.send(request)
        await sleep(read_after_seconds)
        raw, reset = await read_until_end(caller)
    head, _, body = raw.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else 0
    attempts = sum(len(endpoint.heads) for endpoint in endpoints) - attempts
    return Result(status, body, head.lower(), attempts, raw, reset)


async def read_until_end(stream: SocketStream) -> tuple[bytes, bool]:
    """Return all bytes until the connection ends, and whether it was reset."""
    data = b""
    while True:
        try:
            data += await stream.receive()
        except EndOfStream:
            return data, False
        except BrokenResourceError:
            return data, True


class PlainResponseTest(CaseTest):
    """Responses to the caller by kind of request and fault of the endpoint."""

    def test_table(self) -> None:
        cases = [
            ("read", [respond], 200, 1),
            ("read", [unframed], 200, 1),
            ("read", [respond_twice], 200, 1),
            ("read", [fail, fail], 500, 2),
            ("read", [shed, shed], 503, 2),
            ("read", [truncate, truncate], 502, 2),
            ("book", [respond], 200, 1),
            ("book", [shed, respond], (200, 503), 1),
            ("book", [fail], 500, 1),
            ("book", [truncate], 502, 1),
            ("book", [vanish], 502, 1),
            ("book", [garble], 502, 1),
            ("book", [unsigned], 502, 1),
            ("book", [foreign], 502, 1),
            ("book", [hold], 504, 1),
        ]
        for path, scripts, status, attempts in cases:
            names = [script.__name__ for script in scripts]
            with self.subTest(path=path, scripts=names):
                result = send_request(b"/%s/1" % path.encode(), *scripts)
                expected = status if isinstance(status, tuple) else (status,)
                self.assertIn(result.status, expected, result.raw)
                self.assertEqual(result.attempts, attempts)
                if result.status == 200:
                    self.assertEqual(result.body.replace(b"4\r\n", b"")[:4], b"good")
                if result.status == 503:
                    self.assertIn(b"retry-after: ", result.head)
                if result.status in (502, 503, 504):
                    self.assertNotIn(b"x-signature", result.head)

    def test_retryable_request_is_retried_elsewhere(self) -> None:
        for fault in (shed, fail, truncate, vanish, garble, unsigned, foreign):
            with self.subTest(fault.__name__):
                result = send_request(b"/read/1", fault, respond)
                self.assertEqual((result.status, result.body), (200, b"good"))

    # It was given up for an endpoint that had no room, and then failed.
    def test_slow_response_is_kept_until_another_endpoint_grants_it(self) -> None:
        results = send_requests(
            b"/read/1", respond_slowly, hold, deadline_ms=2000, copies=2, slots=1
        )
        self.assertIn((200, b"good"), [(r.status, r.body) for r in results])

    def test_disallowed_request_reaches_no_endpoint(self) -> None:
        self.assertEqual(send_request(b"/other/1", respond).status, 404)
        wrong = b"Authorization: Bearer wrong\r\n"
        result = send_request(b"/other/1", respond, extra=wrong)
        self.assertEqual((result.status, result.attempts), (404, 0))


class StreamTest(CaseTest):
    """Streams are complete, or recognizably broken off."""

    def whole(self) -> bytes:
        """Return the body of a complete stream."""
        return b"".join(EVENTS)

    def body(self, result: Result) -> bytes:
        """Return the decoded body of a chunked response."""
        data, body = result.body, b""
        while data:
            size, _, data = data.partition(b"\r\n")
            length = int(size, 16)
            body, data = body + data[:length], data[length + 2 :]
        return body

    def test_complete_stream(self) -> None:
        for path in (b"/plan/1", b"/talk/1"):
            result = send_request(path, stream_whole)
            self.assertEqual(self.body(result), self.whole())
            self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    # Each byte started the timeout anew, so that the stream lasted until its deadline.
    def test_stalled_stream_that_sends_comments_is_resumed(self) -> None:
        for scripts in ([stream_drip, stream_whole], [stream_whole, stream_drip]):
            (result,) = send_requests(b"/plan/1", *scripts, deadline_ms=4000)
            events = self.body(result).replace(b": waiting\n\n", b"")
            self.assertEqual(events, self.whole())
            self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    # Nothing else could continue it.
    def test_slow_stream_without_alternative_is_kept(self) -> None:
        (result,) = send_requests(b"/plan/1", stream_slow, deadline_ms=4000)
        self.assertEqual(self.body(result), self.whole())
        self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    # It was given up for an endpoint that had no room, and then broken off.
    def test_stream_is_kept_until_another_endpoint_grants_the_rest(self) -> None:
        results = send_requests(
            b"/plan/1", stream_slow, hold, deadline_ms=2500, copies=2, slots=1
        )
        bodies = [self.body(result) for result in results if result.status == 200]
        self.assertIn(self.whole(), bodies)

    # Both were given up for the one retry that was left.
    def test_stream_is_kept_if_another_request_uses_the_last_retry(self) -> None:
        results = send_requests(
            b"/plan/1",
            stream_slow,
            stream_slow,
            stream_slow,
            deadline_ms=4000,
            copies=6,
            slots=3,
            retry_ratio=0,
            retry_slack=15,
        )
        self.assertEqual([self.body(result) for result in results], [self.whole()] * 6)

    # It was given up and then broken off, as the rest could not be had elsewhere.
    def test_slow_stream_without_event_ids_is_kept(self) -> None:
        (result,) = send_requests(
            b"/plan/1",
            stream_slow_without_ids,
            stream_slow_without_ids,
            deadline_ms=4000,
        )
        self.assertEqual(self.body(result), b"data: a\n\ndata: b\n\n")
        self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    def test_stream_is_resumed_after_its_last_whole_event(self) -> None:
        result = send_request(b"/plan/1", stream_part, stream_part)
        self.assertFalse(result.raw.endswith(b"0\r\n\r\n"))
        for scripts in ([stream_part, stream_whole], [stream_whole, stream_part]):
            result = send_request(b"/plan/1", *scripts)
            self.assertEqual(self.body(result), self.whole())
            self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    def test_stream_that_may_not_be_resumed_is_broken_off(self) -> None:
        result = send_request(b"/talk/1", stream_part)
        self.assertEqual((result.status, result.attempts), (200, 1))
        self.assertFalse(result.raw.endswith(b"0\r\n\r\n"))

    # No registry member can tell which version began it.
    def test_caller_resumes_a_stream_that_nobody_knows(self) -> None:
        result = send_request(b"/plan/1", stream_whole, extra=b"Last-Event-Id: 4\r\n")
        self.assertEqual((result.status, result.attempts), (503, 0))
        self.assertIn(b"retry-after: ", result.head)

    def test_unframed_stream_is_complete_after_a_whole_event(self) -> None:
        for path in (b"/plan/1", b"/talk/1"):
            with self.subTest(path):
                result = send_request(path, stream_unframed)
                self.assertEqual(self.body(result), self.whole())
                self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    # Incident inc1: a stream that ended within an event reached its caller as complete.
    def test_stream_that_ends_within_an_event_is_not_completed(self) -> None:
        for script in (stream_unframed_part, stream_short_length, stream_short_chunks):
            for path in (b"/plan/1", b"/talk/1"):
                with self.subTest(path=path, script=script.__name__):
                    result = send_request(path, script)
                    self.assertEqual(result.status, 200)
                    self.assertFalse(result.raw.endswith(b"0\r\n\r\n"))
                    self.assertNotIn(b"content-length", result.head)

    def test_unframed_stream_is_resumed(self) -> None:
        for scripts in (
            [stream_unframed_part, stream_whole],
            [stream_unframed_part, stream_unframed],
        ):
            result = send_request(b"/plan/1", *scripts)
            self.assertEqual(self.body(result), self.whole())
            self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))

    # A crash before the first event reached the caller as a complete, empty answer.
    def test_unframed_stream_without_events_is_not_completed(self) -> None:
        result = send_request(b"/talk/1", stream_unframed_empty)
        self.assertEqual((result.status, result.attempts), (502, 1), result.raw)
        result = send_request(b"/plan/1", stream_unframed_empty, stream_unframed_empty)
        self.assertEqual((result.status, result.attempts), (502, 2), result.raw)
        result = send_request(b"/plan/1", stream_unframed_empty, stream_whole)
        self.assertEqual(self.body(result), self.whole())

    # Without chunks, an answer that was broken off looked complete once it was closed.
    def test_broken_off_response_that_ends_with_its_connection_is_reset(self) -> None:
        for script, reset in ((stream_whole, False), (stream_part, True)):
            with self.subTest(script.__name__):
                result = send_request(b"/talk/1", script, version=b"1.0")
                self.assertEqual((result.status, result.reset), (200, reset))

    # A resumed stream without event ids started anew: the caller got events twice.
    def test_stream_without_event_ids_is_not_resumed(self) -> None:
        result = send_request(b"/plan/1", stream_without_ids, stream_without_ids)
        self.assertEqual(result.attempts, 1)
        self.assertEqual(result.body.count(b"data: a"), 1)
        self.assertFalse(result.raw.endswith(b"0\r\n\r\n"))

    # A resumable stream with CR LF line ends was held back and then broken off.
    def test_stream_with_other_line_ends_is_forwarded(self) -> None:
        for path in (b"/plan/1", b"/talk/1"):
            with self.subTest(path):
                result = send_request(path, stream_other_line_ends)
                expected = self.whole().replace(b"\n", b"\r\n")
                self.assertEqual(self.body(result), expected)
                self.assertTrue(result.raw.endswith(b"0\r\n\r\n"))


class LongResponseTest(CaseTest):
    """Responses that are too long to be buffered are forwarded as they arrive."""

    # A response broken off after its start was requested again, to no avail.
    def test_started_response_is_not_retried(self) -> None:
        result = send_request(b"/read/1", break_off_long, break_off_long)
        self.assertEqual((result.status, result.attempts), (200, 1))
        self.assertIn(b"content-length: 400000", result.head)
        self.assertLess(len(result.body), 400_000)


class NoticeTest(CaseTest):
    """Endpoints that ask for a pause or leave get no requests of this router."""

    def test_no_request_within_a_pause(self) -> None:
        results = send_requests(b"/book/1", ask_for_pause, pauses=(0.0, 0.0, 0.2, 0.4))
        self.assertEqual([result.status for result in results], [503] * 4)
        self.assertEqual([result.attempts for result in results], [1, 0, 0, 1])
        for result in results[:3]:
            value = result.head.split(b"retry-after: ")[1].split(b"\r\n")[0]
            self.assertGreater(float(value), 0.25)
            self.assertLess(float(value), 1.1)

    def test_another_endpoint_serves_within_a_pause(self) -> None:
        results = send_requests(
            b"/read/1", ask_for_pause, respond, pauses=(0.0, 0.0, 0.0, 0.0)
        )
        self.assertEqual([result.status for result in results], [200] * 4)
        self.assertLessEqual(sum(result.attempts for result in results), 5)

    def test_leaving_endpoint_gets_no_further_request(self) -> None:
        results = send_requests(b"/read/1", respond_leaving, respond, pauses=(0.0,) * 6)
        self.assertEqual([result.status for result in results], [200] * 6)
        self.assertEqual([result.attempts for result in results], [1] * 6)
        self.assertLessEqual([result.body for result in results].count(b"last"), 1)
        for result in results:
            self.assertNotIn(b"x-leaving", result.head)

    # A grant of the leaving endpoint was given back and asked for again without end.
    def test_leaving_endpoint_serves_what_the_other_one_refused(self) -> None:
        started_at = monotonic()
        results = send_requests(
            b"/read/1", respond_leaving, shed, pauses=(0.0, 0.0, 0.0)
        )
        self.assertEqual([result.status for result in results], [200] * 3)
        self.assertLess(monotonic() - started_at, 1.4)

    def test_only_endpoint_serves_until_it_has_left(self) -> None:
        results = send_requests(b"/read/1", respond_leaving, pauses=(0.0, 0.0, 2.1))
        self.assertEqual([result.status for result in results], [200, 200, 503])
        self.assertEqual(results[2].attempts, 0)


class RepeatedRequestIdTest(CaseTest):
    """Callers may use a request id twice, also at the same time."""

    # Both requests shared a bid; afterwards the endpoint could not be used any more.
    def test_later_requests_are_served(self) -> None:
        results = send_requests(b"/read/1", respond, pauses=(0.0,) * 3, copies=4)
        self.assertEqual([result.status for result in results], [200] * 12)


async def respond_with_late_copies(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send the previous response again, then the own one."""
    if len(endpoint.heads) > 1:
        await stream.send(
            HEAD % id_of(endpoint.heads[-2]) + b"Content-Length: 5\r\n\r\nfalse"
        )
        await sleep(0.02)
    await respond(endpoint, stream, head)


async def respond_twice_later(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a response, and the same once more while the connection is idle."""
    await respond(endpoint, stream, head)
    await sleep(0.05)
    await respond(endpoint, stream, head)


async def respond_without_id(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a response without the id of its request."""
    await stream.send(
        b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\ngood"
    )


class LateCopyTest(CaseTest):
    """A second copy of a response on a connection that is in use again."""

    # The copy ended the next request with 502, although its own response followed.
    def test_own_response_after_a_late_copy(self) -> None:
        for path in (b"/read/1", b"/book/1"):
            with self.subTest(path):
                results = send_requests(
                    path, respond_with_late_copies, pauses=(0.0, 0.05, 0.05)
                )
                found = [(result.status, result.body) for result in results]
                self.assertEqual(found, [(200, b"good")] * 3)

    def test_copy_on_an_idle_connection(self) -> None:
        results = send_requests(b"/book/1", respond_twice_later, pauses=(0.0, 0.2, 0.2))
        found = [(result.status, result.body) for result in results]
        self.assertEqual(found, [(200, b"good")] * 3)

    # Whose response it is can't be told.
    def test_response_without_id_on_a_reused_connection(self) -> None:
        results = send_requests(b"/book/1", respond_without_id, pauses=(0.0, 0.05))
        self.assertEqual([result.status for result in results], [200, 502])


async def respond_long(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Send a response that no socket buffer holds."""
    await stream.send(HEAD % id_of(head) + b"Content-Length: %d\r\n\r\n" % LONG_BYTES)
    for _ in range(LONG_BYTES // 65_536):
        await stream.send(b"x" * 65_536)


class SlowCallerTest(CaseTest):
    """A caller that reads slowly gets its whole answer."""

    def check(self, read_after_seconds: float) -> None:
        """Send a request whose caller reads nothing for a while."""
        (result,) = send_requests(
            b"/slow/1",
            respond_long,
            respond_long,
            deadline_ms=40_000,
            read_after_seconds=read_after_seconds,
            limit_seconds=40.0,
        )
        self.assertEqual((result.status, len(result.body)), (200, LONG_BYTES))
        self.assertEqual(result.attempts, 1)

    # It was broken off as if its endpoint had stalled.
    def test_whole_answer(self) -> None:
        self.check(2.0)

    # The connection was reset, as if the caller had gone.
    def test_whole_answer_after_a_long_pause(self) -> None:
        self.check(4.5)
