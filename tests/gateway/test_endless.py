"""Bytes without end, which are no response: memory and time stay bounded.

The endpoint sends until the router closes the connection. The table holds each place in
which bytes can go on for ever, and what the caller and the verdict must say.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from time import process_time
from unittest.mock import patch

from anyio import sleep
from anyio.abc import SocketStream
from attrs import define, field

from pistachiolever.gateway.attempt import Attempt, AttemptResult
from pistachiolever.gateway.const import MAX_EVENT_BYTES, MAX_RESPONSE_BYTES
from tests.gateway.test_relay import (
    EVENTS,
    Endpoint,
    Script,
    chunk,
    id_of,
    respond,
    send_requests,
)
from tests.support.cases import CaseTest

BLOCK = 16_384
# Responses at the same time, each of which stays below the limit of an event.
HELD_RESPONSES = 40
FAULTY_ENDPOINTS = 6
# A router that knows no other one uses a part of the slots.
ASSUMED_ROUTERS = 8
HELD_EVENT_BYTES = 7 * MAX_EVENT_BYTES // 8
HELD_BLOCK = BLOCK * b"x"
STALL_SECONDS = 10.0
# What the router may hold of all of them; what was just read comes on top.
HELD_BYTES = 4 * 1024 * 1024
MAX_PEAK_BYTES = 2 * HELD_BYTES
# The timeout of the routes used here.
DEADLINE_MS = 9000
MAX_PROCESSOR_SECONDS = 3.0
# More than any limit, so that a reader without one would go on for seconds.
ENDLESS_BYTES = 4 * MAX_RESPONSE_BYTES
HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@define
class EndlessPart:
    """What an endpoint sends: a beginning, then one block again and again."""

    begin: bytes
    block: bytes

    def blocks(self, request_id: bytes) -> Iterator[bytes]:
        """Return the beginning and the blocks."""
        yield self.begin.replace(b"%s", request_id)
        repeats = ENDLESS_BYTES // len(self.block)
        joined = self.block * max(1, BLOCK // len(self.block))
        for _ in range(repeats * len(self.block) // len(joined)):
            yield joined


PARTS = {
    "status line": EndlessPart(b"HTTP/1.1 200 ", b"O"),
    "header name": EndlessPart(HEAD, b"x"),
    "header value": EndlessPart(HEAD + b"X: ", b"x"),
    "headers": EndlessPart(HEAD, b"X: 1\r\n"),
    "interim responses": EndlessPart(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "no HTTP": EndlessPart(b"", b"\0"),
    "empty lines": EndlessPart(b"", b"\r\n"),
    "chunk size": EndlessPart(CHUNKED, b"0"),
    "chunk extension": EndlessPart(CHUNKED + b"1;", b"x"),
    "trailers": EndlessPart(CHUNKED + b"0\r\n", b"X: 1\r\n"),
    "event without an end": EndlessPart(CHUNKED, b"10\r\nxxxxxxxxxxxxxxxx\r\n"),
    "event in small chunks": EndlessPart(CHUNKED, b"1\r\nx\r\n"),
    "unframed event": EndlessPart(HEAD + b"\r\n", b"x"),
    "comments": EndlessPart(CHUNKED, b"2000\r\n:" + 8188 * b"x" + b"\n\n\r\n"),
}
# A stream that began can only be broken off.
STARTED = {
    "event without an end",
    "event in small chunks",
    "unframed event",
    "comments",
}


def endless(part: EndlessPart, sent: list[int]) -> Script:
    """Return a script that sends until the connection is closed; `sent` counts."""

    async def script(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
        for block in part.blocks(id_of(head)):
            sent[0] += len(block)
            await stream.send(block)

    return script


@contextmanager
def recorded_attempts() -> Iterator[list[AttemptResult]]:
    """Return the results of all attempts that end in the meantime."""
    results: list[AttemptResult] = []
    run_attempt = Attempt.run

    async def run(attempt: Attempt) -> AttemptResult:
        result = await run_attempt(attempt)
        results.append(result)
        return result

    with patch.object(Attempt, "run", run):
        yield results


async def stall_within_event(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send one event, the beginning of the next one, and then nothing."""
    begin = CHUNKED.replace(b"%s", id_of(head)) + chunk(EVENTS[0])
    await stream.send(begin)
    await sleep(0.05)
    await stream.send(b"%x\r\n" % (2 * HELD_EVENT_BYTES))
    for _ in range(HELD_EVENT_BYTES // BLOCK):
        await stream.send(HELD_BLOCK)
    await sleep(STALL_SECONDS)


@define
class Holdings:
    """The bytes of unfinished events that attempts hold, and the most at a time."""

    bytes_by_attempt: dict[int, int] = field(factory=dict)
    most_bytes: int = 0


@contextmanager
def recorded_holdings() -> Iterator[Holdings]:
    """Return what all attempts hold in the meantime."""
    holdings = Holdings()
    accept_stream, run_attempt = Attempt._accept_stream, Attempt.run

    def accept(attempt: Attempt, data: bytes) -> bytes:
        events = accept_stream(attempt, data)
        holdings.bytes_by_attempt[id(attempt)] = len(attempt.splitter.buffer)
        held_bytes = sum(holdings.bytes_by_attempt.values())
        holdings.most_bytes = max(holdings.most_bytes, held_bytes)
        return events

    async def run(attempt: Attempt) -> AttemptResult:
        try:
            return await run_attempt(attempt)
        finally:
            holdings.bytes_by_attempt.pop(id(attempt), None)

    with (
        patch.object(Attempt, "_accept_stream", accept),
        patch.object(Attempt, "run", run),
    ):
        yield holdings


class ManyResponsesTest(CaseTest):
    """Many responses, each below its limits, must not take the memory of the process.

    Processes ended by themselves, LOST: a faulty endpoint sent bytes without end in all
    responses that it had under way.
    """

    def test_responses_that_are_held_share_a_limit(self) -> None:
        with recorded_holdings() as holdings:
            results = send_requests(
                b"/epic/1",
                *FAULTY_ENDPOINTS * [stall_within_event],
                copies=HELD_RESPONSES,
                slots=ASSUMED_ROUTERS * HELD_RESPONSES,
                deadline_ms=3000,
                held_bytes=HELD_BYTES,
            )
        self.assertEqual(len(results), HELD_RESPONSES)
        self.assertGreater(holdings.most_bytes, HELD_BYTES // 2)
        self.assertLess(holdings.most_bytes, MAX_PEAK_BYTES)


class EndlessTest(CaseTest):
    """An endpoint that sends without end."""

    def check(self, path: bytes, name: str, statuses: set[int]) -> None:
        """Send a request and check status, bytes taken and time."""
        sent = [0]
        started_at = process_time()
        with recorded_attempts() as attempts:
            (result,) = send_requests(
                path, endless(PARTS[name], sent), deadline_ms=DEADLINE_MS
            )
        self.assertIn(result.status, statuses)
        # The caller never sees a complete answer.
        self.assertFalse(result.status == 200 and result.raw.endswith(b"0\r\n\r\n"))
        self.assertLess(sent[0], ENDLESS_BYTES)
        # The limits end it, not the deadline.
        self.assertNotIn("deadline", [attempt.reason for attempt in attempts])
        self.assertEqual(len(attempts), 1)
        self.assertLess(process_time() - started_at, MAX_PROCESSOR_SECONDS)

    def test_plain_service(self) -> None:
        for name in sorted(set(PARTS) - STARTED) + ["event in small chunks"]:
            with self.subTest(name):
                self.check(b"/bulk/1", name, {502, 504})

    def test_stream(self) -> None:
        for name in PARTS:
            with self.subTest(name):
                statuses = {502, 504} | ({200} if name in STARTED else set())
                self.check(b"/tale/1", name, statuses)

    def test_resumable_stream_is_served_by_another_endpoint(self) -> None:
        for name in sorted(set(PARTS) - STARTED):
            with self.subTest(name):
                (result,) = send_requests(
                    b"/read/1", endless(PARTS[name], [0]), respond
                )
                self.assertEqual((result.status, result.body), (200, b"good"))

    def test_event_limit_bounds_what_a_caller_gets(self) -> None:
        sent = [0]
        (result,) = send_requests(
            b"/tale/1",
            endless(PARTS["event without an end"], sent),
            deadline_ms=DEADLINE_MS,
        )
        self.assertLess(len(result.body), 4 * MAX_EVENT_BYTES)
