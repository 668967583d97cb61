"""Responses of endpoints in trouble that must not reach callers as answers (MIXED)."""

from unittest.mock import patch

from anyio import sleep
from anyio.abc import SocketStream
from nose2.tools import params

from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.heads import parse_response
from pistachiolever.http1.models import RequestHead, ResponseHead
from tests.gateway.test_relay import (
    EVENTS,
    HEAD,
    Endpoint,
    Result,
    Script,
    chunk,
    id_of,
    respond,
    send_request,
    send_requests,
    stream_whole,
    value,
)
from tests.http1.test_sockets import reset
from tests.support.cases import CaseTest

UNUSABLE = ("000", "020", "099", "600", "601", "999", "20", "2000", "abc", "-20")
RESET_SECONDS = 0.05
PART = b"x" * 4096
# More than the buffers of the system take. The blank line that ends a request without
# a body is the end of this one.
UPLOAD = b"Content-Length: 4000002\r\n\r\n" + b"u" * 4_000_000


def answer_with(status: str) -> Script:
    """Return a script that sends a response with a status, otherwise correct."""

    async def script(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
        """Send the response, as a stream if the request asks for one."""
        line = b"HTTP/1.1 %s X\r\n" % status.encode()
        fields = (HEAD % id_of(head)).partition(b"\r\n")[2]
        if b" /plan/" in head or b" /talk/" in head:
            body = b"".join(chunk(event) for event in EVENTS) + b"0\r\n\r\n"
            await stream.send(
                line + fields + b"Transfer-Encoding: chunked\r\n\r\n" + body
            )
            return
        await stream.send(line + fields + b"Content-Length: 4\r\n\r\ngood")

    return script


async def part_without_length(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Begin a response that ends with its connection, and reset that."""
    await stream.send(HEAD % id_of(head) + b"\r\n" + PART)
    await sleep(RESET_SECONDS)
    await reset(stream)


async def events_without_length(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Reset a stream without a length between two events."""
    last = int(value(head, b"last-event-id") or b"0")
    await stream.send(HEAD % id_of(head) + b"\r\n" + b"".join(EVENTS[last:3]))
    await sleep(RESET_SECONDS)
    await reset(stream)


def second(script: Script) -> Script:
    """Return a script that answers the first request and then runs another script."""

    async def both(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
        """Answer, or run the other script."""
        first = len(endpoint.heads) == 1
        await (respond if first else script)(endpoint, stream, head)

    return both


def is_whole(result: Result) -> bool:
    """Return whether a caller takes a response for complete."""
    if result.reset:
        return False
    if b"transfer-encoding: chunked" in result.head:
        return result.raw.endswith(b"0\r\n\r\n")
    length = value(result.head, b"content-length")
    return not length or len(result.body) == int(length)


def is_success(result: Result) -> bool:
    """Return whether a caller takes a response for a complete answer."""
    return result.status == 200 and is_whole(result)


class StatusTest(CaseTest):
    """A status that HTTP does not know is no answer."""

    # Statuses from 600 on reached callers as they were.
    @params(*UNUSABLE)
    def test_head_is_malformed(self, status: str) -> None:
        with self.assertRaises(MalformedMessageError):
            parse_response(b"HTTP/1.1 %s X\r\n\r\n" % status.encode())

    @params(100, 199, 200, 299, 404, 500, 599)
    def test_other_statuses_are_read(self, status: int) -> None:
        self.assertEqual(
            parse_response(b"HTTP/1.1 %d X\r\n\r\n" % status).status, status
        )

    @params("000", "099", "600", "999")
    def test_caller_gets_no_answer_with_it(self, status: str) -> None:
        for path in (b"/book/1", b"/talk/1"):
            result = send_request(path, answer_with(status))
            self.assertEqual((result.status, result.attempts), (502, 1), result.raw)
            self.assertNotIn(b"x-signature", result.head)
        for path in (b"/read/1", b"/plan/1"):
            result = send_request(path, answer_with(status), answer_with(status))
            self.assertEqual((result.status, result.attempts), (502, 2), result.raw)

    @params("000", "600", "999")
    def test_idempotent_request_is_retried(self, status: str) -> None:
        for path, script in ((b"/read/1", respond), (b"/plan/1", stream_whole)):
            result = send_request(path, answer_with(status), script)
            self.assertEqual(result.status, 200, result.raw)

    @params("000", "600")
    def test_on_a_kept_connection(self, status: str) -> None:
        first, later = send_requests(
            b"/book/1", second(answer_with(status)), pauses=(0.0, 0.1)
        )
        self.assertEqual((first.status, later.status), (200, 502), later.raw)


class ResetTest(CaseTest):
    """A response without a length that is reset is not complete."""

    # MIXED: on other systems callers got such a part as a complete answer.
    @params(b"/book/1", b"/read/1")
    def test_part_is_no_answer(self, path: bytes) -> None:
        result = send_request(path, part_without_length, part_without_length)
        self.assertIn(result.status, (200, 502))
        self.assertFalse(is_success(result), result.raw[:200])

    # The response began while the router was still writing the request.
    @params(b"/book/1", b"/read/1")
    def test_part_within_an_upload_is_no_answer(self, path: bytes) -> None:
        unsent: list[bool] = []
        exchange = ClientConnection.exchange

        async def observe(
            connection: ClientConnection, head: RequestHead, body: bytes
        ) -> ResponseHead:
            """Note whether the request is still being written at its response."""
            response = await exchange(connection, head, body)
            unsent.append(connection.broken)
            return response

        with patch.object(ClientConnection, "exchange", observe):
            result = send_request(
                path, part_without_length, part_without_length, extra=UPLOAD
            )
        self.assertTrue(unsent and all(unsent), unsent)
        self.assertIn(result.status, (200, 502))
        self.assertFalse(is_success(result), result.raw[:200])

    def test_part_on_a_kept_connection(self) -> None:
        first, later = send_requests(
            b"/book/1", second(part_without_length), pauses=(0.0, 0.1)
        )
        self.assertTrue(is_success(first), first.raw[:200])
        self.assertIn(later.status, (200, 502))
        self.assertFalse(is_success(later), later.raw[:200])

    # Each event is whole, so that only the reset shows that more were due.
    def test_stream_reset_between_events_is_not_complete(self) -> None:
        result = send_request(b"/talk/1", events_without_length)
        self.assertFalse(is_whole(result), result.raw)
        result = send_request(b"/plan/1", events_without_length, stream_whole)
        self.assertTrue(result.raw.endswith(b"0\r\n\r\n"), result.raw)
        self.assertEqual(result.body.count(b"data: "), len(EVENTS))
