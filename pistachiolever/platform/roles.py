"""Runs the process of a role with the settings of the platform."""

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from os import environ
from pathlib import Path
from random import SystemRandom

from anyio import (
    create_task_group,
    current_time,
    move_on_after,
    run,
    sleep,
)

from pistachiolever.admission.agent import AgentProcess
from pistachiolever.control.startup import open_disk
from pistachiolever.control.storage import LogStorage
from pistachiolever.core.clock import loop_time, wall_ms
from pistachiolever.core.early_signals import EarlySignals
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import make_log_writer
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.incarnations import ReportedStartTimes
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.http1.server import HttpServer
from pistachiolever.platform.configuration import (
    configuration_services,
    configuration_version,
    decode_configuration,
)
from pistachiolever.platform.control import ControlApi
from pistachiolever.platform.endpoints import EngineClient
from pistachiolever.platform.names import HEADER_FORMAT, METRICS_PATH, SETTINGS_VARIABLE
from pistachiolever.platform.settings import PlatformSettings, read_settings
from pistachiolever.registry.const import LEADER_TRANSFER_SECONDS
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.registry.usage_reporting import UsageReporting
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.runtime.const import (
    CONTROL_CONNECTION_FRACTION,
    CONTROL_LIMITS,
    PEER_CONNECTION_FRACTION,
)
from pistachiolever.runtime.context import RoleContext

PlatformContext = RoleContext[PlatformSettings]


async def run_router(context: PlatformContext) -> None:
    """Run a router until the stop event is set."""
    settings = context.settings.gateway()
    client = PeerClient()
    rng = SystemRandom()
    fleet = FleetView(
        settings,
        decode_configuration,
        client,
        context.events,
        rng,
        loop_time,
        context.instruments,
        start_time_probe=ReportedStartTimes(partial(EngineClient, client=client)),
    )
    choice = context.choose_members(settings.node_id, settings.failure_domain)
    watcher = RegistryWatcher(choice, client, fleet, context.events)
    reporting = UsageReporting(
        fleet.reporter, choice, client, context.events, current_time
    )
    process = GatewayProcess(
        settings, HEADER_FORMAT, fleet, watcher, budget=context.budget
    )
    async with create_task_group() as group:
        group.start_soon(process.run)
        group.start_soon(reporting.run)
        await context.stop.wait()
        await process.drain()
        group.cancel_scope.cancel()


async def run_agent(context: PlatformContext) -> None:
    """Run the agent of an engine until the stop event is set."""
    settings = context.settings.agent()
    client = PeerClient()
    probe = EngineClient(context.settings.engine_address, client)
    process = AgentProcess(
        probe, context.events, SystemRandom(), context.instruments, probe
    )
    reporting = UsageReporting(
        process.make_reporter(settings),
        context.choose_members(settings.node_id, settings.failure_domain),
        client,
        context.events,
        current_time,
    )
    server = HttpServer(
        context.settings.peer_address,
        process.api().handle,
        max_connections=context.max_connections(PEER_CONNECTION_FRACTION),
        report_limit=context.record_limit,
        budget=context.budget,
    )
    async with create_task_group() as group:
        group.start_soon(process.run)
        group.start_soon(reporting.run)
        group.start_soon(server.serve)
        await context.stop.wait()
        group.cancel_scope.cancel()


async def run_control(context: PlatformContext) -> None:
    """Run a member of the registry until the stop event is set."""
    settings = context.settings.registry()
    disk = await open_disk(Path(settings.data_folder), context.record_disk_failure)
    process = RegistryProcess(
        settings,
        LogStorage(disk),
        configuration_version,
        context.events,
        SystemRandom(),
        instruments=context.instruments,
        service_ids=configuration_services,
    )
    api = ControlApi(process, context.settings.peer_port)
    peer_server = HttpServer(
        settings.address,
        process.api().handle,
        lambda: CONTROL_LIMITS,
        context.max_connections(PEER_CONNECTION_FRACTION),
        context.record_limit,
        budget=context.budget,
    )
    control_server = HttpServer(
        context.settings.control_address,
        api.handle,
        lambda: CONTROL_LIMITS,
        context.max_connections(CONTROL_CONNECTION_FRACTION),
        context.record_limit,
        budget=context.budget,
    )
    async with create_task_group() as group:
        group.start_soon(process.run)
        group.start_soon(peer_server.serve)
        group.start_soon(control_server.serve)
        await context.stop.wait()
        await process.transfer_leadership()
        control_server.draining = True
        with move_on_after(LEADER_TRANSFER_SECONDS):
            while control_server.busy_count():
                await sleep(0.01)
        group.cancel_scope.cancel()


ROLE_BY_NAME: dict[str, Callable[[PlatformContext], Awaitable[None]]] = {
    "router": run_router,
    "sidecar": run_agent,
    "control": run_control,
}


async def run_role(name: str, path: Path, early_signals: EarlySignals) -> None:
    """Run one role until the stop event is set.

    An early SIGHUP needs no reload of its own: the settings are read here and polled.
    """
    settings = read_settings(path)
    output = make_log_writer(settings.node, wall_ms)
    context = RoleContext(path, read_settings, settings, output, early_signals)
    context.events.record(EventCode.PROCESS_STARTED, role=name, seeds=settings.seeds)
    async with create_task_group() as group:
        group.start_soon(output.run)
        group.start_soon(context.watch_signals)
        group.start_soon(context.watch_settings)
        group.start_soon(context.serve_metrics, METRICS_PATH)
        try:
            await ROLE_BY_NAME[name](context)
        finally:
            context.events.record(EventCode.PROCESS_STOPPED, role=name)
            output.buffer.drain()
            group.cancel_scope.cancel()


def run_named_role(arguments: list[str], early_signals: EarlySignals) -> None:
    """Run the role that the command line names."""
    name = arguments[1] if len(arguments) == 2 else ""
    if name not in ROLE_BY_NAME:
        sys.exit(f"usage: {arguments[0]} {'|'.join(ROLE_BY_NAME)}")
    run(
        run_role,
        name,
        Path(environ[SETTINGS_VARIABLE]),
        early_signals,
        backend_options={"use_uvloop": True},
    )
    # The event loop has restored the default actions; the process is about to exit.
    early_signals.install()
