"""Tests of connections that their peers have reset, on the event loop of routers."""

from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET, create_server, socket
from struct import pack
from threading import Thread

from anyio import (
    BrokenResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    fail_after,
    run,
)
from anyio.abc import SocketAttribute, SocketStream

from pistachiolever.http1.client import open_connection
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import RequestHead
from pistachiolever.http1.sockets import (
    has_input,
    has_left,
    set_reset_on_close,
    tune_socket,
)
from tests.support.cases import CaseTest

CONNECTIONS = 1000
RESET_ON_CLOSE = pack("ii", True, 0)


async def reset(stream: SocketStream) -> None:
    """Reset a connection."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()


def reset_accepted(listener: socket) -> None:
    """Reset each accepted connection until the listener is shut down."""
    while True:
        try:
            accepted, _ = listener.accept()
        except OSError:
            return
        accepted.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        accepted.close()


class ResetConnectionTest(CaseTest):
    """A connection that was reset is reported as closed, whatever is asked of it."""

    def check_closed(self, stream: SocketStream) -> None:
        """Check that a connection counts as closed and takes options without error."""
        tune_socket(stream)
        set_reset_on_close(stream, True)
        self.assertTrue(has_input(stream))
        self.assertTrue(has_left(stream))

    # AttributeError, or ValueError on a connection that had options: the connection of
    # the caller was closed without an answer.
    def test_connection_that_was_closed_on_the_reset(self) -> None:
        async def test(tuned: bool) -> None:
            async with create_task_group() as group:
                listener = await create_tcp_listener(local_host="127.0.0.1")
                group.start_soon(listener.serve, reset)
                port = listener.extra(SocketAttribute.local_port)
                async with await connect_tcp("127.0.0.1", port) as stream:
                    if tuned:
                        tune_socket(stream)
                    with fail_after(5), self.assertRaises(BrokenResourceError):
                        await stream.receive()
                    self.check_closed(stream)
                group.cancel_scope.cancel()

        for tuned in (False, True):
            with self.subTest(tuned=tuned):
                run(test, tuned, backend_options={"use_uvloop": True})

    # The same while the connection was opened, for some of the endpoint's resets.
    def test_connections_that_are_reset_while_they_are_opened(self) -> None:
        async def test(address: str) -> int:
            failed = 0
            head = RequestHead(b"GET", b"/", [(b"host", b"x")])
            for _ in range(CONNECTIONS):
                try:
                    connection = await open_connection(address)
                    await connection.exchange(head, b"")
                except PeerClosedError:
                    failed += 1
            return failed

        with create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            # A thread, since the resets must come within a turn of the event loop.
            resetting = Thread(target=reset_accepted, args=(listener,))
            resetting.start()
            try:
                failed = run(test, address, backend_options={"use_uvloop": True})
            finally:
                listener.shutdown(SHUT_RDWR)
                resetting.join()
        self.assertEqual(failed, CONNECTIONS)
