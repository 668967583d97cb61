"""Clients that obtain grants, from the agent beside an endpoint or locally."""

from collections.abc import Callable
from math import exp
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
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.core.task import BackgroundTask
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.cold_bids import suspect_cold
from pistachiolever.gateway.const import (
    AGENT_RETRY_SECONDS,
    BID_TIMEOUT_MARGIN_SECONDS,
    MAX_ABSENT_AGENT_RETRY_SECONDS,
    MAX_AGENT_RETRY_SECONDS,
    MAX_OTHERS_SECONDS,
    MAX_UNREPORTED_RUNS,
    OTHERS_DECAY_SECONDS,
)
from pistachiolever.streams.table import StreamLog


class AdmissionClient(Protocol):
    """Obtains grants for requests to one endpoint."""

    def load(self) -> Load:
        """Return the last known load of the endpoint."""

    def update_load(self, load: Load, measured_at: float) -> None:
        """Apply a load of the agent, measured at a time of this process's clock."""

    def record_seen_load(self, load: Load, measured_at: float) -> None:
        """Apply what the endpoint told of its load in a response."""

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the reply to a bid; cancelling withdraws it."""

    def is_local(self) -> bool:
        """Return whether bids are decided in this process."""

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
    """Grants requests in this process, for an endpoint without an agent.

    `fraction` returns this router's part of what all routers share: the capacity of an
    engine, as long as nothing is known of the others, and the rate that an endpoint
    named. `read_total` returns an account's service over the whole fleet; a plain
    endpoint has none. `others` are the requests of other routers at the endpoint, as
    it told of itself at `others_at`.
    """

    controller: AdmissionController
    fraction: Callable[[], float]
    read_total: Callable[[str], float] | None = None
    others: float = 0.0
    others_at: float = float("-inf")
    task: BackgroundTask = field(factory=BackgroundTask)

    def __attrs_post_init__(self) -> None:
        """Let each review of the queue reckon with the other routers."""
        self.controller.before_review = self._update_shared

    async def run(self) -> None:
        """Review the queue until the client is closed."""
        await self.task.run(self.controller.run)

    def close(self) -> None:
        """End the background task."""
        self.task.close()

    def is_local(self) -> bool:
        """Return true."""
        return True

    def load(self) -> Load:
        """Return the load by this router, and by the others as far as it is known."""
        self._update_shared()
        return self.controller.load()

    def update_load(self, load: Load, measured_at: float) -> None:
        """Ignore the load of an agent, which does not know of this router's grants."""

    def record_seen_load(self, load: Load, measured_at: float) -> None:
        """Apply what the endpoint told of its load."""
        if measured_at < self.others_at:
            return
        own = len(self.controller.core.run_by_id)
        self.others = max(0, load.running + load.waiting - own)
        self.others_at = measured_at

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for a grant within the capacity that the other routers leave."""
        fraction = self._capacity_fraction()
        if self._knows_others():
            fraction = max(fraction, 1.0 - self._others_now() / max(1, bid.slots))
        slots = bid.slots if self._knows_others() else round(bid.slots * fraction)
        total = self.read_total(bid.account_id) if self.read_total else bid.total
        self._update_shared()
        return await self.controller.acquire(
            evolve(
                bid,
                slots=max(1, slots),
                memory_tokens=int(bid.memory_tokens * fraction),
                total=total,
            )
        )

    def _capacity_fraction(self) -> float:
        """Return the part of the endpoint's capacity that this router may grant.

        Plain endpoints refuse what exceeds their capacity, so each may use all of it.
        """
        return 1.0 if self.read_total is None else self.fraction()

    def _knows_others(self) -> bool:
        """Return whether the endpoint has told of its load recently.

        An endpoint that refuses what exceeds its capacity needs no estimate.
        """
        age = self.controller.now() - self.others_at
        return self.read_total is not None and age < MAX_OTHERS_SECONDS

    def _others_now(self) -> float:
        """Return the estimated requests of the others."""
        age = max(0.0, self.controller.now() - self.others_at)
        return self.others * exp(-age / OTHERS_DECAY_SECONDS)

    def _update_shared(self) -> None:
        """Let the decisions reckon with the other routers."""
        others = round(self._others_now()) if self._knows_others() else 0
        self.controller.core.untracked_running = others
        self.controller.core.limits.set_fraction(self.fraction())

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
    `local_ids` are bids that the fallback did not refuse. Idle clients send nothing.
    """

    address: str
    client: PeerClient
    make_fallback: Callable[[], LocalAdmission]
    events: EventLogger
    now: Callable[[], float]
    last_load: Load = Load()
    measured_at: float = float("-inf")
    retry_seconds: float = AGENT_RETRY_SECONDS
    retry_at: float = 0.0
    unresponsive: bool = False
    lost_at: float = float("-inf")
    has_replied: bool = False
    probe_requested: bool = False
    _fallback: LocalAdmission | None = None
    started_ids: list[str] = field(factory=list)
    ended_runs: list[EndedRun] = field(factory=list)
    local_ids: set[str] = field(factory=set)
    task: BackgroundTask = field(factory=BackgroundTask)
    _wake: Event = field(factory=Event)

    @property
    def fallback(self) -> LocalAdmission:
        """Return what decides while the agent is unresponsive."""
        if self._fallback is None:
            self._fallback = self.make_fallback()
        return self._fallback

    def is_local(self) -> bool:
        """Return whether the agent is unresponsive, or there is none."""
        return self.unresponsive

    def load(self) -> Load:
        """Return the last load from the agent, or the local one without it."""
        return self.fallback.load() if self.unresponsive else self.last_load

    def record_seen_load(self, load: Load, measured_at: float) -> None:
        """Apply what the endpoint told of its load, unless its agent knows better."""
        if self.unresponsive:
            self.fallback.record_seen_load(load, measured_at)

    def update_load(self, load: Load, measured_at: float) -> None:
        """Apply a load of the endpoint, unless a newer one is known."""
        if measured_at > self.measured_at:
            self.last_load, self.measured_at = load, measured_at

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the agent's reply, or for the fallback's without it."""
        if not self.unresponsive:
            reply = await self._request_grant(bid)
            if reply is not None:
                self.has_replied = True
                self.update_load(reply.load, self.now())
                return reply
        elif self.now() >= self.retry_at:
            self.probe_requested = True
            self._wake.set()
        self.local_ids.add(bid.bid_id)
        granted = False
        try:
            bid = suspect_cold(bid, self.lost_at, self.now())
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
        """End the background tasks."""
        self.task.close()
        if self._fallback is not None:
            self._fallback.close()

    async def _report(self) -> None:
        """Send progress messages when there is something to report.

        An unresponsive agent is called only while there are bids for its endpoint, with
        exponential backoff.
        """
        while True:
            await self._wait_for_news()
            if self.probe_requested or self._has_news():
                await self._report_progress()

    async def _wait_for_news(self) -> None:
        """Wait for starts and ends, and collect those that come within the batch."""
        while not (self.probe_requested or (self._has_news() and not self._is_lost())):
            self._wake = Event()
            await self._wake.wait()
        await sleep(PROGRESS_BATCH_SECONDS)

    def _is_lost(self) -> bool:
        """Return whether the agent is not to be called now."""
        return self.unresponsive and self.now() < self.retry_at

    def _has_news(self) -> bool:
        """Return whether there are starts or ends to report."""
        return bool(self.started_ids or self.ended_runs)

    async def _report_progress(self) -> None:
        """Send pending starts and ends; update the load from the reply."""
        self.probe_requested = False
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
        self.has_replied = True
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
        limit = MAX_AGENT_RETRY_SECONDS
        if not self.has_replied:
            # There may be no agent at all.
            limit = MAX_ABSENT_AGENT_RETRY_SECONDS
        self.retry_at = self.now() + self.retry_seconds
        self.retry_seconds = min(2 * self.retry_seconds, limit)
        if not self.unresponsive:
            self.unresponsive, self.lost_at = True, self.now()
            self.events.record(EventCode.AGENT_LOST, agent=self.address, error=error)


def make_local_admission(
    rng: Random,
    now: Callable[[], float],
    fraction: Callable[[], float],
    service: RecentService | None = None,
    read_total: Callable[[str], float] | None = None,
    streams: StreamLog | None = None,
) -> LocalAdmission:
    """Return a local admission client with no capacity known yet.

    For an engine, `service` is shared by all clients of this router, and so is the log
    of `streams` for any endpoint.
    """
    core = AdmissionCore(
        Capacity(1),
        rng,
        service=service or RecentService(),
        streams=streams or StreamLog(),
    )
    return LocalAdmission(AdmissionController(core, now), fraction, read_total)
