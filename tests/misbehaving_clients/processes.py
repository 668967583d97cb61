"""Starts the process of a role on loopback addresses, with settings of its own."""

from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from os import environ, listdir
from pathlib import Path
from random import SystemRandom
from subprocess import DEVNULL, Popen
from sys import executable
from tempfile import TemporaryDirectory
from threading import Thread
from time import monotonic, sleep
from typing import Final

from attrs import define, field, frozen
from httpx import Client, HTTPError
from orjson import dumps

from pistachiolever.platform.names import (
    CONFIGURATION_PATH,
    HEADER_FORMAT,
    INSTANCES_PATH,
    METRICS_PATH,
    METRICS_PORT,
    READY_PATH,
)
from tests.support.addresses import free_address

# The smallest memory of a VM in the settings, and descriptors for some hundred clients.
MEMORY_BYTES: Final = 128 * 1024 * 1024
MAX_DESCRIPTORS: Final = 1_000
# Only keeps a test from hanging.
START_SECONDS: Final = 20.0
KEY: Final = "key-of-the-account"
# More than a socket buffers, so that an unread response occupies the process.
RESPONSE: Final = bytes(64 * 1024)
SETTINGS: Final = """
node = "vm-1"
ip = "{ip}"
zone = "north"
portRange = [{peer_port}, {peer_port}]
seeds = ["{seed}"]
bootstrap = true
dataDir = "{folder}"
app = "{engine}"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[bounds]
graceS = 3
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 50
[limits]
memoryMb = {memory}
maxFds = {descriptors}
"""
CONFIGURATION: Final = {
    "version": 1,
    "routes": [
        {
            "name": "echo",
            "host": "host.example",
            "pathPrefix": "/echo/",
            "kind": "idempotent",
            "service": "echo",
            "timeoutMs": 5000,
        }
    ],
    "services": [{"name": "echo"}],
    "tenants": [{"name": "account", "apiKeys": [KEY]}],
}


def random_ip() -> str:
    """Return a loopback address of this run: the port of the metrics is fixed."""
    rng = SystemRandom()
    return ".".join(["127", *(str(rng.randrange(1, 255)) for _ in range(3))])


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


@frozen
class Entry:
    """An address of a process, with a path and the status of an ordinary request."""

    address: str
    path: str
    status: int


@define
class RoleProcess:
    """A running process, `entry_by_name` its addresses for clients."""

    role: str
    folder: Path
    ip: str
    peer_port: int
    seed: str
    listen: dict[str, str] = field(init=False)
    process: Popen[bytes] = field(init=False)
    entry_by_name: dict[str, Entry] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Choose addresses and start the process."""
        names = ("front", "ready", "control", "engine")
        self.listen = {name: f"{self.ip}:{port_of(free_address())}" for name in names}
        metrics = Entry(f"{self.ip}:{METRICS_PORT}", METRICS_PATH, 200)
        peer = Entry(f"{self.ip}:{self.peer_port}", "/no/such/path", 404)
        operators = Entry(self.listen["control"], CONFIGURATION_PATH, 200)
        self.entry_by_name = {
            "router": {
                "routed": Entry(self.listen["front"], "/echo/", 200),
                "unrouted": Entry(self.listen["front"], "/none", 404),
                "ready": Entry(self.listen["ready"], READY_PATH, 200),
                "metrics": metrics,
            },
            "sidecar": {"peer": peer, "metrics": metrics},
            "control": {"operators": operators, "peer": peer, "metrics": metrics},
        }[self.role]
        self.process = self._start()

    def _start(self) -> Popen[bytes]:
        """Write the settings and start the process."""
        path = self.folder / f"{self.role}.toml"
        data = self.folder / "data"
        data.mkdir(exist_ok=True)
        path.write_text(
            SETTINGS.format(
                ip=self.ip,
                peer_port=self.peer_port,
                seed=self.seed,
                folder=data,
                memory=MEMORY_BYTES // 1024 // 1024,
                descriptors=MAX_DESCRIPTORS,
                **self.listen,
            )
        )
        command = [executable, "-m", "pistachiolever.platform.main", self.role]
        variables = {**environ, "PISTACHIOLEVER_BOOT": str(path)}
        return Popen(command, env=variables, stdout=DEVNULL, stderr=DEVNULL)

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.poll() is None

    def peak_bytes(self) -> int:
        """Return the most memory that the process has used so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(peak.split()[1]) * 1024

    def descriptor_count(self) -> int:
        """Return the number of open descriptors."""
        return len(listdir(f"/proc/{self.process.pid}/fd"))

    def wait_ready(self) -> None:
        """Wait until each entry answers an ordinary request as it should."""
        with Client(trust_env=False) as client:
            for entry in self.entry_by_name.values():
                wait_for_status(client, entry)


