"""Runs an admission core for concurrent tasks that wait for its decisions."""

from collections.abc import Callable

from anyio import Event, sleep
from attrs import define, field

from pistachiolever.admission.const import REVIEW_INTERVAL_SECONDS
from pistachiolever.admission.core import AdmissionCore
from pistachiolever.admission.models import (
    AdmissionAction,
    Bid,
    BidReply,
    EngineReport,
    Granted,
    Load,
    Progress,
)


@define
class PendingBid:
    """The outcome of a bid that a task waits for."""

    done: Event = field(factory=Event)
    outcome: AdmissionAction | None = None


@define
class AdmissionController:
    """Admission control of one endpoint: bids in, replies out.

    `before_review` is called before each periodic review of the queue.
    """

    core: AdmissionCore
    now: Callable[[], float]
    pending_by_bid: dict[str, PendingBid] = field(factory=dict)
    before_review: Callable[[], None] | None = None
    _has_bids: Event = field(factory=Event)

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait until the bid is granted or refused; cancelling withdraws it.

        A bid that came before is refused: its first copy is the one that counts.
        """
        if bid.bid_id in self.pending_by_bid or bid.bid_id in self.core.run_by_id:
            return BidReply(False, self.load(), "repeated")
        pending = PendingBid()
        self.pending_by_bid[bid.bid_id] = pending
        self._has_bids.set()
        self._resolve(self.core.submit(bid, self.now()))
        received = False
        try:
            await pending.done.wait()
            received = True
        finally:
            self.pending_by_bid.pop(bid.bid_id, None)
            if not received:
                # The bid may have been granted before its task was cancelled.
                self._resolve(self.core.withdraw(bid.bid_id, self.now()))
        return self._make_reply(bid, pending.outcome)

    def handle_progress(self, progress: Progress) -> None:
        """Apply starts and ends of granted requests."""
        now = self.now()
        for bid_id in progress.started:
            self._resolve(self.core.handle_start(bid_id, now))
        for run in progress.ended:
            self._resolve(self.core.handle_end(run.bid_id, run.output_tokens, now))

    def load(self) -> Load:
        """Return the current load of the endpoint."""
        return self.core.load(self.now())

    def handle_report(self, report: EngineReport) -> None:
        """Apply a report of the engine."""
        self._resolve(self.core.handle_report(report, self.now()))

    def handle_restart(self) -> None:
        """Reset the state after a restart of the engine."""
        self._resolve(self.core.handle_restart(self.now()))

    async def run(self) -> None:
        """Review the queue periodically while it has bids, until cancelled.

        Time alone can make a queued request grantable or late.
        """
        while True:
            if not self.pending_by_bid:
                self._has_bids = Event()
                await self._has_bids.wait()
            await sleep(REVIEW_INTERVAL_SECONDS)
            if self.before_review is not None:
                self.before_review()
            if self.core.queued_by_id:
                self._resolve(self.core.review(self.now()))

    def _resolve(self, actions: list[AdmissionAction]) -> None:
        """Wake the tasks whose bids were decided."""
        for action in actions:
            pending = self.pending_by_bid.get(action.bid_id)
            if pending is not None:
                pending.outcome = action
                pending.done.set()

    def _make_reply(self, bid: Bid, outcome: AdmissionAction | None) -> BidReply:
        """Return the reply to a bid."""
        load = self.load()
        if isinstance(outcome, Granted):
            return BidReply(True, load, cached_tokens=outcome.cached_tokens)
        if outcome is None:
            return BidReply(False, load, "withdrawn")
        return BidReply(False, load, outcome.reason, outcome.retry_after_seconds)
