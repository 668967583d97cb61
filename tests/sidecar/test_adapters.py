"""Responses of endpoints to a sidecar are complete, or the run did not complete."""

from collections.abc import Callable

from anyio import (
    create_task_group,
    create_tcp_listener,
    fail_after,
    run,
    sleep_forever,
)
from anyio.abc import SocketAttribute, SocketStream
from nose2.tools import params

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service, ServiceKind
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.adapters import make_adapter
from pistachiolever.sidecar.models import (
    EndpointNotice,
    RateNamed,
    RunEnded,
    SidecarInput,
)
from pistachiolever.wire.models import Dispatch
from tests.support.cases import CaseTest

STALL_SECONDS = 0.4
PART = b'data: {"choices": [{"text": "ab"}]}\n\n'
USAGE = (
    b'data: {"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 2}}\n\n'
)
DONE = b"data: [DONE]\n\n"


def adapter_inputs(
    kind: ServiceKind, response: bytes, stands_still: bool = False
) -> list[SidecarInput]:
    """Return what an adapter posts for one run and a raw response."""
    return run(_run_adapter, kind, response, stands_still)


async def _run_adapter(
    kind: ServiceKind, response: bytes, stands_still: bool
) -> list[SidecarInput]:
    """Run one request at an endpoint that sends a raw response and closes.

    If it stands still, it doesn't close.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(response)
            if stands_still:
                await sleep_forever()

    inputs: list[SidecarInput] = []
    post: Callable[[SidecarInput], None] = inputs.append
    with fail_after(5):
        async with create_task_group() as group:
            listener = await create_tcp_listener(local_host="127.0.0.1")
            group.start_soon(listener.serve, serve)
            port = listener.extra(SocketAttribute.local_port)
            url = f"http://127.0.0.1:{port}"
            settings = SidecarSettings("e", "s", url, stall_seconds=STALL_SECONDS)
            adapter = make_adapter(settings, Service("s", kind, True, model="m"))
            await adapter.run(Dispatch("r1", "one", "text", 10), post)
            group.cancel_scope.cancel()
    return inputs


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"
STALLED_RESPONSES = [b"", HEAD, UNFRAMED, UNFRAMED + PART]


def framed(body: bytes) -> bytes:
    """Return a response with a length."""
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class CompletenessTest(CaseTest):
    """A response that may have been cut short never counts as complete."""

    def check(self, kind: ServiceKind, cases: list[tuple[bytes, bool]]) -> None:
        """Compare the result of one run for each response."""
        for response, complete in cases:
            with self.subTest(response):
                inputs = adapter_inputs(kind, response)
                ends = [item for item in inputs if isinstance(item, RunEnded)]
                self.assertEqual(len(ends), 1)
                self.assertEqual(ends[0].complete, complete)

    def test_model(self) -> None:
        self.check(
            ServiceKind.MODEL,
            [
                (UNFRAMED + PART + USAGE + DONE, True),
                (framed(PART + USAGE + DONE), True),
                (UNFRAMED + PART, False),
                (UNFRAMED + PART + DONE[:-1], False),
                (UNFRAMED + PART + DONE[:-4], False),
                (framed(PART), False),
                (framed(PART + DONE)[:-3], False),
                (UNFRAMED, False),
            ],
        )

    def test_plain(self) -> None:
        self.check(
            ServiceKind.PLAIN,
            [
                (UNFRAMED + b'{"a": 1}', True),
                (framed(b'{"a": 1}'), True),
                (framed(b"12"), True),
                (UNFRAMED + b'{"a": 1', False),
                (framed(b'{"a": 1}')[:-1], False),
                (UNFRAMED, False),
            ],
        )

    # A number cut short in an unframed response reached the caller as the result.
    def test_unframed_number_may_be_cut_short(self) -> None:
        self.check(
            ServiceKind.PLAIN, [(UNFRAMED + b"12", False), (UNFRAMED + b"-1.5", False)]
        )

    # MIXED: a status that HTTP does not know is no answer.
    def test_unusable_status(self) -> None:
        bodies = {ServiceKind.MODEL: PART + USAGE + DONE, ServiceKind.PLAIN: b"{}"}
        for kind, body in bodies.items():
            responses = [
                framed(body).replace(b"200 OK", status)
                for status in (b"000 X", b"099 X", b"600 X", b"999 X", b"20 X")
            ]
            self.check(kind, [(response, False) for response in responses])


class StalledEndpointTest(CaseTest):
    """A run ends if its endpoint stands still; it may have run."""

    # The run at an engine that sent no head never ended.
    @params(*[(kind, part) for kind in ServiceKind for part in STALLED_RESPONSES])
    def test_run_ends(self, kind: ServiceKind, response: bytes) -> None:
        ended = adapter_inputs(kind, response, stands_still=True)[-1]
        assert isinstance(ended, RunEnded)
        self.assertEqual(ended.reason, "endpoint-stalled")
        self.assertEqual(ended.verdict, Verdict.MAY_HAVE_RUN)


class SizeTest(CaseTest):
    """An answer of a plain service is limited in bytes."""

    # Characters of several bytes counted as one.
    def test_plain_answer_over_the_limit(self) -> None:
        limit = SidecarSettings("e", "s", "http://x").max_answer_bytes
        for character in ("a", "\u0939", "\U0001f600"):
            size = len(character.encode())
            for count, complete in ((limit // size - 9, True), (limit // size, False)):
                with self.subTest(character=character, count=count):
                    body = b'"%s"' % (character * count).encode()
                    ended = adapter_inputs(ServiceKind.PLAIN, framed(body))[-1]
                    assert isinstance(ended, RunEnded)
                    self.assertIs(ended.complete, complete, ended.reason)


class NoticeTest(CaseTest):
    """What an endpoint asks for in its responses reaches the core."""

    def test_table(self) -> None:
        busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
        body = b"Content-Length: 2\r\n\r\n{}"
        cases: list[tuple[bytes, EndpointNotice | None]] = [
            (framed(b"{}"), None),
            (busy + b"\r\n", None),
            (busy + b"Retry-After: 2\r\n\r\n", EndpointNotice(False, 2.0)),
            (busy + b"Retry-After: -2\r\n\r\n", None),
            (busy + b"Retry-After: soon\r\n\r\n", None),
            (HEAD + b"Retry-After: 2\r\n" + body, None),
            (HEAD + b"X-Leaving: 1\r\n" + body, EndpointNotice(True)),
            (HEAD + b"X-Leaving: 0\r\n" + body, None),
        ]
        for kind in ServiceKind:
            for response, notice in cases:
                with self.subTest(kind=kind, response=response):
                    inputs = adapter_inputs(kind, response)
                    notices = [i for i in inputs if isinstance(i, EndpointNotice)]
                    self.assertEqual(notices, [notice] if notice else [])

    def test_rates(self) -> None:
        body = b"Content-Length: 2\r\n\r\n{}"
        cases = [
            (framed(b"{}"), [None]),
            (HEAD + b"X-Rate-Limit: 2.5\r\n" + body, [2.5]),
            (HEAD + b"X-Rate-Limit: -2\r\n" + body, []),
            (HEAD + b"X-Rate-Limit: few\r\n" + body, []),
        ]
        for kind in ServiceKind:
            for response, rates in cases:
                with self.subTest(kind=kind, response=response):
                    inputs = adapter_inputs(kind, response)
                    named = [i for i in inputs if isinstance(i, RateNamed)]
                    self.assertEqual([n.requests_per_second for n in named], rates)
