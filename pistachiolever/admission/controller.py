"""Lets tasks wait for the decisions of an admission core."""

from collections.abc import Callable

from anyio import Event, sleep
from attrs import define, field

from pistachiolever.admission.const import REVIEW_SECONDS
from pistachiolever.admission.core import AdmissionCore
from pistachiolever.admission.models import (
    AdmissionAction,
    Bid,
    BidReply,
    EndedRun,
    EngineReport,
    Granted,
    Load,
)


@define
class Waiter:
    """A task that waits for the outcome of its bid."""

    done: Event = field(factory=Event)
    outcome: AdmissionAction | None = None


@define
class AdmissionDesk:
    """One endpoint's admission: bids in, replies out."""

    core: AdmissionCore
    now: Callable[[], float]
    waiter_by_bid: dict[str, Waiter] = field(factory=dict)

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait until the bid is granted or refused; cancelling withdraws it."""
        waiter = Waiter()
        self.waiter_by_bid[bid.bid_id] = waiter
        self._perform(self.core.bid(bid, self.now()))
        try:
            await waiter.done.wait()
        finally:
            self.waiter_by_bid.pop(bid.bid_id, None)
            if waiter.outcome is None:
                self._perform(self.core.withdraw(bid.bid_id, self.now()))
        return self._reply(bid, waiter.outcome)

    def progress(self, started: list[str], ended: list[EndedRun]) -> Load:
        """Take in what was seen of granted requests; return the load after it."""
        now = self.now()
        for bid_id in started:
            self._perform(self.core.started(bid_id, now))
        for end in ended:
            self._perform(self.core.ended(end.bid_id, end.output_tokens, now))
        return self.core.load(now)

    def report(self, report: EngineReport) -> None:
        """Take in the engine's own report."""
        self._perform(self.core.report(report, self.now()))

    def restarted(self) -> None:
        """Take in that the engine began a new life."""
        self._perform(self.core.restarted(self.now()))

    async def run(self) -> None:
        """Look at what waits again and again."""
        while True:
            await sleep(REVIEW_SECONDS)
            if self.core.waiting_by_id:
                self._perform(self.core.review(self.now()))

    def _perform(self, actions: list[AdmissionAction]) -> None:
        """Wake those whose bids were decided."""
        for action in actions:
            waiter = self.waiter_by_bid.get(action.bid_id)
            if waiter is not None:
                waiter.outcome = action
                waiter.done.set()

    def _reply(self, bid: Bid, outcome: AdmissionAction | None) -> BidReply:
        """Return the reply to a bid."""
        now = self.now()
        load = self.core.load(now)
        service = self.core.service.here(bid.account_id, now)
        if isinstance(outcome, Granted):
            return BidReply(
                True, load, cached_tokens=outcome.cached_tokens, service=service
            )
        if outcome is None:
            return BidReply(False, load, "withdrawn", service=service)
        return BidReply(
            False, load, outcome.reason, outcome.retry_after_seconds, service=service
        )
