"""Runs a small deployment on loopback addresses, with stand-ins of the other sides.

The control, router and sidecar processes are started with the commands of the deploy
file. Each machine has a loopback address of its own, so that all have the same ports.
Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ["recife", "fortaleza", "natal"]
HOST = "client.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
# The bounds of the deployment afiar-ne; times in seconds or milliseconds as named.
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
# Ports of all machines; those of outgoing connections begin at 32768.
PEER_PORTS = [7400, 7415]
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
ENGINE_PORT = 8128
# Exit codes of a case; Python itself exits with 1 on an error.
HELD, CANNOT_RUN, BROKEN = 0, 2, 10


class Record:
    """The record of a case: what was sent, answered and run, by time."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self.started_at = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Response:
    """A response as a client received it."""

    def __init__(self) -> None:
        """Start without a status; `end` tells how the response ended."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.end = "none"
        self.last_event = 0

    @property
    def is_whole(self) -> bool:
        """Return whether the response came to its end."""
        return self.end == "whole"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers (lowercase names) of a message."""
    block = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = block[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a request or response with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 10.0,
    on_event=None,
) -> Response:
    """Send a request on a new connection and read its response to the end."""
    response = Response()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1.0
            )
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, response.headers = await read_head(reader)
            response.status = int(first.split()[1])
            await _read_response(reader, response, on_event)
    except TimeoutError:
        response.end = "timeout"
    except ConnectionRefusedError:
        response.end = "refused"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        response.end = f"closed ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()
    return response


async def _read_response(reader, response: Response, on_event) -> None:
    """Read the body of a response; pass the events of a stream on."""
    headers = response.headers
    if headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(headers.get("content-length", "0"))
        response.body = await reader.readexactly(length)
        response.end = "whole"
        return
    buffer = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            response.end = "whole"
            return
        response.body += data
        buffer += data
        while on_event is not None and b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            number = [x for x in event.split(b"\n") if x.startswith(b"id:")]
            response.last_event = int(number[0][3:])
            on_event(event)


