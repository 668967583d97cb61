"""Runs the server and tasks of one role until it is stopped and drained."""

from pathlib import Path
from typing import Protocol

from anyio import Event, create_task_group
from starlette.applications import Starlette

from pistachiolever.control.http import make_control_app
from pistachiolever.control.process import ControlProcess
from pistachiolever.control.startup import open_disk
from pistachiolever.control.storage import LogStorage
from pistachiolever.declarations.models import Revision
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext, make_context
from pistachiolever.edge.control_client import ControlClient
from pistachiolever.edge.server import serve_app
from pistachiolever.events.const import EventCode
from pistachiolever.router.http import make_router_app
from pistachiolever.router.tasks import RouterProcess
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.sidecar.http import make_sidecar_app
from pistachiolever.sidecar.models import NewRevision
from pistachiolever.sidecar.tasks import SidecarProcess


class RoleProcess(Protocol):
    """Interface that the process of every role implements."""

    async def run(self) -> None:
        """Run until drained."""

    async def drain(self) -> None:
        """Refuse new work, finish the current work and end `run`."""


async def run_control(settings: ProcessSettings, stop: Event) -> None:
    """Run a control process until `stop` is set and it has drained."""
    if settings.control is None:
        raise ValueError("control: missing settings")
    context = make_context(settings, "control")
    client = FleetClient(settings)
    disk = await open_disk(
        Path(settings.control.data_folder),
        lambda error: context.recorder.record(EventCode.DISK_FAILED, detail=str(error)),
    )
    try:
        process = ControlProcess(context, settings.control, client, LogStorage(disk))
        await _serve_role(process, make_control_app(process), settings, stop)
    finally:
        disk.close()
        await client.close()


async def run_router(settings: ProcessSettings, stop: Event) -> None:
    """Run a router; it accepts no requests before it has a committed revision."""
    if settings.router is None:
        raise ValueError("router: missing settings")
    context = make_context(settings, "router")
    client = FleetClient(settings)
    try:
        control = ControlClient(context, client)
        revision = await _wait_for_revision(context, control, "", stop)
        if revision is None:
            return
        process = RouterProcess(context, settings.router, client, control, revision)
        await _serve_role(process, make_router_app(process), settings, stop)
    finally:
        await client.close()


async def run_sidecar(settings: ProcessSettings, stop: Event) -> None:
    """Run a sidecar; it starts once the service of its endpoint is declared."""
    if settings.sidecar is None:
        raise ValueError("sidecar: missing settings")
    context = make_context(settings, "sidecar")
    client = FleetClient(settings)
    try:
        control = ControlClient(context, client)
        service_id = settings.sidecar.service_id
        revision = await _wait_for_revision(context, control, service_id, stop)
        if revision is None:
            return
        service = revision.service_by_id[service_id]
        process = SidecarProcess(context, settings.sidecar, service, client, control)
        process.actor.post(NewRevision(revision))
        await _serve_role(process, make_sidecar_app(process), settings, stop)
    finally:
        await client.close()


async def _wait_for_revision(
    context: ProcessContext, control: ControlClient, service_id: str, stop: Event
) -> Revision | None:
    """Wait for a committed revision that declares the service, if one is given.

    Return None if stopped before one arrives.
    """
    found: list[Revision] = []
    async with create_task_group() as group:

        async def cancel_on_stop() -> None:
            """Stop waiting when the process is asked to stop."""
            await stop.wait()
            group.cancel_scope.cancel()

        async def apply(revision: Revision) -> None:
            """Accept the revision if it declares the service."""
            if not service_id or service_id in revision.service_by_id:
                found.append(revision)
                group.cancel_scope.cancel()
                return
            context.recorder.record(
                EventCode.CONTROL_UNREACHABLE,
                detail=f"service={service_id} is not declared yet",
            )

        group.start_soon(cancel_on_stop)
        await control.watch(apply)
    return found[0] if found else None


async def _serve_role(
    process: RoleProcess, app: Starlette, settings: ProcessSettings, stop: Event
) -> None:
    """Serve the app while the role runs; drain the role when `stop` is set."""
    stop_server = Event()
    async with create_task_group() as group:
        group.start_soon(serve_app, app, settings, stop_server)

        async def drain_on_stop() -> None:
            """Drain the role when `stop` is set."""
            await stop.wait()
            await process.drain()

        async with create_task_group() as draining:
            draining.start_soon(drain_on_stop)
            await process.run()
            # A role may also end by itself.
            draining.cancel_scope.cancel()
        stop_server.set()
