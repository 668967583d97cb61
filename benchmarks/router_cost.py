"""Processor time of a request at a whole router, by kind of request.

Run: python -m benchmarks.router_cost. The router is a process of its own; its engines,
their agents and the callers run in this one. The load uses only loopback. `--base`
names another checkout, whose router is measured in turn with this one's. `--profile`
prints the functions of the router that took most time.
"""

import asyncio
import cProfile
import os
import pstats
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from socket import socket
from typing import Any, Final, cast

from absl import logging
from anyio import create_task_group, current_time, run, sleep
from attrs import define, field, frozen
from click import ClickException, command, option

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.admission.models import EngineReport
from pistachiolever.core import clock
from pistachiolever.core.clock import wall_ms
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.logger import make_log_writer
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.server import HttpServer
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import (
    EngineCapacity,
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable

ROOT: Final = Path(__file__).parents[1]
ENDPOINTS: Final = 12
WARM_UP_REQUESTS: Final = 60
EVENT_BYTES: Final = 65
PROFILED_FUNCTIONS: Final = 45
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
SERVICES: Final = [WeightedService("engines", 1.0)]
ROUTES: Final = [
    ProxyRoute("stream", "x", "/stream/", RequestKind.STREAM, SERVICES, 12, 1, 0, 2),
    ProxyRoute(
        "resumable",
        "x",
        "/resumable/",
        RequestKind.STREAM,
        SERVICES,
        12,
        1,
        0,
        2,
        resumable=True,
    ),
    ProxyRoute(
        "plain",
        "x",
        "/plain/",
        RequestKind.IDEMPOTENT,
        [WeightedService("desk", 1.0)],
        12,
        1,
        0,
        2,
    ),
]
CONFIGURATION: Final = ProxyConfiguration(
    1,
    ROUTES,
    [
        ProxyService("engines", engine=EngineCapacity(64, 500_000, 7)),
        ProxyService("desk"),
    ],
    [ProxyAccount("one", ["key"])],
    tokens_per_second=1e9,
)


@frozen
class Load:
    """A kind of request: its path, events of the response, bytes of the body."""

    name: str
    path: bytes
    events: int
    body_bytes: int
    keeps_connection: bool = True
    status: int = 200


LOADS: Final = [
    Load("stream of 55 events, body of 12 kB", b"/resumable/1", 55, 12_000),
    Load("stream of 42 events", b"/stream/1", 42, 830),
    Load("stream of 3 events", b"/resumable/1", 3, 2_400),
    Load("plain response of 800 bytes", b"/plain/1", 0, 0),
    Load("the same, a connection each", b"/plain/1", 0, 0, False),
    Load("refused, unknown path", b"/none/1", 0, 830, status=404),
]


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free now."""
    probes = [socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time that a process has used."""
    fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e9


# The router.


async def run_router(arguments: str) -> None:
    """Run a router until standard input ends."""
    front, ready, engines, desk = arguments.split()
    output = make_log_writer("router", wall_ms)
    settings = GatewaySettings(
        "router", "north", front, ready, "/ready", 8, 0.2, 10, 50
    )
    client = PeerClient()
    view = FleetView(
        settings,
        lambda _: CONFIGURATION,
        client,
        output.logger,
        Random(1),
        # The base may be older than that clock.
        getattr(clock, "loop_time", current_time),
    )
    view.table = RouteTable(CONFIGURATION)
    view.update_router_count(1)
    watcher = RegistryWatcher(
        MemberChoice("router", "north", list), client, view, output.logger
    )
    announcements = [
        Announcement(
            f"e{number}",
            1,
            1,
            EndpointState.READY,
            "engines",
            pair.split("/")[0],
            "north",
            64,
            version="v1",
            agent=pair.split("/")[1],
        )
        for number, pair in enumerate(engines.split(","))
    ]
    announcements.append(
        Announcement(
            "d", 1, 1, EndpointState.READY, "desk", desk, "north", 64, version="v1"
        )
    )
    view.apply_announcements(announcements)
    process = GatewayProcess(settings, HeaderFormat(), view, watcher)
    loop = asyncio.get_running_loop()
    async with create_task_group() as group:
        group.start_soon(output.run)
        group.start_soon(process.run)
        await loop.run_in_executor(None, sys.stdin.read)
        group.cancel_scope.cancel()


def profile_router(arguments: str) -> None:
    """Run a router under the profiler; print its functions to standard error."""
    profiler = cProfile.Profile(time.thread_time)
    profiler.enable()
    run(run_router, arguments, backend_options={"use_uvloop": True})
    profiler.disable()
    stats = pstats.Stats(profiler, stream=sys.stderr)
    stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)
    stats.sort_stats("cumtime").print_stats(PROFILED_FUNCTIONS)


