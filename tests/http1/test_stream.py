"""Tests of the connection on asyncio's transports, on both event loops."""

from collections.abc import Awaitable, Callable
from socket import SO_LINGER, SOL_SOCKET, create_server, socket
from struct import pack

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    create_task_group,
    fail_after,
    move_on_after,
    run,
    sleep,
    wait_readable,
)

from pistachiolever.http1.const import READ_BYTES
from pistachiolever.http1.stream import SocketStream, accepted_stream, open_stream
from tests.support.cases import CaseTest

LOOPS: tuple[dict[str, bool], ...] = ({}, {"use_uvloop": True})
# More than the buffers of the system hold.
MANY_BYTES = 64 * 1024 * 1024
Check = Callable[[SocketStream, socket], Awaitable[None]]


async def with_peer(check: Check) -> None:
    """Run a check with a stream and the socket of its peer."""
    with create_server(("127.0.0.1", 0)) as listener:
        stream = await open_stream(*listener.getsockname())
        peer, _ = listener.accept()
        peer.setblocking(False)
        with peer, fail_after(10):
            await check(stream, peer)
        stream.close()


class StreamTest(CaseTest):
    """A stream behaves as one of anyio towards its callers."""

    def check(self, check: Check) -> None:
        """Run a check on both event loops."""
        for options in LOOPS:
            with self.subTest(options):
                run(with_peer, check, backend_options=options)

    def test_data_before_the_end_is_delivered(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            peer.sendall(b"abcdef")
            peer.close()
            await sleep(0.05)
            self.assertTrue(stream.has_input())
            self.assertEqual(await stream.receive(4), b"abcd")
            self.assertEqual(await stream.receive(), b"ef")
            for _ in range(2):
                with self.assertRaises(EndOfStream):
                    await stream.receive()

        self.check(check)

    def test_reset_is_an_error_for_both_directions(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            peer.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", True, 0))
            peer.close()
            with self.assertRaises(BrokenResourceError):
                await stream.receive()
            with self.assertRaises(BrokenResourceError):
                await stream.send(b"x")

        self.check(check)

    def test_closed_stream_raises(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            stream.close()
            stream.close()
            with self.assertRaises(ClosedResourceError):
                await stream.receive()
            with self.assertRaises(ClosedResourceError):
                await stream.send(b"x")
            await wait_readable(peer)
            self.assertEqual(peer.recv(1), b"")

        self.check(check)

    def test_waiting_receiver_and_sender_notice_the_close(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            raised: list[type[Exception]] = []

            async def record(operation: Awaitable[object]) -> None:
                try:
                    await operation
                except ClosedResourceError as error:
                    raised.append(type(error))

            async with create_task_group() as group:
                group.start_soon(record, stream.receive())
                group.start_soon(record, stream.send(bytes(MANY_BYTES)))
                await sleep(0.05)
                stream.close()
            self.assertEqual(raised, [ClosedResourceError] * 2)

        self.check(check)

    def test_sender_waits_for_a_peer_that_does_not_read(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            with move_on_after(0.1) as scope:
                await stream.send(bytes(MANY_BYTES))
            self.assertTrue(scope.cancelled_caught)
            with move_on_after(0.1) as scope:
                await stream.send(b"x")
            self.assertTrue(scope.cancelled_caught)

        self.check(check)

    def test_peer_waits_while_nobody_receives(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            sent = 0
            for _ in range(300):
                try:
                    sent += peer.send(bytes(READ_BYTES))
                except BlockingIOError:
                    await sleep(0.001)
            await sleep(0.05)
            self.assertLess(sent, MANY_BYTES)
            waiting = sum(map(len, stream._received))
            self.assertLessEqual(waiting, 8 * READ_BYTES)
            received = 0
            while received < sent:
                received += len(await stream.receive())
            self.assertEqual(received, sent)

        self.check(check)

    def test_cancelled_receiver_loses_nothing(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            with move_on_after(0.02):
                await stream.receive()
            peer.sendall(b"abc")
            self.assertEqual(await stream.receive(), b"abc")

        self.check(check)

    def test_peer_that_sends_no_more_still_receives(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            peer.shutdown(1)
            with self.assertRaises(EndOfStream):
                await stream.receive()
            await stream.send(b"abc")
            await stream.send_eof()
            await sleep(0.05)
            self.assertEqual((peer.recv(9), peer.recv(9)), (b"abc", b""))

        self.check(check)

    # A sender to a peer that takes all never waits by itself.
    def test_sender_lets_other_tasks_run(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            turns = 0

            async def count() -> None:
                nonlocal turns
                while True:
                    turns += 1
                    await sleep(0)

            async with create_task_group() as group:
                group.start_soon(count)
                for _ in range(1000):
                    await stream.send(b"x")
                group.cancel_scope.cancel()
            self.assertGreater(turns, 10)

        self.check(check)

    def test_input_is_passed_on_with_what_came_before(self) -> None:
        async def check(stream: SocketStream, peer: socket) -> None:
            received: list[bytes] = []
            peer.sendall(b"ab")
            await sleep(0.05)
            stream.deliver_to(received.append, lambda: received.append(b"end"))
            peer.sendall(b"cd")
            await sleep(0.05)
            peer.close()
            await sleep(0.05)
            self.assertEqual(received, [b"ab", b"cd", b"end"])

        self.check(check)

    # The error ended the process of routers, see recover-lost.md.
    def test_accepted_connection_that_was_reset_before(self) -> None:
        async def check() -> None:
            with create_server(("127.0.0.1", 0)) as listener, fail_after(5):
                with socket() as client:
                    client.connect(listener.getsockname())
                    client.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", True, 0))
                accepted, _ = listener.accept()
                try:
                    stream = await accepted_stream(accepted)
                except (OSError, ValueError):
                    return
                with self.assertRaises(BrokenResourceError):
                    await stream.receive()
                stream.close()

        for options in LOOPS:
            with self.subTest(options):
                run(check, backend_options=options)
