"""An agent goes on whatever its engine reports."""

from contextlib import suppress
from random import Random

from anyio import create_task_group, create_tcp_listener, fail_after, run, sleep
from anyio.abc import SocketStream
from nose2.tools import params
from orjson import dumps

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.settings import AgentSettings
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.platform.endpoints import EngineClient
from pistachiolever.wire.codec import encode
from tests.http1.test_sockets import reset
from tests.registry.test_process import make_discarding_logger
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

RESET_SECONDS = 0.05
SOUND = dumps({"born": 7, "waiting": 0, "running": 3, "kvUsed": 1, "kvTotal": 9})
ODD = (
    SOUND[:-1] + b',"runs":[[' + b"[" * 990 + b"]" * 990 + b",1,2]]}",
    SOUND.replace(b'"running":3', b'"running":18446744073709551615'),
    SOUND.replace(b'"kvTotal":9', b'"kvTotal":18446744073709551615'),
    SOUND[:-1] + b',"runs":[["id",1e300,1e300]]}',
    b"[" * 5000,
)


def framed(line: bytes) -> bytes:
    """Return a sound report behind a status line."""
    return line + b"\r\nContent-Length: %d\r\n\r\n%s" % (len(SOUND), SOUND)


UNUSABLE = (
    framed(b"HTTP/1.1 000 X"),
    framed(b"HTTP/1.1 099 X"),
    framed(b"HTTP/1.1 600 X"),
    framed(b"HTTP/1.1 999 X"),
    framed(b"HTTP/1.1 200 OK")[:-1],
    b"HTTP/1.1 200 OK\r\n\r\n" + SOUND[:-1],
)


class UnusableReportTest(CaseTest):
    """An agent takes no response for a report that is none, or a part of one."""

    # MIXED: an engine in trouble sends a status that is none, or a part of a response.
    @params(*UNUSABLE)
    def test_report_is_not_used(self, response: bytes) -> None:
        self.assertIsNone(run(read_report, response, False))

    # MIXED: the same, if the connection of a response without a length is reset.
    def test_reset_report_is_not_used(self) -> None:
        whole = b"HTTP/1.1 200 OK\r\n\r\n" + SOUND
        self.assertEqual(run(read_report, whole, False), 7)
        self.assertIsNone(run(read_report, whole, True))


async def read_report(response: bytes, is_reset: bool) -> int | None:
    """Return the start time in the raw response of an engine, None if it has none."""

    async def serve(stream: SocketStream) -> None:
        """Send the response, and end the connection."""
        await stream.receive()
        await stream.send(response)
        if is_reset:
            await sleep(RESET_SECONDS)
            await reset(stream)
        await stream.aclose()

    address = free_address()
    host, _, port = address.rpartition(":")
    listener = await create_tcp_listener(local_host=host, local_port=int(port))
    born_ms: int | None = None
    with fail_after(5):
        async with create_task_group() as group:
            group.start_soon(listener.serve, serve)
            with suppress(PeerError):
                born_ms = (await EngineClient(address, PeerClient()).report()).born_ms
            group.cancel_scope.cancel()
    return born_ms


class OddReportTest(CaseTest):
    """The agent follows the engine again once its reports can be read."""

    # The agent ended: the error of a decoder escaped, or a number did not fit into the
    # next message.
    @params(*ODD)
    def test_agent_follows_the_next_report(self, odd: bytes) -> None:
        running, load = run(self.follow, odd)
        self.assertEqual(running, 3)
        self.assertTrue(load)

    async def follow(self, odd: bytes) -> tuple[int, bytes]:
        """Return the load that the agent tells after an odd report and a sound one."""
        reports = [SOUND, odd, odd, SOUND.replace(b'"born":7', b'"born":8')]
        address = free_address()
        told: list[bytes] = []

        async def serve(stream: SocketStream) -> None:
            """Send one report for each call, the last one again and again."""
            async with stream:
                await stream.receive()
                body = reports.pop(0) if len(reports) > 1 else reports[0]
                await stream.send(
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
                )

        host, _, port = address.rpartition(":")
        listener = await create_tcp_listener(local_host=host, local_port=int(port))
        probe = EngineClient(address, PeerClient())
        agent = AgentProcess(
            probe, make_discarding_logger("a"), Random(1), Instruments()
        )
        reporter = agent.make_reporter(AgentSettings("a", "north", "127.0.0.1:9"))
        with fail_after(20):
            async with create_task_group() as group:
                group.start_soon(listener.serve, serve)
                group.start_soon(agent.run)
                while agent.engine_born_ms != 8:
                    reporter.member_life = ""
                    if report := reporter.next_report(agent.controller.now()):
                        told.append(encode(report))
                    told.append(encode(agent.controller.load()))
                    await sleep(0.01)
                group.cancel_scope.cancel()
        return agent.controller.load().running, told[-1]
