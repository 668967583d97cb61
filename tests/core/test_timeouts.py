"""Timeouts of a process that is delayed itself, on both event loops."""

from collections.abc import Awaitable, Callable
from time import sleep as block

from anyio import Event, create_task_group, current_time, run, sleep

from pistachiolever.core.timeouts import fail_after_peer, move_on_after_peer
from tests.support.cases import CaseTest

TIMEOUT_SECONDS = 0.1


async def wait_for_reply(at: float, block_seconds: float, seconds: float) -> bool:
    """Return whether a reply after some time is taken by a process that is blocked."""
    reply = Event()
    received = False

    async def answer() -> None:
        await sleep(at)
        reply.set()

    async def delay() -> None:
        block(block_seconds)

    async with create_task_group() as group:
        group.start_soon(answer)
        group.start_soon(delay)
        with move_on_after_peer(seconds):
            await reply.wait()
            received = True
        group.cancel_scope.cancel()
    return received


async def time_of_silence(block_seconds: float) -> float:
    """Return how long a silent peer is waited for, by the clock of the event loop.

    That of uvloop counts whole milliseconds.
    """
    started_at = current_time()

    async def delay() -> None:
        block(block_seconds)

    async with create_task_group() as group:
        group.start_soon(delay)
        try:
            with fail_after_peer(TIMEOUT_SECONDS):
                await sleep(30)
        except TimeoutError:
            return round(current_time() - started_at, 6)
    return 30.0


class PeerTimeoutTest(CaseTest):
    """Peers have their time, whatever this process does meanwhile."""

    def check(
        self, play: Callable[..., Awaitable[object]], *arguments: float
    ) -> list[object]:
        """Return the results on both event loops."""
        return [
            run(play, *arguments, backend_options={"use_uvloop": use_uvloop})
            for use_uvloop in (False, True)
        ]

    # Replies that had come in time were taken as missing by a delayed process.
    def test_reply_was_late_only_because_this_process_was(self) -> None:
        for at in (0.0, 0.5 * TIMEOUT_SECONDS):
            with self.subTest(at):
                results = self.check(
                    wait_for_reply, at, 3 * TIMEOUT_SECONDS, TIMEOUT_SECONDS
                )
                self.assertEqual([True, True], results)

    def test_late_reply_is_not_waited_for(self) -> None:
        results = self.check(wait_for_reply, 8 * TIMEOUT_SECONDS, 0.0, TIMEOUT_SECONDS)
        self.assertEqual([False, False], results)

    def test_timeout_of_a_silent_peer_is_bounded(self) -> None:
        for block_seconds in (0.0, 2 * TIMEOUT_SECONDS):
            for seconds in self.check(time_of_silence, block_seconds):
                with self.subTest((block_seconds, seconds)):
                    assert isinstance(seconds, float)
                    self.assertGreaterEqual(seconds, TIMEOUT_SECONDS)
                    self.assertLess(seconds, 10.0)