def wait_for_status(client: Client, entry: Entry) -> None:
    """Wait until an entry answers an ordinary request as it should."""
    headers = {"host": "host.example", "authorization": f"Bearer {KEY}"}
    deadline = monotonic() + START_SECONDS
    while monotonic() < deadline:
        try:
            url = f"http://{entry.address}{entry.path}"
            if client.get(url, headers=headers).status_code == entry.status:
                return
        except HTTPError:
            # The process has not begun to listen.
            pass
        sleep(0.02)
    raise AssertionError(f"{entry} did not answer within {START_SECONDS} s")


class EchoHandler(BaseHTTPRequestHandler):
    """Answers each request of the routers."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer a request."""
        self.rfile.read(int(self.headers.get("content-length", "0")))
        self.send_response(200)
        self.send_header("content-length", str(len(RESPONSE)))
        self.send_header(HEADER_FORMAT.signature.decode(), "echo-1")
        self.end_headers()
        self.wfile.write(RESPONSE)

    do_POST = do_GET

    def log_message(self, *_arguments: object) -> None:
        """Log nothing."""


@define
class Surroundings:
    """What a router needs: a member of control, and an endpoint that it announces."""

    folder: TemporaryDirectory[str] = field(factory=TemporaryDirectory)
    peer_port: int = field(factory=lambda: port_of(free_address()))
    endpoint: ThreadingHTTPServer = field(init=False)
    control: RoleProcess = field(init=False)
    client: Client = field(factory=lambda: Client(trust_env=False))
    _is_stopped: bool = False

    def __attrs_post_init__(self) -> None:
        """Start the endpoint and control; announce the endpoint until the end."""
        self.endpoint = ThreadingHTTPServer(("127.0.0.1", 0), EchoHandler)
        Thread(target=self.endpoint.serve_forever, daemon=True).start()
        self.control = start_control(Path(self.folder.name), self.peer_port)
        Thread(target=self._announce, daemon=True).start()

    @property
    def seed(self) -> str:
        """Return the address by which routers find control."""
        return f"{self.control.ip}:{port_of(self.control.listen['control'])}"

    def _announce(self) -> None:
        """Announce the endpoint every half a second."""
        address = f"127.0.0.1:{self.endpoint.server_port}"
        sequence = 0
        while not self._is_stopped:
            sequence += 1
            announcement = {
                "state": "ready",
                "born": 1_000,
                "seq": sequence,
                "service": "echo",
                "address": address,
                "zone": "north",
                "slots": 64,
                "coldLeftMs": 0,
                "version": "v1",
            }
            url = f"http://{self.control.listen['control']}{INSTANCES_PATH}echo-1"
            try:
                answer = self.client.put(url, content=dumps(announcement))
                assert answer.status_code == 200, answer.text
            except (HTTPError, RuntimeError):
                # Control has ended, or the client is closed.
                return
            sleep(0.5)

    def stop(self) -> None:
        """End control and the endpoint."""
        self._is_stopped = True
        self.control.stop()
        self.endpoint.shutdown()
        self.endpoint.server_close()
        self.client.close()
        self.folder.cleanup()


def start_control(folder: Path, peer_port: int) -> RoleProcess:
    """Start a lone member of control; store the configuration in it."""
    ip = random_ip()
    control = RoleProcess("control", folder, ip, peer_port, f"{ip}:1")
    url = f"http://{control.listen['control']}{CONFIGURATION_PATH}"
    deadline = monotonic() + START_SECONDS
    with Client(trust_env=False) as client:
        while monotonic() < deadline:
            try:
                stored = client.put(url, content=dumps(CONFIGURATION))
                if stored.status_code == 200:
                    return control
            except HTTPError:
                # It has not begun to listen.
                pass
            sleep(0.02)
    control.stop()
    raise AssertionError("control did not store the configuration")


@contextmanager
def started(role: str, surroundings: Surroundings) -> Iterator[RoleProcess]:
    """Yield a process that is ready; end it afterwards."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        if role == "control":
            process = start_control(folder, port_of(free_address()))
        else:
            process = RoleProcess(
                role, folder, random_ip(), surroundings.peer_port, surroundings.seed
            )
        try:
            process.wait_ready()
            yield process
        finally:
            process.stop()
