"""The model of an engine keeps to what is known of batching engines."""

from attrs import evolve

from pistachiolever.admission.models import PromptPart
from pistachiolever.emulator.engine import EngineModel, EngineTally, EngineTask
from pistachiolever.emulator.models import EngineShapeSpec
from tests.support.cases import CaseTest

SPEC = EngineShapeSpec(
    slots=4,
    memory_tokens=50_000,
    event_tokens=6,
    step_ms=3.0,
    step_ms_each=0.1,
    context_ms_per_1000=0.001,
    read_tokens_per_ms=50.0,
    pairs_ms_per_million=0.2,
    chunk_tokens=2000,
)


def task(name: str, prompt: int, output: int = 10, shared: int = 0) -> EngineTask:
    """Return a request; `shared` tokens of its prompt are the same for all."""
    parts = [PromptPart("shared", shared)] if shared else []
    return EngineTask(name, "m", [*parts, PromptPart(name, prompt)], output)


class EngineModelTest(CaseTest):
    """Steps, slots, memory and kept prompts."""

    def setUp(self) -> None:
        """Make an idle engine."""
        self.tally = EngineTally()
        self.used_at: dict[str, float] = {}
        self.model = EngineModel(SPEC, 1.0, self.tally, self.used_at)
        self.now = 0.0

    def work(self) -> dict[str, float]:
        """Work until idle; return when each request made its first token."""
        first: dict[str, float] = {}
        while not self.model.is_idle:
            seconds, made = self.model.step(self.now)
            self.now += seconds
            for entry in made:
                first.setdefault(entry.request_id, self.now)
        return first

    def test_prompts_are_read_in_order_of_arrival(self) -> None:
        self.model.submit(task("large", 20_000))
        self.model.submit(task("small", 500))
        first = self.work()
        self.assertLess(first["large"], first["small"])
        self.assertGreater(first["large"], 20_000 / 50_000)

    def test_reading_slows_the_tokens_of_running_answers(self) -> None:
        self.model.submit(task("answer", 100, output=1000))
        self.model.step(self.now)
        calm, _ = self.model.step(self.now)
        self.model.submit(task("large", 20_000))
        reading, _ = self.model.step(self.now)
        self.assertGreater(reading, 8 * calm)

    def test_a_kept_part_is_not_read_again(self) -> None:
        self.model.submit(task("a", 100, shared=5000))
        self.work()
        read = self.tally.read
        self.model.submit(task("b", 100, shared=5000))
        self.work()
        self.assertEqual(self.tally.read - read, 100)
        self.assertEqual(self.tally.kept, 5000)

    def test_a_part_that_another_engine_keeps_is_counted(self) -> None:
        other = EngineModel(SPEC, 1.0, self.tally, self.used_at)
        for model in (self.model, other):
            model.submit(task("a", 100, shared=5000))
            model.step(0.0)
        self.assertEqual(self.tally.read_again, 5000)

    def test_requests_wait_for_slots_and_memory(self) -> None:
        for number in range(6):
            self.model.submit(task(f"n{number}", 100, output=500))
        self.model.step(0.0)
        self.assertEqual(self.model.report().running, 4)
        self.assertEqual(self.model.report().waiting, 2)
        tight = EngineModel(
            evolve(SPEC, memory_tokens=3000), 1.0, self.tally, self.used_at
        )
        tight.submit(task("a", 1900, output=500))
        tight.submit(task("b", 1900, output=500))
        tight.step(0.0)
        self.assertEqual(tight.report().waiting, 1)

    def test_a_dropped_request_is_gone(self) -> None:
        self.model.submit(task("a", 100, output=500))
        self.model.step(0.0)
        self.model.drop("a")
        self.assertTrue(self.model.is_idle)

    def test_a_slow_engine_takes_longer(self) -> None:
        slow = EngineModel(SPEC, 1.3, self.tally, self.used_at)
        self.model.submit(task("a", 100))
        slow.submit(task("a", 100))
        self.assertAlmostEqual(
            slow.step(0.0)[0], 1.3 * self.model.step(0.0)[0], places=9
        )
