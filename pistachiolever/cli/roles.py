"""Commands that run a router, sidecar, control process or standalone fleet."""

from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from signal import SIGINT, SIGTERM

from absl import logging
from anyio import Event, create_task_group, open_signal_receiver, run
from anyio.abc import TaskStatus
from click import Path as ClickPath, command, echo, option

from pistachiolever.cli.const import DEMO_BASE_PORT, EXIT_FAILED
from pistachiolever.cli.output import CommandFailedError, InvalidInputError, show
from pistachiolever.const import PROTOCOL_VERSION, VERSION
from pistachiolever.settings.errors import InvalidDocumentError
from pistachiolever.settings.loader import load_settings
from pistachiolever.settings.models import ProcessSettings

SETTINGS_OPTION = option(
    "--settings",
    "path",
    type=ClickPath(path_type=Path),
    required=True,
    help="JSON settings file of this process.",
)
RoleRunner = Callable[[ProcessSettings, Event], Awaitable[None]]


def read_settings(path: Path, role: str) -> ProcessSettings:
    """Load and validate settings; fail with a list of all problems."""
    try:
        return load_settings(path, role)
    except InvalidDocumentError as error:
        raise InvalidInputError.from_error(error) from error


def run_role(runner: RoleRunner, settings: ProcessSettings) -> None:
    """Run a role until SIGTERM or SIGINT, then drain it."""
    logging.use_absl_handler()
    run(
        partial(_run_until_signal, runner, settings),
        backend_options={"use_uvloop": True},
    )


async def _run_until_signal(runner: RoleRunner, settings: ProcessSettings) -> None:
    """Run a role; the first signal makes it drain."""
    stop = Event()
    async with create_task_group() as group:
        await group.start(_stop_on_signal, stop)
        await runner(settings, stop)
        group.cancel_scope.cancel()


async def _stop_on_signal(stop: Event, *, task_status: TaskStatus[None]) -> None:
    """Set the event at the first signal."""
    with open_signal_receiver(SIGTERM, SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            stop.set()


@command()
@SETTINGS_OPTION
def router(path: Path) -> None:
    """Run a router on an entry VM.

    Example: pistachiolever router --settings router-1.json
    """
    from pistachiolever.cli.processes import run_router

    run_role(run_router, read_settings(path, "router"))


@command()
@SETTINGS_OPTION
def sidecar(path: Path) -> None:
    """Run the sidecar of an endpoint.

    Example: pistachiolever sidecar --settings engine-1.json
    """
    from pistachiolever.cli.processes import run_sidecar

    run_role(run_sidecar, read_settings(path, "sidecar"))


@command()
@SETTINGS_OPTION
def control(path: Path) -> None:
    """Run a control process on a VM with persistent storage.

    Example: pistachiolever control --settings control-1.json
    """
    from pistachiolever.cli.processes import run_control
    from pistachiolever.control.storage import StorageError

    settings = read_settings(path, "control")
    try:
        run_role(run_control, settings)
    except* StorageError as group:
        raise CommandFailedError(str(group.exceptions[0]), EXIT_FAILED) from group


@command()
@SETTINGS_OPTION
def init(path: Path) -> None:
    """Initialize the data folder of a voting control process of a new fleet.

    Do not initialize a folder again after its data was lost. Without this
    command the process joins as a learner, without a vote, so that it cannot
    contradict votes and acknowledgements that it gave before the loss.

    Example: pistachiolever init --settings control-1.json
    """
    from pistachiolever.control.storage import (
        FolderDisk,
        Identity,
        LogStorage,
        StorageError,
    )

    settings = read_settings(path, "control")
    assert settings.control is not None
    try:
        disk = FolderDisk(Path(settings.control.data_folder))
        storage = LogStorage(disk)
        if storage.load_identity() is not None:
            raise StorageError(f"{settings.control.data_folder}: already initialized")
        storage.save_identity(Identity(settings.address, True))
        disk.close()
    except StorageError as error:
        raise CommandFailedError(str(error), EXIT_FAILED) from error
    echo(f"{settings.control.data_folder}: initialized as voter {settings.address}")


@command()
@option(
    "--base-port",
    default=DEMO_BASE_PORT,
    help="First of the ports that the fleet uses.",
)
@option(
    "--data-folder",
    default="",
    help="Folder for the log of control; default: a temporary folder.",
)
@option(
    "--demo", is_flag=True, help="Send sample requests, print the answers and exit."
)
def standalone(base_port: int, data_folder: str, demo: bool) -> None:
    """Run a whole fleet with stand-in endpoints in one process.

    Example: pistachiolever standalone --demo
    """
    from pistachiolever.cli.standalone import make_standalone_body, run_standalone

    body = make_standalone_body(base_port, demo)
    run(
        partial(run_standalone, base_port, data_folder, body),
        backend_options={"use_uvloop": True},
    )


@command()
@option("--json", "as_json", is_flag=True, help="Print JSON.")
def version(as_json: bool) -> None:
    """Print the versions of the program and its protocol.

    Example: pistachiolever version --json
    """
    document = {"version": VERSION, "protocol": PROTOCOL_VERSION}
    show(document, [f"pistachiolever {VERSION}, protocol {PROTOCOL_VERSION}"], as_json)
