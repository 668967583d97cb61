"""Clients that obtain grants, from the agent beside an endpoint or locally."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import Event, sleep
from attrs import define, evolve, field

from pistachiolever.admission.const import (
    BID_PATH,
    PROGRESS_BATCH_SECONDS,
    PROGRESS_PATH,
    PROGRESS_TIMEOUT_SECONDS,
)
from pistachiolever.admission.controller import AdmissionController
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import (
    Bid,
    BidCall,
    BidReply,
    EndedRun,
    Load,
    Progress,
    ProgressReply,
)
from pistachiolever.core.task import BackgroundTask
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.const import (
    AGENT_RETRY_SECONDS,
    BID_TIMEOUT_MARGIN_SECONDS,
    MAX_AGENT_RETRY_SECONDS,
    MAX_UNREPORTED_RUNS,
)


class AdmissionClient(Protocol):
    """Obtains grants for requests to one endpoint."""

    def load(self) -> Load:
        """Return the last known load of the endpoint."""

    def update_load(self, load: Load, measured_at: float) -> None:
        """Apply a load that was measured at a time of this process's clock."""

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the reply to a bid; cancelling withdraws it."""

    def report_start(self, bid_id: str) -> None:
        """Report the first chunk of a granted request."""

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Report the end of a granted request."""

    async def run(self) -> None:
        """Run the background task until the client is closed."""

    def close(self) -> None:
        """End the background task."""


@define
class LocalAdmission:
    """Grants requests in this process, considering only this router's own requests.

    `fraction` returns the part of the endpoint's capacity that this router may use.
    """

    controller: AdmissionController
    fraction: Callable[[], float]
    task: BackgroundTask = field(factory=BackgroundTask)

    async def run(self) -> None:
        """Review the queue until the client is closed."""
        await self.task.run(self.controller.run)

    def close(self) -> None:
        """End the background task."""
        self.task.close()

    def load(self) -> Load:
        """Return the load by this router alone."""
        return self.controller.load()

    def update_load(self, load: Load, measured_at: float) -> None:
        """Ignore a load told by others: this process sees only its own requests."""

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for a grant within this router's part of the endpoint's capacity."""
        fraction = self.fraction()
        slots = max(1, round(bid.slots * fraction))
        memory = int(bid.memory_tokens * fraction)
        return await self.controller.acquire(
            evolve(bid, slots=slots, memory_tokens=memory)
        )

    def report_start(self, bid_id: str) -> None:
        """Report the first chunk of a granted request."""
        self.controller.handle_progress(Progress([bid_id]))

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Report the end of a granted request."""
        self.controller.handle_progress(
            Progress(ended=[EndedRun(bid_id, output_tokens)])
        )


