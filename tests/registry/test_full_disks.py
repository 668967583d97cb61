"""Members whose disks are full for a while, one after the other."""

from itertools import product
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from anyio import create_task_group, fail_after, run, sleep
from attrs import frozen
from nose2.tools import params

from pistachiolever.control import consensus
from pistachiolever.control.const import LOG_FILE
from pistachiolever.control.startup import open_disk
from pistachiolever.control.storage import FolderDisk, Identity, LogStorage
from pistachiolever.raft.models import Entry, HardState
from tests.registry.test_process import Fleet, document, run_with_fleet
from tests.support.cases import CaseTest
from tests.support.full_volume import FullVolume

# Longer than an election, so that a leader with a full disk is replaced.
FULL_SECONDS = 1.5
# A change is acknowledged within this time once all disks have room.
ACKNOWLEDGED_SECONDS = 4.0
CHANGE_GAP_SECONDS = 0.05


@frozen
class Case:
    """How a full disk fails, and after how many entries logs are compacted."""

    partial_bytes: int
    keeps_size: bool
    compact_entries: int


CASES = [Case(*values) for values in product((0, 1, 100), (False, True), (5, 10_000))]


class FullDisksTest(CaseTest):
    """Full disks delay changes, and nothing is lost or refused once they have room."""

    # Acks, CONFIG: changes were refused, or stayed without an answer, long after the
    # last of the disks that had been full in turn had room again.
    @params(*CASES)
    def test_disks_full_in_turn(self, case: Case) -> None:
        volume = FullVolume(case.partial_bytes, case.keeps_size)

        async def change(fleet: Fleet, versions: list[int]) -> None:
            """Store one configuration after the other."""
            while True:
                version = len(versions) + 2
                versions.append(await fleet.store(document(version, 200 * "x")))
                await sleep(CHANGE_GAP_SECONDS)

        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            first = fleet.leader()
            order = [first, *(name for name in "abc" if name != first), first]
            versions: list[int] = []
            async with create_task_group() as group:
                group.start_soon(change, fleet, versions)
                for name in order:
                    volume.full_folders = {fleet.root / name}
                    await sleep(FULL_SECONDS)
                    volume.full_folders = set()
                group.cancel_scope.cancel()
            self.assertGreater(volume.failure_count, 0)
            last = document(len(versions) + 10)
            with fail_after(ACKNOWLEDGED_SECONDS):
                await fleet.store(last)
            for name in "abc":
                process = fleet.member_by_name[name].process
                await fleet.until(
                    lambda process=process: (  # type: ignore[misc]
                        process.state.configuration.document.encode() == last
                    )
                )
            for name in "abc":
                await fleet.stop(name)
            for name in "abc":
                fleet.start(name)
            self.assertEqual(await fleet.read(), last)

        with (
            volume.mounted(),
            patch.object(consensus, "SNAPSHOT_THRESHOLD_ENTRIES", case.compact_entries),
        ):
            run_with_fleet(test)


class StartTest(CaseTest):
    """A process that starts while its disk is full waits for room."""

    # Processes ended by themselves: a member was started on a new disk that was full.
    def test_new_folder_is_opened_once_there_is_room(self) -> None:
        volume = FullVolume()
        errors: list[OSError] = []

        async def open_folder() -> None:
            with TemporaryDirectory() as name, fail_after(ACKNOWLEDGED_SECONDS):
                folder = Path(name) / "data"
                volume.full_folders = {Path(name)}

                def note(error: OSError) -> None:
                    errors.append(error)
                    if len(errors) == 3:
                        volume.full_folders = set()

                disk = await open_disk(folder, note)
                LogStorage(disk).save_identity(Identity("a", True))
                disk.close()

        with volume.mounted():
            run(open_folder)
        self.assertEqual(len(errors), 3)


class FullLogTest(CaseTest):
    """What a full disk took of a record does not damage the log."""

    # Acks: the rest of a write that could not be taken back stayed in the log, and the
    # member refused to start again.
    @params(1, 20, 60)
    def test_partial_write_that_can_not_be_truncated(self, partial_bytes: int) -> None:
        volume = FullVolume(partial_bytes, keeps_size=True)
        with TemporaryDirectory() as name, volume.mounted():
            disk = FolderDisk(Path(name))
            storage = LogStorage(disk)
            storage.append([HardState(1, "a"), Entry(1, 1, "one")])
            volume.full_folders = {Path(name)}
            with self.assertRaises(OSError):
                storage.append([Entry(2, 1, 100 * "two")])
            volume.full_folders = set()
            storage.append([Entry(2, 1, 100 * "two")])
            disk.close()
            disk = FolderDisk(Path(name))
            stored = LogStorage(disk).load()
            disk.close()
        self.assertEqual(stored.entries, [Entry(1, 1, "one"), Entry(2, 1, 100 * "two")])

    # A process that was started while its disk was full ended by itself.
    @params(b"", b"00000000 half a rec")
    def test_log_is_read_from_a_full_disk(self, rest: bytes) -> None:
        volume = FullVolume()
        with TemporaryDirectory() as name, volume.mounted():
            disk = FolderDisk(Path(name))
            LogStorage(disk).append([HardState(1, "a"), Entry(1, 1, "one")])
            disk.close()
            with (Path(name) / LOG_FILE).open("ab") as file:
                file.write(rest)
            volume.full_folders = {Path(name)}
            disk = FolderDisk(Path(name))
            stored = LogStorage(disk).load()
            disk.close()
        self.assertEqual(stored.entries, [Entry(1, 1, "one")])
