"""Streams that members keep on disk before their events are forwarded."""

from anyio import create_task_group, current_time
from nose2.tools import params

from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.registry.stream_recorder import MemberRecorder
from pistachiolever.streams.models import StreamOrigin, StreamReport
from tests.registry.test_process import CutClient, Fleet, run_with_fleet
from tests.support.cases import CaseTest

ORIGIN = StreamOrigin("s", "v2")
REPORT = StreamReport([ORIGIN], 60_000)
KEYS = [f"k{number}" for number in range(9)]


async def record_all(fleet: Fleet, cut: set[str]) -> list[bool]:
    """Record some streams at once while members are cut off; return the outcomes."""
    outcomes: list[bool] = []
    choice = MemberChoice("r", "north", lambda: fleet.seeds)
    recorder = MemberRecorder(CutClient(cut=cut), choice, current_time)

    async def record(key: str) -> None:
        outcomes.append(await recorder.record(key, REPORT))

    async with create_task_group() as group:
        group.start_soon(recorder.run)
        async with create_task_group() as routers:
            for key in KEYS:
                routers.start_soon(record, key)
        group.cancel_scope.cancel()
    return outcomes


def known_keys(process: RegistryProcess) -> set[str]:
    """Return the streams that a member knows."""
    return set(process.usage.aggregate.streams.record_by_key)


class StreamRecorderTest(CaseTest):
    """A majority of the members has a stream on disk, or it counts as unrecorded."""

    # ORDER: a stream that is not recorded counts as one of the base version.
    @params((0, True), (1, True), (2, False), (3, False))
    def test_members_that_are_cut_off(self, cut: int, is_recorded: bool) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            outcomes = await record_all(fleet, set(fleet.seeds[:cut]))
            self.assertEqual(outcomes, [is_recorded] * len(KEYS))

        run_with_fleet(test)

    # LOST: streams that were recorded are known after the loss of all processes.
    def test_streams_outlive_all_members(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            cut = {fleet.seeds[2]}
            self.assertTrue(all(await record_all(fleet, cut)))
            for name in "abc":
                await fleet.stop(name)
            for name in "abc":
                fleet.start(name)
            known = [
                known_keys(member.process) for member in fleet.member_by_name.values()
            ]
            self.assertEqual(known, [set(KEYS), set(KEYS), set()])

        run_with_fleet(test)
