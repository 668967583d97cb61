"""A small deployment on loopback addresses, for the scripts of the second review.

The control, router and sidecar processes run with the commands of the deploy file, each
machine on a loopback address of its own. Engines and clients are stand-ins in the
process of the script. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent
ZONES = ("kolkata-dock", "haldia-yard", "dankuni-icd")
HOST = "ports.example"
KEY = "asnmgkcuyj8pjbvk9m68"
CONTROL, FRONT, READY, PEER, APP = 8785, 8783, 8780, 7400, 8128
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Bounds of the deployment bcea-pistachio.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54,
    "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "quotaWindowS": 4,
}  # fmt: skip
LIMITS = {
    "core": {"cpuShare": 1.0, "cores": 2, "memoryMb": 296, "maxFds": 4096,
             "linkMbps": 1000.0, "diskMb": 128},
    "front": {"cpuShare": 0.817, "cores": 1, "memoryMb": 300, "maxFds": 4100,
              "linkMbps": 1000.0, "diskMb": 0},
    "side": {"cpuShare": 0.86, "cores": 1, "memoryMb": 232, "maxFds": 4096,
             "linkMbps": 2000.0, "diskMb": 0},
}  # fmt: skip
ROLE = {"core": "control", "front": "router", "side": "sidecar"}


class CannotRunError(Exception):
    """The case could not be set up."""


class Answer:
    """What a client got; `end` is `whole`, `cut`, `refused` or `timeout`."""

    def __init__(self):
        """Start without a status."""
        self.status, self.headers, self.body, self.end = 0, {}, b"", "cut"


async def read_head(reader):
    """Return the first line and the headers (lowercase names) of a message."""
    block = await reader.readuntil(b"\r\n\r\n")
    first, *lines = block.decode("latin-1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Yield the chunks of a body up to its end."""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield data


async def ask(address, method, path, headers=None, body=b"", seconds=10.0, sink=None):
    """Send a request on a new connection; return the answer."""
    answer, writer = Answer(), None
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": HOST, **(headers or {})}
            if body or method != "GET":
                fields["Content-Length"] = str(len(body))
            lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(lines) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])
            if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                async for data in read_chunks(reader):
                    answer.body += data
                    if sink is not None:
                        sink(data)
            else:
                length = int(answer.headers.get("content-length", "0"))
                answer.body = await reader.readexactly(length)
            answer.end = "whole"
    except TimeoutError:
        answer.end = "timeout"
    except ConnectionRefusedError:
        answer.end = "refused"
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        answer.end = "cut"
    finally:
        if writer is not None:
            writer.close()
    return answer