@define
class RemoteAdmission:
    """Requests grants from the agent beside the endpoint.

    While the agent is unresponsive, bids go to the local fallback. Starts and ends of
    requests that the agent granted are sent to it in batches or with the next bid;
    `local_ids` are the bids that went to the fallback and were not refused. Nothing is
    sent while there are no requests.
    """

    address: str
    client: PeerClient
    fallback: LocalAdmission
    events: EventLogger
    now: Callable[[], float]
    last_load: Load = Load()
    measured_at: float = float("-inf")
    retry_seconds: float = AGENT_RETRY_SECONDS
    unresponsive: bool = False
    started_ids: list[str] = field(factory=list)
    ended_runs: list[EndedRun] = field(factory=list)
    local_ids: set[str] = field(factory=set)
    task: BackgroundTask = field(factory=BackgroundTask)
    _wake: Event = field(factory=Event)

    def load(self) -> Load:
        """Return the last load from the agent, or the local one without it."""
        return self.fallback.load() if self.unresponsive else self.last_load

    def update_load(self, load: Load, measured_at: float) -> None:
        """Apply a load of the endpoint, unless a newer one is known."""
        if measured_at > self.measured_at:
            self.last_load, self.measured_at = load, measured_at

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the agent's reply, or for the fallback's without it."""
        if not self.unresponsive:
            reply = await self._request_grant(bid)
            if reply is not None:
                self.update_load(reply.load, self.now())
                return reply
        self.local_ids.add(bid.bid_id)
        granted = False
        try:
            reply = await self.fallback.acquire(bid)
            granted = reply.granted
            return reply
        finally:
            if not granted:
                self.local_ids.discard(bid.bid_id)

    async def _request_grant(self, bid: Bid) -> BidReply | None:
        """Return the agent's reply; None if the call fails."""
        seconds = bid.target_seconds + BID_TIMEOUT_MARGIN_SECONDS
        progress = self._take_progress()
        decided = False
        try:
            reply = await self.client.call(
                self.address, BID_PATH, BidCall(bid, progress), BidReply, seconds
            )
            decided = True
            return reply
        except PeerError as error:
            self._record_unresponsive(str(error))
            return None
        finally:
            if not decided:
                # The agent may have granted the bid and the reply got lost.
                self._put_back(progress)
                self.report_end(bid.bid_id, 0)

    def report_start(self, bid_id: str) -> None:
        """Report the first chunk of a granted request."""
        if bid_id in self.local_ids:
            self.fallback.report_start(bid_id)
            return
        self.started_ids.append(bid_id)
        self._wake.set()

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Report the end of a granted request."""
        if bid_id in self.local_ids:
            self.local_ids.discard(bid_id)
            self.fallback.report_end(bid_id, output_tokens)
            return
        self.ended_runs.append(EndedRun(bid_id, output_tokens))
        self._wake.set()

    async def run(self) -> None:
        """Report starts and ends until the client is closed."""
        await self.task.run(self._report)

    def close(self) -> None:
        """End the background task."""
        self.task.close()

    async def _report(self) -> None:
        """Send progress messages when there is something to report.

        An unresponsive agent is called until it replies, with exponential backoff.
        """
        while True:
            if self.unresponsive:
                await sleep(self.retry_seconds)
                self.retry_seconds = min(
                    2 * self.retry_seconds, MAX_AGENT_RETRY_SECONDS
                )
            else:
                await self._wait_for_news()
            if self.unresponsive or self._has_news():
                await self._report_progress()

    async def _wait_for_news(self) -> None:
        """Wait for starts and ends, and collect those that come within the batch."""
        if not self._has_news():
            self._wake = Event()
            await self._wake.wait()
        await sleep(PROGRESS_BATCH_SECONDS)

    def _has_news(self) -> bool:
        """Return whether there are starts or ends to report."""
        return bool(self.started_ids or self.ended_runs)

    async def _report_progress(self) -> None:
        """Send pending starts and ends; update the load from the reply."""
        progress = self._take_progress()
        try:
            reply = await self.client.call(
                self.address,
                PROGRESS_PATH,
                progress,
                ProgressReply,
                PROGRESS_TIMEOUT_SECONDS,
            )
        except PeerError as error:
            self._put_back(progress)
            self._record_unresponsive(str(error))
            return
        self.update_load(reply.load, self.now())
        if self.unresponsive:
            self.unresponsive = False
            self.retry_seconds = AGENT_RETRY_SECONDS
            self.events.record(EventCode.AGENT_FOUND, agent=self.address)

    def _take_progress(self) -> Progress:
        """Return the pending starts and ends, which are then no longer pending."""
        progress = Progress(self.started_ids, self.ended_runs)
        self.started_ids, self.ended_runs = [], []
        return progress

    def _put_back(self, progress: Progress) -> None:
        """Report starts and ends again that the agent may not have received.

        It ignores those that it knows, and learns of dropped ones from its engine.
        """
        self.started_ids = (progress.started + self.started_ids)[-MAX_UNREPORTED_RUNS:]
        self.ended_runs = (progress.ended + self.ended_runs)[-MAX_UNREPORTED_RUNS:]

    def _record_unresponsive(self, error: str) -> None:
        """Use the fallback until the agent replies; log the first failure."""
        if self.unresponsive:
            return
        self.unresponsive = True
        self._wake.set()
        self.events.record(EventCode.AGENT_LOST, agent=self.address, error=error)


def make_local_admission(
    rng: Random, now: Callable[[], float], fraction: Callable[[], float]
) -> LocalAdmission:
    """Return a local admission client with no capacity known yet."""
    return LocalAdmission(
        AdmissionController(AdmissionCore(Capacity(1), rng), now), fraction
    )
