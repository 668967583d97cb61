"""The emulated clock advances only when no task can run."""

from anyio import Event, create_task_group, current_time, run, sleep
from anyio.lowlevel import checkpoint

from pistachiolever.emulator.clock import EmulatedLoop, EmulationStalledError
from pistachiolever.emulator.processor import CURRENT_PROCESSOR, EmulatedProcessor
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


class ProcessorTest(CaseTest):
    """The steps of a process's tasks use its processor one after the other."""

    def test_tasks_of_a_process_delay_each_other_and_no_others(self) -> None:
        ended: dict[str, float] = {}

        async def work(name: str, processor: EmulatedProcessor | None) -> None:
            CURRENT_PROCESSOR.set(processor)
            for _ in range(10):
                await checkpoint()
            ended[name] = current_time()

        async def both_processes() -> None:
            slow, fast = EmulatedProcessor(0.1), EmulatedProcessor(0.01)
            async with create_task_group() as group:
                group.start_soon(work, "slow 1", slow)
                group.start_soon(work, "slow 2", slow)
                group.start_soon(work, "fast", fast)
                group.start_soon(work, "none", None)

        run(both_processes, backend_options=OPTIONS)
        self.assertAlmostEqual(ended["slow 1"], 1.9, delta=0.11)
        self.assertAlmostEqual(ended["slow 2"], 2.0, delta=0.11)
        self.assertAlmostEqual(ended["fast"], 0.1, delta=0.011)
        self.assertLess(ended["none"], 0.001)

    def test_a_sleeping_task_wakes_later_on_a_busy_processor(self) -> None:
        woke_at: list[float] = []

        async def sleeper() -> None:
            CURRENT_PROCESSOR.set(processor)
            await sleep(1.0)
            woke_at.append(current_time())

        async def crowd() -> None:
            CURRENT_PROCESSOR.set(processor)
            await sleep(0.9)
            await checkpoint()

        async def all_tasks() -> None:
            async with create_task_group() as group:
                group.start_soon(sleeper)
                for _ in range(50):
                    group.start_soon(crowd)

        processor = EmulatedProcessor(0.01)
        run(all_tasks, backend_options=OPTIONS)
        self.assertGreater(woke_at[0], 1.4)
