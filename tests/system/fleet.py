"""Runs a fleet of real processes on loopback for system tests."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final

from attrs import define, evolve, field
from httpx import Client, HTTPError, Response
from orjson import dumps, loads

from pistachiolever.cli.const import DEMO_FLEET_SECRET, DEMO_OPERATOR_KEY
from pistachiolever.cli.operator_client import OperatorClient
from pistachiolever.cli.standalone import demo_declarations
from pistachiolever.control.operators import ChangeRequest
from pistachiolever.declarations.codec import to_text
from pistachiolever.declarations.models import Declarations
from pistachiolever.edge.keys import key_digest
from tests.support.addresses import free_address

WAIT_SECONDS: Final = 20.0
HALDIA: Final = "demo-key-haldia"
DEPOT: Final = "demo-key-depot"
ROOT: Final = Path(__file__).parents[2]


def wait_until(check: Callable[[], bool], condition: str) -> None:
    """Wait until a check succeeds; raise an AssertionError at the timeout."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {WAIT_SECONDS} s waiting for {condition}")


@define
class FleetShape:
    """The number of processes of each kind and the speed of the stand-ins."""

    controls: int = 1
    routers: int = 2
    engines: int = 2
    booking_desks: int = 1
    step_seconds: float = 0.01
    booking_seconds: float = 0.01
    declarations: Declarations = field(factory=demo_declarations)


