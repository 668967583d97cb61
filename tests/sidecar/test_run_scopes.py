"""Tests of the cancellation of runs."""

from anyio import create_task_group, fail_after, run, sleep, sleep_forever

from pistachiolever.sidecar.run_scopes import RunScopes
from tests.support.cases import CaseTest


class RunScopesTest(CaseTest):
    """A cancellation reaches the latest run of a request."""

    # The end of an earlier run made the run of the same request that had started anew
    # impossible to cancel, and its end raised KeyError.
    def test_earlier_run_ends_after_the_request_started_anew(self) -> None:
        async def overlap() -> list[str]:
            scopes = RunScopes()
            ended: list[str] = []

            async def earlier() -> None:
                with scopes.open("q"):
                    await sleep(0.02)
                ended.append("earlier")

            async def later() -> None:
                with scopes.open("q"):
                    await sleep_forever()
                ended.append("later")

            with fail_after(5):
                async with create_task_group() as group:
                    group.start_soon(earlier)
                    await sleep(0.01)
                    group.start_soon(later)
                    await sleep(0.03)
                    self.assertEqual(ended, ["earlier"])
                    scopes.cancel("q")
                    scopes.cancel("unknown")
            self.assertEqual(scopes.scope_by_request, {})
            return ended

        self.assertEqual(run(overlap), ["earlier", "later"])
