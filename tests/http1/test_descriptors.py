"""A server with few descriptors goes on serving when more clients come."""

import resource
import sys
from pathlib import Path
from subprocess import Popen
from typing import Final

from anyio import (
    BrokenResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    fail_after,
    run,
    sleep,
)
from anyio.abc import SocketStream

from pistachiolever.edge.peers import ConnectionPool
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import RequestHead
from pistachiolever.http1.server import HttpServer
from tests.http1.test_server import Echo, read_all
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

REQUEST: Final = b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
KEPT: Final = b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
MAX_DESCRIPTORS: Final = 60


async def connect(address: str) -> SocketStream:
    """Return a connection to a server."""
    host, _, port = address.rpartition(":")
    return await connect_tcp(host, int(port))


async def until_listening(address: str) -> None:
    """Wait until a server accepts connections."""
    with fail_after(10):
        while True:
            try:
                await (await connect(address)).aclose()
                return
            except OSError:
                await sleep(0.05)


async def status(address: str) -> bytes:
    """Return the status of one request."""
    async with await connect(address) as stream:
        await stream.send(REQUEST)
        return (await read_all(stream)).split(b" ")[1]


async def is_open(stream: SocketStream) -> bool:
    """Return whether a kept connection still serves requests."""
    try:
        await stream.send(KEPT)
        return bool(await stream.receive())
    except (EndOfStream, BrokenResourceError):
        return False


def serve_with_few_descriptors(address: str) -> None:
    """Serve until ended; the system refuses more than MAX_DESCRIPTORS descriptors."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))

    async def serve() -> None:
        await HttpServer(address, Echo().handle).serve()

    run(serve)


class DescriptorTest(CaseTest):
    """Descriptors run out."""

    # After a freeze a router accepted all waiting clients; accept raised EMFILE, which
    # ended the process.
    def test_server_survives_exhausted_descriptors(self) -> None:
        async def test() -> None:
            address = free_address()
            with Popen(
                [sys.executable, "-m", "tests.http1.test_descriptors", address],
                cwd=Path(__file__).parents[2],
            ) as process:
                await until_listening(address)
                streams = [await connect(address) for _ in range(2 * MAX_DESCRIPTORS)]
                await sleep(0.3)
                self.assertIsNone(process.poll())
                for stream in streams:
                    await stream.aclose()
                await sleep(0.2)
                self.assertEqual(await status(address), b"200")
                process.kill()

        run(test)


class ConnectionLimitTest(CaseTest):
    """A server has a limit of its own, below that of the system."""

    def test_newest_idle_connection_makes_room(self) -> None:
        async def test() -> None:
            reports: list[tuple[str, int]] = []
            server = HttpServer(
                free_address(),
                Echo().handle,
                max_connections=3,
                report_limit=lambda reason, count: reports.append((reason, count)),
            )
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await until_listening(server.address)
                kept = [await connect(server.address) for _ in range(3)]
                for stream in kept:
                    self.assertTrue(await is_open(stream))
                with fail_after(3):
                    self.assertEqual(await status(server.address), b"200")
                self.assertTrue(await is_open(kept[0]))
                self.assertTrue(await is_open(kept[1]))
                self.assertFalse(await is_open(kept[2]))
                self.assertEqual(reports, [("connections", 3)])
                for stream in kept:
                    await stream.aclose()
                group.cancel_scope.cancel()

        run(test)

    def test_clients_wait_while_all_connections_are_in_use(self) -> None:
        async def test() -> None:
            echo = Echo(delay_seconds=0.3)
            server = HttpServer(free_address(), echo.handle, max_connections=4)
            statuses: list[bytes] = []

            async def call() -> None:
                statuses.append(await status(server.address))

            async with create_task_group() as group:
                group.start_soon(server.serve)
                await until_listening(server.address)
                with fail_after(5):
                    async with create_task_group() as callers:
                        for _ in range(12):
                            callers.start_soon(call)
                        await sleep(0.1)
                        self.assertLessEqual(len(server.connections), 4)
                group.cancel_scope.cancel()
            self.assertEqual(statuses, [b"200"] * 12)

        run(test)


class PoolLimitTest(CaseTest):
    """A pool opens no more connections than it may."""

    def test_idle_connections_make_room(self) -> None:
        async def test() -> None:
            servers = [HttpServer(free_address(), Echo().handle) for _ in "abc"]
            pool = ConnectionPool(max_open=2)
            async with create_task_group() as group:
                for server in servers:
                    group.start_soon(server.serve)
                await until_listening(server.address)
                first = await pool.acquire(servers[0].address, 1.0)
                second = await pool.acquire(servers[1].address, 1.0)
                with self.assertRaises(PeerClosedError) as raised:
                    await pool.acquire(servers[2].address, 1.0)
                error = raised.exception
                self.assertEqual((error.sent, error.is_local), (False, True))
                pool.idle_by_address[first.address] = [first]
                third = await pool.acquire(servers[2].address, 1.0)
                self.assertEqual(pool.open_count, 2)
                await second.close()
                await third.close()
                await third.close()
                self.assertEqual(pool.open_count, 0)
                group.cancel_scope.cancel()

        run(test)

    # Each check whether an endpoint is still there cost the next request a connection.
    def test_unused_connection_is_kept(self) -> None:
        async def test() -> None:
            server = HttpServer(free_address(), Echo().handle)
            pool = ConnectionPool()
            async with create_task_group() as group:
                group.start_soon(server.serve)
                await until_listening(server.address)
                opened = await pool.open(server.address, 1.0)
                await pool.release(opened, 1.0)
                acquired = await pool.acquire(server.address, 1.0)
                self.assertIs(acquired, opened)
                head = RequestHead(b"GET", b"/", [(b"host", b"x")])
                response = await acquired.exchange(head, b"")
                self.assertEqual(response.status, 200)
                await acquired.close()
                group.cancel_scope.cancel()

        run(test)

    def test_failed_connection_is_not_counted(self) -> None:
        async def test() -> int:
            pool = ConnectionPool()
            with self.assertRaises(PeerClosedError):
                await pool.acquire(free_address(), 1.0)
            return pool.open_count

        self.assertEqual(run(test), 0)


if __name__ == "__main__":
    serve_with_few_descriptors(sys.argv[1])
