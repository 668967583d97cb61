"""The emulated clock advances only when no task can run."""

from anyio import Event, create_task_group, current_time, run, sleep

from pistachiolever.emulator.clock import EmulatedLoop, EmulationStalledError
from tests.support.cases import CaseTest

OPTIONS = {"loop_factory": EmulatedLoop}


class ClockTest(CaseTest):
    """Sleeping takes no real time."""

    def test_sleeping_tasks_wake_in_order(self) -> None:
        order: list[tuple[str, float]] = []

        async def sleeper(name: str, seconds: float) -> None:
            await sleep(seconds)
            order.append((name, current_time()))

        async def both() -> None:
            async with create_task_group() as group:
                group.start_soon(sleeper, "late", 3600.0)
                group.start_soon(sleeper, "early", 0.5)

        run(both, backend_options=OPTIONS)
        self.assertEqual([name for name, _ in order], ["early", "late"])
        self.assertAlmostEqual(order[1][1], 3600.0, places=3)

    def test_deadlock_raises_an_error(self) -> None:
        async def wait_for_ever() -> None:
            await Event().wait()

        with self.assertRaises(EmulationStalledError):
            run(wait_for_ever, backend_options=OPTIONS)
