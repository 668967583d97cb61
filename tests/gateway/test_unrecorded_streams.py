"""Streams that no member of the registry can keep on disk."""

from tempfile import TemporaryDirectory

from anyio import create_task_group, fail_after, run
from nose2.tools import params

from tests.gateway.test_relay import Result
from tests.gateway.test_stream_versions import (
    SLOTS,
    Router,
    System,
    last_id_of,
    resume_stream,
    send,
    start_system,
    versions_in,
)
from tests.support.base_versions import early_base_versions
from tests.support.cases import CaseTest

TIMEOUT_SECONDS = 30.0
# So slow that requests don't wait until a slot of the first endpoint is free.
SLOW_EVENT_SECONDS = 0.15
# So fast that all resumed streams get a slot in time.
FAST_EVENT_SECONDS = 0.01


async def start_router_with_base(system: System) -> Router:
    """Start a router, and an endpoint of a second version beside the base version."""
    router = await system.start_router()
    fleet = router.process.fleet
    known = fleet.bases.base_by_service
    await system.registry.until(lambda: known["s"].version == "v1")
    await system.add_endpoint("v2")
    await system.registry.until(lambda: len(fleet.handle_by_id) == 2)
    await system.registry.until(lambda: fleet.versions.may_begin("s", "v2"))
    return router


async def begin_all(router: Router, count: int) -> dict[str, Result]:
    """Return streams that begin at the same time, by request."""
    result_by_id: dict[str, Result] = {}

    async def begin(request_id: str) -> None:
        result_by_id[request_id] = await send(router, request_id)

    async with create_task_group() as callers:
        for number in range(count):
            callers.start_soon(begin, f"a{number}")
    return result_by_id


def has_runs(system: System) -> bool:
    """Return whether an agent has not been told that its runs have ended."""
    agents = [probe.agent for probe in system.probe_by_agent.values()]
    return any(agent and agent.controller.core.run_by_id for agent in agents)


async def begin_cut_off(cut_members: int) -> list[tuple[Result, Result]]:
    """Return streams before and after their router has lost power.

    It was cut off from some members when they began.
    """
    pairs: list[tuple[Result, Result]] = []
    with TemporaryDirectory() as root, fail_after(TIMEOUT_SECONDS):
        async with create_task_group() as group:
            system = await start_system(group, root, "v1")
            router = await start_router_with_base(system)
            other = await system.start_router()
            for endpoint in system.endpoints:
                endpoint.breaks_after, endpoint.event_seconds = 8, SLOW_EVENT_SECONDS
            router.client.cut.update(system.registry.seeds[:cut_members])
            before = await begin_all(router, SLOTS + 3)
            await system.registry.until(lambda: not has_runs(system))
            router.scope.cancel()
            for endpoint in system.endpoints:
                endpoint.breaks_after, endpoint.event_seconds = 99, FAST_EVENT_SECONDS
            for request_id, result in before.items():
                if last_id_of(result):
                    after = await resume_stream(other, request_id, result, 2)
                    pairs.append((result, after))
            group.cancel_scope.cancel()
    return pairs


class UnrecordedStreamTest(CaseTest):
    """A stream that is not recorded counts as one of the base version."""

    # ORDER: streams of another version whose router reached too few members would have
    # gone on at the base version.
    @params((0, {"v1", "v2"}), (1, {"v1", "v2"}), (2, {"v1"}))
    def test_only_the_base_version_begins_unrecorded_streams(
        self, cut_members: int, begun: set[str]
    ) -> None:
        with early_base_versions():
            pairs = run(begin_cut_off, cut_members)
        self.assertEqual(set().union(*(versions_in(one) for one, _ in pairs)), begun)
        for before, after in pairs:
            self.assertEqual(len(versions_in(before) | versions_in(after)), 1)
            self.assertEqual(last_id_of(after), 30, after.head)
