"""The answers that a sidecar produces or keeps."""

from hashlib import sha256
from typing import Any

from attrs import define, field

from pistachiolever.declarations.models import CostRule
from pistachiolever.sidecar.const import CHARS_PER_TOKEN
from pistachiolever.sidecar.replay import ReplayBuffer
from pistachiolever.wire.models import Dispatch, Outcome


@define
class Run:
    """One request at the endpoint, and afterwards its answer.

    `router_id` is the router that gets the events, or empty; `told_cost` is the
    cost that routers have been told so far. Without a reader the run is cancelled
    at `abandoned_at`. Times are in seconds.
    """

    dispatch: Dispatch
    router_id: str
    started_at: float
    buffer: ReplayBuffer = field(factory=ReplayBuffer)
    outcome: Outcome | None = None
    ended_at: float = 0.0
    parts: int = 0
    cost: float = 0.0
    told_cost: float = 0.0
    base_cost: float = 0.0
    sent: int = 0
    last_part_at: float = 0.0
    abandoned_at: float | None = None
    output_tokens: int = 0
    hash: Any = field(factory=sha256)

    def estimate_cost(self, rule: CostRule) -> float:
        """Return the cost so far, before the endpoint counts its tokens."""
        input_tokens = len(self.dispatch.input) // CHARS_PER_TOKEN
        return rule.cost_of(input_tokens, self.output_tokens)


@define
class RunBook:
    """Running and kept answers, within a budget of bytes and time."""

    most_bytes: int
    keep_seconds: float
    run_by_id: dict[str, Run] = field(factory=dict)
    running: int = 0
    kept_bytes: int = 0

    def add(self, run: Run) -> None:
        """Keep a run that starts."""
        self.run_by_id[run.dispatch.request_id] = run
        self.running += 1

    def end(self, run: Run, outcome: Outcome, now: float) -> None:
        """Note that a run ended; its answer stays for a while."""
        run.outcome = outcome
        run.ended_at = now
        self.running -= 1
        self.kept_bytes += run.buffer.size_bytes
        # Move to the end, so that the oldest answer comes first when forgetting.
        self.run_by_id[run.dispatch.request_id] = self.run_by_id.pop(
            run.dispatch.request_id
        )

    def drop(self, run: Run) -> None:
        """Forget a run that ended."""
        del self.run_by_id[run.dispatch.request_id]
        self.kept_bytes -= run.buffer.size_bytes

    def forget_old(self, now: float) -> None:
        """Drop answers that are too old, or the oldest when there are too many."""
        for run in list(self.run_by_id.values()):
            if run.outcome is None:
                continue
            is_old = now - run.ended_at > self.keep_seconds
            if not is_old and self.kept_bytes <= self.most_bytes:
                return
            self.drop(run)
