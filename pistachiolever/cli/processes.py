"""Runs one role: its server and tasks, until told to drain."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from anyio import Event, create_task_group
from starlette.applications import Starlette

from pistachiolever.control.http import make_control_app
from pistachiolever.control.process import ControlProcess
from pistachiolever.control.storage import FolderDisk, LogStorage
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

RoleRunner = Callable[[ProcessSettings, Event], Awaitable[None]]


class RoleProcess(Protocol):
    """What every role offers to its runner."""

    async def run(self) -> None:
        """Work until drained."""

    async def drain(self) -> None:
        """Leave gracefully."""


async def run_control(settings: ProcessSettings, stop: Event) -> None:
    """Run a control process until `stop` is set and it has drained."""
    if settings.control is None:
        raise ValueError("control: missing settings")
    context = make_context(settings, "control")
    client = FleetClient(settings)
    disk = FolderDisk(Path(settings.control.data_folder))
    try:
        process = ControlProcess(context, settings.control, client, LogStorage(disk))
        await _serve_role(process, make_control_app(process), settings, stop)
    finally:
        disk.close()
        await client.close()


async def run_router(settings: ProcessSettings, stop: Event) -> None:
    """Run a router; it takes no caller before it holds a committed revision."""
    if settings.router is None:
        raise ValueError("router: missing settings")
    context = make_context(settings, "router")
    client = FleetClient(settings)
    try:
        control = ControlClient(context, client)
        revision = await _first_revision(context, control, "", stop)
        if revision is None:
            return
        process = RouterProcess(context, settings.router, client, control, revision)
        await _serve_role(process, make_router_app(process), settings, stop)
    finally:
        await client.close()


async def run_sidecar(settings: ProcessSettings, stop: Event) -> None:
    """Run a sidecar; it announces its endpoint once its service is declared."""
    if settings.sidecar is None:
        raise ValueError("sidecar: missing settings")
    context = make_context(settings, "sidecar")
    client = FleetClient(settings)
    try:
        control = ControlClient(context, client)
        service_id = settings.sidecar.service_id
        revision = await _first_revision(context, control, service_id, stop)
        if revision is None:
            return
        service = revision.service_by_id[service_id]
        process = SidecarProcess(context, settings.sidecar, service, client, control)
        process.actor.post(NewRevision(revision))
        await _serve_role(process, make_sidecar_app(process), settings, stop)
    finally:
        await client.close()


async def _first_revision(
    context: ProcessContext, control: ControlClient, service_id: str, stop: Event
) -> Revision | None:
    """Wait for a committed revision, with the service if one is named."""
    found: list[Revision] = []
    async with create_task_group() as group:

        async def stop_waiting() -> None:
            """Give up when told to stop."""
            await stop.wait()
            group.cancel_scope.cancel()

        async def take(revision: Revision) -> None:
            """Keep a revision that will do."""
            if not service_id or service_id in revision.service_by_id:
                found.append(revision)
                group.cancel_scope.cancel()
                return
            context.recorder.record(
                EventCode.CONTROL_UNREACHABLE,
                detail=f"service={service_id} is not declared yet",
            )

        group.start_soon(stop_waiting)
        await control.watch(take)
    return found[0] if found else None


async def _serve_role(
    process: RoleProcess, app: Starlette, settings: ProcessSettings, stop: Event
) -> None:
    """Serve while the role works; drain it when told to stop."""
    served = Event()
    async with create_task_group() as group:
        group.start_soon(serve_app, app, settings, served)

        async def drain_when_told() -> None:
            """Drain the role, which ends its work."""
            await stop.wait()
            await process.drain()

        group.start_soon(drain_when_told)
        await process.run()
        served.set()
