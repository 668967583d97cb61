"""Command line of the stand-ins: `python -m stand_ins engine --address ...`."""

from functools import partial
from signal import SIGINT, SIGTERM

from anyio import Event, create_task_group, open_signal_receiver, run
from click import group, option
from starlette.applications import Starlette

from pistachiolever.edge.server import serve_app
from pistachiolever.settings.models import ProcessSettings
from stand_ins.batch import EngineSettings
from stand_ins.booking_desk import BookingDesk
from stand_ins.engine import Engine


@group()
def main() -> None:
    """Run a stand-in endpoint."""


@main.command()
@option("--address", required=True, help="IP address and port to listen on.")
@option("--step-seconds", default=0.01, help="Duration of a step in seconds.")
@option("--max-batch", default=8, help="Maximum number of running requests.")
def engine(address: str, step_seconds: float, max_batch: int) -> None:
    """Run a stand-in model engine."""
    model = Engine(EngineSettings(step_seconds=step_seconds, max_batch=max_batch))
    run(partial(_serve_engine, model, address), backend_options={"use_uvloop": True})


@main.command()
@option("--address", required=True, help="IP address and port to listen on.")
@option("--service-seconds", default=0.01, help="Duration of a booking in seconds.")
def desk(address: str, service_seconds: float) -> None:
    """Run a stand-in booking desk."""
    app = BookingDesk(service_seconds).app()
    run(partial(_serve, app, address), backend_options={"use_uvloop": True})


async def _serve_engine(model: Engine, address: str) -> None:
    """Serve the engine's HTTP API and run its steps."""
    async with create_task_group() as group:
        group.start_soon(model.run)
        await _serve(model.app(), address)
        group.cancel_scope.cancel()


async def _serve(app: Starlette, address: str) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    settings = ProcessSettings("stand-in", address, "local", "", [])
    stop = Event()
    async with create_task_group() as group:
        group.start_soon(serve_app, app, settings, stop)
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            async for _ in signals:
                break
        stop.set()


if __name__ == "__main__":
    main()