class Fleet:
    """The processes of the system, on machines with loopback addresses."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Choose addresses that no other run uses."""
        self.record = record
        self.folder = folder
        self.network = self._free_network()
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.settings_by_name: dict[str, Path] = {}
        self.role_by_name: dict[str, str] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run_by_role = {
            role: entry["run"] for role, entry in deploy["roles"].items()
        }

    def _free_network(self) -> str:
        """Return the first two numbers of addresses that are not in use."""
        while True:
            network = f"127.{random.randrange(16, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{network}.1.1", CONTROL_PORT))
                except OSError:
                    continue
            return network

    def core_ip(self, number: int) -> str:
        """Return the address of a core machine."""
        return f"{self.network}.1.{number}"

    def front_ip(self, number: int) -> str:
        """Return the address of a front machine."""
        return f"{self.network}.2.{number}"

    def engine_ip(self, number: int) -> str:
        """Return the address of an engine's machine."""
        return f"{self.network}.3.{number}"

    def seeds(self) -> list[str]:
        """Return the addresses of the core machines that serve control."""
        return [f"{self.core_ip(n)}:{CONTROL_PORT}" for n in (1, 2, 3)]

    def _settings(self, name: str, ip: str, role: str, number: int) -> str:
        """Return the settings file of a machine."""
        front = role == "router"
        fields = {
            "node": name,
            "role": role,
            "machineClass": {"router": "front", "control": "core"}.get(role, "side"),
            "ip": ip,
            "zone": ZONES[(number - 1) % len(ZONES)],
            "region": "nordeste",
            "portRange": PEER_PORTS,
            "seeds": self.seeds(),
            "bootstrap": True,
            "faultCounted": role == "control",
            "discovery": "register",
            "entry": "vip",
            "heartbeatMs": 1200,
            "configMode": "highest",
        }
        if role == "control":
            fields["dataDir"] = str(self.folder / name / "data")
            (self.folder / name / "data").mkdir(parents=True, exist_ok=True)
        if role == "sidecar":
            fields["app"] = f"{ip}:{ENGINE_PORT}"
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        lines += ["[zones]"] + [f'{zone} = "nordeste"' for zone in ZONES]
        lines.append("[listen]")
        if front:
            lines.append(f'front = "{ip}:{FRONT_PORT}"')
            lines.append(f'ready = "{ip}:{READY_PORT}"')
        if role == "control":
            lines.append(f'control = "{ip}:{CONTROL_PORT}"')
        lines += ["[limits]", "cpuShare = 0.817", "cores = 1", "memoryMb = 300"]
        lines += ["maxFds = 4100", "linkMbps = 1000.0", "diskMb = 128"]
        lines += ["[tolerate]", "machines = 1", "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"

    async def start(self, name: str, ip: str, role: str, number: int = 1) -> None:
        """Start a process with the command of the deploy file."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, ip, role, number))
        self.settings_by_name[name] = path
        self.role_by_name[name] = role
        await self.restart(name)

    async def restart(self, name: str) -> None:
        """Start a process again, with the settings and the disk that it had."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PISTACHIOLEVER_BOOT"] = str(self.settings_by_name[name])
        log = (self.folder / f"{name}.log").open("ab")
        command = shlex.split(self.run_by_role[self.role_by_name[name]])
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.process_by_name[name] = process
        self.record.write(f"start {name} pid {process.pid}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this run started."""
        process = self.process_by_name[name]
        if process.returncode is None:
            self.record.write(f"signal {signal.Signals(number).name} to {name}")
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.process_by_name[name].wait()

    async def stop_all(self) -> None:
        """End all processes."""
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            await process.wait()

    async def start_core(self) -> None:
        """Start the three core machines."""
        for number in (1, 2, 3):
            ip = self.core_ip(number)
            await self.start(f"core-{number}", ip, "control", number)

    async def start_fronts(self, count: int) -> None:
        """Start some front machines."""
        for number in range(1, count + 1):
            ip = self.front_ip(number)
            await self.start(f"front-{number}", ip, "router", number)

    async def put_configuration(
        self, configuration: dict, seconds: float = 30.0, first: int | None = None
    ) -> None:
        """Send a configuration as the operator does, until it is acknowledged."""
        body = json.dumps(configuration).encode()
        ends_at = time.monotonic() + seconds
        number = first or random.randrange(1, 4)
        version = configuration["version"]
        while time.monotonic() < ends_at:
            response = await call(
                f"{self.core_ip(number)}:{CONTROL_PORT}",
                "PUT",
                "/api/config",
                {"Host": "control", "Content-Type": "application/json"},
                body,
                1.0,
            )
            self.record.write(
                f"configuration {version} to core-{number}: "
                f"{response.status} {response.end}"
            )
            if response.is_whole and response.status == 200:
                return
            number = number % 3 + 1
            await asyncio.sleep(0.1)
        raise RuntimeError("no configuration was acknowledged")

    async def wait_ready(self, number: int, seconds: float = 20.0) -> None:
        """Wait until a front machine says that it is ready."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"front-{number} is not ready")

    async def is_ready(self, number: int) -> bool:
        """Ask a front machine whether it is ready."""
        address = f"{self.front_ip(number)}:{READY_PORT}"
        headers = {"Host": "ready"}
        response = await call(address, "GET", "/api/ready", headers, b"", 0.5)
        return response.status == 200


class Engine:
    """A stand-in of an engine: it announces itself and runs requests.

    Subclasses answer requests in `run`. All that it says of itself has `born`.
    """

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        service: str,
        version: str = "v1",
        slots: int = 64,
        endpoint_id: str = "",
        is_model: bool = False,
    ) -> None:
        """Create an engine that is not started."""
        self.fleet, self.record = fleet, fleet.record
        self.number = number
        self.ip = fleet.engine_ip(number)
        self.address = f"{self.ip}:{ENGINE_PORT}"
        self.service, self.version, self.slots = service, version, slots
        self.endpoint_id = endpoint_id or f"i-{random.getrandbits(40):010x}"
        self.is_model = is_model
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.running: dict[str, int] = {}
        self.runs: list[tuple[float, str]] = []
        self.beat_delay = 0.0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._late: set[asyncio.Task] = set()

    @property
    def name(self) -> str:
        """Return the name in the record."""
        return f"engine-{self.number}"

    async def start(self) -> None:
        """Listen and announce the engine."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = {}
        self._server = await asyncio.start_server(
            self._serve, self.ip, ENGINE_PORT, reuse_address=True
        )
        self.record.write(
            f"{self.name} starts: id {self.endpoint_id} version {self.version} "
            f"born {self.born}"
        )
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once: reset the connections and listen no more."""
        self.record.write(f"{self.name} crashes")
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()

    async def _beat(self) -> None:
        """Send heartbeats."""
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    def announcement(self) -> dict:
        """Return what the engine says of itself."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[(self.number - 1) % len(ZONES)],
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        if self.is_model:
            fields["stage"] = "both"
            fields["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return fields

    async def announce(self) -> bool:
        """Send one heartbeat, to further nodes if one doesn't acknowledge it."""
        body = json.dumps(self.announcement()).encode()
        if self.beat_delay:
            task = asyncio.create_task(self._deliver(body, self.beat_delay))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return False
        return await self._deliver(body)

    async def _deliver(self, body: bytes, delay: float = 0.0) -> bool:
        """Bring a heartbeat to the system, possibly late."""
        await asyncio.sleep(delay)
        nodes = random.sample((1, 2, 3), 3)
        for node in nodes:
            response = await call(
                f"{self.fleet.core_ip(node)}:{CONTROL_PORT}",
                "PUT",
                f"/api/instances/{self.endpoint_id}",
                {"Host": "control", "Content-Type": "application/json"},
                body,
                1.0,
            )
            if response.is_whole and 200 <= response.status < 300:
                return True
        return False

    async def _serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if target.startswith("/api/report"):
                    self._report(writer)
                elif target.startswith("/health"):
                    self.respond(writer, 200, {"Instance-Id": self.endpoint_id}, b"")
                elif headers.get("expect-instance", self.endpoint_id) != (
                    self.endpoint_id
                ):
                    self.refuse(writer, headers, 421)
                else:
                    await self.handle(reader, writer, method, target, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self, writer) -> None:
        """Answer a request for the load."""
        runs = [[key, 1000, events, 1] for key, events in self.running.items()]
        fields = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": len(runs),
            "kvUsed": 1000 * len(runs),
            "kvTotal": 357467,
            "handles": 0,
            "state": self.state,
            "nextToken": 0,
            "runs": runs,
            "born": self.born,
        }
        headers = {"Content-Type": "application/json"}
        self.respond(writer, 200, headers, json.dumps(fields).encode())

    def respond(self, writer, status: int, headers: dict, body: bytes) -> None:
        """Send a whole response."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def refuse(self, writer, headers: dict[str, str], status: int) -> None:
        """Say that a request was not run."""
        request_id = headers.get("request-id", "")
        self.record.write(f"{self.name} refuses {request_id} with {status}")
        self.respond(writer, status, {"Request-Id": request_id, "Not-Run": "1"}, b"")

    def stamped(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of an answer of this engine."""
        return {
            "Request-Id": headers.get("request-id", ""),
            "Server-Stamp": f"{self.endpoint_id}.{self.born}",
            "Server-Load": f"{len(self.running)},0,{self.slots}",
        }

    def note_run(self, headers: dict[str, str], what: str = "") -> str:
        """Record that a request begins to run; return its id."""
        request_id = headers.get("request-id", "")
        self.runs.append((self.record.now(), request_id))
        self.record.write(f"{self.name} ({self.version}) runs {request_id} {what}")
        return request_id

    async def handle(self, reader, writer, method, target, headers, body) -> None:
        """Run a request for 90 ms and answer it."""
        request_id = self.note_run(headers)
        self.running[request_id] = 0
        try:
            await asyncio.sleep(0.09)
        finally:
            self.running.pop(request_id, None)
        answer = f"answer of {self.endpoint_id} to {request_id}".encode()
        self.respond(writer, 200, self.stamped(headers), answer)


class StreamEngine(Engine):
    """A stand-in of an engine whose answers are streams of numbered events."""

    events = 40
    gap_seconds = 0.05

    async def handle(self, reader, writer, method, target, headers, body) -> None:
        """Send a stream, from the event after Last-Event-Id on."""
        after = int(headers.get("last-event-id", "0"))
        request_id = self.note_run(headers, f"from event {after + 1}")
        self.running[request_id] = 0
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{key}: {value}" for key, value in self.stamped(headers).items()]
        lines.append("Transfer-Encoding: chunked")
        try:
            await asyncio.sleep(0.05)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(after + 1, self.events + 1):
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.running[request_id] = number
                await asyncio.sleep(self.gap_seconds)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running.pop(request_id, None)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of a configuration; it matches the path /NAME/."""
    entry = {
        "name": f"r-{name}",
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        "targetGapMs": 600,
    }
    return {**entry, **fields}


def model_service(name: str) -> dict:
    """Return a service of model engines."""
    return {
        "name": name,
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


def plain_service(name: str) -> dict:
    """Return a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 110,
        "protocol": "h1",
        "tls": False,
    }


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a whole configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 0,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def request_headers(request_id: str, deadline_ms: int = 4000, **more) -> dict:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **more,
    }


def new_request_id() -> str:
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(64):016x}"


def main(case, folder: Path) -> None:
    """Run a case: exit with 0 if the rule held, 10 if not, 2 if it couldn't run.

    `case` is called with the fleet and whether to make trouble; it returns why the rule
    was broken, empty if it held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    code = CANNOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(record, Path(temporary))

        async def play() -> str:
            try:
                async with asyncio.timeout(110):
                    return await case(fleet, has_trouble)
            finally:
                await fleet.stop_all()

        try:
            broken = asyncio.run(play())
            code = BROKEN if broken else HELD
            record.write(f"broken: {broken}" if broken else "the rule held")
            print(f"broken: {broken}" if broken else "the rule held")
        except Exception as error:  # noqa: BLE001
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        if code == CANNOT_RUN or os.environ.get("KEEP"):
            for log in Path(temporary).glob("*.log"):
                target = Path(os.environ.get("KEEP") or "/dev/null")
                if target.is_dir():
                    (target / log.name).write_bytes(log.read_bytes())
    sys.exit(code)
