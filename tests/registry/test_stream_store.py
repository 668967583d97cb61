"""Streams on the disk of a member: failures of the disk, and what the log needs."""

from pathlib import Path
from tempfile import TemporaryDirectory
from time import sleep as block

from anyio import create_task_group, fail_after, run, sleep
from attrs import define
from nose2.tools import params

from pistachiolever.control.storage import FolderDisk
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.stream_store import StreamStore
from pistachiolever.streams.const import JOURNAL_DISK_FACTOR, JOURNAL_FILES
from pistachiolever.streams.journal import StreamJournal
from pistachiolever.streams.models import StreamOrigin, StreamReport
from pistachiolever.streams.table import StreamTable
from tests.support.cases import CaseTest
from tests.support.full_volume import FullVolume

ORIGIN = StreamOrigin("s", "v1")
REPORT = StreamReport([ORIGIN], 60_000)
TIMEOUT_SECONDS = 10.0


def make_store(disk: FolderDisk, lines: list[str]) -> StreamStore:
    """Return a store that logs to a list."""
    events = EventLogger("a", lambda: 0, lines.append)
    return StreamStore(StreamJournal(StreamTable()), disk, events)


def report(store: StreamStore, key: str) -> None:
    """Let a store save a stream."""
    store.add(store.journal.table.merge({key: REPORT}, store.now()))


@define
class SlowDisk(FolderDisk):
    """A disk whose writes take `seconds`."""

    seconds: float = 0.05
    writes: int = 0

    def append(self, name: str, data: bytes) -> None:
        """Append slowly."""
        self.writes += 1
        block(self.seconds)
        super().append(name, data)


class AwaitedSaveTest(CaseTest):
    """A router learns whether its streams are on disk."""

    def save(self, *key_groups: list[str]) -> tuple[list[bool], int]:
        """Return the outcomes of saves that come together, and the writes."""
        outcomes: list[bool] = []
        disks: list[SlowDisk] = []

        async def test() -> None:
            with TemporaryDirectory() as name, fail_after(TIMEOUT_SECONDS):
                disk = SlowDisk(Path(name))
                disks.append(disk)
                store = make_store(disk, [])

                async def save(keys: list[str]) -> None:
                    store.journal.table.merge(dict.fromkeys(keys, REPORT), store.now())
                    outcomes.append(await store.save(keys))
                    restarted = StreamJournal(StreamTable())
                    file = store.journal.current.name
                    restarted.restore(file, disk.read(file) or b"", store.now())
                    outcomes.append(restarted.table.record_by_key.keys() >= set(keys))

                async with create_task_group() as group:
                    group.start_soon(store.run)
                    async with create_task_group() as routers:
                        for keys in key_groups:
                            routers.start_soon(save, keys)
                    group.cancel_scope.cancel()
                disk.close()

        run(test)
        return outcomes, disks[0].writes

    def test_streams_of_several_routers_are_saved_together(self) -> None:
        outcomes, writes = self.save(["a", "b"], ["c"], ["b"])
        self.assertEqual(outcomes, 6 * [True])
        self.assertLessEqual(writes, 2)

    # A router would have forwarded events of a stream that no disk has.
    def test_router_learns_that_the_disk_is_full(self) -> None:
        volume = FullVolume(0, False)
        outcomes: list[bool] = []

        async def test() -> None:
            with TemporaryDirectory() as name, fail_after(TIMEOUT_SECONDS):
                store = make_store(FolderDisk(Path(name)), [])
                async with create_task_group() as group:
                    group.start_soon(store.run)
                    for folders in ({Path(name)}, set()):
                        volume.full_folders = folders
                        store.journal.table.merge({"a": REPORT}, store.now())
                        outcomes.append(await store.save(["a"]))
                    group.cancel_scope.cancel()

        with volume.mounted():
            run(test)
        self.assertEqual(outcomes, [False, True])


