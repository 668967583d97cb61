"""Starts a small deployment on loopback addresses and keeps a record.

Control, routers and sidecars are the project's own programs, started as separate
processes with the commands of the deploy file. The platform, the operator, the engines
and the clients are small stand-ins in this process.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("recife", "fortaleza", "natal")
CAN_NOT_RUN = 2


class CannotRunError(Exception):
    """The deployment did not come up, so the case says nothing."""


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record."""
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", file=self.file)
        self.file.flush()


def free_port(addresses: list[str], count: int = 1) -> int:
    """Return the first of some ports in a row that are free at all addresses."""
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        sockets = []
        try:
            for address in addresses:
                for number in range(port, port + count):
                    one = socket.socket()
                    sockets.append(one)
                    one.bind((address, number))
            return port
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRunError("no free ports")


class Process:
    """One process of the system on its own loopback address."""

    def __init__(self, rig: "Rig", role: str, name: str, ip: str, zone: str) -> None:
        """Make the folder of the process; it is not started yet."""
        self.rig, self.role, self.name, self.ip, self.zone = rig, role, name, ip, zone
        self.folder = rig.folder / name
        self.folder.mkdir()
        self.popen: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.app = ""

    def settings(self) -> dict:
        """Return the settings that the platform writes at each start."""
        rig = self.rig
        listen = {}
        if self.role == "router":
            listen = {
                "front": f"{self.ip}:{rig.front_port}",
                "ready": f"{self.ip}:{rig.ready_port}",
            }
        if self.role == "control":
            listen = {"control": f"{self.ip}:{rig.control_port}"}
        fields = {
            "node": self.name,
            "role": self.role,
            "machineClass": {"router": "front", "control": "core"}.get(
                self.role, "side"
            ),
            "serves": [
                {"router": "front", "sidecar": "side"}.get(self.role, "control")
            ],
            "ip": self.ip,
            "zone": self.zone,
            "region": "nordeste",
            "portRange": [rig.peer_port, rig.peer_port + 3],
            "seeds": rig.seeds,
            "bootstrap": self.starts == 0,
            "faultCounted": self.role == "control",
            "discovery": "register",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
            ],
            "configMode": "highest",
        }
        if self.role == "control":
            fields["dataDir"] = str(self.folder / "data")
        if self.role == "sidecar":
            fields["app"], fields["service"] = self.app, "modelo"
        memory = {"router": 150, "control": 296}.get(self.role, 232)
        tables = {
            "zones": {zone: "nordeste" for zone in ZONES},
            "listen": listen,
            "limits": {
                "cpuShare": 0.86,
                "cores": 1,
                "memoryMb": memory,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if self.role == "control" else 0,
            },
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        return {**fields, **tables}

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / "local.toml"
        path.write_text(to_toml(self.settings()))
        self.starts += 1
        if self.role == "control":
            (self.folder / "data").mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PISTACHIOLEVER_BOOT": str(path),
        }
        log = (self.folder / "log.txt").open("ab")
        self.popen = subprocess.Popen(
            ["python3", "-m", "pistachiolever.platform.main", self.role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.rig.record(f"platform starts {self.name} (start {self.starts})")

    def signal(self, number: int) -> None:
        """Send a signal; wait for the end after SIGKILL."""
        assert self.popen is not None
        self.rig.record(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.popen.send_signal(number)
        if number == signal.SIGKILL:
            self.popen.wait()

    def rss_mb(self) -> float:
        """Return the memory in use, in MB."""
        assert self.popen is not None
        text = Path(f"/proc/{self.popen.pid}/status").read_text()
        lines = [line for line in text.splitlines() if line.startswith("VmRSS")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self.folder / "log.txt").read_text(errors="replace")


BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
    "quotaWindowS": 4,
}

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "fala",
            "host": "site.example",
            "pathPrefix": "/fala/",
            "kind": "stream",
            "timeoutMs": 10000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": "modelo",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 600,
        }
    ],
    "services": [
        {
            "name": "modelo",
            "healthPath": "/health",
            "maxConns": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 357467,
                "kvTokenBytes": 18432,
                "linkMbps": 370000.0,
                "moves": True,
                "backups": True,
                "stride": 7,
                "most": 12,
                "pinMs": 4000.0,
                "holdMs": 2000.0,
                "handleTtlS": 5.0,
                "models": [{"name": "m"}],
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
        "tokensPerS": 900000,
    },
    "tenants": [{"name": "t1", "apiKeys": ["key-1"], "priority": 1}],
}


