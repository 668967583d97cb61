"""The engine model behaves as engines with continuous batching do."""

from attrs import evolve

from pistachiolever.admission.models import PromptPart
from pistachiolever.emulator.engine import EngineCounters, EngineModel, EngineTask
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


def make_task(name: str, prompt: int, output: int = 10, shared: int = 0) -> EngineTask:
    """Return a request whose prompt begins with `shared` tokens that all share."""
    parts = [PromptPart("shared", shared)] if shared else []
    return EngineTask(name, "m", [*parts, PromptPart(name, prompt)], output)


class EngineModelTest(CaseTest):
    """Steps, slots, memory and the prefix cache."""

    def setUp(self) -> None:
        """Create an idle engine."""
        self.counters = EngineCounters()
        self.used_at: dict[str, float] = {}
        self.model = EngineModel(SPEC, 1.0, self.counters, self.used_at)
        self.now = 0.0

    def run_until_idle(self) -> dict[str, float]:
        """Step until idle; return the time of each request's first token."""
        first_token_at: dict[str, float] = {}
        while not self.model.is_idle:
            seconds, progressed = self.model.step(self.now)
            self.now += seconds
            for task in progressed:
                first_token_at.setdefault(task.request_id, self.now)
        return first_token_at

    def test_prompts_are_prefilled_in_order_of_arrival(self) -> None:
        self.model.submit(make_task("large", 20_000))
        self.model.submit(make_task("small", 500))
        first_token_at = self.run_until_idle()
        self.assertLess(first_token_at["large"], first_token_at["small"])
        self.assertGreater(first_token_at["large"], 20_000 / 50_000)

    def test_prefill_slows_down_decoding(self) -> None:
        self.model.submit(make_task("answer", 100, output=1000))
        self.model.step(self.now)
        idle_seconds, _ = self.model.step(self.now)
        self.model.submit(make_task("large", 20_000))
        busy_seconds, _ = self.model.step(self.now)
        self.assertGreater(busy_seconds, 8 * idle_seconds)

    def test_a_cached_part_is_not_prefilled_again(self) -> None:
        self.model.submit(make_task("a", 100, shared=5000))
        self.run_until_idle()
        before = self.counters.prefilled_tokens
        self.model.submit(make_task("b", 100, shared=5000))
        self.run_until_idle()
        self.assertEqual(self.counters.prefilled_tokens - before, 100)
        self.assertEqual(self.counters.cached_tokens, 5000)

    def test_a_part_cached_by_another_engine_counts_as_repeated(self) -> None:
        other = EngineModel(SPEC, 1.0, self.counters, self.used_at)
        for model in (self.model, other):
            model.submit(make_task("a", 100, shared=5000))
            model.step(0.0)
        self.assertEqual(self.counters.repeated_tokens, 5000)

    def test_requests_wait_for_slots_and_memory(self) -> None:
        for number in range(6):
            self.model.submit(make_task(f"n{number}", 100, output=500))
        self.model.step(0.0)
        self.assertEqual(self.model.report().running, 4)
        self.assertEqual(self.model.report().waiting, 2)
        tight = EngineModel(
            evolve(SPEC, memory_tokens=3000), 1.0, self.counters, self.used_at
        )
        tight.submit(make_task("a", 1900, output=500))
        tight.submit(make_task("b", 1900, output=500))
        tight.step(0.0)
        self.assertEqual(tight.report().waiting, 1)

    def test_a_dropped_request_is_removed(self) -> None:
        self.model.submit(make_task("a", 100, output=500))
        self.model.step(0.0)
        self.model.drop("a")
        self.assertTrue(self.model.is_idle)

    def test_a_slow_engine_takes_longer(self) -> None:
        slow = EngineModel(SPEC, 1.3, self.counters, self.used_at)
        self.model.submit(make_task("a", 100))
        slow.submit(make_task("a", 100))
        self.assertAlmostEqual(
            slow.step(0.0)[0], 1.3 * self.model.step(0.0)[0], places=9
        )
