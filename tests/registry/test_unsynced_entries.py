"""Entries that a member wrote and did not sync before it was killed."""

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup

from tests.registry.test_process import Fleet, document, run_with_fleet
from tests.support.cases import CaseTest
from tests.support.power_volume import PowerVolume


class UnsyncedEntryTest(CaseTest):
    """An acknowledged configuration survives whatever was synced when."""

    # LOST: a restarted member told the leader that it had an entry, which was only in
    # the cache of its system. After a loss of its power and of the leader's disk the
    # acknowledged configuration was gone.
    def test_entry_counts_only_once_it_is_synced(self) -> None:
        volume = PowerVolume()

        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            leader = fleet.leader()
            follower, lagging = (name for name in "abc" if name != leader)
            await fleet.until(lambda: self.has_version(fleet, lagging, 1))
            await fleet.until(lambda: self.has_version(fleet, follower, 1))
            await fleet.stop(lagging)
            async with create_task_group() as group:
                await self.write_unsynced(fleet, volume, group, leader, follower)
                fleet.start(follower)
                await fleet.until(lambda: self.has_version(fleet, follower, 2))
            await fleet.stop(leader)
            await fleet.stop(follower)
            volume.lose_power(fleet.root / follower)
            fleet.start(follower)
            fleet.start(lagging)
            self.assertEqual(await fleet.read(), document(2))

        with volume.mounted():
            run_with_fleet(test)

    async def write_unsynced(
        self,
        fleet: Fleet,
        volume: PowerVolume,
        group: TaskGroup,
        leader: str,
        follower: str,
    ) -> None:
        """Store a configuration; kill the follower between its write and its sync."""
        volume.held_folders = {fleet.root / follower}
        process = fleet.member_by_name[leader].process
        group.start_soon(process.store, document(2))
        while not volume.failure_count:
            await sleep(0.01)
        await fleet.stop(follower)
        volume.held_folders = set()

    def has_version(self, fleet: Fleet, name: str, version: int) -> bool:
        """Return whether a member has applied a configuration."""
        state = fleet.member_by_name[name].process.state
        return state.configuration.version == version