# Engines, agents and callers.


class IdleProbe:
    """An engine that started as announced and lists no runs."""

    async def report(self) -> EngineReport:
        """Return the report."""
        return EngineReport(1, 1, 0, 0, 0)


class Engine(asyncio.Protocol):
    """Answers each request with events, as many as its path's header asks for."""

    transport: asyncio.Transport
    data: bytes = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # Not a subclass of asyncio's in uvloop.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer each whole request."""
        self.data += data
        while b"\r\n\r\n" in self.data:
            head, _, rest = self.data.partition(b"\r\n\r\n")
            values = {
                name.lower(): value.strip()
                for name, _, value in (
                    line.partition(b":") for line in head.split(b"\r\n")[1:]
                )
            }
            length = int(values.get(b"content-length", b"0"))
            if len(rest) < length:
                return
            self.data = rest[length:]
            self.respond(values[b"x-request-id"], int(values[b"x-events"]))

    def respond(self, request_id: bytes, events: int) -> None:
        """Send the head, then an event in each further turn of the loop."""
        head = (
            b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %s\r\n"
            b"X-Load: 3,0,64\r\nKeep-Alive: timeout=15\r\n" % request_id
        )
        if not events:
            body = b"x" * 800
            self.transport.write(head + b"Content-Length: 800\r\n\r\n" + body)
            return
        self.transport.write(
            head + b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self.send_event(1, events)

    def send_event(self, number: int, events: int) -> None:
        """Send one event, and the next ones later."""
        if number > events:
            self.transport.write(b"0\r\n\r\n")
            return
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        loop = asyncio.get_running_loop()
        loop.call_later(0.003, self.send_event, number + 1, events)


@define
class Caller:
    """Sends requests to a router one after the other."""

    address: str
    load: Load
    number: int = 0
    count_by_status: dict[int, int] = field(factory=dict)
    stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self) -> None:
        """Send one request and read its response."""
        if self.stream is None:
            host, _, port = self.address.rpartition(":")
            self.stream = await asyncio.open_connection(host, int(port))
        reader, writer = self.stream
        self.number += 1
        load = self.load
        writer.write(
            b"POST %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %x-%d\r\nX-Events: %d\r\n"
            b"X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
            b"X-Prompt-Parts: %x:800,a%d:660\r\nAuthorization: Bearer key\r\n"
            b"X-Deadline-Ms: 12000\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (
                load.path,
                id(self),
                self.number,
                load.events,
                self.number % 300,
                self.number,
                load.body_bytes,
                b"y" * load.body_bytes,
            )
        )
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        self.count_by_status[status] = self.count_by_status.get(status, 0) + 1
        if b"chunked" in head:
            await reader.readuntil(b"0\r\n\r\n")
        else:
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            await reader.readexactly(length)
        if not load.keeps_connection or b"connection: close" in head.lower():
            writer.close()
            self.stream = None


