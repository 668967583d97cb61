"""Log storage: incomplete writes, damage, locks and crashes."""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

from nose2.tools import params

from pistachiolever.control.const import LOG_FILE, SNAPSHOT_FILE
from pistachiolever.control.storage import (
    FolderDisk,
    Identity,
    LogStorage,
    Record,
    StorageError,
)
from pistachiolever.raft.models import Entry, HardState, Snapshot, StoredLog


class MemoryDisk:
    """An in-memory Disk."""

    def __init__(self) -> None:
        """Start empty."""
        self.content_by_name: dict[str, bytes] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file."""
        return self.content_by_name.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        self.content_by_name[name] = self.content_by_name.get(name, b"") + data

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file."""
        self.content_by_name[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Drop what follows the first bytes."""
        self.content_by_name[name] = self.content_by_name[name][:size]


def sample_records() -> list[Record]:
    """Return records in which a later entry replaces earlier ones."""
    return [
        HardState(1, "a"),
        Entry(1, 1, "one"),
        Entry(2, 1, "two"),
        Entry(3, 1, "three"),
        HardState(2, ""),
        Entry(2, 2, "other two"),
    ]


class StorageTest(TestCase):
    """Synced records are loaded again; damage is detected."""

    def test_entries_replace_later_ones(self) -> None:
        disk = MemoryDisk()
        LogStorage(disk).append(sample_records())
        stored = LogStorage(disk).load()
        self.assertEqual(stored.hard_state, HardState(2, ""))
        self.assertEqual(stored.entries, [Entry(1, 1, "one"), Entry(2, 2, "other two")])

    def test_any_truncation_loses_only_the_incomplete_record(self) -> None:
        original = MemoryDisk()
        LogStorage(original).append(sample_records())
        content = original.content_by_name[LOG_FILE]
        for length in range(len(content)):
            disk = MemoryDisk()
            disk.content_by_name[LOG_FILE] = content[:length]
            LogStorage(disk).load()
            remaining = disk.content_by_name[LOG_FILE]
            self.assertTrue(content.startswith(remaining))
            self.assertEqual(remaining.count(b"\n"), content[:length].count(b"\n"))

    def test_damage_in_the_middle_is_refused(self) -> None:
        original = MemoryDisk()
        LogStorage(original).append(sample_records())
        content = original.content_by_name[LOG_FILE]
        last_line = content.rstrip(b"\n").rfind(b"\n")
        rng = Random(3)
        for _ in range(200):
            position = rng.randrange(last_line)
            damaged = bytearray(content)
            damaged[position] ^= 1 << rng.randrange(8)
            if bytes(damaged).count(b"\n") != content.count(b"\n"):
                continue
            disk = MemoryDisk()
            disk.content_by_name[LOG_FILE] = bytes(damaged)
            with self.assertRaises(StorageError):
                LogStorage(disk).load()

    def test_damaged_snapshot_is_refused(self) -> None:
        disk = MemoryDisk()
        LogStorage(disk).replace(Snapshot(3, 1, "state"), HardState(1, ""), [])
        body = disk.content_by_name[SNAPSHOT_FILE].replace(b"state", b"stale")
        disk.content_by_name[SNAPSHOT_FILE] = body
        with self.assertRaises(StorageError):
            LogStorage(disk).load()

    def test_crash_between_snapshot_and_log(self) -> None:
        disk = MemoryDisk()
        storage = LogStorage(disk)
        entries: list[Record] = [Entry(i, 1, str(i)) for i in range(1, 6)]
        storage.append([HardState(1, "a"), *entries])
        log = disk.content_by_name[LOG_FILE]
        storage.replace(Snapshot(3, 1, "s"), HardState(1, "a"), [Entry(4, 1, "4")])
        disk.content_by_name[LOG_FILE] = log
        stored = LogStorage(disk).load()
        self.assertEqual(stored.snapshot.index, 3)
        self.assertEqual([entry.index for entry in stored.entries], [4, 5])
        self.assertEqual(stored.hard_state, HardState(1, "a"))

    @params((1, True), (99, False))
    def test_format_version(self, version: int, accepted: bool) -> None:
        storage = LogStorage(MemoryDisk())
        storage.save_identity(Identity("a", True, version))
        if accepted:
            self.assertEqual(storage.load_identity(), Identity("a", True))
            return
        with self.assertRaises(StorageError):
            storage.load_identity()

    def test_folder_is_locked_and_persistent(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name) / "data"
            disk = FolderDisk(folder)
            with self.assertRaises(StorageError):
                FolderDisk(folder)
            LogStorage(disk).append([HardState(4, "b"), Entry(1, 4, "x")])
            disk.close()
            reopened = FolderDisk(folder)
            stored = LogStorage(reopened).load()
            reopened.close()
        expected = StoredLog(HardState(4, "b"), Snapshot(), [Entry(1, 4, "x")])
        self.assertEqual(stored, expected)
