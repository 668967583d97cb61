"""A stream has begun and breaks off; what the next endpoint sends is not its rest."""

from anyio import sleep
from anyio.abc import SocketStream
from attrs import define, field
from nose2.tools import params

from tests.gateway.test_relay import (
    EVENTS,
    HEAD,
    Endpoint,
    Result,
    Script,
    chunk,
    hold,
    id_of,
    send_request,
    stream_part,
    stream_unframed_part,
    stream_whole,
    value,
    vanish,
)
from tests.support.cases import CaseTest

WHOLE = b"".join(EVENTS)
TEXT = b"the engine failed\n\nupstream: no memory\r\n\r\nend\n\n"
SECOND_HEAD = b"HTTP/1.1 500 No\r\nContent-Type: text/plain\r\n\r\nfailed\n\n"
END = b"0\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


@define(eq=False)
class Answer:
    """Sends a status line, headers and a body, with one kind of framing."""

    status: bytes
    body: bytes = TEXT
    framing: str = "length"
    headers: bytes = b""
    version: bytes = b"1.1"
    signed: bool = True
    before: bytes = b""

    async def serve(
        self, endpoint: Endpoint, stream: SocketStream, head: bytes
    ) -> None:
        """Send the response."""
        signature = b"X-Signature: s\r\n" if self.signed else b""
        framing = {
            "length": b"Content-Length: %d\r\n" % len(self.body),
            "chunks": b"Transfer-Encoding: chunked\r\n",
            "close": b"Connection: close\r\n",
        }[self.framing]
        body = self.body
        if self.framing == "chunks":
            body = (chunk(body) if body else b"") + END
        await stream.send(
            self.before
            + b"HTTP/%s %s\r\n%sX-Request-Id: %s\r\n%s%s\r\n%s"
            % (
                self.version,
                self.status,
                signature,
                id_of(head),
                self.headers,
                framing,
                body,
            )
        )
        if self.framing == "close":
            await stream.aclose()


@define(eq=False)
class Turns:
    """Runs one script for each request, the last one for all further requests.

    The endpoints that share it run them in the order in which requests arrive.
    """

    scripts: list[Script]
    last_event_ids: list[bytes] = field(factory=list)

    async def serve(
        self, endpoint: Endpoint, stream: SocketStream, head: bytes
    ) -> None:
        """Run the script whose turn it is."""
        turn = min(len(self.last_event_ids), len(self.scripts) - 1)
        self.last_event_ids.append(value(head, b"last-event-id"))
        await self.scripts[turn](endpoint, stream, head)


def events(*numbers: int) -> bytes:
    """Return events by their ids."""
    return b"".join(EVENTS[number - 1] for number in numbers)