@define
class Measurement:
    """Routers of some checkouts before one set of engines and agents."""

    engine_addresses: list[str] = field(factory=list)

    async def serve(self, group: Any) -> None:
        """Start the engines and their agents."""
        loop = asyncio.get_running_loop()
        for _ in range(ENDPOINTS):
            engine, agent = free_addresses(2)
            host, _, port = engine.rpartition(":")
            await loop.create_server(Engine, host, int(port))
            output = make_log_writer("agent", wall_ms)
            process = AgentProcess(IdleProbe(), output.logger, Random(1))
            group.start_soon(process.run)
            group.start_soon(HttpServer(agent, process.api().handle).serve)
            self.engine_addresses.append(f"{engine}/{agent}")
        desk = free_addresses(1)[0]
        host, _, port = desk.rpartition(":")
        await loop.create_server(Engine, host, int(port))
        self.engine_addresses.append(desk)

    async def start_router(
        self, tree: Path, profile: bool
    ) -> tuple["subprocess.Popen[bytes]", str]:
        """Start the router of a checkout; return the process and its address."""
        front, ready = free_addresses(2)
        engines, desk = ",".join(self.engine_addresses[:-1]), self.engine_addresses[-1]
        arguments = ["--router", f"{front} {ready} {engines} {desk}"]
        process = subprocess.Popen(
            [sys.executable, str(Path(__file__)), *arguments]
            + (["--profile"] if profile else []),
            cwd=tree,
            env={**os.environ, "PYTHONPATH": str(tree)},
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
        )
        host, _, port = front.rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await sleep(0.05)
                continue
            writer.close()
            return process, front

    async def measure(
        self, pid: int, address: str, load: Load, requests: int, callers: int
    ) -> tuple[float, float]:
        """Return the processor milliseconds of a request, and its median wall ones."""
        senders = [Caller(address, load) for _ in range(callers)]
        times: list[float] = []

        async def send_all(sender: Caller, count: int) -> None:
            for _ in range(count):
                started_at = current_time()
                await sender.send()
                times.append(current_time() - started_at)

        async with create_task_group() as group:
            for sender in senders:
                group.start_soon(send_all, sender, WARM_UP_REQUESTS // callers)
        before = cpu_seconds(pid)
        times.clear()
        async with create_task_group() as group:
            for sender in senders:
                group.start_soon(send_all, sender, requests // callers)
        spent = cpu_seconds(pid) - before
        for sender in senders:
            if sender.stream is not None:
                sender.stream[1].close()
        unexpected = {
            status
            for sender in senders
            for status in sender.count_by_status
            if status != load.status
        }
        if unexpected:
            raise ClickException(f"{load.name}: answered {sorted(unexpected)}")
        return 1000 * spent / len(times), 1000 * sorted(times)[len(times) // 2]


async def measure_all(trees: list[Path], requests: int, profile: bool) -> None:
    """Measure the routers of some checkouts in turn, and print a table."""
    measurement = Measurement()
    async with create_task_group() as group:
        await measurement.serve(group)
        routers = [await measurement.start_router(tree, profile) for tree in trees]
        for load in LOADS:
            cells: list[str] = []
            first: float | None = None
            for process, address in routers:
                cost, median = await measurement.measure(
                    process.pid, address, load, requests, 8
                )
                first = first or cost
                cells.append(
                    f"{cost:.2f} ms, ratio {cost / first:.2f}, took {median:.1f} ms"
                )
            print(f"| {load.name} | {' | '.join(cells)} |", flush=True)
        for process, _ in routers:
            before, started_at = cpu_seconds(process.pid), current_time()
            await sleep(3)
            share = (cpu_seconds(process.pid) - before) / (current_time() - started_at)
            print(f"| idle | {100 * share:.2f} % of a core |", flush=True)
            process.communicate()
        group.cancel_scope.cancel()


@command()
@option("--base", type=Path, help="A checkout to compare with, measured first.")
@option("--requests", default=800, help="Requests of each kind.")
@option("--profile", is_flag=True, help="Profile the router.")
@option("--router", default="", hidden=True)
def main(base: Path | None, requests: int, profile: bool, router: str) -> None:
    """Measure the processor time of requests at a router."""
    logging.set_verbosity(logging.INFO)
    if router and profile:
        profile_router(router)
        return
    uvloop_options = {"use_uvloop": True}
    if router:
        run(run_router, router, backend_options=uvloop_options)
        return
    trees = [tree.resolve() for tree in ([base] if base else [])] + [ROOT]
    run(measure_all, trees, requests, profile, backend_options=uvloop_options)


if __name__ == "__main__":
    main()