class StreamStoreTest(CaseTest):
    """A disk in trouble delays the journal, and nothing else."""

    # The volume takes a part of a line before it fails.
    @params((0, False), (10, False), (10, True))
    def test_streams_are_saved_once_a_full_disk_has_room(
        self, partial_bytes: int, keeps_size: bool
    ) -> None:
        volume = FullVolume(partial_bytes, keeps_size)
        lines: list[str] = []

        async def test() -> None:
            with TemporaryDirectory() as name, fail_after(TIMEOUT_SECONDS):
                disk = FolderDisk(Path(name))
                store = make_store(disk, lines)
                async with create_task_group() as group:
                    group.start_soon(store.run)
                    report(store, "a")
                    while not store.journal.current.size:
                        await sleep(0.01)
                    volume.full_folders = {Path(name)}
                    report(store, "b")
                    while not volume.failure_count:
                        await sleep(0.01)
                    volume.full_folders = set()
                    while store.is_failing or store.journal.unsaved:
                        await sleep(0.01)
                    group.cancel_scope.cancel()
                disk.close()
                restarted = make_store(FolderDisk(Path(name)), lines)
                self.assertEqual(restarted.load(), 2)

        with volume.mounted():
            run(test)
        logged = [line for line in lines if "STREAMS_" in line]
        self.assertEqual(len(logged), 2, lines)

    # A line that was cut short ran into the next one, which was then damaged, too.
    def test_line_after_a_torn_one_is_whole(self) -> None:
        lines: list[str] = []

        async def test() -> None:
            with TemporaryDirectory() as name, fail_after(TIMEOUT_SECONDS):
                (Path(name) / JOURNAL_FILES[0]).write_bytes(b"0000abcd {")
                for key, known in (("a", 0), ("b", 1), ("c", 2)):
                    disk = FolderDisk(Path(name))
                    store = make_store(disk, lines)
                    self.assertEqual(store.load(), known)
                    async with create_task_group() as group:
                        group.start_soon(store.run)
                        report(store, key)
                        size = store.journal.current.size
                        while store.journal.current.size == size:
                            await sleep(0.01)
                        group.cancel_scope.cancel()
                    disk.close()

        run(test)

    # Damage in the middle loses its own line only, and is logged.
    def test_damaged_file_is_logged(self) -> None:
        lines: list[str] = []
        with TemporaryDirectory() as name:
            (Path(name) / JOURNAL_FILES[1]).write_bytes(b"no line\n\n")
            disk = FolderDisk(Path(name))

            async def load() -> int:
                return make_store(disk, lines).load()

            self.assertEqual(run(load), 0)
            disk.close()
        self.assertEqual(len([x for x in lines if "STREAMS_DAMAGED" in x]), 1, lines)

    # A file that cannot be read must not keep a member from starting.
    def test_file_that_cannot_be_read_is_logged(self) -> None:
        lines: list[str] = []
        with TemporaryDirectory() as name:
            (Path(name) / JOURNAL_FILES[0]).mkdir()
            disk = FolderDisk(Path(name))

            async def load() -> int:
                return make_store(disk, lines).load()

            self.assertEqual(run(load), 0)
            disk.close()
        self.assertIn("STREAMS_DAMAGED", "".join(lines))

    # Acks: the log shares the disk, so a slow one is left to it most of the time.
    def test_slow_disk_is_left_to_the_log(self) -> None:
        async def test() -> None:
            with TemporaryDirectory() as name, fail_after(TIMEOUT_SECONDS):
                disk = SlowDisk(Path(name))
                store = make_store(disk, [])
                started_at = store.now()
                async with create_task_group() as group:
                    group.start_soon(store.run)
                    for number in range(100):
                        report(store, f"k{number}")
                        await sleep(0.01)
                    group.cancel_scope.cancel()
                seconds = store.now() - started_at
                used = disk.writes * disk.seconds
                self.assertGreater(disk.writes, 1)
                self.assertLess(used, seconds / JOURNAL_DISK_FACTOR)
                disk.close()

        run(test)
