"""The agent process beside an engine: decides which request the engine gets next."""

from random import Random
from typing import Protocol

from anyio import create_task_group, current_time, sleep
from attrs import define, evolve, field

from pistachiolever.admission.const import (
    BID_PATH,
    MIN_RETRY_AFTER_SECONDS,
    PROGRESS_PATH,
    REPORT_INTERVAL_SECONDS,
)
from pistachiolever.admission.controller import AdmissionController
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import (
    Bid,
    BidCall,
    BidReply,
    EngineReport,
    Progress,
    ProgressReply,
)
from pistachiolever.admission.settings import AgentSettings
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerApi
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.metrics.instruments import GRANT_WAIT, GRANTS, Instruments
from pistachiolever.usage.reporter import UsageReporter


class EngineProbe(Protocol):
    """Fetches status reports from an engine."""

    async def report(self) -> EngineReport:
        """Return the engine's report; raise PeerError."""


class HealthProbe(Protocol):
    """Sends health checks to an engine."""

    async def cold_seconds(self, health_path: str) -> float:
        """Return how long the engine stays cold, 0 if it is warm; raise PeerError."""


@define
class AgentProcess:
    """Admission control for the engine on this VM.

    `engine_known` is true while the engine answers: what runs there is then the
    incarnation that started at `engine_born_ms`.
    """

    probe: EngineProbe
    events: EventLogger
    rng: Random
    instruments: Instruments = field(factory=Instruments)
    health: HealthProbe | None = None
    controller: AdmissionController = field(init=False)
    engine_born_ms: int = 0
    engine_unresponsive: bool = False
    engine_known: bool = False
    questions: Mailbox[int] = field(factory=Mailbox)

    def __attrs_post_init__(self) -> None:
        """Create the controller with one slot and register the gauges.

        Bids carry the engine's real capacity, so the first one sets it.
        """
        core = AdmissionCore(Capacity(1), self.rng)
        core.cold_start.can_ask = self.health is not None
        self.controller = AdmissionController(
            core, current_time, before_review=self._ask_if_cold
        )
        gauge = self.instruments.gauge
        gauge("pistachiolever_waiting", lambda: len(core.queued_by_id))
        gauge("pistachiolever_running", lambda: len(core.run_by_id))
        gauge(
            "pistachiolever_unread_tokens",
            lambda: core.pending_prefill_tokens(self.controller.now()),
        )
        gauge("pistachiolever_reading_share", lambda: core.throttle.fraction)
        gauge(
            "pistachiolever_cold",
            lambda: core.cold_start.is_limited(self.controller.now()),
        )
        gauge("pistachiolever_token_seconds", lambda: core.throttle.seconds_per_token)

    def make_reporter(self, settings: AgentSettings) -> UsageReporter:
        """Return what decides the agent's reports to the registry."""
        core = self.controller.core
        return UsageReporter(
            settings.address, core.service, core.load, streams=core.streams
        )

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.controller.run)
            group.start_soon(self._watch_engine)
            group.start_soon(self._check_health)

    def api(self, secret: str = "") -> PeerApi:
        """Return the API that routers call."""
        api = PeerApi(secret)
        api.add(BID_PATH, BidCall, self._handle_bid)
        api.add(PROGRESS_PATH, Progress, self._handle_progress)
        return api

    async def _handle_bid(self, call: BidCall) -> BidReply:
        """Reply to a bid once it is granted or refused."""
        bid, service = call.bid, self.controller.core.service
        self.controller.handle_progress(call.progress)
        started_at = self.controller.now()
        if self._may_have_restarted(bid):
            load = self.controller.load()
            reply = BidReply(False, load, "restarted", MIN_RETRY_AFTER_SECONDS)
        else:
            reply = await self.controller.acquire(bid)
        waited_seconds = self.controller.now() - started_at
        outcome = "granted" if reply.granted else reply.reason
        self.instruments.count(GRANTS, bid.account_id, outcome)
        if reply.granted:
            self.instruments.observe(GRANT_WAIT, waited_seconds, bid.kind)
        self.events.record(
            EventCode.GRANT_MADE if reply.granted else EventCode.GRANT_REFUSED,
            bid.request_id,
            account=bid.account_id,
            waited=round(waited_seconds, 4),
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
            share=round(self.controller.core.throttle.fraction, 3),
            pace=round(self.controller.core.throttle.seconds_per_token, 4),
            needed=round(self.controller.core.throttle.target_seconds_per_token, 4),
            service=round(service.local(bid.account_id, self.controller.now())),
            elsewhere=round(service.elsewhere(bid.account_id, self.controller.now())),
            fair=round(bid.share) if bid.share is not None else None,
        )
        return evolve(reply, waited_seconds=round(waited_seconds, 4))

    def _may_have_restarted(self, bid: Bid) -> bool:
        """Return whether the engine may not be the incarnation that a bid names.

        Its version may then be another one than the router knows. A start time that is
        later than the reported one comes from the engine itself.
        """
        if not bid.born_ms:
            return False
        return not self.engine_known or bid.born_ms < self.engine_born_ms

    async def _handle_progress(self, progress: Progress) -> ProgressReply:
        """Apply a router's progress message; return the load after it."""
        self.controller.handle_progress(progress)
        return ProgressReply(self.controller.load())

    async def _watch_engine(self) -> None:
        """Poll the engine's reports and reconcile the granted runs with them."""
        while True:
            await self._read_report()
            await sleep(REPORT_INTERVAL_SECONDS)

    async def _read_report(self) -> None:
        """Read one report of the engine and reconcile the granted runs with it."""
        try:
            report = await self.probe.report()
        except PeerError as error:
            self.engine_known = False
            self._record_unresponsive(str(error))
            return
        if self.engine_unresponsive:
            self.engine_unresponsive = False
            self.controller.core.cold_start.handle_doubt(self.controller.now())
            self.events.record(EventCode.ENGINE_ANSWERS, born=report.born_ms)
        if self.engine_born_ms not in (0, report.born_ms):
            self.controller.handle_restart()
        self.engine_born_ms = report.born_ms
        self.engine_known = True
        self.controller.handle_report(report)

    def _ask_if_cold(self) -> None:
        """Let the engine be asked whether it is cold, if that is unknown."""
        question = self.controller.core.cold_start.next_question(self.controller.now())
        if question is not None:
            self.questions.put(question)

    async def _check_health(self) -> None:
        """Ask the engine whether it is cold, once for each question."""
        cold_start = self.controller.core.cold_start
        while questions := await self.questions.get_all():
            seconds, error = await self._ask_engine()
            cold_start.handle_answer(questions[-1], seconds, self.controller.now())
            self.events.record(
                EventCode.ENGINE_CHECKED, seconds=seconds, error=error or None
            )

    async def _ask_engine(self) -> tuple[float | None, str]:
        """Return how long the engine stays cold, or None and why that is unknown."""
        service = self.controller.core.cold_start.service
        if self.health is None or service is None:
            return None, "no health check is configured"
        try:
            return await self.health.cold_seconds(service.health_path), ""
        except PeerError as error:
            return None, str(error)

    def _record_unresponsive(self, error: str) -> None:
        """Log the first of a series of failed reports."""
        if not self.engine_unresponsive:
            self.engine_unresponsive = True
            self.controller.core.cold_start.handle_doubt(self.controller.now())
            self.events.record(EventCode.ENGINE_SILENT, error=error)
