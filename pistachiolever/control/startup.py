"""Opens the data folder of a process that starts, once its disk has room."""

from collections.abc import Callable
from pathlib import Path

from anyio import sleep

from pistachiolever.control.const import (
    DISK_RETRY_SECONDS,
    IDENTITY_FILE,
    ROOM_BYTES,
    ROOM_FILE,
)
from pistachiolever.control.storage import FolderDisk


async def open_disk(
    folder: Path, report_failure: Callable[[OSError], None]
) -> FolderDisk:
    """Return a data folder; wait while it is new and its disk is full.

    Raise StorageError if another process uses it.
    """
    while True:
        try:
            disk = FolderDisk(folder)
            _check_room(disk)
        except OSError as error:
            report_failure(error)
            await sleep(DISK_RETRY_SECONDS)
            continue
        return disk


def _check_room(disk: FolderDisk) -> None:
    """Raise OSError if the identity of a new member could not be written."""
    if disk.read(IDENTITY_FILE) is not None:
        return
    try:
        disk.replace(ROOM_FILE, b"")
        disk.append(ROOM_FILE, bytes(ROOM_BYTES))
    except OSError:
        disk.close()
        raise
