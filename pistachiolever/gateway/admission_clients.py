"""Clients that obtain grants, from the agent beside an endpoint or locally."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import sleep
from attrs import define, evolve, field

from pistachiolever.admission.const import (
    BID_PATH,
    PROGRESS_INTERVAL_SECONDS,
    PROGRESS_PATH,
    PROGRESS_TIMEOUT_SECONDS,
    USAGE_INTERVAL_SECONDS,
)
from pistachiolever.admission.controller import AdmissionController
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import (
    AccountUsage,
    Bid,
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
    MAX_UNREPORTED_RUNS,
)


class AdmissionClient(Protocol):
    """Obtains grants for requests to one endpoint."""

    def load(self) -> Load:
        """Return the last known load of the endpoint."""

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
        return self.controller.core.load(self.controller.now())

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
        self.controller.handle_progress([bid_id], [])

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Report the end of a granted request."""
        self.controller.handle_progress([], [EndedRun(bid_id, output_tokens)])


@define
class RemoteAdmission:
    """Requests grants from the agent beside the endpoint.

    While the agent is unresponsive, bids go to the local fallback. Starts and ends of
    requests that the agent granted are sent to it in batches; `local_ids` are the bids
    that went to the fallback and were not refused.
    """

    router_id: str
    address: str
    client: PeerClient
    fallback: LocalAdmission
    events: EventLogger
    now: Callable[[], float]
    update_usage: Callable[[list[AccountUsage]], None]
    usage_updated_at: float = float("-inf")
    last_load: Load = Load()
    unresponsive_until: float = 0.0
    unresponsive: bool = False
    started_ids: list[str] = field(factory=list)
    ended_runs: list[EndedRun] = field(factory=list)
    local_ids: set[str] = field(factory=set)
    task: BackgroundTask = field(factory=BackgroundTask)

    def load(self) -> Load:
        """Return the last load from the agent, or the local one without it."""
        return self.fallback.load() if self.unresponsive else self.last_load

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the agent's reply, or for the fallback's without it."""
        if not self.unresponsive:
            reply = await self._request_grant(bid)
            if reply is not None:
                self.last_load = reply.load
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
        decided = False
        try:
            reply = await self.client.call(
                self.address, BID_PATH, bid, BidReply, seconds
            )
            decided = True
            return reply
        except PeerError as error:
            self._record_unresponsive(str(error))
            return None
        finally:
            if not decided:
                # The agent may have granted the bid and the reply got lost.
                self.ended_runs.append(EndedRun(bid.bid_id, 0))

    def report_start(self, bid_id: str) -> None:
        """Report the first chunk of a granted request."""
        if bid_id in self.local_ids:
            self.fallback.report_start(bid_id)
            return
        self.started_ids.append(bid_id)

    def report_end(self, bid_id: str, output_tokens: int) -> None:
        """Report the end of a granted request."""
        if bid_id in self.local_ids:
            self.local_ids.discard(bid_id)
            self.fallback.report_end(bid_id, output_tokens)
            return
        self.ended_runs.append(EndedRun(bid_id, output_tokens))

    async def run(self) -> None:
        """Send progress messages until the client is closed."""
        await self.task.run(self._report_periodically)

    def close(self) -> None:
        """End the background task."""
        self.task.close()

    async def _report_periodically(self) -> None:
        """Send progress messages.

        Starts and ends are sent within a tenth of the interval; without any, a message
        per interval still fetches the load.
        """
        waited = 0.0
        while True:
            await sleep(PROGRESS_INTERVAL_SECONDS / 10)
            waited += PROGRESS_INTERVAL_SECONDS / 10
            has_updates = bool(self.started_ids or self.ended_runs)
            if not has_updates and waited < PROGRESS_INTERVAL_SECONDS:
                continue
            if self.unresponsive and self.now() < self.unresponsive_until:
                continue
            waited = 0.0
            await self._report_progress()

    async def _report_progress(self) -> None:
        """Send pending starts and ends; update load and usage from the reply."""
        started, self.started_ids = self.started_ids, []
        ended, self.ended_runs = self.ended_runs, []
        wants_uses = self.now() - self.usage_updated_at >= USAGE_INTERVAL_SECONDS
        progress = Progress(self.router_id, wants_uses, started, ended)
        try:
            reply = await self.client.call(
                self.address,
                PROGRESS_PATH,
                progress,
                ProgressReply,
                PROGRESS_TIMEOUT_SECONDS,
            )
        except PeerError as error:
            # The agent learns of dropped entries from its engine's report.
            self.started_ids = (started + self.started_ids)[-MAX_UNREPORTED_RUNS:]
            self.ended_runs = (ended + self.ended_runs)[-MAX_UNREPORTED_RUNS:]
            self._record_unresponsive(str(error))
            return
        self.last_load = reply.load
        if reply.uses is not None:
            self.usage_updated_at = self.now()
            self.update_usage(reply.uses)
        if self.unresponsive:
            self.unresponsive = False
            self.events.record(EventCode.AGENT_FOUND, agent=self.address)

    def _record_unresponsive(self, error: str) -> None:
        """Use the fallback for AGENT_RETRY_SECONDS; log the first failure."""
        self.unresponsive_until = self.now() + AGENT_RETRY_SECONDS
        if not self.unresponsive:
            self.unresponsive = True
            self.events.record(EventCode.AGENT_LOST, agent=self.address, error=error)


def make_local_admission(
    rng: Random, now: Callable[[], float], fraction: Callable[[], float]
) -> LocalAdmission:
    """Return a local admission client with no capacity known yet."""
    return LocalAdmission(
        AdmissionController(AdmissionCore(Capacity(1), rng), now), fraction
    )
