"""Streams begin only at software versions that a majority of the members knows."""

from tempfile import TemporaryDirectory

from anyio import create_task_group, fail_after, run, sleep
from anyio.abc import TaskGroup
from attrs import define, evolve, field
from nose2.tools import params

from tests.gateway.test_relay import CONFIGURATION, Result
from tests.gateway.test_stream_versions import (
    ResumedStream,
    Router,
    System,
    resume_stream,
    send,
    start_system,
    versions_in,
)
from tests.support.cases import CaseTest

ROUTE_SECONDS = 1.0
# Members that have heard of endpoints for so long know which versions have served.
KNOWN_SECONDS = 2 * ROUTE_SECONDS + 0.5
# Most members know a new version, and routers know that, after this time.
CONFIRMED_SECONDS = 1.0
BREAKS_AFTER = 5
STREAMS = 12


@define
class SplitSystem:
    """A system that is split into two parts; the smaller one has one member.

    Callers reach a router in each part. The endpoint of the second version announces
    itself in the smaller part.
    """

    group: TaskGroup
    system: System
    inside: Router
    outside: Router
    cut_sets: list[set[str]] = field(factory=list)

    def split(self) -> None:
        """Cut the first member and a router off from the others."""
        registry = self.system.registry
        first, *others = registry.seeds
        cut_by_name = registry.cut_by_name
        for cut, addresses in (
            (cut_by_name["a"], others),
            (cut_by_name["b"], [first]),
            (cut_by_name["c"], [first]),
            (self.inside.client.cut, others),
            (self.outside.client.cut, [first]),
        ):
            cut.update(addresses)
            self.cut_sets.append(cut)

    def isolate(self) -> None:
        """Cut one router off from all members."""
        self.outside.client.cut.update(self.system.registry.seeds)
        self.cut_sets.append(self.outside.client.cut)

    def heal(self) -> None:
        """Join the parts."""
        for cut in self.cut_sets:
            cut.clear()

    async def begin_streams(self) -> dict[str, Result]:
        """Begin streams in the smaller part; return what came of them by request."""
        result_by_id: dict[str, Result] = {}

        async def begin(request_id: str) -> None:
            result_by_id[request_id] = await send(self.inside, request_id)

        async with create_task_group() as callers:
            for number in range(STREAMS):
                callers.start_soon(begin, f"a{number}")
        return result_by_id


async def start_split_system(
    group: TaskGroup, root: str, is_split: bool
) -> SplitSystem:
    """Start the system and split it; then an endpoint of a second version joins.

    Unless `is_split`, only the router outside is cut off.
    """
    system = await start_system(group, root)
    routes = [evolve(r, timeout_seconds=ROUTE_SECONDS) for r in CONFIGURATION.routes]
    system.configuration = evolve(CONFIGURATION, routes=routes)
    await system.add_endpoint("v1", has_agent=False)
    split = SplitSystem(
        group, system, await system.start_router(), await system.start_router()
    )
    await sleep(KNOWN_SECONDS)
    if is_split:
        split.split()
        await system.registry.until(lambda: system.registry.leader() in ("b", "c"))
    else:
        split.isolate()
    await system.add_endpoint("v2", BREAKS_AFTER, has_agent=False)
    fleet = split.inside.process.fleet
    await system.registry.until(lambda: len(fleet.handle_by_id) == 2)
    return split


class SplitTest(CaseTest):
    """A part of the system does not know of a version that serves in the other part."""

    # Streams began at a version that only a member knew which was cut off. They were
    # resumed in the other part at the version that was the only one known there.
    @params(True, False)
    def test_stream_is_not_joined_from_versions_of_two_parts(
        self, is_split: bool
    ) -> None:
        streams = run(self.resume_streams, is_split)
        for stream in streams:
            self.assertLessEqual(len(stream.versions()), 1)
        begun = set().union(*(versions_in(stream.before) for stream in streams))
        self.assertEqual(begun, {"v1"} if is_split else {"v1", "v2"})

    def test_new_version_is_used_once_the_parts_are_joined(self) -> None:
        self.assertEqual(run(self.find_versions), {"v1", "v2"})

    async def resume_streams(self, is_split: bool) -> list[ResumedStream]:
        """Return streams that began in the smaller part and were resumed outside."""
        streams: list[ResumedStream] = []
        with TemporaryDirectory() as root, fail_after(25):
            async with create_task_group() as group:
                split = await start_split_system(group, root, is_split)
                if not is_split:
                    await sleep(CONFIRMED_SECONDS)
                for request_id, before in (await split.begin_streams()).items():
                    after = await resume_stream(split.outside, request_id, before, 1)
                    streams.append(ResumedStream(before, after))
                group.cancel_scope.cancel()
        return streams

    async def find_versions(self) -> set[str]:
        """Return the versions at which streams begin after the parts were joined."""
        versions: set[str] = set()
        with TemporaryDirectory() as root, fail_after(25):
            async with create_task_group() as group:
                split = await start_split_system(group, root, is_split=True)
                split.heal()
                while len(versions) < 2:
                    results = await split.begin_streams()
                    versions.update(*map(versions_in, results.values()))
                group.cancel_scope.cancel()
        return versions
