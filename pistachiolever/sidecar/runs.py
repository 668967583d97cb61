"""Running requests and the finished answers kept for resumption."""

from hashlib import sha256
from typing import Any

from attrs import define, field

from pistachiolever.declarations.models import CostRule
from pistachiolever.sidecar.const import CHARS_PER_TOKEN
from pistachiolever.sidecar.replay import ReplayBuffer
from pistachiolever.wire.models import Dispatch, Outcome


@define
class Run:
    """One request at the endpoint and its answer, running or finished.

    `router_id` is the router that receives the events, or empty. `last_sent` is the
    number of the last event sent to it. `reported_cost` is the cost reported to
    routers so far, `base_cost` the part of it reported to earlier routers. A run
    without a receiver is cancelled at `cancel_at`. Times are in seconds.
    """

    dispatch: Dispatch
    router_id: str
    started_at: float
    buffer: ReplayBuffer = field(factory=ReplayBuffer)
    outcome: Outcome | None = None
    ended_at: float = 0.0
    chunk_count: int = 0
    cost: float = 0.0
    reported_cost: float = 0.0
    base_cost: float = 0.0
    last_sent: int = 0
    last_chunk_at: float = 0.0
    cancel_at: float | None = None
    output_tokens: int = 0
    content_hash: Any = field(factory=sha256)

    def estimate_cost(self, rule: CostRule) -> float:
        """Estimate the cost so far; exact token counts come only at the end."""
        input_tokens = len(self.dispatch.input) // CHARS_PER_TOKEN
        return rule.cost_of(input_tokens, self.output_tokens)


@define
class RunTable:
    """Running and finished requests; finished ones are limited in bytes and age."""

    max_bytes: int
    retention_seconds: float
    run_by_id: dict[str, Run] = field(factory=dict)
    running: int = 0
    retained_bytes: int = 0

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self.run_by_id[run.dispatch.request_id] = run
        self.running += 1

    def end(self, run: Run, outcome: Outcome, now: float) -> None:
        """Mark a run as ended; its answer is kept until it is evicted."""
        run.outcome = outcome
        run.ended_at = now
        self.running -= 1
        self.retained_bytes += run.buffer.size_bytes
        # Moved to the end, so that `evict` finds the answers ordered by age.
        self.run_by_id[run.dispatch.request_id] = self.run_by_id.pop(
            run.dispatch.request_id
        )

    def remove(self, run: Run) -> None:
        """Remove a run that ended."""
        del self.run_by_id[run.dispatch.request_id]
        self.retained_bytes -= run.buffer.size_bytes

    def evict(self, now: float) -> None:
        """Remove expired answers, and the oldest while they exceed the byte limit."""
        for run in list(self.run_by_id.values()):
            if run.outcome is None:
                continue
            is_expired = now - run.ended_at > self.retention_seconds
            if not is_expired and self.retained_bytes <= self.max_bytes:
                return
            self.remove(run)
