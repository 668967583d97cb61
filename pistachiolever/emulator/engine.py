"""Model of a batching engine: it reads prompts in chunks while it makes tokens."""

from collections import deque

from attrs import define, field

from pistachiolever.admission.cache import PrefixCache, keyed_parts
from pistachiolever.admission.models import EngineReport, EngineRun, PromptPart
from pistachiolever.emulator.const import EPOCH_MS, READ_AGAIN_SECONDS
from pistachiolever.emulator.models import EngineShapeSpec


@define(eq=False)
class EngineTask:
    """A request at an engine; `made` counts the tokens of its answer."""

    request_id: str
    model: str
    parts: list[PromptPart]
    output_tokens: int
    prompt_tokens: int = 0
    read_tokens: int = 0
    made: int = 0

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that it holds in memory."""
        return self.read_tokens + self.made


@define
class EngineTally:
    """What engines did, in tokens; `read_again` are shared parts within a time."""

    read: int = 0
    read_again: int = 0
    kept: int = 0


@define
class EngineModel:
    """One engine: steps in, made tokens out. It has no clock but the one it is told."""

    spec: EngineShapeSpec
    slow_down: float
    tally: EngineTally
    used_at_by_part: dict[str, float]
    waiting: deque[EngineTask] = field(factory=deque)
    reading: deque[EngineTask] = field(factory=deque)
    running: dict[str, EngineTask] = field(factory=dict)
    cache: PrefixCache = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with nothing kept."""
        self.cache = PrefixCache(self.spec.memory_tokens)

    @property
    def is_idle(self) -> bool:
        """Tell whether there is nothing to do."""
        return not (self.waiting or self.reading or self.running)

    def submit(self, task: EngineTask) -> None:
        """Take a request; it waits for a slot and for memory."""
        task.prompt_tokens = sum(part.tokens for part in task.parts)
        self.waiting.append(task)

    def drop(self, request_id: str) -> None:
        """End a request whose caller left."""
        self.running.pop(request_id, None)
        for queue in (self.waiting, self.reading):
            for task in list(queue):
                if task.request_id == request_id:
                    queue.remove(task)

    def report(self) -> EngineReport:
        """Return how the engine stands."""
        tasks = [*self.reading, *self.running.values()]
        runs = [
            EngineRun(
                task.request_id, task.memory_tokens, task.made // self.spec.event_tokens
            )
            for task in tasks
        ]
        used = sum(task.memory_tokens for task in tasks)
        total = self.spec.memory_tokens
        return EngineReport(EPOCH_MS, len(self.waiting), len(tasks), used, total, runs)

    def step(self, now: float) -> tuple[float, list[EngineTask]]:
        """Return how long the next step takes and the tasks with a new token."""
        self._admit(now)
        milliseconds = self.spec.step_ms
        milliseconds += self.spec.step_ms_each * len(self.running)
        context = sum(task.memory_tokens for task in self.running.values())
        milliseconds += self.spec.context_ms_per_1000 * context / 1000
        made = list(self.running.values())
        milliseconds += self._read(now, made)
        for task in made:
            task.made += 1
            if task.made >= task.output_tokens:
                self.running.pop(task.request_id, None)
        return milliseconds * self.slow_down / 1000, made

    def _admit(self, now: float) -> None:
        """Let those in that find a slot and memory, in order of arrival."""
        while self.waiting and len(self.running) + len(self.reading) < self.spec.slots:
            task = self.waiting[0]
            used = sum(t.memory_tokens for t in self.running.values())
            used += sum(t.prompt_tokens for t in self.reading)
            needed = used + task.prompt_tokens
            if needed > self.spec.memory_tokens and (self.running or self.reading):
                return
            self.waiting.popleft()
            kept = self.cache.cached_tokens(task.model, task.parts)
            task.read_tokens = min(kept, task.prompt_tokens - 1)
            self.tally.kept += task.read_tokens
            self._count_again(task, now)
            self.reading.append(task)

    def _count_again(self, task: EngineTask, now: float) -> None:
        """Count shared parts that some engine had read and that are read again."""
        begin = 0
        for key, part in keyed_parts(task.model, task.parts[:-1]):
            end = begin + part.tokens
            used_at = self.used_at_by_part.get(key)
            if used_at is not None and now - used_at <= READ_AGAIN_SECONDS:
                self.tally.read_again += max(0, end - max(begin, task.read_tokens))
            self.used_at_by_part[key] = now
            begin = end

    def _read(self, now: float, made: list[EngineTask]) -> float:
        """Read a chunk of prompts; return the milliseconds it takes."""
        budget = self.spec.chunk_tokens
        milliseconds = 0.0
        while self.reading and budget > 0:
            task = self.reading[0]
            tokens = min(budget, task.prompt_tokens - task.read_tokens)
            pairs = tokens * (task.read_tokens + tokens / 2) / 1e6
            milliseconds += tokens / self.spec.read_tokens_per_ms
            milliseconds += pairs * self.spec.pairs_ms_per_million
            task.read_tokens += tokens
            self.tally.read += tokens
            budget -= tokens
            if task.read_tokens >= task.prompt_tokens:
                self.reading.popleft()
                self.cache.insert(task.model, task.parts)
                self.running[task.request_id] = task
                made.append(task)
        return milliseconds
