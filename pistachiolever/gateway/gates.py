"""Asks for room at an endpoint: at the agent beside it, or among the own requests."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import sleep
from attrs import define, evolve, field

from pistachiolever.admission.const import (
    BID_PATH,
    PROGRESS_CALL_SECONDS,
    PROGRESS_PATH,
    PROGRESS_SECONDS,
    SHARES_SECONDS,
)
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.desk import AdmissionDesk
from pistachiolever.admission.models import (
    AccountUse,
    Bid,
    BidReply,
    EndedRun,
    Load,
    Progress,
    ProgressReply,
)
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.const import (
    AGENT_RETRY_SECONDS,
    BID_CALL_MARGIN_SECONDS,
    MOST_UNTOLD,
)


class Gate(Protocol):
    """Grants room at one endpoint."""

    def load(self) -> Load:
        """Return what stands before the endpoint, as last known."""

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for room; cancelling withdraws the bid."""

    def started(self, bid_id: str) -> None:
        """Tell that the first part of an answer came."""

    def ended(self, bid_id: str, output_tokens: int) -> None:
        """Tell that a granted request ended."""


@define
class LocalGate:
    """Grants room by what this router sent itself."""

    desk: AdmissionDesk
    share: Callable[[], float]

    def load(self) -> Load:
        """Return the load that this router makes, as if it were all."""
        return self.desk.core.load(self.desk.now())

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for room within this router's share of the endpoint."""
        share = self.share()
        slots = max(1, round(bid.slots * share))
        memory = int(bid.memory_tokens * share)
        return await self.desk.acquire(evolve(bid, slots=slots, memory_tokens=memory))

    def started(self, bid_id: str) -> None:
        """Tell that the first part of an answer came."""
        self.desk.progress([bid_id], [])

    def ended(self, bid_id: str, output_tokens: int) -> None:
        """Tell that a granted request ended."""
        self.desk.progress([], [EndedRun(bid_id, output_tokens)])


@define
class AgentGate:
    """Asks the agent beside the endpoint; falls back to the own share without it."""

    router_id: str
    address: str
    caller: PeerClient
    fallback: LocalGate
    events: EventLogger
    now: Callable[[], float]
    hear_uses: Callable[[list[AccountUse]], None]
    uses_at: float = float("-inf")
    last_load: Load = Load()
    silent_until: float = 0.0
    silent: bool = False
    started_ids: list[str] = field(factory=list)
    ended_runs: list[EndedRun] = field(factory=list)
    local_ids: set[str] = field(factory=set)

    def load(self) -> Load:
        """Return what the agent last told, or the own load without it."""
        return self.fallback.load() if self.silent else self.last_load

    async def acquire(self, bid: Bid) -> BidReply:
        """Wait for the agent's decision, or for room in the own share."""
        if not self.silent:
            reply = await self._ask(bid)
            if reply is not None:
                self.last_load = reply.load
                return reply
        self.local_ids.add(bid.bid_id)
        reply = await self.fallback.acquire(bid)
        if not reply.granted:
            self.local_ids.discard(bid.bid_id)
        return reply

    async def _ask(self, bid: Bid) -> BidReply | None:
        """Return the agent's reply; None when it does not answer."""
        seconds = bid.target_seconds + BID_CALL_MARGIN_SECONDS
        settled = False
        try:
            reply = await self.caller.call(
                self.address, BID_PATH, bid, BidReply, seconds
            )
            settled = True
            return reply
        except PeerError as error:
            self._note_silent(str(error))
            return None
        finally:
            if not settled:
                # The grant may have been made and its reply lost.
                self.ended_runs.append(EndedRun(bid.bid_id, 0))

    def started(self, bid_id: str) -> None:
        """Tell that the first part of an answer came."""
        if bid_id in self.local_ids:
            self.fallback.started(bid_id)
            return
        self.started_ids.append(bid_id)

    def ended(self, bid_id: str, output_tokens: int) -> None:
        """Tell that a granted request ended."""
        if bid_id in self.local_ids:
            self.local_ids.discard(bid_id)
            self.fallback.ended(bid_id, output_tokens)
            return
        self.ended_runs.append(EndedRun(bid_id, output_tokens))

    async def run(self) -> None:
        """Tell the agent what was seen, again and again; learn the load."""
        waited = 0.0
        while True:
            await sleep(PROGRESS_SECONDS / 10)
            waited += PROGRESS_SECONDS / 10
            has_news = bool(self.started_ids or self.ended_runs)
            if not has_news and waited < PROGRESS_SECONDS:
                continue
            if self.silent and self.now() < self.silent_until:
                continue
            waited = 0.0
            await self._tell()

    async def _tell(self) -> None:
        """Tell the agent what was seen since the last time."""
        started, self.started_ids = self.started_ids, []
        ended, self.ended_runs = self.ended_runs, []
        wants_uses = self.now() - self.uses_at >= SHARES_SECONDS
        progress = Progress(self.router_id, wants_uses, started, ended)
        try:
            reply = await self.caller.call(
                self.address,
                PROGRESS_PATH,
                progress,
                ProgressReply,
                PROGRESS_CALL_SECONDS,
            )
        except PeerError as error:
            # What is left out here the agent finds in its engine's report.
            self.started_ids = (started + self.started_ids)[-MOST_UNTOLD:]
            self.ended_runs = (ended + self.ended_runs)[-MOST_UNTOLD:]
            self._note_silent(str(error))
            return
        self.last_load = reply.load
        if reply.uses is not None:
            self.uses_at = self.now()
            self.hear_uses(reply.uses)
        if self.silent:
            self.silent = False
            self.events.record(EventCode.AGENT_FOUND, agent=self.address)

    def _note_silent(self, error: str) -> None:
        """Do without the agent for a while."""
        self.silent_until = self.now() + AGENT_RETRY_SECONDS
        if not self.silent:
            self.silent = True
            self.events.record(EventCode.AGENT_LOST, agent=self.address, error=error)


def make_local_gate(
    rng: Random, now: Callable[[], float], share: Callable[[], float]
) -> LocalGate:
    """Return a gate that knows only this router's requests."""
    return LocalGate(AdmissionDesk(AdmissionCore(Capacity(1), rng), now), share)
