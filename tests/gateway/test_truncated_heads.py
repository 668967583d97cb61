"""Endpoints that close their connection within the head of a response."""

from anyio import create_task_group, run, sleep
from anyio.abc import SocketStream
from attrs import define, field
from nose2.tools import params

from tests.gateway.test_drain import DrainingRouter
from tests.gateway.test_relay import (
    EVENTS,
    HEAD,
    Endpoint,
    chunk,
    id_of,
    respond,
    value,
)
from tests.support.cases import CaseTest

BODY = b"good"
LENGTH = b"Content-Length: 4\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UNFRAMED = b""
# Requests that are sent at the same time.
CONCURRENT = 16


def whole_head(head: bytes, framing: bytes) -> bytes:
    """Return the head of a sound response to a request."""
    return HEAD % id_of(head) + framing + b"Server: x\r\n\r\n"


@define
class CutEndpoint(Endpoint):
    """An endpoint that sends so many bytes of the head as the target of a request says.

    With `is_kept` the first request on each connection is answered in full.
    """

    framing: bytes = LENGTH
    is_kept: bool = False
    known_streams: set[SocketStream] = field(factory=set)
    cut_counts: list[int] = field(factory=list)


async def close_within_head(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Send a part of the head, and close the connection."""
    assert isinstance(endpoint, CutEndpoint)
    if endpoint.is_kept and stream not in endpoint.known_streams:
        endpoint.known_streams.add(stream)
        await respond(endpoint, stream, head)
        return
    count = int(head.split(b" ")[1].rpartition(b"/")[2])
    block = whole_head(head, endpoint.framing)
    endpoint.cut_counts.append(count)
    await stream.send(block[:count])
    await stream.aclose()


async def close_within_second_head(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Break off a stream; of what goes on with it, send a part of the head."""
    if value(head, b"last-event-id"):
        await close_within_head(endpoint, stream, head)
        return
    await stream.send(HEAD % id_of(head) + CHUNKED + b"\r\n")
    await stream.send(chunk(EVENTS[0] + EVENTS[1]))
    await sleep(0.02)
    await stream.aclose()


@define
class CutResponses:
    """What callers received from a router whose endpoint cuts its heads.

    `cut_counts` are the bytes that it sent of heads of `size` bytes.
    """

    size: int
    answers: list[bytes] = field(factory=list)
    cut_counts: list[int] = field(factory=list)


async def collect_responses(path: str, framing: bytes, is_kept: bool) -> CutResponses:
    """Return the answers to requests of one route, for each place of the cut."""
    script = close_within_second_head if path == "plan" else close_within_head
    endpoint = CutEndpoint(script, framing=framing, is_kept=is_kept)
    router = DrainingRouter(script, endpoint=endpoint)
    size = len(whole_head(b"GET / HTTP/1.1\r\nX-Request-Id: id1", framing))
    counts = iter(range(size))
    responses = CutResponses(size, cut_counts=endpoint.cut_counts)

    async def call() -> None:
        for count in counts:
            # The first requests on new connections are not cut.
            while count not in endpoint.cut_counts:
                answer = await router.send(
                    f"GET /{path}/{count} HTTP/1.1\r\nHost: x\r\nX-Request-Id: id1\r\n"
                    "Authorization: Bearer key\r\nConnection: close\r\n\r\n".encode()
                )
                responses.answers.append(answer)

    async with create_task_group() as group:
        await router.start(group)
        async with create_task_group() as callers:
            for _ in range(CONCURRENT):
                callers.start_soon(call)
        group.cancel_scope.cancel()
    return responses


class TruncatedHeadTest(CaseTest):
    """No caller gets a whole response that its endpoint did not send."""

    # Reported by another operator: a 200 with an empty or short body, framed as whole,
    # after an endpoint had closed its connection within the head.
    @params(
        *(
            (path, framing, is_kept)
            for path in ("read", "book", "talk", "plan")
            for framing in (LENGTH, CHUNKED, UNFRAMED)
            for is_kept in (False, True)
            if not (is_kept and path in ("talk", "plan"))
        )
    )
    def test_head_cut_at_any_byte(
        self, path: str, framing: bytes, is_kept: bool
    ) -> None:
        for options in ({}, {"use_uvloop": True}):
            responses = run(
                collect_responses, path, framing, is_kept, backend_options=options
            )
            self.assertEqual(set(responses.cut_counts), set(range(responses.size)))
            for answer in responses.answers:
                with self.subTest(options=options, answer=answer):
                    self.assertTrue(self.is_sound(answer, path, is_kept))

    def is_sound(self, answer: bytes, path: str, is_kept: bool) -> bool:
        """Return whether a caller may get an answer.

        That is a failure, the whole response to a request that was not cut, or the
        beginning of a stream that does not look complete.
        """
        if not answer.startswith(b"HTTP/1.1 200 "):
            return answer.startswith(b"HTTP/1.1 50")
        if path == "plan":
            return b"id: 2" in answer and not answer.endswith(b"0\r\n\r\n")
        return is_kept and answer.endswith(b"\r\n\r\n" + BODY)
