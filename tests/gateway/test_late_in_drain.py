"""Requests that come late in a planned stop are answered or refused as not run."""

from collections.abc import Awaitable, Callable

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketStream
from attrs import define, field
from nose2.tools import params

from tests.gateway.test_drain import DrainingRouter
from tests.gateway.test_relay import Endpoint, id_of, respond
from tests.support.cases import CaseTest

# Time between two requests of a caller.
PAUSE_SECONDS = 0.02


@define
class Caller:
    """A caller that sends one request after the other, as long as it is answered.

    `answer_by_id` has the first bytes of the answers, empty if there was none.
    """

    address: str
    name: str
    path: str
    answer_by_id: dict[bytes, bytes] = field(factory=dict)

    async def run(self) -> None:
        """Send requests, on a new connection after each close."""
        host, _, port = self.address.rpartition(":")
        while True:
            try:
                async with await connect_tcp(host, int(port)) as stream:
                    await self._use(stream)
            except (OSError, EndOfStream, BrokenResourceError, ClosedResourceError):
                if not await self._is_listening():
                    return

    async def _is_listening(self) -> bool:
        """Return whether the router takes connections."""
        host, _, port = self.address.rpartition(":")
        try:
            await (await connect_tcp(host, int(port))).aclose()
        except OSError:
            return False
        return True

    async def _use(self, stream: SocketStream) -> None:
        """Send requests on one connection until it is closed."""
        while True:
            request_id = b"%s-%d" % (self.name.encode(), len(self.answer_by_id))
            self.answer_by_id[request_id] = b""
            await stream.send(
                b"POST %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n"
                b"X-Deadline-Ms: 9000\r\nAuthorization: Bearer key\r\n"
                b"Content-Length: 0\r\n\r\n" % (self.path.encode(), request_id)
            )
            answer = b""
            while not (
                b"\r\n\r\n" in answer and answer.endswith((b"good", b"\r\n\r\n"))
            ):
                answer += await stream.receive()
                self.answer_by_id[request_id] = answer
            await sleep(PAUSE_SECONDS)
            if b"connection: close" in answer.lower():
                return


def responding_after(
    seconds: float,
) -> Callable[[Endpoint, SocketStream, bytes], Awaitable[None]]:
    """Return a script that responds after a time."""

    async def script(endpoint: Endpoint, stream: SocketStream, head: bytes) -> None:
        await sleep(seconds)
        await respond(endpoint, stream, head)

    return script


@define
class StoppedRouter:
    """A router whose endpoint takes some seconds for each request, and its callers.

    With few callers it has nothing to do at times.
    """

    path: str
    seconds: float
    caller_count: int
    callers: list[Caller] = field(factory=list)
    reached_ids: set[bytes] = field(factory=set)

    async def run(self) -> None:
        """Stop the router while its callers send requests."""
        endpoint = Endpoint(responding_after(self.seconds))
        router = DrainingRouter(endpoint.script, endpoint=endpoint)
        async with create_task_group() as group:
            await router.start(group)
            for number in range(self.caller_count):
                address = router.settings.front_address
                caller = Caller(address, f"c{number}", self.path)
                self.callers.append(caller)
                group.start_soon(caller.run)
            await sleep(0.5)
            await router.process.drain()
            # Callers read what was sent until the end.
            await sleep(0.2)
            group.cancel_scope.cancel()
        self.reached_ids = {id_of(head) for head in endpoint.heads}


async def stop_all(routers: list[StoppedRouter]) -> None:
    """Stop all routers at the same time."""
    with fail_after(25):
        async with create_task_group() as group:
            for router in routers:
                group.start_soon(router.run)


class LateRequestTest(CaseTest):
    """A planned stop in calm, with requests until its end."""

    # Requests that were passed on shortly before the end of the grace period, or after
    # an idle moment had ended it early, got 502, 504 or no answer.
    @params("/book/1", "/bulk/1", "/read/1")
    def test_request_that_reached_its_endpoint_gets_its_answer(self, path: str) -> None:
        routers = [
            StoppedRouter(path, seconds, caller_count)
            for seconds in (0.09, 0.3, 0.5)
            for caller_count in (2, 12)
        ]
        run(stop_all, routers)
        for router in routers:
            self.assertGreater(len(router.reached_ids), 2 * router.caller_count)
            for caller in router.callers:
                self.check(router, caller)

    def check(self, router: StoppedRouter, caller: Caller) -> None:
        """Compare what one caller received with what reached the endpoint."""
        for request_id, answer in caller.answer_by_id.items():
            with self.subTest(
                seconds=router.seconds,
                callers=router.caller_count,
                request_id=request_id,
                answer=answer,
            ):
                has_answer = b"good" in answer
                self.assertEqual(has_answer, request_id in router.reached_ids)