def to_toml(fields: dict) -> str:
    """Return the settings as TOML."""
    plain = [
        f"{k} = {json.dumps(v)}" for k, v in fields.items() if not isinstance(v, dict)
    ]
    for name, table in fields.items():
        if isinstance(table, dict):
            plain.append(f"[{name}]")
            plain += [f"{k} = {json.dumps(v)}" for k, v in table.items()]
    return "\n".join(plain) + "\n"


class Rig:
    """A deployment; the addresses are drawn anew for each run."""

    def __init__(
        self,
        record: Record,
        controls: int,
        routers: int,
        sidecars: int,
        router_zones: tuple[str, ...] = ZONES,
    ) -> None:
        """Choose the addresses and ports."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        core = [f"{net}.{10 + i}" for i in range(controls)]
        front = [f"{net}.{50 + i}" for i in range(routers)]
        side = [f"{net}.{100 + i}" for i in range(sidecars)]
        self.addresses = core + front + side
        self.net = net
        base = free_port(self.addresses, 8)
        self.peer_port, self.front_port, self.ready_port = base, base + 4, base + 5
        self.control_port, self.app_port = base + 6, base + 7
        self.seeds = [f"{ip}:{self.control_port}" for ip in core[:3]]
        self.controls = [
            Process(self, "control", f"core-{i + 1}", ip, ZONES[i % 3])
            for i, ip in enumerate(core)
        ]
        self.routers = [
            Process(
                self,
                "router",
                f"front-{i + 1}",
                ip,
                router_zones[i % len(router_zones)],
            )
            for i, ip in enumerate(front)
        ]
        self.sidecars = [
            Process(self, "sidecar", f"side-{i + 1}", ip, ZONES[i % 3])
            for i, ip in enumerate(side)
        ]
        for process in self.sidecars:
            process.app = f"{process.ip}:{self.app_port}"

    @property
    def processes(self) -> list[Process]:
        """Return all processes of the system."""
        return self.controls + self.routers + self.sidecars

    def control_addresses(self) -> list[tuple[str, int]]:
        """Return where operators and engines call."""
        return [(process.ip, self.control_port) for process in self.controls]

    def start(self) -> None:
        """Start all processes."""
        for process in self.processes:
            process.start()

    def stop(self) -> None:
        """End all processes and remove their folders."""
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    async def configure(self, document: dict, seconds: float = 20.0) -> float:
        """Send a configuration as the operator does until it is acknowledged."""
        body = json.dumps(document).encode()
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for host, port in random.sample(
                self.control_addresses(), len(self.controls)
            ):
                status, _ = await call(host, port, "PUT", "/api/config", body)
                if status == 200:
                    self.record(f"operator: version {document['version']} acknowledged")
                    return time.monotonic()
            await asyncio.sleep(0.1)
        raise CannotRunError("no acknowledgement of the configuration")

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all routers answer the platform's check with 200."""
        ends_at = time.monotonic() + seconds
        waiting = list(self.routers)
        while waiting:
            if time.monotonic() > ends_at:
                raise CannotRunError("a router is not ready")
            for router in list(waiting):
                status, _ = await call(router.ip, self.ready_port, "GET", "/api/ready")
                if status == 200:
                    waiting.remove(router)
            await asyncio.sleep(0.1)
        self.record("platform: all routers are ready")


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    seconds: float = 1.0,
) -> tuple[int, bytes]:
    """Make one call as the operator or an engine does; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, port)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            data = await reader.read()
            head_bytes, _, rest = data.partition(b"\r\n\r\n")
            return int(head_bytes.split(b" ", 2)[1]), rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def run_case(main) -> None:
    """Run a case and exit as the review asks: 1 broken, 0 held, 2 could not run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ["TROUBLE"] != "0"
    code = CAN_NOT_RUN
    try:
        broken = asyncio.run(main(record, trouble))
        code = 1 if broken else 0
        record("the rule was broken" if broken else "the rule held")
    except CannotRunError as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
    sys.exit(code)
