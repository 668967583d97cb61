"""A faulty endpoint sends an earlier refusal once more on a kept connection."""

from anyio import sleep
from anyio.abc import SocketStream
from attrs import define, field

from tests.gateway.test_relay import (
    HEAD,
    Endpoint,
    Result,
    Script,
    id_of,
    respond,
    send_requests,
)
from tests.support.cases import CaseTest

REFUSAL = (
    b"HTTP/1.1 %s\r\nX-Not-Run: 1\r\nX-Request-Id: %s\r\n%s"
    b"Content-Length: 4\r\n\r\nbusy"
)
STATUSES = (b"503 Busy", b"429 Busy", b"421 Other", b"408 Late")


@define(eq=False)
class Copier:
    """Refuses the first requests, and repeats its refusals later.

    A refusal is repeated `copies` times before the response to each later request on
    its connection, or on any kept one if it is `shared`; `pause` seconds pass between.
    `ran` are the ids of the requests that have run, `kept` the connections in use.
    """

    status: bytes = STATUSES[0]
    headers: bytes = b""
    named: bool = True
    copies: int = 1
    refusals: int = 1
    shared: bool = False
    pause: float = 0.02
    sent: list[tuple[SocketStream, bytes]] = field(factory=list)
    ran: list[bytes] = field(factory=list)
    kept: list[SocketStream] = field(factory=list)

    async def serve(
        self, endpoint: Endpoint, stream: SocketStream, head: bytes
    ) -> None:
        """Refuse the request or run it, after copies of earlier refusals."""
        is_shared = self.shared and stream in self.kept
        earlier = [data for at, data in self.sent if is_shared or at is stream]
        self.kept.append(stream)
        if len(self.sent) < self.refusals:
            refusal = REFUSAL % (self.status, id_of(head), self.headers)
            if not self.named:
                refusal = refusal.replace(b"X-Request-Id: %s\r\n" % id_of(head), b"")
            self.sent.append((stream, refusal))
            await stream.send(refusal)
            return
        self.ran.append(id_of(head))
        data = earlier[-1] * self.copies if earlier else b""
        if data and self.pause:
            await stream.send(data)
            await sleep(self.pause)
            data = b""
        body = HEAD % id_of(head) + b"Content-Length: 4\r\n\r\ngood"
        await stream.send(data + body)


def send(
    path: bytes, copier: Copier, *others: Script, pauses: tuple[float, ...] = (0.0,)
) -> list[Result]:
    """Send requests through a router to the copier and other endpoints."""
    return send_requests(path, copier.serve, *others, pauses=pauses)


class SameRequestTest(CaseTest):
    """The same request is sent again to the endpoint that refused it."""

    def check(self, result: Result, copier: Copier) -> None:
        """Check that a request which has run is not said not to have run."""
        self.assertLessEqual(len(copier.ran), 1)
        if copier.ran:
            self.assertNotIn(result.status, (408, 421, 429, 503), result.raw)

    # The copy passed for the endpoint's word on the second attempt, which ran: callers
    # were told that it had not, and it ran once more.
    def test_copy_is_not_believed(self) -> None:
        for status in STATUSES:
            for copier in (
                Copier(status),
                Copier(status, pause=0),
                Copier(status, copies=2),
                Copier(status, copies=2, pause=0),
                Copier(status, refusals=2),
                Copier(status, shared=True, copies=1),
                Copier(status, named=False),
                Copier(status, headers=b"X-Load: 1,0,8\r\n"),
            ):
                with self.subTest(copier=copier):
                    (result,) = send(b"/sell/1", copier)
                    self.check(result, copier)

    def test_refused_request_is_served_by_the_same_endpoint(self) -> None:
        for path in (b"/sell/1", b"/read/1"):
            copier = Copier()
            (result,) = send(path, copier)
            self.assertEqual((result.status, result.body), (200, b"good"))
            self.assertEqual(copier.ran, [b"id1"])


class LaterRequestTest(CaseTest):
    """The copy of a refusal comes where another request waits for its response."""

    def test_own_response_follows(self) -> None:
        for status in STATUSES[:2]:
            for copier in (
                Copier(status),
                Copier(status, pause=0),
                Copier(status, copies=2),
                Copier(status, shared=True),
            ):
                with self.subTest(copier=copier):
                    results = send(b"/book/1", copier, pauses=(0.0,) * 3)
                    self.assertIn(results[0].status, (429, 503))
                    found = [(r.status, r.body) for r in results[1:]]
                    self.assertEqual(found, [(200, b"good")] * 2)

    # Which request it refuses can't be told, nor behind how many copies the own
    # response follows.
    def test_unknown_or_many_copies_promise_nothing(self) -> None:
        for copier in (Copier(named=False), Copier(copies=3)):
            with self.subTest(copier=copier):
                results = send(b"/book/1", copier, pauses=(0.0,) * 3)
                found = [result.status for result in results]
                self.assertEqual((found[0], found[1]), (503, 502))
                self.assertEqual(len(copier.ran), 2)

    def test_request_that_may_be_repeated_is_served_elsewhere(self) -> None:
        copier = Copier(named=False)
        results = send(b"/read/1", copier, respond, pauses=(0.0,) * 4)
        self.assertEqual([result.status for result in results], [200] * 4)
