"""Folders on a volume without room: each write to them fails, some after a part."""

import builtins
import os
from collections.abc import Iterator
from contextlib import contextmanager
from errno import ENOSPC
from pathlib import Path
from typing import Any
from unittest.mock import patch

from attrs import define, field


@define
class FullVolume:
    """Lets writes of this process to the files in `full_folders` fail.

    A write to a file that is open takes `partial_bytes` before it fails. Files can be
    opened unless they would have to be created. With `keeps_size` they can't be
    truncated either.
    """

    partial_bytes: int = 0
    keeps_size: bool = False
    full_folders: set[Path] = field(factory=set)
    failure_count: int = 0
    _open: Any = os.open
    _write: Any = os.write
    _truncate: Any = os.ftruncate
    _open_file: Any = builtins.open

    def _is_full(self, path: Any) -> bool:
        """Return whether a path is in a full folder."""
        return any(folder in Path(path).parents for folder in self.full_folders)

    def _fail(self) -> OSError:
        """Count a failure and return its error."""
        self.failure_count += 1
        return OSError(ENOSPC, os.strerror(ENOSPC))

    def open(self, path: Any, flags: int, *args: Any, **kwargs: Any) -> int:
        """Open a file unless it would have to be created."""
        if flags & os.O_CREAT and self._is_full(path) and not Path(path).exists():
            raise self._fail()
        return int(self._open(path, flags, *args, **kwargs))

    def open_file(self, path: Any, mode: str = "r", *args: Any, **kwargs: Any) -> Any:
        """Open a file unless something is to be written."""
        if mode[0] in "wa" and not isinstance(path, int) and self._is_full(path):
            raise self._fail()
        return self._open_file(path, mode, *args, **kwargs)

    def write(self, descriptor: int, data: Any) -> int:
        """Write a part of the data, then nothing."""
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if not self._is_full(path):
            return int(self._write(descriptor, data))
        if len(data) <= self.partial_bytes or not self.partial_bytes:
            raise self._fail()
        return int(self._write(descriptor, data[: self.partial_bytes]))

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file unless its size has to stay."""
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if self.keeps_size and self._is_full(path):
            raise self._fail()
        self._truncate(descriptor, size)

    @contextmanager
    def mounted(self) -> Iterator[None]:
        """Use the volume for all files of this process."""
        with (
            patch.object(os, "open", self.open),
            patch.object(os, "write", self.write),
            patch.object(os, "ftruncate", self.truncate),
            patch.object(builtins, "open", self.open_file),
        ):
            yield
