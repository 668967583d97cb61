"""The process beside an engine: it decides which request its engine takes next."""

from random import Random
from typing import Protocol

from anyio import create_task_group, current_time, sleep
from attrs import define, field

from pistachiolever.admission.const import (
    BID_PATH,
    PROGRESS_PATH,
    REPORT_SECONDS,
)
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.desk import AdmissionDesk
from pistachiolever.admission.models import (
    Bid,
    BidReply,
    EngineReport,
    Progress,
    ProgressReply,
)
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerApi
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.metrics.instruments import GRANT_WAIT, GRANTS, Instruments


class EngineProbe(Protocol):
    """Asks an engine how it stands."""

    async def report(self) -> EngineReport:
        """Return the engine's report; raise PeerError."""


@define
class AgentProcess:
    """Admission before the engine on this VM."""

    probe: EngineProbe
    events: EventLogger
    rng: Random
    instruments: Instruments = field(factory=Instruments)
    desk: AdmissionDesk = field(init=False)
    engine_born_ms: int = 0
    engine_silent: bool = False

    def __attrs_post_init__(self) -> None:
        """Start with no bids; the first one brings the engine's size."""
        core = AdmissionCore(Capacity(1), self.rng)
        self.desk = AdmissionDesk(core, current_time)
        gauge = self.instruments.gauge
        gauge("pistachiolever_waiting", lambda: len(core.waiting_by_id))
        gauge("pistachiolever_running", lambda: len(core.run_by_id))
        gauge(
            "pistachiolever_unread_tokens",
            lambda: core.unread_tokens(self.desk.now()),
        )
        gauge("pistachiolever_reading_share", lambda: core.flow.share)
        gauge("pistachiolever_token_seconds", lambda: core.flow.pace)

    async def run(self) -> None:
        """Work until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.desk.run)
            group.start_soon(self._watch_engine)

    def face(self, secret: str = "") -> PeerApi:
        """Return what answers routers."""
        face = PeerApi(secret)
        face.add(BID_PATH, Bid, self._take_bid)
        face.add(PROGRESS_PATH, Progress, self._take_progress)
        return face

    async def _take_bid(self, bid: Bid) -> BidReply:
        """Answer a bid once it is decided."""
        begun = self.desk.now()
        reply = await self.desk.acquire(bid)
        outcome = "granted" if reply.granted else reply.reason
        self.instruments.count(GRANTS, bid.account_id, outcome)
        if reply.granted:
            self.instruments.observe(GRANT_WAIT, self.desk.now() - begun, bid.kind)
        self.events.record(
            EventCode.GRANT_MADE if reply.granted else EventCode.GRANT_REFUSED,
            bid.request_id,
            account=bid.account_id,
            waited=round(self.desk.now() - begun, 4),
            reason=reply.reason,
            retry_after=round(reply.retry_after_seconds, 2),
            prompt=bid.prompt_tokens,
            cached=reply.cached_tokens,
            unread=round(reply.load.unread_tokens),
            queued=round(reply.load.queued_tokens),
            waiting=reply.load.waiting,
            running=reply.load.running,
            free=round(reply.load.free_memory_tokens),
            speed=round(reply.load.speed),
            share=round(self.desk.core.flow.share, 3),
            pace=round(self.desk.core.flow.pace, 4),
            needed=round(self.desk.core.flow.needed, 4),
            service=round(reply.service),
            elsewhere=round(bid.elsewhere),
            fair=round(bid.share) if bid.share is not None else None,
        )
        return reply

    async def _take_progress(self, progress: Progress) -> ProgressReply:
        """Take in what a router saw."""
        load = self.desk.progress(progress.started, progress.ended)
        if not progress.wants_uses:
            return ProgressReply(load)
        return ProgressReply(load, self.desk.core.service.uses(self.desk.now()))

    async def _watch_engine(self) -> None:
        """Compare the engine's own report with what was granted."""
        while True:
            await sleep(REPORT_SECONDS)
            try:
                report = await self.probe.report()
            except PeerError as error:
                self._note_silent(str(error))
                continue
            if self.engine_silent:
                self.engine_silent = False
                self.events.record(EventCode.ENGINE_ANSWERS, born=report.born_ms)
            if self.engine_born_ms not in (0, report.born_ms):
                self.desk.restarted()
            self.engine_born_ms = report.born_ms
            self.desk.report(report)

    def _note_silent(self, error: str) -> None:
        """Record once that the engine does not report."""
        if not self.engine_silent:
            self.engine_silent = True
            self.events.record(EventCode.ENGINE_SILENT, error=error)
