"""CPU time per relayed event of the router and of a bare hypercorn-httpx relay.

Run: python -m benchmarks.relay. Both relays run as processes in the same run, with the
same source of events; their CPU time is read from /proc. The load uses only loopback.
"""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final

from anyio import create_task_group, run, sleep
from attrs import define, field
from click import command, option
from httpx import AsyncClient, Limits, Timeout

from pistachiolever.cli.const import DEMO_FLEET_SECRET, DEMO_OPERATOR_KEY
from pistachiolever.declarations.codec import to_text
from pistachiolever.declarations.models import (
    Account,
    CostRule,
    Declarations,
    Preset,
    Service,
    ServiceKind,
)
from pistachiolever.edge.keys import key_digest

ROOT: Final = Path(__file__).parents[1]
KEY: Final = "benchmark-key"
SIDECARS: Final = 4
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")


def free_address() -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def declarations() -> Declarations:
    """Return declarations whose limits admit all streams at once."""
    service = Service(
        "planning", ServiceKind.MODEL, True, "m", CostRule(0.1, 1.0, 1.0), 4096, 4096
    )
    preset = Preset("ordinary-day", queue_count_per_account=5000)
    account = Account("bench", [key_digest(KEY)], ["planning"])
    return Declarations([account], [service], presets=[preset])


