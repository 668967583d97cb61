"""Model of an engine with continuous batching and chunked prefill."""

from collections import deque

from attrs import define, field

from pistachiolever.admission.cache import PrefixCache, keyed_parts
from pistachiolever.admission.models import EngineReport, EngineRun, PromptPart
from pistachiolever.emulator.const import ENGINE_START_MS, REPEATED_PREFILL_SECONDS
from pistachiolever.emulator.models import EngineShapeSpec


@define(eq=False)
class EngineTask:
    """A request at an engine, and how far it is prefilled and decoded."""

    request_id: str
    model: str
    parts: list[PromptPart]
    output_tokens: int
    prompt_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the request holds in KV memory."""
        return self.prefilled_tokens + self.generated_tokens


@define
class EngineCounters:
    """Tokens that all engines prefilled, prefilled again or found in their caches.

    `repeated_tokens` counts prefilled tokens of shared parts that a request to any
    engine had used within the last REPEATED_PREFILL_SECONDS. `late_requests` counts the
    requests that reached a leaving engine after its drain time, `disregarding_requests`
    those that came from a router later than the drain time after a notice.
    """

    prefilled_tokens: int = 0
    repeated_tokens: int = 0
    cached_tokens: int = 0
    late_requests: int = 0
    disregarding_requests: int = 0


@define
class EngineModel:
    """One engine, advanced step by step; the caller passes in the time.

    All engines of a run share `counters` and `used_at_by_part`, the time of the last
    use of each shared part.
    """

    spec: EngineShapeSpec
    slow_down: float
    counters: EngineCounters
    used_at_by_part: dict[str, float]
    waiting: deque[EngineTask] = field(factory=deque)
    prefilling: deque[EngineTask] = field(factory=deque)
    running: dict[str, EngineTask] = field(factory=dict)
    cache: PrefixCache = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with an empty prefix cache."""
        self.cache = PrefixCache(self.spec.memory_tokens)

    @property
    def is_idle(self) -> bool:
        """Return whether the engine has no requests."""
        return not (self.waiting or self.prefilling or self.running)

    def submit(self, task: EngineTask) -> None:
        """Queue a request until a slot and memory are free."""
        task.prompt_tokens = sum(part.tokens for part in task.parts)
        self.waiting.append(task)

    def drop(self, request_id: str) -> None:
        """Remove a request whose caller disconnected."""
        self.running.pop(request_id, None)
        for queue in (self.waiting, self.prefilling):
            for task in list(queue):
                if task.request_id == request_id:
                    queue.remove(task)

    def report(self) -> EngineReport:
        """Return the engine's load report."""
        tasks = [*self.prefilling, *self.running.values()]
        runs = [
            EngineRun(
                task.request_id,
                task.memory_tokens,
                task.generated_tokens // self.spec.event_tokens,
            )
            for task in tasks
        ]
        used = sum(task.memory_tokens for task in tasks)
        total = self.spec.memory_tokens
        return EngineReport(
            ENGINE_START_MS, len(self.waiting), len(tasks), used, total, runs
        )

    def step(self, now: float) -> tuple[float, list[EngineTask]]:
        """Run a step; return its seconds and the tasks that got a token."""
        self._admit(now)
        milliseconds = self.spec.step_ms
        milliseconds += self.spec.step_ms_each * len(self.running)
        context = sum(task.memory_tokens for task in self.running.values())
        milliseconds += self.spec.context_ms_per_1000 * context / 1000
        progressed = list(self.running.values())
        milliseconds += self._prefill(now, progressed)
        for task in progressed:
            task.generated_tokens += 1
            if task.generated_tokens >= task.output_tokens:
                self.running.pop(task.request_id, None)
        return milliseconds * self.slow_down / 1000, progressed

    def _admit(self, now: float) -> None:
        """Admit requests in order of arrival while slots and memory are free."""
        while (
            self.waiting and len(self.running) + len(self.prefilling) < self.spec.slots
        ):
            task = self.waiting[0]
            used = sum(t.memory_tokens for t in self.running.values())
            used += sum(t.prompt_tokens for t in self.prefilling)
            needed = used + task.prompt_tokens
            if needed > self.spec.memory_tokens and (self.running or self.prefilling):
                return
            self.waiting.popleft()
            cached = self.cache.cached_tokens(task.model, task.parts)
            task.prefilled_tokens = min(cached, task.prompt_tokens - 1)
            self.counters.cached_tokens += task.prefilled_tokens
            self._count_repeated_prefill(task, now)
            self.prefilling.append(task)

    def _count_repeated_prefill(self, task: EngineTask, now: float) -> None:
        """Count tokens to prefill of shared parts that any engine used recently."""
        begin = 0
        for key, part in keyed_parts(task.model, task.parts[:-1]):
            end = begin + part.tokens
            used_at = self.used_at_by_part.get(key)
            if used_at is not None and now - used_at <= REPEATED_PREFILL_SECONDS:
                self.counters.repeated_tokens += max(
                    0, end - max(begin, task.prefilled_tokens)
                )
            self.used_at_by_part[key] = now
            begin = end

    def _prefill(self, now: float, progressed: list[EngineTask]) -> float:
        """Prefill a chunk of prompts; return the milliseconds that it takes."""
        budget = self.spec.chunk_tokens
        milliseconds = 0.0
        while self.prefilling and budget > 0:
            task = self.prefilling[0]
            tokens = min(budget, task.prompt_tokens - task.prefilled_tokens)
            pairs = tokens * (task.prefilled_tokens + tokens / 2) / 1e6
            milliseconds += tokens / self.spec.read_tokens_per_ms
            milliseconds += pairs * self.spec.pairs_ms_per_million
            task.prefilled_tokens += tokens
            self.counters.prefilled_tokens += tokens
            budget -= tokens
            if task.prefilled_tokens >= task.prompt_tokens:
                self.prefilling.popleft()
                self.cache.insert(task.model, task.parts)
                self.running[task.request_id] = task
                progressed.append(task)
        return milliseconds
