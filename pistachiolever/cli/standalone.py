"""A whole fleet with stand-in endpoints in one process, on the loopback interface."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGINT, SIGTERM
from tempfile import TemporaryDirectory
from typing import Final

from anyio import Event, create_task_group, open_signal_receiver, sleep
from anyio.abc import TaskGroup
from attrs import define, field, frozen
from click import echo
from httpx import AsyncClient, HTTPError
from starlette.applications import Starlette

from pistachiolever.cli.const import (
    BOOKING_SERVICE,
    DEMO_FLEET_SECRET,
    DEMO_OPERATOR_KEY,
    PLANNING_SERVICE,
)
from pistachiolever.cli.demo import Demo
from pistachiolever.cli.processes import run_control, run_router, run_sidecar
from pistachiolever.declarations.codec import to_text
from pistachiolever.declarations.models import (
    Account,
    CostRule,
    Declarations,
    FailureDomain,
    Preset,
    Service,
    ServiceKind,
)
from pistachiolever.edge.keys import key_digest
from pistachiolever.edge.server import serve_app
from pistachiolever.settings.models import (
    ControlSettings,
    ProcessSettings,
    RouterSettings,
    SidecarSettings,
)
from pistachiolever.wire.codec import encode
from stand_ins.batch import EngineSettings
from stand_ins.booking_desk import BookingDesk
from stand_ins.engine import Engine

HOST: Final = "127.0.0.1"


@frozen
class StandaloneSettings:
    """Size of the fleet and its ports, which count up from `base_port`.

    Control has offset 0; routers start at offset 1, sidecars at 20, stand-ins at 50.
    """

    base_port: int
    data_folder: str
    routers: int = 2
    engines: int = 2
    desks: int = 1

    def port(self, offset: int) -> int:
        """Return the port at an offset from the base port."""
        return self.base_port + offset

    def address(self, offset: int) -> str:
        """Return the loopback address at an offset from the base port."""
        return f"{HOST}:{self.port(offset)}"

    def router_address(self, number: int) -> str:
        """Return the address of a router; numbers start at 0."""
        return self.address(1 + number)

    def control_address(self) -> str:
        """Return the address of control."""
        return self.address(0)


def demo_declarations() -> Declarations:
    """Return the declarations of the demo fleet: two accounts and two services."""
    services = [PLANNING_SERVICE, BOOKING_SERVICE]
    return Declarations(
        accounts=[
            Account("haldia-exporters", [key_digest("demo-key-haldia")], services, 2.0),
            Account("small-depot", [key_digest("demo-key-depot")], services),
        ],
        services=[
            Service(
                PLANNING_SERVICE,
                ServiceKind.MODEL,
                True,
                "planner",
                CostRule(0.1, 1.0, 1.0),
                2048,
                8,
            ),
            Service(BOOKING_SERVICE, ServiceKind.PLAIN, False, max_concurrency=4),
        ],
        failure_domains=[FailureDomain("local", "loopback")],
        presets=[
            Preset("ordinary-day"),
            Preset("peak", queue_count_per_account=64, concurrency_factor=1.25),
            Preset("maintenance", concurrency_factor=0.5),
        ],
        preset_in_force="ordinary-day",
    )


@define
class Standalone:
    """Starts and stops all roles of a small fleet within one process."""

    settings: StandaloneSettings
    stop: Event = field(factory=Event)
    stop_stand_ins: Event = field(factory=Event)
    stop_control: Event = field(factory=Event)

    async def run(self, body: Callable[[], Awaitable[None]]) -> None:
        """Start the fleet, run `body`, then drain the fleet."""
        async with create_task_group() as engines:
            async with create_task_group() as servers:
                self._start_stand_ins(engines, servers)
                await self._run_fleet(body)
                self.stop_stand_ins.set()
            engines.cancel_scope.cancel()

    async def _run_fleet(self, body: Callable[[], Awaitable[None]]) -> None:
        """Run the fleet; control starts before the other roles and stops after them."""
        async with create_task_group() as control:
            control.start_soon(run_control, self._control_settings(), self.stop_control)
            await self._apply_declarations()
            async with create_task_group() as group:
                for number in range(self.settings.engines + self.settings.desks):
                    sidecar = self._sidecar_settings(number)
                    group.start_soon(run_sidecar, sidecar, self.stop)
                for number in range(self.settings.routers):
                    router = self._router_settings(number)
                    group.start_soon(run_router, router, self.stop)
                await self._wait_for_sessions()
                await body()
                self.stop.set()
            self.stop_control.set()

    def _start_stand_ins(self, engines: TaskGroup, servers: TaskGroup) -> None:
        """Start the stand-in engines and booking desks."""
        for number in range(self.settings.engines):
            engine = Engine(EngineSettings(step_seconds=0.01))
            engines.start_soon(engine.run)
            self._serve_stand_in(servers, engine.app(), number)
        for number in range(self.settings.desks):
            app = BookingDesk().app()
            self._serve_stand_in(servers, app, self.settings.engines + number)

    def _serve_stand_in(self, group: TaskGroup, app: Starlette, number: int) -> None:
        """Serve one stand-in."""
        name = f"stand-in-{number}"
        settings = ProcessSettings(
            name, self._endpoint_address(number), "local", DEMO_FLEET_SECRET, []
        )
        group.start_soon(serve_app, app, settings, self.stop_stand_ins)

    def _endpoint_address(self, number: int) -> str:
        """Return the address of a stand-in."""
        return self.settings.address(50 + number)

    def _control_settings(self) -> ProcessSettings:
        """Return the settings of control."""
        control = ControlSettings(
            self.settings.data_folder, key_digest(DEMO_OPERATOR_KEY)
        )
        return self._process_settings(
            "control-1", self.settings.control_address(), control
        )

    def _router_settings(self, number: int) -> ProcessSettings:
        """Return the settings of a router."""
        name = f"router-{number + 1}"
        address = self.settings.router_address(number)
        return self._process_settings(name, address, RouterSettings())

    def _sidecar_settings(self, number: int) -> ProcessSettings:
        """Return the settings of a sidecar."""
        is_engine = number < self.settings.engines
        endpoint_id = f"engine-{number + 1}" if is_engine else f"desk-{number + 1}"
        sidecar = SidecarSettings(
            endpoint_id,
            PLANNING_SERVICE if is_engine else BOOKING_SERVICE,
            f"http://{self._endpoint_address(number)}",
        )
        address = self.settings.address(20 + number)
        return self._process_settings(f"sidecar-{endpoint_id}", address, sidecar)

    def _process_settings(
        self,
        process_id: str,
        address: str,
        role: ControlSettings | RouterSettings | SidecarSettings,
    ) -> ProcessSettings:
        """Return the settings of a process with the given role."""
        return ProcessSettings(
            process_id,
            address,
            "local",
            DEMO_FLEET_SECRET,
            [self.settings.control_address()],
            heartbeat_seconds=0.2,
            lease_seconds=2.0,
            drain_seconds=10.0,
            router=role if isinstance(role, RouterSettings) else None,
            sidecar=role if isinstance(role, SidecarSettings) else None,
            control=role if isinstance(role, ControlSettings) else None,
        )

    async def _apply_declarations(self) -> None:
        """Apply the demo declarations, unless the data folder already has a revision.

        Retries until control has a leader that answers.
        """
        change = {
            "change_id": "embedded-default",
            "base_revision": 0,
            "document": to_text(demo_declarations()),
        }
        url = f"http://{self.settings.control_address()}/ops/apply"
        headers = {"authorization": f"Bearer {DEMO_OPERATOR_KEY}"}
        async with AsyncClient(trust_env=False, headers=headers) as http:
            while True:
                try:
                    response = await http.post(url, content=encode(change))
                    if response.status_code == 200:
                        return
                except HTTPError:
                    pass
                await sleep(0.1)

    async def _wait_for_sessions(self) -> None:
        """Wait until every router has a session with each endpoint."""
        expected = self.settings.engines + self.settings.desks
        headers = {"authorization": f"Bearer {DEMO_FLEET_SECRET}"}
        async with AsyncClient(trust_env=False, headers=headers) as http:
            for number in range(self.settings.routers):
                url = f"http://{self.settings.router_address(number)}/ops/sessions"
                while True:
                    try:
                        response = await http.get(url)
                        if response.status_code == 200 and response.json() >= expected:
                            break
                    except HTTPError:
                        pass
                    await sleep(0.1)


async def run_standalone(
    base_port: int, data_folder: str, body: Callable[[], Awaitable[None]]
) -> None:
    """Run `body` within a fleet; without a folder, its state is deleted at the end."""
    if data_folder:
        await Standalone(StandaloneSettings(base_port, data_folder)).run(body)
        return
    with TemporaryDirectory(prefix="pistachiolever-") as folder:
        settings = StandaloneSettings(base_port, str(Path(folder) / "control"))
        await Standalone(settings).run(body)


def make_standalone_body(base_port: int, demo: bool) -> Callable[[], Awaitable[None]]:
    """Return what to run within the fleet: the demo, or a wait for a signal."""
    settings = StandaloneSettings(base_port, "")
    routers = [settings.router_address(number) for number in range(settings.routers)]
    if demo:
        other_addresses = [settings.control_address()]
        for number in range(settings.engines + settings.desks):
            other_addresses.append(settings.address(20 + number))
        return Demo(routers, other_addresses).run

    async def wait_for_signal() -> None:
        """Serve until SIGTERM or SIGINT."""
        echo(f"serving at {', '.join(routers)}; keys: demo-key-haldia, demo-key-depot")
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            async for _ in signals:
                return

    return wait_for_signal