async def stream_to_event(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Close the connection after the second event, not within one."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(events(1, 2)))
    await sleep(0.05)
    await stream.aclose()


async def stream_comment(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
    """Close the connection after a comment, before the first event."""
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(b": hello\n\n"))
    await sleep(0.05)
    await stream.aclose()


async def stream_two_more(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Continue with two events, and close the connection within the next one."""
    last = int(value(head, b"last-event-id") or b"0")
    await stream.send(HEAD % id_of(head) + b"Transfer-Encoding: chunked\r\n\r\n")
    await stream.send(chunk(b"".join(EVENTS[last : last + 2]) + b"id: "))
    await sleep(0.05)
    await stream.aclose()


def body_of(result: Result) -> tuple[bytes, bool]:
    """Return the body of a chunked response, and whether it is complete."""
    data, body = result.body, b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return body, True
        body, data = body + data[:length], data[length + 2 :]
    return body, False


def play(path: bytes, *scripts: Script) -> tuple[Result, Turns]:
    """Send a request through a router to two endpoints that run scripts in turn."""
    turns = Turns(list(scripts))
    return send_request(path, turns.serve, turns.serve, turns.serve), turns


ERRORS = (
    Answer(b"500 No"),
    Answer(b"500 No", framing="chunks"),
    Answer(b"500 No", framing="close"),
    Answer(b"500 No", framing="close", version=b"1.0"),
    Answer(b"500 No", signed=False),
    Answer(b"500 No", headers=EVENT_STREAM, body=events(3)),
    Answer(b"502 No"),
    Answer(b"503 No"),
    Answer(b"503 No", headers=b"X-Not-Run: 1\r\n"),
    Answer(b"503 No", headers=b"X-Not-Run: 1\r\nRetry-After: 0.3\r\n"),
    Answer(b"429 No", headers=b"X-Not-Run: 1\r\n"),
    Answer(b"421 No"),
    Answer(b"408 No"),
    Answer(b"400 No", framing="close"),
    Answer(b"404 No"),
    Answer(b"302 Gone", headers=b"Location: http://x/\r\n"),
    Answer(b"301 Gone", framing="close"),
    Answer(b"304 Same", body=b""),
    Answer(b"500 No", before=b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n"),
    Answer(b"500 No", before=b"HTTP/1.1 100 Continue\r\n\r\n"),
)
FALSE_SUCCESSES = (
    Answer(b"200 OK"),
    Answer(b"200 OK", framing="chunks"),
    Answer(b"200 OK", framing="close"),
    Answer(b"200 OK", framing="close", version=b"1.0"),
    Answer(b"200 OK", headers=EVENT_STREAM),
    Answer(b"200 OK", headers=b"Content-Type: text/plain\r\n"),
    Answer(b"200 OK", headers=b"Content-Type: application/json\r\n", body=events(3)),
    Answer(b"200 OK", headers=b"Content-Encoding: gzip\r\n", body=events(3)),
    Answer(b"200 OK", body=b'{"error":"no memory"}\n\n', framing="chunks"),
    Answer(b"200 OK", body=b"event: error\ndata: no memory\n\n", framing="chunks"),
    Answer(b"200 OK", body=b"data: no memory\n\n", framing="close"),
    Answer(b"200 OK", body=SECOND_HEAD, framing="close"),
    Answer(b"200 OK", body=SECOND_HEAD, framing="chunks"),
    Answer(b"200 OK", body=b"", framing="length"),
    Answer(b"200 OK", body=b"", framing="chunks"),
    Answer(b"200 OK", body=b"", framing="close"),
    Answer(b"200 OK", body=b": no memory\n\n", framing="chunks"),
    Answer(b"200 OK", body=events(1), framing="chunks"),
    Answer(b"202 OK", body=events(3), framing="chunks"),
    Answer(b"204 OK", body=b"", framing="close"),
    Answer(b"206 OK", body=events(3), framing="chunks"),
    Answer(b"200 OK", body=events(3), framing="chunks", signed=False),
    Answer(b"200 OK", body=events(4, 5, 6), framing="chunks"),
)
# The rest of a stream, and then what is none of it.
HALF_SUCCESSES = (
    Answer(b"200 OK", body=events(3) + SECOND_HEAD, framing="close"),
    Answer(b"200 OK", body=events(3) + SECOND_HEAD, framing="chunks"),
    Answer(b"200 OK", body=events(3) + TEXT, framing="close"),
    Answer(b"200 OK", body=events(3, 5, 6), framing="chunks"),
    Answer(b"200 OK", body=events(3, 4) + b"data: no memory\n\n", framing="chunks"),
)
BREAKS = (stream_part, stream_unframed_part, stream_to_event)


class ErrorTest(CaseTest):
    """Callers get events in their order, and recognise that the end is missing."""

    def check(self, result: Result, expected: bytes, complete: bool) -> None:
        """Check the events that the caller got, and how the response ended."""
        self.assertEqual(result.status, 200, result.raw)
        self.assertEqual(result.raw.count(b"HTTP/1.1"), 1)
        body, is_complete = body_of(result)
        self.assertEqual(body.replace(b": no memory\n\n", b""), expected)
        self.assertEqual(is_complete, complete)

    @params(*BREAKS)
    def test_error_is_not_forwarded(self, begin: Script) -> None:
        for answer in ERRORS:
            with self.subTest(answer=answer):
                result, _ = play(b"/plan/1", begin, answer.serve)
                self.check(result, events(1, 2), complete=False)

    # Text with an empty line was forwarded as an event, also a second head; without
    # any event the stream ended as if it were complete.
    @params(*BREAKS)
    def test_false_success_is_not_forwarded(self, begin: Script) -> None:
        for answer in FALSE_SUCCESSES:
            with self.subTest(answer=answer):
                result, _ = play(b"/plan/1", begin, answer.serve)
                self.check(result, events(1, 2), complete=False)

    # What came after the rest of the stream was forwarded with it.
    def test_text_behind_the_rest_is_not_forwarded(self) -> None:
        for answer, numbers in zip(
            HALF_SUCCESSES, ((3,), (3,), (3,), (3,), (3, 4)), strict=True
        ):
            with self.subTest(answer=answer):
                result, _ = play(b"/plan/1", stream_part, answer.serve)
                self.check(result, events(1, 2, *numbers), complete=False)

    # The first endpoint itself writes an error into its stream.
    def test_second_head_within_a_stream(self) -> None:
        for framing in ("close", "chunks"):
            begin = Answer(b"200 OK", body=events(1, 2) + SECOND_HEAD, framing=framing)
            result, _ = play(b"/plan/1", begin.serve, vanish)
            self.check(result, events(1, 2), complete=False)
            result, _ = play(b"/plan/1", begin.serve, stream_whole)
            self.check(result, WHOLE, complete=True)

    def test_silence_after_a_break(self) -> None:
        result, _ = play(b"/plan/1", stream_part, hold)
        self.check(result, events(1, 2), complete=False)

    # The later endpoint could still serve the rest, had the faulty one not moved the
    # position in the stream.
    def test_another_endpoint_continues_after_the_error(self) -> None:
        for answer in ERRORS + FALSE_SUCCESSES + HALF_SUCCESSES:
            with self.subTest(answer=answer):
                result, turns = play(
                    b"/epic/1", stream_part, answer.serve, stream_whole
                )
                self.check(result, WHOLE, complete=True)
                self.assertEqual(turns.last_event_ids[:2], [b"", b"2"])

    def test_stream_that_breaks_off_twice(self) -> None:
        for answer in ERRORS[:4] + FALSE_SUCCESSES[:4]:
            with self.subTest(answer=answer):
                result, turns = play(
                    b"/epic/1", stream_part, stream_two_more, answer.serve, answer.serve
                )
                self.check(result, events(1, 2, 3, 4), complete=False)
                self.assertEqual(turns.last_event_ids[2], b"4")
        result, _ = play(b"/epic/1", stream_part, stream_two_more, stream_whole)
        self.check(result, WHOLE, complete=True)

    def test_error_after_a_comment(self) -> None:
        for answer in ERRORS + FALSE_SUCCESSES[:12]:
            with self.subTest(answer=answer):
                result, _ = play(b"/plan/1", stream_comment, answer.serve)
                body, complete = body_of(result)
                self.assertEqual((body, complete), (b": hello\n\n", False))

    def test_rest_of_a_stream_is_forwarded(self) -> None:
        for answer in (
            Answer(b"200 OK", body=events(3, 4, 5, 6), headers=EVENT_STREAM),
            Answer(
                b"200 OK",
                body=events(3, 4, 5, 6),
                headers=b"Content-Type: Text/Event-Stream; charset=utf-8\r\n",
                framing="chunks",
            ),
            Answer(b"200 OK", body=events(3, 4, 5, 6), framing="close", version=b"1.0"),
            Answer(b"200 OK", body=b"retry: 9\n\n" + events(3, 4, 5, 6)),
            Answer(b"200 OK", body=b": a\n\n" + events(3, 4, 5, 6)),
            Answer(b"200 OK", body=events(2, 3, 4, 5, 6), framing="chunks"),
            Answer(b"200 OK", body=WHOLE, framing="chunks"),
            Answer(
                b"200 OK",
                body=events(3, 4, 5, 6),
                before=b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n",
            ),
        ):
            with self.subTest(answer=answer):
                result, _ = play(b"/plan/1", stream_part, answer.serve)
                body, complete = body_of(result)
                for other in (b"retry: 9\n\n", b": a\n\n"):
                    body = body.replace(other, b"")
                self.assertEqual((body, complete), (WHOLE, True))

    def test_stream_that_may_not_be_resumed(self) -> None:
        for answer in (ERRORS[0], FALSE_SUCCESSES[0]):
            result, turns = play(b"/talk/1", stream_to_event, answer.serve)
            self.check(result, events(1, 2), complete=False)
            self.assertEqual(len(turns.last_event_ids), 1)