@define
class Fleet:
    """A fleet of child processes, stand-ins included, addressed by name."""

    shape: FleetShape = field(factory=FleetShape)
    folder: TemporaryDirectory[str] = field(
        factory=lambda: TemporaryDirectory(prefix="pistachiolever-test-")
    )
    process_by_name: dict[str, subprocess.Popen[bytes]] = field(factory=dict)
    command_by_name: dict[str, list[str]] = field(factory=dict)
    address_by_name: dict[str, str] = field(factory=dict)
    http: Client = field(factory=lambda: Client(trust_env=False, timeout=20.0))

    def start(self) -> None:
        """Start all processes; wait until each router has sessions to all sidecars."""
        for number in range(self.shape.controls):
            self.address_by_name[f"control-{number}"] = free_address()
        for number in range(self.shape.controls):
            self._start_control(f"control-{number}")
        for number in range(self.shape.engines):
            self._start_endpoint(f"engine-{number}", "planning")
        for number in range(self.shape.booking_desks):
            self._start_endpoint(f"desk-{number}", "booking")
        self.apply_declarations(self.shape.declarations, "first")
        for number in range(self.shape.routers):
            self.start_router(f"router-{number}")
        for number in range(self.shape.routers):
            self.wait_ready(f"router-{number}")

    def stop(self) -> None:
        """Kill all processes and delete their files."""
        for process in self.process_by_name.values():
            process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.http.close()
        self.folder.cleanup()

    def kill(self, name: str) -> None:
        """Send a process SIGKILL and wait for its end."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a process a signal."""
        os.kill(self.process_by_name[name].pid, number)

    def restart(self, name: str) -> None:
        """Start a process again with its first command line."""
        self._spawn(name, self.command_by_name[name])

    def url(self, name: str, path: str) -> str:
        """Return the URL of a path at a process."""
        return f"http://{self.address_by_name[name]}{path}"

    def control_addresses(self) -> tuple[str, ...]:
        """Return the addresses of all control processes."""
        return tuple(
            self.address_by_name[f"control-{number}"]
            for number in range(self.shape.controls)
        )

    def operator(self) -> OperatorClient:
        """Return an operator client of the control processes."""
        return OperatorClient(self.control_addresses(), DEMO_OPERATOR_KEY)

    def apply_declarations(self, declarations: Declarations, change_id: str) -> int:
        """Apply declarations, with retries; return their revision."""
        client = self.operator()
        revisions: list[int] = []

        def accepted() -> bool:
            """Return whether control accepted the change."""
            try:
                base = client.current().number
                change = ChangeRequest(change_id, base, to_text(declarations))
                revisions.append(client.apply(change).revision)
            except Exception:
                return False
            return True

        wait_until(accepted, f"control to accept change {change_id}")
        return revisions[-1]

    def start_router(self, name: str) -> None:
        """Start a router, at its previous address if it had one."""
        self.address_by_name.setdefault(name, free_address())
        self._start_role(name, "router", {"router": {}})

    def wait_ready(self, name: str) -> None:
        """Wait until a router has a session with every sidecar."""
        expected = self.shape.engines + self.shape.booking_desks
        wait_until(lambda: self.sessions(name) == expected, f"{name} to be ready")

    def sessions(self, name: str) -> int:
        """Return a router's number of sidecar sessions, or -1 on an error."""
        headers = {"authorization": f"Bearer {DEMO_FLEET_SECRET}"}
        try:
            response = self.http.get(self.url(name, "/ops/sessions"), headers=headers)
        except HTTPError:
            return -1
        return int(loads(response.content)) if response.status_code == 200 else -1

    def set_fault(self, name: str, kind: str, after: int = 0, calls: int = 1) -> None:
        """Configure the faults of a stand-in's next calls."""
        document = {"kind": kind, "after": after, "calls": calls}
        self.http.post(self.url(name, "/fault"), json=document).raise_for_status()

    def executions(self, name: str = "stand-in-desk-0") -> dict[str, int]:
        """Return the number of runs of each input at a booking desk."""
        found: dict[str, int] = self.http.get(self.url(name, "/executions")).json()
        return found

    def submit(
        self, router: str, service: str, text: str, key: str = HALDIA, **options: Any
    ) -> Response:
        """Send a request without streaming; return the JSON response."""
        headers = {"authorization": f"Bearer {key}"}
        if "idempotency_key" in options:
            headers["idempotency-key"] = options.pop("idempotency_key")
        document = {"service": service, "input": text, "stream": False, **options}
        url = self.url(router, "/v1/requests")
        return self.http.post(url, json=document, headers=headers)

    def _start_control(self, name: str) -> None:
        """Start a control process with its own data folder."""
        control = {
            "data_folder": str(Path(self.folder.name) / name),
            "operator_key_sha256": key_digest(DEMO_OPERATOR_KEY),
        }
        path = self._write_settings(name, {"control": control})
        program = [sys.executable, "-m", "pistachiolever"]
        if self.shape.controls > 1:
            init = [*program, "init", "--settings", str(path)]
            subprocess.run(init, cwd=ROOT, check=True, capture_output=True)
        self._spawn(name, [*program, "control", "--settings", str(path)])

    def _start_endpoint(self, name: str, service_id: str) -> None:
        """Start a stand-in endpoint and its sidecar."""
        stand_in = f"stand-in-{name}"
        self.address_by_name[stand_in] = free_address()
        kind = "engine" if name.startswith("engine") else "desk"
        options = ["--address", self.address_by_name[stand_in]]
        if kind == "engine":
            options += ["--step-seconds", str(self.shape.step_seconds)]
        else:
            options += ["--service-seconds", str(self.shape.booking_seconds)]
        self._spawn(stand_in, [sys.executable, "-m", "stand_ins", kind, *options])
        sidecar = {
            "endpoint_id": name,
            "service_id": service_id,
            "endpoint_url": self.url(stand_in, ""),
            "stall_seconds": 2.0,
            "orphan_seconds": 5.0,
        }
        self.address_by_name[f"sidecar-{name}"] = free_address()
        self._start_role(f"sidecar-{name}", "sidecar", {"sidecar": sidecar})

    def _start_role(self, name: str, role: str, settings: dict[str, Any]) -> None:
        """Start a router or sidecar process."""
        path = self._write_settings(name, settings)
        program = [sys.executable, "-m", "pistachiolever", "--log-level", "error"]
        self._spawn(name, [*program, role, "--settings", str(path)])

    def _write_settings(self, name: str, role: dict[str, Any]) -> Path:
        """Write the settings file of a process."""
        document = {
            "process_id": name,
            "address": self.address_by_name[name],
            "failure_domain": "local",
            "fleet_secret": DEMO_FLEET_SECRET,
            "control_addresses": list(self.control_addresses()),
            "heartbeat_seconds": 0.2,
            "lease_seconds": 1.5,
            "drain_seconds": 15.0,
            **role,
        }
        path = Path(self.folder.name) / f"{name}.json"
        path.write_bytes(dumps(document))
        return path

    def _spawn(self, name: str, command: list[str]) -> None:
        """Start a process and store its command line for restarts."""
        self.command_by_name[name] = command
        log = open(Path(self.folder.name) / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            self.process_by_name[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log
            )

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (Path(self.folder.name) / f"{name}.log").read_text()


def with_preset(declarations: Declarations, preset_id: str) -> Declarations:
    """Return the declarations with another preset in force."""
    return evolve(declarations, preset_in_force=preset_id)
