"""Starts the product's roles on the platform's machines."""

import sys
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path
from random import SystemRandom
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Final

from anyio import (
    Event,
    create_task_group,
    current_time,
    move_on_after,
    open_signal_receiver,
    run,
    sleep,
)
from attrs import define, field

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.control.storage import FolderDisk, LogStorage
from pistachiolever.core.clock import wall_ms
from pistachiolever.edge.peers import PeerCaller
from pistachiolever.events.const import EventCode
from pistachiolever.events.lines import EventLines, LineOutput, make_lines
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.server import HttpServer
from pistachiolever.metrics.exposition import LoopDelay, MetricsFace
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.platform.configuration import (
    configuration_version,
    decode_configuration,
)
from pistachiolever.platform.control import ControlFace
from pistachiolever.platform.endpoints import EngineClient
from pistachiolever.platform.names import DIALECT, METRICS_PATH, SETTINGS_VARIABLE
from pistachiolever.platform.settings import MachineSettings, read_settings
from pistachiolever.registry.const import HAND_OVER_SECONDS
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.settings.errors import InvalidDocumentError

# How often the settings file is looked at, as it may change without a signal.
SETTINGS_SECONDS: Final = 1.0
# Operators send configurations of hundreds of routes.
CONTROL_LIMITS: Final = HttpLimits(max_body_bytes=16 * 1024 * 1024)


@define
class Machine:
    """What every role has: its settings, its log and the order to stop."""

    path: Path
    settings: MachineSettings
    output: LineOutput
    stop: Event = field(factory=Event)
    instruments: Instruments = field(factory=Instruments)

    @property
    def events(self) -> EventLines:
        """Return the log of the process."""
        return self.output.lines

    async def serve_metrics(self) -> None:
        """Answer scrapes of the process's figures."""
        delay = LoopDelay()
        self.instruments.gauge(
            "pistachiolever_loop_delay_seconds", lambda: delay.seconds
        )
        face = MetricsFace(METRICS_PATH, self.instruments)
        async with create_task_group() as group:
            group.start_soon(delay.run)
            group.start_soon(
                HttpServer(self.settings.metrics_address, face.handle).serve
            )

    async def watch_signals(self) -> None:
        """Stop when told; look at the settings when told that they changed."""
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            async for number in signals:
                if number == SIGHUP:
                    self.reload()
                    continue
                self.stop.set()

    async def watch_settings(self) -> None:
        """Look at the settings file again and again."""
        while True:
            await sleep(SETTINGS_SECONDS)
            self.reload()

    def reload(self) -> None:
        """Take the settings file as it is now; keep the old one if it can't be read."""
        try:
            settings = read_settings(self.path)
        except InvalidDocumentError as error:
            self.events.record(EventCode.SETTINGS_CHANGED, error=str(error))
            return
        if settings != self.settings:
            self.settings = settings
            self.events.record(EventCode.SETTINGS_CHANGED, seeds=settings.seeds)


async def run_router(machine: Machine) -> None:
    """Run a router until told to stop."""
    settings = machine.settings.gateway()
    caller = PeerCaller()
    rng = SystemRandom()
    fleet = FleetView(
        settings,
        decode_configuration,
        caller,
        machine.events,
        rng,
        current_time,
        machine.instruments,
    )
    watcher = RegistryWatcher(
        settings.node_id,
        True,
        lambda: machine.settings.seeds,
        caller,
        fleet,
        machine.events,
    )
    process = GatewayProcess(settings, DIALECT, fleet, watcher)
    async with create_task_group() as group:
        group.start_soon(process.run)
        await machine.stop.wait()
        await process.drain()
        group.cancel_scope.cancel()


async def run_agent(machine: Machine) -> None:
    """Run the process beside an engine until told to stop."""
    caller = PeerCaller()
    probe = EngineClient(machine.settings.engine_address, caller)
    process = AgentProcess(probe, machine.events, SystemRandom(), machine.instruments)
    server = HttpServer(machine.settings.inner_address, process.api().handle)
    async with create_task_group() as group:
        group.start_soon(process.run)
        group.start_soon(server.serve)
        await machine.stop.wait()
        group.cancel_scope.cancel()


async def run_control(machine: Machine) -> None:
    """Run a member of the registry until told to stop."""
    settings = machine.settings.registry()
    disk = FolderDisk(Path(settings.data_folder))
    process = RegistryProcess(
        settings,
        LogStorage(disk),
        configuration_version,
        machine.events,
        SystemRandom(),
        instruments=machine.instruments,
    )
    face = ControlFace(process, machine.settings.inner_port)
    inner = HttpServer(settings.address, process.face().handle, lambda: CONTROL_LIMITS)
    outer = HttpServer(
        machine.settings.control_address, face.handle, lambda: CONTROL_LIMITS
    )
    async with create_task_group() as group:
        group.start_soon(process.run)
        group.start_soon(inner.serve)
        group.start_soon(outer.serve)
        await machine.stop.wait()
        await process.hand_over()
        outer.draining = True
        with move_on_after(HAND_OVER_SECONDS):
            while outer.busy_count():
                await sleep(0.01)
        group.cancel_scope.cancel()


ROLE_BY_NAME: dict[str, Callable[[Machine], Awaitable[None]]] = {
    "router": run_router,
    "sidecar": run_agent,
    "control": run_control,
}


async def run_role(name: str, path: Path) -> None:
    """Run one role until it is told to stop."""
    settings = read_settings(path)
    output = make_lines(settings.node, wall_ms)
    machine = Machine(path, settings, output)
    machine.events.record(EventCode.PROCESS_STARTED, role=name, seeds=settings.seeds)
    async with create_task_group() as group:
        group.start_soon(output.run)
        group.start_soon(machine.watch_signals)
        group.start_soon(machine.watch_settings)
        group.start_soon(machine.serve_metrics)
        try:
            await ROLE_BY_NAME[name](machine)
        finally:
            machine.events.record(EventCode.PROCESS_STOPPED, role=name)
            output.buffer.drain()
            group.cancel_scope.cancel()


def main() -> None:
    """Run the role that is named on the command line."""
    name = sys.argv[1] if len(sys.argv) == 2 else ""
    if name not in ROLE_BY_NAME:
        sys.exit(f"usage: {sys.argv[0]} {'|'.join(ROLE_BY_NAME)}")
    run(
        run_role,
        name,
        Path(environ[SETTINGS_VARIABLE]),
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
