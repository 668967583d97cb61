"""Folders whose machines can lose power: files fall back to what was synced."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from errno import EIO
from pathlib import Path
from typing import Any
from unittest.mock import patch

from attrs import define, field


@define
class PowerVolume:
    """Remembers the content of each file of this process at its last sync.

    Syncs of files in `held_folders` fail, what was written stays there.
    """

    held_folders: set[Path] = field(factory=set)
    failure_count: int = 0
    synced_by_path: dict[Path, bytes] = field(factory=dict)
    _fsync: Any = os.fsync
    _replace: Any = os.replace

    def fsync(self, descriptor: int) -> None:
        """Sync a file or a folder."""
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.parent in self.held_folders:
            self.failure_count += 1
            raise OSError(EIO, os.strerror(EIO))
        self._fsync(descriptor)
        if path.is_file():
            self.synced_by_path[path] = path.read_bytes()

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file; its name counts as synced, too."""
        self._replace(source, target)
        self.synced_by_path[target] = self.synced_by_path.pop(source, b"")

    def lose_power(self, folder: Path) -> None:
        """Let the files of a folder fall back to their last sync."""
        for path in folder.iterdir():
            path.write_bytes(self.synced_by_path.get(path, b""))

    @contextmanager
    def mounted(self) -> Iterator[None]:
        """Use the volume for all files of this process."""
        with (
            patch.object(os, "fsync", self.fsync),
            patch.object(os, "replace", self.replace),
        ):
            yield
