"""Control as a process: heartbeats, distribution of changes, claims on disk.

Run: python -m benchmarks.control. Bytes are those of the loopback device, with
TCP and IP headers, so nothing else should use it meanwhile.
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
    cpu_seconds,
    declarations,
    declare,
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
Beat = Callable[[FleetClient, str, int], Coroutine[Any, Any, object]]


def loopback_bytes() -> int:
    """Return the bytes that the loopback device has carried."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = line.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[0])
    return 0


def client_settings(control: str) -> ProcessSettings:
    """Return the settings of the load."""
    return ProcessSettings("load", control, "local", DEMO_FLEET_SECRET, [control])


async def sidecar_beat(client: FleetClient, control: str, number: int) -> object:
    """Send a sidecar's heartbeat."""
    entry = EndpointEntry(f"engine-{number}", "planning", "127.0.0.1:1", "local")
    message = SidecarHeartbeat(Sender(f"s-{number}", "i"), entry, 1, 8, 8, True)
    return await client.call(
        control, SIDECAR_HEARTBEAT_PATH, message, SidecarHeartbeatReply
    )


async def router_beat(client: FleetClient, control: str, number: int) -> object:
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


async def measure_beats(
    name: str, beat: Beat, control: str, pid: int, senders: int
) -> Figures:
    """Return CPU and bytes of one kind of heartbeat."""
    rounds = 10
    clients = [FleetClient(client_settings(control)) for _ in range(senders)]
    await _all(beat, clients, control)
    cpu, wire = cpu_seconds(pid), loopback_bytes()
    for _ in range(rounds):
        await _all(beat, clients, control)
    count = rounds * senders
    figures = {
        f"{name}_heartbeat_cpu_us": (cpu_seconds(pid) - cpu) / count * 1e6,
        f"{name}_heartbeat_wire_bytes": (loopback_bytes() - wire) / count,
    }
    for client in clients:
        await client.close()
    return figures


async def _all(beat: Beat, clients: list[FleetClient], control: str) -> None:
    """Send a heartbeat of each sender at once, each on its own connection."""
    async with create_task_group() as group:
        for number, client in enumerate(clients):
            group.start_soon(beat, client, control, number)


@asynccontextmanager
async def open_client(control: str) -> AsyncIterator[FleetClient]:
    """Open a client and close it after some work."""
    client = FleetClient(client_settings(control))
    try:
        yield client
    finally:
        await client.close()


async def measure_distribution(control: str, pid: int, watchers: int) -> Figures:
    """Return the time from a change to its arrival at all who watch."""
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
            wire = loopback_bytes()
            await sleep(5)
            idle = (loopback_bytes() - wire) / 5
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
    """Return the claims a second that are committed and synced."""

    async def claim(first: int) -> None:
        """Claim one after the other."""
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


def bare_syncs_per_second(folder: str, seconds: float = 2.0) -> float:
    """Return how often a loop can write 300 bytes and sync them."""
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
    """Start control, measure everything, and end it."""
    with TemporaryDirectory(prefix="pistachiolever-bench-") as folder:
        processes = Processes(folder)
        try:
            control = free_address()
            settings: dict[str, object] = {
                "data_folder": f"{folder}/data",
                "operator_key_sha256": key_digest(DEMO_OPERATOR_KEY),
            }
            processes.start_role("control", "control", control, control, settings)
            await declare(control)
            pid = processes.by_name["control"].pid
            figures = await measure_beats(
                "sidecar", sidecar_beat, control, pid, senders
            )
            figures |= await measure_beats("router", router_beat, control, pid, senders)
            figures |= await measure_distribution(control, pid, watchers)
            figures["bare_syncs_per_second"] = bare_syncs_per_second(folder)
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
