"""Streams of endpoints whose answers are lost, while software versions differ."""

from tempfile import TemporaryDirectory

from anyio import create_task_group, fail_after, run, sleep
from anyio.abc import SocketStream
from nose2.tools import params

from tests.gateway.test_relay import Endpoint, Result
from tests.gateway.test_stream_versions import (
    ResumedStream,
    resume_stream,
    send,
    start_system,
    stream_version,
    versions_in,
)
from tests.support.cases import CaseTest

EVENT_SECONDS = 0.08
# The router has sent the stream to the first endpoint by then.
SENT_SECONDS = 0.2
# The router ends so long after the second endpoint got the stream: it has forwarded
# an event, of which the registry has not been told yet.
FORWARDED_SECONDS = 0.06
TIMEOUT_SECONDS = 20.0


async def lose_first_answer(
    endpoint: Endpoint, stream: SocketStream, head: bytes
) -> None:
    """Run the first request without an answer; stream the later ones."""
    if len(endpoint.heads) == 1:
        await stream.receive()
    await stream_version(endpoint, stream, head)


async def resume_after_lost_answer(lossy: str, following: str) -> ResumedStream:
    """Return a stream that is resumed at another router.

    Its answer from an endpoint of the first version was lost. Its router ended soon
    after an endpoint of the second version had begun it.
    """
    with TemporaryDirectory() as root, fail_after(TIMEOUT_SECONDS):
        async with create_task_group() as group:
            system = await start_system(group, root)
            endpoint = await system.add_endpoint(lossy)
            endpoint.script = lose_first_answer
            router = await system.start_router()
            other = await system.start_router()
            system.probe(0).events = 3
            results: list[Result] = []

            async def begin() -> None:
                results.append(await send(router, "a"))

            async with create_task_group() as callers:
                callers.start_soon(begin)
                await sleep(SENT_SECONDS)
                successor = await system.add_endpoint(following)
                successor.event_seconds = EVENT_SECONDS
                while not successor.heads:
                    await sleep(0.01)
                await sleep(FORWARDED_SECONDS)
                router.scope.cancel()
            after = await resume_stream(other, "a", results[0], 1)
            group.cancel_scope.cancel()
    return ResumedStream(results[0], after)


class LostAnswerTest(CaseTest):
    """An endpoint lists events of a stream that another one begins."""

    # ORDER: the endpoint whose answer was lost was recorded as the stream's beginning,
    # and the router ended before the registry knew the one that had begun it.
    @params(("v1", "v2"), ("v2", "v1"))
    def test_stream_goes_on_at_the_version_whose_events_were_forwarded(
        self, lossy: str, following: str
    ) -> None:
        stream = run(resume_after_lost_answer, lossy, following)
        self.assertEqual(versions_in(stream.before), {following})
        self.assertEqual(stream.versions(), {following})
        self.assertTrue(stream.is_whole())