@define
class Processes:
    """The processes of one measurement."""

    folder: str
    by_name: dict[str, "subprocess.Popen[bytes]"] = field(factory=dict)

    def start(self, name: str, arguments: list[str]) -> None:
        """Start a Python module as a process."""
        log = Path(self.folder) / f"{name}.log"
        with log.open("ab") as output:
            self.by_name[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def start_role(
        self,
        role: str,
        name: str,
        address: str,
        control: str,
        settings: dict[str, object],
    ) -> None:
        """Write the settings of a fleet process and start it."""
        document = {
            "process_id": name,
            "address": address,
            "failure_domain": "local",
            "fleet_secret": DEMO_FLEET_SECRET,
            "control_addresses": [control],
            role: settings,
        }
        path = Path(self.folder) / f"{name}.json"
        path.write_text(json.dumps(document))
        self.start(name, ["pistachiolever", role, "--settings", str(path)])

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.by_name.values():
            process.kill()
            process.wait()


@define
class StreamResult:
    """Events that the callers received; times are in seconds.

    `delays` are the gaps between chunks minus the interval at the source.
    """

    events: int = 0
    first_chunk_seconds: list[float] = field(factory=list)
    delays: list[float] = field(factory=list)


async def read_stream(
    http: AsyncClient, url: str, tokens: int, step: float, result: StreamResult
) -> None:
    """Read one answer; record when its chunks arrive against the source's rate."""
    started = time.perf_counter()
    body = {"service": "planning", "input": f"tokens={tokens} {started}"}
    headers = {"authorization": f"Bearer {KEY}"}
    last = 0.0
    async with http.stream("POST", url, json=body, headers=headers) as response:
        async for data in response.aiter_raw():
            count = data.count(b'"text"')
            if not count:
                continue
            now = time.perf_counter()
            result.events += count
            if last == 0.0:
                result.first_chunk_seconds.append(now - started)
            else:
                result.delays.append(now - last - step)
            last = now


async def generate_load(
    address: str, streams: int, tokens: int, step: float
) -> StreamResult:
    """Read many answers concurrently."""
    result = StreamResult()
    limits = Limits(max_connections=streams + 1)
    url = f"http://{address}/v1/requests"
    async with (
        AsyncClient(trust_env=False, timeout=Timeout(120), limits=limits) as http,
        create_task_group() as group,
    ):
        for _ in range(streams):
            group.start_soon(read_stream, http, url, tokens, step, result)
            await sleep(step / streams)
    return result


async def wait_for(address: str, path: str, headers: dict[str, str]) -> None:
    """Wait until a path of a process responds with 200."""
    async with AsyncClient(trust_env=False) as http:
        for _ in range(300):
            try:
                response = await http.get(f"http://{address}{path}", headers=headers)
                if response.status_code == 200:
                    return
            except Exception:
                pass
            await sleep(0.1)
    raise RuntimeError(f"{address}{path} did not become ready")


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of a non-empty list."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def sidecar_seconds(processes: Processes) -> float:
    """Return the CPU time of all sidecars."""
    return sum(
        cpu_seconds(process.pid)
        for name, process in processes.by_name.items()
        if name.startswith("sidecar")
    )


async def apply_declarations(control: str) -> None:
    """Apply the benchmark's declarations, with retries."""
    headers = {"authorization": f"Bearer {DEMO_OPERATOR_KEY}"}
    change = {
        "change_id": "bench",
        "base_revision": 0,
        "document": to_text(declarations()),
    }
    async with AsyncClient(trust_env=False, headers=headers) as http:
        for _ in range(100):
            try:
                response = await http.post(f"http://{control}/ops/apply", json=change)
                if response.status_code == 200:
                    return
            except Exception:
                pass
            await sleep(0.1)


async def measure(streams: int, tokens: int, step: float) -> dict[str, float]:
    """Run the comparison in a temporary folder and stop its processes."""
    with TemporaryDirectory(prefix="pistachiolever-bench-") as folder:
        processes = Processes(folder)
        try:
            return await run_comparison(processes, streams, tokens, step)
        finally:
            processes.stop()


async def run_comparison(
    processes: Processes, streams: int, tokens: int, step: float
) -> dict[str, float]:
    """Start all processes, load one relay after the other and compare them."""
    source, bare, control, router = (free_address() for _ in range(4))
    processes.start(
        "source",
        ["benchmarks.source", "--address", source, "--step-seconds", str(step)],
    )
    processes.start(
        "bare", ["benchmarks.bare_relay", "--address", bare, "--source", source]
    )
    processes.start_role(
        "control",
        "control",
        control,
        control,
        {
            "data_folder": f"{processes.folder}/data",
            "operator_key_sha256": key_digest(DEMO_OPERATOR_KEY),
        },
    )
    await wait_for(source, "/health", {})
    await wait_for(bare, "/health", {})
    await apply_declarations(control)
    for number in range(SIDECARS):
        processes.start_role(
            "sidecar",
            f"sidecar-{number}",
            free_address(),
            control,
            {
                "endpoint_id": f"engine-{number}",
                "service_id": "planning",
                "endpoint_url": f"http://{source}",
            },
        )
    processes.start_role("router", "router", router, control, {})
    await wait_for(router, "/ready", {})
    await sleep(3)
    idle = {name: rss_mb(p.pid) for name, p in processes.by_name.items()}
    results: dict[str, float] = {}
    for name, address in (("bare", bare), ("router", router)):
        await generate_load(address, streams // 4, tokens, step)
        pid = processes.by_name[name].pid
        before = cpu_seconds(pid)
        sidecars_before = sidecar_seconds(processes)
        result = await generate_load(address, streams, tokens, step)
        results[f"{name}_us_per_event"] = (
            (cpu_seconds(pid) - before) / result.events * 1e6
        )
        results[f"{name}_events"] = result.events
        results[f"{name}_first_part_p95_ms"] = 1e3 * percentile(
            result.first_chunk_seconds, 0.95
        )
        results[f"{name}_late_p95_ms"] = 1e3 * percentile(result.delays, 0.95)
        if name == "router":
            used = sidecar_seconds(processes) - sidecars_before
            results["sidecar_us_per_event"] = used / result.events * 1e6
    results["cpu_ratio"] = results["router_us_per_event"] / results["bare_us_per_event"]
    results["added_gap_p95_ms"] = (
        results["router_late_p95_ms"] - results["bare_late_p95_ms"]
    )
    for name in ("router", "sidecar-0", "control", "bare"):
        results[f"{name}_idle_rss_mb"] = idle[name]
    return results


@command()
@option("--streams", default=200)
@option("--tokens", default=100)
@option("--step-seconds", default=0.044)
def main(streams: int, tokens: int, step_seconds: float) -> None:
    """Run the comparison and print it as JSON."""
    results = run(measure, streams, tokens, step_seconds)
    print(json.dumps({name: round(value, 3) for name, value in results.items()}))


if __name__ == "__main__":
    main()
