"""Requests under which endpoints crash, through a whole router over loopback."""

from typing import Any

from anyio import create_task_group, fail_after, run, sleep
from anyio.abc import SocketStream
from attrs import evolve

from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.http1.models import RequestHead
from tests.gateway.test_crashing_prompts import (
    MAX_LATER_SENDS,
    CrashingEndpoint,
    Fleet,
    start_fleet,
)
from tests.gateway.test_relay import (
    CONFIGURATION,
    Endpoint,
    Result,
    _exchange,
    respond,
)
from tests.support.cases import CaseTest

CRASHES = 3
# The shortest contact time of a deployment is 3 s.
SECONDS_AFTER_THIRD = 2.0


async def crash_on_bad_path(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """End the endpoint at a path with `bad`, or send a correct response."""
    assert isinstance(endpoint, CrashingEndpoint)
    if b"/bad" in head.split(b"\r\n")[0]:
        endpoint.scope.cancel()
        await sleep(1)
    await respond(endpoint, stream, head)


async def send(fleet: Fleet, path: bytes) -> Result:
    """Send a request with an id of its own and no prompt."""
    fleet.count += 1
    request = (
        b"GET %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: id%d\r\nX-Deadline-Ms: 1500\r\n"
        b"Connection: close\r\nAuthorization: Bearer key\r\n\r\n"
    )
    sent = request % (path, fleet.count)
    return await _exchange(fleet.address, sent, list(fleet.endpoints), 0.0)


class CrashingRequestTest(CaseTest):
    """One request ends each endpoint that begins to run it."""

    # A request without a prompt was sent to one endpoint of a plain service after the
    # other, under new request ids, until all of them had ended.
    def test_repeated_request_that_crashes_endpoints_is_no_longer_sent(self) -> None:
        run(self.check, b"/read/")

    # The same, where only the caller repeats it.
    def test_other_request_that_crashes_endpoints_is_no_longer_sent(self) -> None:
        run(self.check, b"/book/")

    async def check(self, path: bytes) -> None:
        """Send sound and bad requests; check what is sent on and what is served."""
        with fail_after(20):
            async with create_task_group() as group:
                fleet = await start_fleet(group, crash_on_bad_path, path)
                for number in range(3):
                    result = await send(fleet, path + b"%d" % number)
                    self.assertEqual(result.status, 200)
                for _ in range(20):
                    if fleet.ended_count() < CRASHES:
                        result = await send(fleet, path + b"bad")
                        self.assertIn(result.status, (502, 503))
                await sleep(SECONDS_AFTER_THIRD)
                results = [await send(fleet, path + b"bad") for _ in range(20)]
                self.assertLessEqual(sum(r.attempts for r in results), MAX_LATER_SENDS)
                for result in results[MAX_LATER_SENDS:]:
                    self.assertEqual(result.status, 503)
                    self.assertIn(b"retry-after: ", result.head)
                for name in (b"1", b"new"):
                    self.assertEqual((await send(fleet, path + name)).status, 200)
                group.cancel_scope.cancel()


class ContentTest(CaseTest):
    """The content of a request is the same under another request id only."""

    def test_content_id(self) -> None:
        def make(**fields: Any) -> ProxyRequest:
            route = CONFIGURATION.routes[0]
            service = CONFIGURATION.services[0]
            head = RequestHead(b"POST", b"/read/1?x=2", [(b"host", b"x")])
            request = ProxyRequest(
                RequestMetadata("r1"), head, b"body", route, service, "one", 0, 0, 1, 2
            )
            return evolve(request, content_id="", **fields)

        known = make().content_id
        self.assertEqual(make(metadata=RequestMetadata("r2")).content_id, known)
        head = make().head
        for fields in (
            {"body": b"bodx"},
            {"account_id": "two"},
            {"head": evolve(head, target=b"/read/1?x=3")},
            {"head": evolve(head, method=b"PUT")},
            {"head": evolve(head, headers=[(b"host", b"y")])},
        ):
            with self.subTest(fields):
                self.assertNotEqual(make(**fields).content_id, known)
