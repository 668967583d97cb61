"""Numbers in headers and events that are too long to be numbers."""

from anyio.abc import SocketStream

from tests.gateway.test_error_within_stream import Answer, body_of
from tests.gateway.test_relay import HEAD, Endpoint, Script, id_of, send_requests
from tests.support.cases import CaseTest

LONG = b"9" * 5000


def respond_with(header: bytes) -> Script:
    """Return a script that sends a correct response with a further header."""

    async def respond(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
        """Send the response."""
        headers = HEAD % id_of(head) + header + b"\r\n"
        await stream.send(headers + b"Content-Length: 4\r\n\r\ngood")

    return respond


class OddNumberTest(CaseTest):
    """They are not read, or the request is refused as malformed."""

    # The answer was replaced by 502, though the endpoint had run the request.
    def test_number_in_a_response(self) -> None:
        for header in (
            b"X-Load: %s,0,8" % LONG,
            b"X-Load: 1,0,%s" % LONG,
            b"Keep-Alive: timeout=%s" % LONG,
            b"X-Rate-Limit: %s" % LONG,
            b"X-Rate-Limit: 1e400",
            b"X-Rate-Limit: nan",
            b"X-Leaving: %s" % LONG,
        ):
            with self.subTest(header[:30]):
                results = send_requests(
                    b"/book/1", respond_with(header), pauses=(0.0, 0.0)
                )
                found = [(result.status, result.body) for result in results]
                self.assertEqual(found[0], (200, b"good"))
                self.assertNotIn(502, [status for status, _ in found])

    # The stream was broken off.
    def test_event_id(self) -> None:
        body = b"id: %s\ndata: x\n\n" % LONG
        for path in (b"/plan/1", b"/talk/1"):
            (result,) = send_requests(path, Answer(b"200 OK", body=body).serve)
            self.assertEqual(body_of(result), (body, True))

    # The request was answered with 502.
    def test_number_in_a_request(self) -> None:
        for header in (
            b"X-Token-Counts: %s,1",
            b"X-Token-Counts: 1,%s",
            b"X-Length-Hint: %s",
            b"X-Prompt-Parts: ab:%s",
            b"Last-Event-Id: %s",
        ):
            with self.subTest(header):
                (result,) = send_requests(
                    b"/read/1", respond_with(b"X: y"), extra=header % LONG + b"\r\n"
                )
                self.assertEqual((result.status, result.attempts), (400, 0))
