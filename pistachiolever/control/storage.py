"""Persistence of a control process in a data folder, synced before any reply."""

import fcntl
import os
from pathlib import Path
from typing import Any, Protocol, TypeVar

from attrs import define, field, frozen
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union
from orjson import JSONDecodeError, dumps, loads

from pistachiolever.control.const import (
    DURABLE_FILES,
    FORMAT_VERSION,
    IDENTITY_FILE,
    LOCK_FILE,
    LOG_FILE,
    SNAPSHOT_FILE,
)
from pistachiolever.core.checksummed_lines import encode_line, verified_body
from pistachiolever.raft.models import Entry, HardState, Snapshot, StoredLog

T = TypeVar("T")
Record = HardState | Entry

_converter = make_converter()
configure_tagged_union(Record, _converter, tag_name="kind")


class StorageError(Exception):
    """The data folder cannot be used; the message says why and what to do."""


@frozen
class Identity:
    """The member that owns this data folder.

    `may_vote` is false if the folder may replace a lost one of the same member, which
    may have recorded a vote. `founders` are the initial voters of a registry, empty for
    a member that has to join; other control processes don't use them.
    """

    member_id: str
    may_vote: bool
    format_version: int = FORMAT_VERSION
    founders: list[str] = field(factory=list)


class Disk(Protocol):
    """File operations that LogStorage requires."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it and its folder."""

    def truncate(self, name: str, size: int) -> None:
        """Drop what follows the first bytes of a file, at the next `append` at last."""


@define
class FolderDisk:
    """A data folder, locked for one process.

    `whole_bytes_by_name` are the sizes of files without what is left of writes that
    have failed. A full disk may refuse to truncate a file, too, so the rest is removed
    before the next write.
    """

    folder: Path
    lock: int = field(init=False)
    open_files: dict[str, int] = field(factory=dict)
    whole_bytes_by_name: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create and lock the folder, and sync what an earlier process left in it.

        That process may have been killed between a write and its sync. Raise
        StorageError if the folder is in use, OSError if it is new and can't be written,
        or can't be synced.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        # The lock is held as long as the file is open.
        self.lock = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            detail = f"{self.folder}: another process uses this data folder"
            raise StorageError(detail) from error
        try:
            self._sync_files()
        except OSError:
            os.close(self.lock)
            raise

    def close(self) -> None:
        """Unlock the folder."""
        for descriptor in self.open_files.values():
            os.close(descriptor)
        self.open_files.clear()
        os.close(self.lock)

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it, and sync the folder of a new file."""
        descriptor = self.open_files.get(name)
        if descriptor is None:
            descriptor = self._open(name)
        size = os.lseek(descriptor, 0, os.SEEK_END)
        whole_bytes = self.whole_bytes_by_name.setdefault(name, size)
        if size > whole_bytes:
            os.ftruncate(descriptor, whole_bytes)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
        self.whole_bytes_by_name[name] = whole_bytes + len(data)

    def truncate(self, name: str, size: int) -> None:
        """Drop what follows the first bytes of a file, at the next `append`."""
        self.whole_bytes_by_name[name] = size

    def _open(self, name: str) -> int:
        """Open a file for `append`; its folder is synced, as the file may be new."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(self.folder / name, flags, 0o600)
        try:
            self._sync_folder()
        except OSError:
            os.close(descriptor)
            raise
        self.open_files[name] = descriptor
        return descriptor

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it and its folder."""
        descriptor = self.open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
        temporary = self.folder / f"{name}.new"
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.folder / name)
        self.whole_bytes_by_name[name] = len(data)
        self._sync_folder()

    def _sync_files(self) -> None:
        """Sync the files whose content counts once it was read, and their names."""
        names = [n for n in DURABLE_FILES if (self.folder / n).exists()]
        for name in names:
            descriptor = os.open(self.folder / name, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        if names:
            self._sync_folder()

    def _sync_folder(self) -> None:
        """Sync the folder, so that new and renamed files persist."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


