"""Continuous batching of the stand-in engine."""

from collections import OrderedDict, deque
from random import Random

from anyio import Event
from attrs import define, field, frozen

WORDS = ("empty", "box", "berth", "depot", "ship", "crane", "edge", "steel", "plan")


@frozen
class EngineSettings:
    """Speed and capacity of an engine; times are in seconds."""

    seed: int = 1
    max_batch: int = 8
    step_seconds: float = 0.005
    prefill_tokens_per_step: int = 256
    cached_prefixes: int = 16
    prefix_chars: int = 64
    load_lag_seconds: float = 0.5
    checks_fence: bool = True


@define
class Sequence:
    """A request in the engine, with its predetermined answer."""

    request_id: str
    prompt: str
    tokens: list[str]
    input_tokens: int
    prefill_left: int
    emitted: int = 0
    cancelled: bool = False
    has_token: Event = field(factory=Event)

    def is_done(self) -> bool:
        """Return whether all tokens were generated."""
        return self.emitted >= len(self.tokens)


@define
class Batch:
    """Runs requests together; a step prefills a chunk or generates a token of each."""

    settings: EngineSettings
    waiting: deque[Sequence] = field(factory=deque)
    running: list[Sequence] = field(factory=list)
    prefixes: OrderedDict[str, None] = field(factory=OrderedDict)
    cache_events: list[str] = field(factory=list)
    busy_steps: int = 0
    generated: int = 0

    def submit(self, request_id: str, prompt: str, max_tokens: int) -> Sequence:
        """Queue a request; a cached prefix shortens its prefill."""
        tokens = answer_tokens(self.settings.seed, prompt, max_tokens)
        input_tokens = max(1, len(prompt) // 4)
        prefill = input_tokens
        if prompt[: self.settings.prefix_chars] in self.prefixes:
            prefill = max(1, prefill - self.settings.prefix_chars // 4)
        sequence = Sequence(request_id, prompt, tokens, input_tokens, prefill)
        self.waiting.append(sequence)
        return sequence

    def step(self) -> None:
        """Start queued requests in free slots and advance the running ones."""
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting.popleft()
            if not sequence.cancelled:
                self.running.append(sequence)
        if self.running:
            self.busy_steps += 1
        for sequence in self.running:
            self._step_sequence(sequence)
        self.running = [
            sequence
            for sequence in self.running
            if not sequence.is_done() and not sequence.cancelled
        ]

    def _step_sequence(self, sequence: Sequence) -> None:
        """Prefill a chunk or generate a token of one request."""
        if sequence.prefill_left > 0:
            sequence.prefill_left -= self.settings.prefill_tokens_per_step
            if sequence.prefill_left <= 0:
                self._cache_prefix(sequence.prompt)
            return
        sequence.emitted += 1
        self.generated += 1
        sequence.has_token.set()

    def _cache_prefix(self, prompt: str) -> None:
        """Cache a prompt's prefix; evict the oldest one beyond the limit."""
        prefix = prompt[: self.settings.prefix_chars]
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        self.cache_events.append(f"stored {prefix}")
        if len(self.prefixes) > self.settings.cached_prefixes:
            evicted, _ = self.prefixes.popitem(last=False)
            self.cache_events.append(f"evicted {evicted}")


def answer_tokens(seed: int, prompt: str, max_tokens: int) -> list[str]:
    """Return the answer to a prompt, which is the same at all engines with the seed.

    A prompt that begins with `tokens=N ` gets N tokens, at most `max_tokens`.
    """
    rng = Random(f"{seed}:{prompt}")
    count = rng.randint(4, 64)
    head = prompt.split(" ", 1)[0]
    if head.startswith("tokens=") and head[7:].isdigit():
        count = int(head[7:])
    count = max(1, min(count, max_tokens))
    return [f"{rng.choice(WORDS)} " for _ in range(count)]
