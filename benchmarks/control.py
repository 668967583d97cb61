"""Benchmark of a control process: heartbeats, distribution of changes, claims.

Run: python -m benchmarks.control. Bytes are counted at the loopback device, with TCP
and IP headers, so nothing else should use it during a run.
"""

import json
import os
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from anyio import create_task_group, run, sleep
from attrs import evolve
from click import command, option

from benchmarks.relay import (
    Processes,
    apply_declarations,
    cpu_seconds,
    declarations,
    free_address,
    percentile,
    rss_mb,
)
from pistachiolever.cli.const import DEMO_FLEET_SECRET, DEMO_OPERATOR_KEY
from pistachiolever.cli.operator_client import OperatorClient
from pistachiolever.control.operators import ChangeRequest
from pistachiolever.declarations.codec import to_text
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.keys import key_digest
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.wire.const import (
    CLAIM_OPEN_PATH,
    ROUTER_HEARTBEAT_PATH,
    SIDECAR_HEARTBEAT_PATH,
    WATCH_PATH,
)
from pistachiolever.wire.models import (
    AccountService,
    ClaimAnswer,
    ClaimOpen,
    EndpointEntry,
    RouterHeartbeat,
    RouterHeartbeatReply,
    Sender,
    SidecarHeartbeat,
    SidecarHeartbeatReply,
    WatchReply,
    WatchRequest,
)

Figures = dict[str, float]
SendHeartbeat = Callable[[FleetClient, str, int], Coroutine[Any, Any, object]]


def loopback_bytes() -> int:
    """Return the number of bytes that the loopback device has received."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def client_settings(control: str) -> ProcessSettings:
    """Return the settings of the benchmark's clients."""
    return ProcessSettings("load", control, "local", DEMO_FLEET_SECRET, [control])


async def send_sidecar_heartbeat(
    client: FleetClient, control: str, number: int
) -> object:
    """Send a sidecar's heartbeat."""
    entry = EndpointEntry(f"engine-{number}", "planning", "127.0.0.1:1", "local")
    message = SidecarHeartbeat(Sender(f"s-{number}", "i"), entry, 1, 8, 8, True)
    return await client.call(
        control, SIDECAR_HEARTBEAT_PATH, message, SidecarHeartbeatReply
    )


async def send_router_heartbeat(
    client: FleetClient, control: str, number: int
) -> object:
    """Send a router's heartbeat with ten accounts."""
    accounts = [
        AccountService("planning", f"account-{n}", time.time(), True) for n in range(10)
    ]
    message = RouterHeartbeat(
        Sender(f"r-{number}", f"i-{number}"),
        "127.0.0.1:1",
        "local",
        1,
        accounts,
        [],
        "x",
        True,
    )
    return await client.call(
        control, ROUTER_HEARTBEAT_PATH, message, RouterHeartbeatReply
    )


async def measure_heartbeats(
    name: str, send: SendHeartbeat, control: str, pid: int, senders: int
) -> Figures:
    """Return the CPU time and bytes of one kind of heartbeat."""
    rounds = 10
    clients = [FleetClient(client_settings(control)) for _ in range(senders)]
    await _send_all(send, clients, control)
    cpu, wire_bytes = cpu_seconds(pid), loopback_bytes()
    for _ in range(rounds):
        await _send_all(send, clients, control)
    count = rounds * senders
    figures = {
        f"{name}_heartbeat_cpu_us": (cpu_seconds(pid) - cpu) / count * 1e6,
        f"{name}_heartbeat_wire_bytes": (loopback_bytes() - wire_bytes) / count,
    }
    for client in clients:
        await client.close()
    return figures


async def _send_all(
    send: SendHeartbeat, clients: list[FleetClient], control: str
) -> None:
    """Send one heartbeat per client, concurrently."""
    async with create_task_group() as group:
        for number, client in enumerate(clients):
            group.start_soon(send, client, control, number)


@asynccontextmanager
async def open_client(control: str) -> AsyncIterator[FleetClient]:
    """Yield a client that is closed at the end of the block."""
    client = FleetClient(client_settings(control))
    try:
        yield client
    finally:
        await client.close()