@define
class LogStorage:
    """The persisted log, term and snapshot of a member.

    The log file holds checksummed lines. An entry replaces all entries from its
    index on. An invalid last line is the result of a crash and is dropped; an invalid
    line with valid ones after it is damage and raises StorageError.
    """

    disk: Disk
    log_bytes: int = 0

    def load(self) -> StoredLog:
        """Return the persisted state; raise StorageError if it is damaged."""
        snapshot = self._load_snapshot()
        hard_state = HardState()
        entries: list[Entry] = []
        for record in self._load_records():
            if isinstance(record, HardState):
                hard_state = record
                continue
            # A crash between the two writes of `replace` leaves the old log beside
            # the new snapshot.
            if record.index <= snapshot.index or record.term < snapshot.term:
                continue
            offset = record.index - snapshot.index - 1
            if offset > len(entries):
                raise StorageError(
                    f"{LOG_FILE}: entry {record.index} follows entry "
                    f"{snapshot.index + len(entries)}; restore this folder"
                )
            del entries[offset:]
            entries.append(record)
        return StoredLog(hard_state, snapshot, entries)

    def append(self, records: list[Record]) -> None:
        """Append records with one sync."""
        data = b"".join(_encode_record(record) for record in records)
        self.disk.append(LOG_FILE, data)
        self.log_bytes += len(data)

    def replace(
        self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]
    ) -> None:
        """Write a snapshot, then a log that starts after it."""
        body = dumps(_converter.unstructure(snapshot))
        self.disk.replace(SNAPSHOT_FILE, encode_line(body))
        records: list[Record] = [hard_state, *entries]
        data = b"".join(_encode_record(record) for record in records)
        self.disk.replace(LOG_FILE, data)
        self.log_bytes = len(data)

    def load_identity(self) -> Identity | None:
        """Return the identity, or None for a new folder."""
        data = self.disk.read(IDENTITY_FILE)
        if data is None:
            return None
        identity = _converter.structure(loads(data), Identity)
        if identity.format_version != FORMAT_VERSION:
            raise StorageError(
                f"{IDENTITY_FILE}: format {identity.format_version} is not "
                f"{FORMAT_VERSION}; use the program version that wrote it"
            )
        return identity

    def save_identity(self, identity: Identity) -> None:
        """Write the identity."""
        self.disk.replace(IDENTITY_FILE, dumps(_converter.unstructure(identity)))

    def _load_snapshot(self) -> Snapshot:
        """Return the snapshot, or an empty one."""
        data = self.disk.read(SNAPSHOT_FILE)
        if data is None:
            return Snapshot()
        body = verified_body(data.rstrip(b"\n"))
        if body is None:
            raise StorageError(f"{SNAPSHOT_FILE}: damaged; restore this folder")
        return _converter.structure(loads(body), Snapshot)

    def _load_records(self) -> list[Record]:
        """Return the records of the log; drop an invalid end."""
        data = self.disk.read(LOG_FILE)
        if data is None:
            return []
        lines = data.split(b"\n")
        has_invalid_end = lines.pop() != b""
        records: list[Record] = []
        valid_bytes = 0
        for number, line in enumerate(lines):
            body = verified_body(line)
            if body is None:
                if any(
                    verified_body(later) is not None for later in lines[number + 1 :]
                ):
                    raise StorageError(
                        f"{LOG_FILE}: line {number + 1} is damaged and others follow; "
                        "restore this folder from a backup or replace this VM"
                    )
                has_invalid_end = True
                break
            records.append(_decode_record(body))
            valid_bytes += len(line) + 1
        if has_invalid_end:
            self.disk.truncate(LOG_FILE, valid_bytes)
        self.log_bytes = valid_bytes
        return records


def _encode_record(record: Record) -> bytes:
    """Return a record as a line with its checksum."""
    as_type: Any = Record
    return encode_line(dumps(_converter.unstructure(record, unstructure_as=as_type)))


def _decode_record(body: bytes) -> Record:
    """Return the record of a line's body."""
    as_type: Any = Record
    try:
        record: Record = _converter.structure(loads(body), as_type)
    except (JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise StorageError(f"{LOG_FILE}: a record has an unknown format") from error
    return record
