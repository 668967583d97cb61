"""Streams that callers resume after all processes of the fleet were killed."""

from tempfile import TemporaryDirectory
from unittest.mock import patch

from anyio import create_task_group, fail_after, run, sleep
from attrs import evolve, field, frozen
from nose2.tools import params

from pistachiolever.streams.table import StreamLog
from tests.gateway.test_relay import Result
from tests.gateway.test_stream_versions import (
    STREAMS,
    Change,
    ResumedStream,
    System,
    lose_disks,
    resume_all,
    send,
    start_system,
    versions_in,
)
from tests.support.base_versions import early_base_versions
from tests.support.cases import CaseTest

# Slow enough that all streams are on disk long before the first one ends.
EVENT_SECONDS = 0.08
# The second kill comes so long after the first restart.
SECOND_KILL_SECONDS = 0.5
# Callers come back once: an agent that has just started refuses streams until it has
# heard of its engine.
EARLY_TRIES = 2
# The first events have reached the callers so long after the router sent them.
FORWARDED_SECONDS = 0.03
TIMEOUT_SECONDS = 40.0


async def change_nothing(system: System) -> None:
    """Let all endpoints serve on."""


async def replace_first(system: System) -> None:
    """Replace the first endpoint by a new one of another version."""
    del system.announcements[0]
    await system.add_endpoint("v2")


async def restart_first(system: System) -> None:
    """Restart the first endpoint under its id with another version.

    Its last announcement from before arrives late, at members that know nothing.
    """
    system.endpoints[0].version = "v2"
    system.probe(0).born_ms = 2


@frozen
class Case:
    """What happens to endpoints of some versions while all processes are down.

    `continued` are the versions of the streams that go on, `refused` those of the
    streams that don't. An endpoint of the version `joining` joins just before the
    streams begin. `is_early` is true if the processes are killed just after that,
    `has_base` if the first version has become the base version before.
    """

    name: str
    versions: list[str]
    continued: set[str]
    refused: set[str] = field(factory=set)
    change: Change = change_nothing
    kills: int = 1
    joining: str = ""
    is_early: bool = False
    has_base: bool = False


CASES = [
    Case("one version", ["v1", "v1"], {"v1"}),
    Case("two versions", ["v1", "v2", "v1", "v2"], {"v1", "v2"}),
    Case("killed twice", ["v1", "v2"], {"v1", "v2"}, kills=2),
    Case("one of its version is replaced", 3 * ["v1"], {"v1"}, set(), replace_first),
    Case("the last one is replaced", ["v1", "v2"], {"v2"}, {"v1"}, replace_first),
    Case("one of its version restarts", 3 * ["v1"], {"v1"}, set(), restart_first),
    Case("the last one restarts", ["v1", "v2"], {"v2"}, {"v1"}, restart_first),
    Case("no disk is left", ["v1", "v2"], set(), {"v1", "v2"}, lose_disks),
]
EARLY_CASES = [
    *(
        evolve(case, name=f"{case.name}, early", is_early=True)
        for case in CASES
        if case.change is not lose_disks
    ),
    Case("a version joins, early", ["v1"], {"v1", "v2"}, joining="v2", is_early=True),
    Case(
        "a version joins and the first one is replaced, early",
        ["v1"],
        {"v2"},
        {"v1"},
        replace_first,
        joining="v2",
        is_early=True,
    ),
]
BASE_CASES = [
    evolve(case, name=f"{case.name}, base", has_base=True)
    for case in EARLY_CASES
    if set(case.versions) == {"v1"}
]


class KilledFleetTest(CaseTest):
    """All processes are killed in a fleet that has just started."""

    # LOST: each resumed stream was refused until members had run for twice the timeout
    # of its route, as only processes that were killed had known its version. ORDER: the
    # versions that serve after the restart don't tell which one began a stream.
    @params(*CASES)
    def test_streams_go_on_at_the_version_that_began_them(self, case: Case) -> None:
        self.check(case)

    # LOST: streams that had begun in the last half second were refused, as they were on
    # no disk yet, though one version had served. ORDER: see above.
    @params(*EARLY_CASES)
    def test_streams_that_have_just_begun_go_on(self, case: Case) -> None:
        self.check(case)

    # The streams of the base version have no record.
    @params(*BASE_CASES)
    def test_streams_of_the_base_version_go_on(self, case: Case) -> None:
        agents_tell_nothing = patch.object(StreamLog, "pop_reports", return_value={})
        with early_base_versions(), agents_tell_nothing:
            self.check(case)

    def check(self, case: Case) -> None:
        """Play a case; compare what became of the streams."""
        streams = run(kill_fleet, case)
        self.assertEqual(len(streams), STREAMS)
        begun_at = set().union(*(versions_in(stream.before) for stream in streams))
        self.assertEqual(begun_at, case.continued | case.refused)
        for stream in streams:
            self.assertEqual(len(stream.versions()), 1)
            if stream.versions() <= case.continued:
                self.assertTrue(stream.is_whole(), stream.after.head)
            else:
                self.assertEqual(versions_in(stream.after), set())
                self.assertEqual(stream.after.status, 503)
                self.assertIn(b"retry-after: ", stream.after.head)


async def kill_fleet(case: Case) -> list[ResumedStream]:
    """Return streams that were resumed after all processes were killed."""
    with TemporaryDirectory() as root, fail_after(TIMEOUT_SECONDS):
        async with create_task_group() as group:
            system = await start_system(group, root, *case.versions)
            for endpoint in system.endpoints:
                endpoint.event_seconds = EVENT_SECONDS
            router = await system.start_router()
            if case.has_base:
                known = router.process.fleet.bases.base_by_service
                await system.registry.until(lambda: known["s"].version == "v1")
            if case.joining:
                joined = await system.add_endpoint(case.joining)
                joined.event_seconds = EVENT_SECONDS
                fleet, count = router.process.fleet, len(system.announcements)
                await system.registry.until(lambda: len(fleet.handle_by_id) == count)
                while not fleet.versions.may_begin("s", case.joining):
                    await sleep(0.01)
            before: dict[str, Result] = {}

            async def begin(request_id: str) -> None:
                before[request_id] = await send(router, request_id)

            async with create_task_group() as callers:
                for number in range(STREAMS):
                    callers.start_soon(begin, f"a{number}")
                forwarded = router.process.fleet.streams.record_by_key
                while len(forwarded) < STREAMS:
                    await sleep(0.01)
                if not case.is_early:
                    await system.until_saved(STREAMS)
                await sleep(FORWARDED_SECONDS)
                router.scope.cancel()
                await system.kill(case.change)
            for _ in range(case.kills - 1):
                await sleep(SECOND_KILL_SECONDS)
                await system.kill(change_nothing)
            tries = EARLY_TRIES if case.is_early else 1
            streams = await resume_all(await system.start_router(), before, tries)
            group.cancel_scope.cancel()
    return streams