async def measure_distribution(control: str, pid: int, watchers: int) -> Figures:
    """Return how long a change takes to reach the watchers, and what it costs."""
    arrivals: list[float] = []
    async with open_client(control) as client:

        async def watch(number: int) -> None:
            """Wait for the next revision."""
            message = WatchRequest(Sender(f"w-{number}", "i"), 1, 60.0)
            reply = await client.call(control, WATCH_PATH, message, WatchReply, 70.0)
            assert reply.revision == 2
            arrivals.append(time.perf_counter())

        async with create_task_group() as group:
            for number in range(watchers):
                group.start_soon(watch, number)
            await sleep(3)
            wire_bytes = loopback_bytes()
            await sleep(5)
            idle = (loopback_bytes() - wire_bytes) / 5
            changed = evolve(declarations(), preset_in_force="ordinary-day")
            operator = OperatorClient((control,), DEMO_OPERATOR_KEY)
            cpu = cpu_seconds(pid)
            started = time.perf_counter()
            operator.apply(ChangeRequest("second", 1, to_text(changed)))
    delays = [at - started for at in arrivals]
    return {
        "watchers": watchers,
        "change_p50_ms": 1e3 * percentile(delays, 0.5),
        "change_p99_ms": 1e3 * percentile(delays, 0.99),
        "change_cpu_us_per_watcher": (cpu_seconds(pid) - cpu) / watchers * 1e6,
        "idle_watcher_bytes_per_second": idle / watchers,
        "control_rss_mb": rss_mb(pid),
    }


async def measure_claims(control: str, claims: int, at_once: int) -> Figures:
    """Return the rate of claims that are committed and synced to disk."""

    async def claim(first: int) -> None:
        """Open every `at_once`-th claim, one after the other."""
        async with open_client(control) as client:
            for n in range(first, claims, at_once):
                message = ClaimOpen(
                    Sender("r", "i"), "a", "s", f"k{n}", "d" * 64, f"{n:032x}"
                )
                await client.call(control, CLAIM_OPEN_PATH, message, ClaimAnswer)

    started = time.perf_counter()
    async with create_task_group() as group:
        for first in range(at_once):
            group.start_soon(claim, first)
    rate = claims / (time.perf_counter() - started)
    return {"claims_per_second": rate, "claims_at_once": at_once}


def disk_syncs_per_second(folder: str, seconds: float = 2.0) -> float:
    """Return the rate of 300-byte writes with fsync, as a baseline for claims."""
    descriptor = os.open(Path(folder) / "bare", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    count = 0
    started = time.perf_counter()
    while time.perf_counter() - started < seconds:
        os.write(descriptor, b"x" * 300)
        os.fsync(descriptor)
        count += 1
    os.close(descriptor)
    return count / seconds


async def measure(senders: int, watchers: int) -> Figures:
    """Start a control process, run all measurements and stop it."""
    with TemporaryDirectory(prefix="pistachiolever-bench-") as folder:
        processes = Processes(folder)
        try:
            control = free_address()
            settings: dict[str, object] = {
                "data_folder": f"{folder}/data",
                "operator_key_sha256": key_digest(DEMO_OPERATOR_KEY),
            }
            processes.start_role("control", "control", control, control, settings)
            await apply_declarations(control)
            pid = processes.by_name["control"].pid
            figures = await measure_heartbeats(
                "sidecar", send_sidecar_heartbeat, control, pid, senders
            )
            figures |= await measure_heartbeats(
                "router", send_router_heartbeat, control, pid, senders
            )
            figures |= await measure_distribution(control, pid, watchers)
            figures["bare_syncs_per_second"] = disk_syncs_per_second(folder)
            figures |= await measure_claims(control, 4000, 64)
            return figures
        finally:
            processes.stop()


@command()
@option("--senders", default=100)
@option("--watchers", default=200)
def main(senders: int, watchers: int) -> None:
    """Print the figures as JSON."""
    figures = run(measure, senders, watchers)
    print(json.dumps({name: round(value, 2) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