class Rig:
    """The processes, their folder and the record of one run."""

    def __init__(self, record_path):
        """Choose free addresses and a temporary folder."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started = time.monotonic()
        self.file = record_path.open("w")
        self.network = self._free_network()
        self.processes, self.settings, self.kind = {}, {}, {}
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.commands = {role: entry["run"] for role, entry in deploy["roles"].items()}

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started

    def note(self, text):
        """Write a line to the record."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    @staticmethod
    def _free_network():
        """Return the first half of addresses that nothing uses."""
        for _ in range(100):
            network = f"127.{random.randrange(16, 250)}"
            try:
                for part in (1, 2, 3):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{part}.1", PEER))
            except OSError:
                continue
            return network
        raise CannotRunError("no free addresses")

    def ip(self, kind, number):
        """Return the address of a machine."""
        part = {"core": 1, "front": 2, "side": 3}[kind]
        return f"{self.network}.{part}.{number}"

    def front(self, number):
        """Return where clients reach a front machine."""
        return f"{self.ip('front', number)}:{FRONT}"

    def _settings_text(self, kind, number, bootstrap):
        """Return the settings file of a process."""
        name, ip = f"{kind}-{number}", self.ip(kind, number)
        seeds = [f"{self.ip('core', n)}:{CONTROL}" for n in (1, 2, 3)]
        fields = {
            "node": name, "role": ROLE[kind], "machineClass": kind, "ip": ip,
            "zone": ZONES[(number - 1) % 3], "region": "bengal-east",
            "portRange": [PEER, PEER + 15], "seeds": seeds, "bootstrap": bootstrap,
            "faultCounted": kind == "core", "discovery": "register", "entry": "vip",
            "heartbeatMs": 1200, "configMode": "highest",
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants"],
        }  # fmt: skip
        listen = {}
        if kind == "core":
            fields["dataDir"] = str(self.folder / name)
            fields["serves"], listen["control"] = ["control"], f"{ip}:{CONTROL}"
        elif kind == "front":
            fields["serves"] = ["front"]
            listen |= {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"}
        else:
            fields["serves"], fields["app"] = ["side"], f"{ip}:{APP}"
        tables = {
            "zones": dict.fromkeys(ZONES, "bengal-east"), "listen": listen,
            "limits": LIMITS[kind], "bounds": BOUNDS,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        }  # fmt: skip
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, entries in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in entries.items()]
        return "\n".join(lines) + "\n"

    async def start(self, kind, number, bootstrap=True):
        """Start the process of a machine, with the disk that it had."""
        name = f"{kind}-{number}"
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings_text(kind, number, bootstrap))
        if kind == "core":
            (self.folder / name).mkdir(exist_ok=True)
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PISTACHIOLEVER_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *shlex.split(self.commands[ROLE[kind]]),
                cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self.processes[name] = process
        self.note(f"{name} started")

    def send_signal(self, name, number):
        """Send a signal to a process of this run."""
        if self.processes[name].returncode is None:
            self.processes[name].send_signal(number)
            self.note(f"{name} gets {signal.Signals(number).name}")

    async def kill(self, *names):
        """Kill processes at the same moment."""
        for name in names:
            self.send_signal(name, signal.SIGKILL)
        for name in names:
            await self.processes[name].wait()

    async def close(self):
        """End all processes and remove their folder."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP"):
            self.note(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.file.close()

    async def put(self, configuration, seconds=20.0):
        """Send a configuration as an operator does, until it is acknowledged."""
        body, number = json.dumps(configuration).encode(), random.randrange(3)
        until = self.now() + seconds
        while self.now() < until:
            address = f"{self.ip('core', number % 3 + 1)}:{CONTROL}"
            kind = {"Content-Type": "application/json"}
            answer = await ask(address, "PUT", "/api/config", kind, body, 1.0)
            if answer.status == 200 and answer.end == "whole":
                self.note(f"configuration {configuration['version']} acknowledged")
                return
            number += 1
            await asyncio.sleep(0.2)
        raise CannotRunError("no configuration was acknowledged")

    async def wait_ready(self, *numbers, seconds=20.0):
        """Wait until front machines say that they are ready."""
        until = self.now() + seconds
        for number in numbers:
            address = f"{self.ip('front', number)}:{READY}"
            while (await ask(address, "GET", "/api/ready", seconds=1.0)).status != 200:
                if self.now() > until:
                    raise CannotRunError(f"front-{number} is not ready")
                await asyncio.sleep(0.1)


class Engine:
    """A sound model engine or plain server; `answer` runs a request.

    Each start is a new incarnation with a new `born`.
    """

    def __init__(self, rig, number, service, version="v1", models=("m",), slots=64):
        """Create an engine that is not started."""
        self.rig, self.number, self.service = rig, number, service
        self.version, self.models, self.slots = version, list(models), slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.host = rig.ip("side", number)
        self.address = f"{self.host}:{APP}"
        self.born = self.sequence = 0
        self.state, self.server, self.beat = "ready", None, None
        self.connections, self.runs = set(), {}
        self.lives, self.is_up = 0, False

    def listener(self):
        """Return a listening socket."""
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.bind((self.host, APP))
        raw.listen(512)
        raw.setblocking(False)
        return raw

    async def start(self, raw=None):
        """Start an incarnation, on a listening socket that is there or a new one."""
        self.lives, self.is_up = self.lives + 1, True
        self.born, self.sequence = int(time.time() * 1000), 0
        self.runs = {}
        self.server = await asyncio.start_server(
            self._serve, sock=raw or self.listener()
        )
        self.beat = asyncio.create_task(self._announce())
        self.rig.note(f"engine {self.id} {self.version} starts, born {self.born}")

    def crash(self):
        """End at once: all connections are reset, and this process listens no more."""
        self.rig.note(f"engine {self.id} {self.version} crashes")
        self.is_up = False
        self.beat.cancel()
        self.server.close()
        for writer in list(self.connections):
            self._reset(writer)

    async def work(self, seconds):
        """Work for some time; raise OSError if the engine has crashed meanwhile."""
        life = self.lives
        await asyncio.sleep(seconds)
        if life != self.lives or not self.is_up:
            raise OSError("the engine has crashed")

    @staticmethod
    def _reset(writer):
        """Reset a connection."""
        raw = writer.get_extra_info("socket")
        if raw is not None and raw.fileno() >= 0:
            off = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, off)
        writer.transport.abort()

    async def _announce(self):
        """Register, then send heartbeats; go to the next node without an answer."""
        number = self.number
        while True:
            self.sequence += 1
            fields = {
                "service": self.service, "address": self.address, "zone": ZONES[0],
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "seq": self.sequence, "born": self.born,
            }  # fmt: skip
            if self.models:
                fields |= self._stage()
            for _ in range(3):
                address = f"{self.rig.ip('core', number % 3 + 1)}:{CONTROL}"
                path, body = f"/api/instances/{self.id}", json.dumps(fields).encode()
                kind = {"Content-Type": "application/json"}
                answer = await ask(address, "PUT", path, kind, body, 1.0)
                if 200 <= answer.status < 300 and answer.end == "whole":
                    break
                number += 1
            await asyncio.sleep(1.2)

    def _stage(self):
        """Return what the engine says of its models."""
        models = [{"name": m, "version": 1, "adapters": []} for m in self.models]
        return {"stage": "both", "models": models}

    async def _serve(self, reader, writer):
        """Serve the requests of a connection."""
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self._handle(writer, method, path, headers, body)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle(self, writer, method, path, headers, body):
        """Answer one request."""
        if path == "/api/report":
            runs = [[key, tokens, made, 0] for key, (tokens, made) in self.runs.items()]
            report = self._stage() | {
                "busy": False, "seq": 0, "waiting": 0, "running": len(runs),
                "kvUsed": 0, "kvTotal": 541413, "handles": 0, "pinned": 0, "held": 0,
                "state": self.state, "nextToken": 0, "runs": runs, "born": self.born,
            }  # fmt: skip
            self.plain(writer, 200, {}, json.dumps(report).encode())
        elif path == "/health":
            self.plain(writer, 200, {"Instance-Id": self.id}, b"")
        elif headers.get("expect-instance", self.id) != self.id:
            self.plain(writer, 421, {"Not-Run": "1"}, b"")
        else:
            await self.answer(writer, method, path, headers, body)
        await writer.drain()

    def plain(self, writer, status, headers, body):
        """Write an answer with a length."""
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
        head = f"HTTP/1.1 {status} x\r\n" + "".join(lines) + "\r\n"
        writer.write(head.encode() + body)

    async def answer(self, writer, method, path, headers, body):
        """Run a request."""
        raise NotImplementedError

    async def stream(self, writer, headers, first, last, pause, data):
        """Send the events `first` to `last` of a stream."""
        request_id = headers["request-id"]
        fields = {
            "Content-Type": "text/event-stream", "Request-Id": request_id,
            "Server-Stamp": f"{self.number}.{random.getrandbits(32):08x}",
            "Weights-Versions": "1", "Transfer-Encoding": "chunked",
        }  # fmt: skip
        self.runs[request_id] = (1000, 0)
        try:
            lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
            writer.write(f"HTTP/1.1 200 OK\r\n{''.join(lines)}\r\n".encode())
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {data} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.runs[request_id] = (1000 + number, number - first + 1)
                await self.work(pause)
            writer.write(b"0\r\n\r\n")
        finally:
            self.runs.pop(request_id, None)


def route(name, service, kind="stream", **fields):
    """Return a route to a service."""
    entry = {
        "name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
        "timeoutMs": 15000, "targetLatencyMs": 1000, "priority": 1,
        "service": service, "maxAttempts": 2, "public": False,
    }  # fmt: skip
    if kind == "stream":
        entry |= {"sticky": True, "resumable": True, "targetGapMs": 400}
    return entry | fields


def configuration(version, routes, models, plain=()):
    """Return a configuration with one tenant."""
    engine = {
        "slots": 64, "kvCapacityTokens": 541413, "kvTokenBytes": 18432,
        "linkMbps": 370000.0, "moves": True, "backups": True, "stride": 6, "most": 12,
        "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": [{"name": "m"}],
    }  # fmt: skip
    common = {"healthPath": "/health", "protocol": "h1", "tls": False}
    services = [
        {"name": s, "maxConns": 360, **common, "engine": engine} for s in models
    ]
    services += [{"name": s, "maxConns": 100, **common} for s in plain]
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000, "tokensPerS": 290000,
    }  # fmt: skip
    tenants = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]
    return {
        "version": version, "routes": routes, "services": services,
        "limits": limits, "tenants": tenants,
    }  # fmt: skip


def new_id():
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def prompt_headers(parts, deadline_ms=15000, request_id=None, out=80):
    """Return the headers of a request for a model."""
    tokens = sum(size for _, size in parts)
    return {
        "Request-Id": request_id or new_id(), "Model": "m",
        "Token-Counts": f"{tokens},{out}",
        "Prompt-Prefix": ",".join(f"{part}:{size}" for part, size in parts),
        "Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {KEY}",
    }  # fmt: skip


def run_case(case, folder):
    """Run a case; exit with 1 if its rule was broken, 0 if it held, else with 2."""

    async def main():
        rig = Rig(Path(folder) / "record.txt")
        trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            async with asyncio.timeout(110):
                broken = await case(rig, trouble)
            rig.note("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        except BaseException:  # noqa: BLE001
            rig.note("cannot run: " + traceback.format_exc().replace("\n", " | "))
            traceback.print_exc()
            return CANNOT_RUN
        finally:
            await rig.close()

    sys.exit(asyncio.run(main()))
