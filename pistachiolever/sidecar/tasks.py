"""The tasks of a sidecar process: they own its sockets and perform its actions."""

from anyio import Event, create_task_group, move_on_after, sleep
from anyio.abc import TaskGroup
from attrs import define, field

from pistachiolever.core.actor import Actor
from pistachiolever.declarations.models import Revision, Service, ServiceKind
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.control_client import ControlClient, heartbeat_timeout
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.adapters import (
    EndpointAdapter,
    LoadReader,
    make_adapter,
    make_endpoint_client,
)
from pistachiolever.sidecar.const import (
    INITIAL_CLAIM_RETRY_DELAY_SECONDS,
    LOAD_POLL_SECONDS,
    MAX_CLAIM_RETRY_DELAY_SECONDS,
    TICK_SECONDS,
)
from pistachiolever.sidecar.core import SidecarCore
from pistachiolever.sidecar.models import (
    CancelRun,
    Drain,
    LeaveWithEndpoint,
    LoadReported,
    NewRevision,
    RecordLimit,
    RecordPause,
    RecordRate,
    RecordRunEnd,
    ReportClaim,
    RouterConnected,
    RouterDisconnected,
    SendToRouter,
    SidecarAction,
    SidecarInput,
    StartRun,
    Tick,
)
from pistachiolever.sidecar.run_scopes import RunScopes
from pistachiolever.sidecar.sessions import RouterSession
from pistachiolever.wire.const import CLAIM_CLOSE_PATH, SIDECAR_HEARTBEAT_PATH
from pistachiolever.wire.models import (
    ClaimClose,
    ClaimClosed,
    Dispatch,
    EndpointEntry,
    SidecarHeartbeat,
    SidecarHeartbeatReply,
)


@define
class SidecarProcess:
    """One sidecar process: its core, sessions, running requests and lease."""

    context: ProcessContext
    settings: SidecarSettings
    service: Service
    client: FleetClient
    control: ControlClient
    core: SidecarCore = field(init=False)
    actor: Actor[SidecarInput, SidecarAction] = field(init=False)
    adapter: EndpointAdapter = field(init=False)
    session_by_router: dict[str, RouterSession] = field(factory=dict)
    run_scopes: RunScopes = field(factory=RunScopes)
    stopped: Event = field(factory=Event)
    pending_claim_reports: int = 0
    _group: TaskGroup = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the core, the actor that runs it and the endpoint adapter."""
        self.core = SidecarCore(self.settings, self.context.rng, self.service)
        self.actor = Actor(self.core, self.perform, self.context.now)
        self.adapter = make_adapter(self.settings, self.service)

    async def run(self) -> None:
        """Run until the sidecar has drained."""
        self.context.recorder.record(EventCode.PROCESS_STARTED, detail="role=sidecar")
        async with create_task_group() as group:
            self._group = group
            group.start_soon(self.actor.run)
            group.start_soon(self.actor.tick, Tick(), TICK_SECONDS)
            group.start_soon(self._send_heartbeats)
            if self.service.kind is ServiceKind.MODEL:
                group.start_soon(self._poll_load)
            group.start_soon(self.control.watch, self._apply_revision)
            await self.stopped.wait()
            group.cancel_scope.cancel()
        self.context.recorder.record(EventCode.PROCESS_STOPPED)

    async def drain(self) -> None:
        """Refuse new requests, finish the running ones, then stop."""
        self.context.recorder.record(EventCode.PROCESS_DRAINING)
        self.actor.post(Drain())
        with move_on_after(self.context.settings.drain_seconds):
            await self._send_heartbeat(draining=True)
            while not (self.core.draining and self.core.is_idle()):
                await sleep(TICK_SECONDS)
            while self.pending_claim_reports or any(
                len(session.outbox) for session in self.session_by_router.values()
            ):
                await sleep(TICK_SECONDS)
        for session in self.session_by_router.values():
            session.outbox.close()
        await sleep(TICK_SECONDS)
        self.stopped.set()

    def open_session(self, router_id: str) -> RouterSession:
        """Open a session with a router, replacing an older one."""
        previous = self.session_by_router.get(router_id)
        if previous is not None:
            previous.outbox.close()
            self.actor.post(RouterDisconnected(router_id))
        session = RouterSession(router_id)
        self.session_by_router[router_id] = session
        self.context.recorder.record(
            EventCode.ROUTER_ATTACHED, detail=f"router={router_id}"
        )
        self.actor.post(RouterConnected(router_id))
        return session

    def close_session(self, session: RouterSession) -> None:
        """Close a session, unless a newer one has replaced it."""
        if self.session_by_router.get(session.router_id) is not session:
            return
        del self.session_by_router[session.router_id]
        self.context.recorder.record(
            EventCode.ROUTER_DETACHED, detail=f"router={session.router_id}"
        )
        self.actor.post(RouterDisconnected(session.router_id))

    def perform(self, action: SidecarAction) -> None:
        """Perform one action of the core."""
        match action:
            case SendToRouter(router_id, message):
                session = self.session_by_router.get(router_id)
                if session is not None:
                    session.outbox.put(message)
            case StartRun(dispatch):
                self._group.start_soon(self._run_request, dispatch)
            case CancelRun(request_id):
                self.run_scopes.cancel(request_id)
            case ReportClaim():
                self.pending_claim_reports += 1
                self._group.start_soon(self._report_claim, action)
            case RecordRunEnd():
                self._record_run_end(action)
            case RecordLimit(limit):
                self.context.metrics.gauge("limit", limit)
                self._record_endpoint(EventCode.LIMIT_CHANGED, f"limit={limit}")
            case RecordRate(rate):
                self._record_endpoint(EventCode.ENDPOINT_LIMITED, f"rate={rate}")
            case RecordPause() | LeaveWithEndpoint():
                self._follow_notice(action)

    def _follow_notice(self, action: RecordPause | LeaveWithEndpoint) -> None:
        """Record what the endpoint asked for; drain if it is leaving."""
        if isinstance(action, RecordPause):
            detail = f"seconds={action.seconds:.2f}"
            self._record_endpoint(EventCode.ENDPOINT_PAUSED, detail)
            return
        self._record_endpoint(EventCode.ENDPOINT_LEAVING)
        self._group.start_soon(self.drain)

    def _record_endpoint(self, code: EventCode, detail: str = "") -> None:
        """Record an event of the endpoint."""
        self.context.recorder.record(
            code, endpoint_id=self.settings.endpoint_id, detail=detail
        )

    async def _run_request(self, dispatch: Dispatch) -> None:
        """Run one request at the endpoint."""
        self.context.recorder.record(
            EventCode.RUN_STARTED,
            request_id=dispatch.request_id,
            account_id=dispatch.account_id,
            endpoint_id=self.settings.endpoint_id,
        )
        self.context.metrics.incr("runs")
        with self.run_scopes.open(dispatch.request_id):
            await self.adapter.run(dispatch, self.actor.post)

    def _record_run_end(self, action: RecordRunEnd) -> None:
        """Record the end of a run in metrics and event log."""
        self.context.metrics.incr(f"verdict.{action.verdict.value.lower()}")
        self.context.recorder.record(
            EventCode.RUN_FINISHED,
            request_id=action.request_id,
            account_id=action.account_id,
            endpoint_id=self.settings.endpoint_id,
            detail=f"verdict={action.verdict.value} complete={action.complete} "
            f"parts={action.chunk_count} {action.reason}".rstrip(),
        )

    async def _report_claim(self, action: ReportClaim) -> None:
        """Report an outcome to control; retry until it is stored."""
        delay = INITIAL_CLAIM_RETRY_DELAY_SECONDS
        while True:
            try:
                await self.control.call(
                    CLAIM_CLOSE_PATH,
                    ClaimClose(
                        self.context.sender(),
                        action.attempt_id,
                        action.verdict,
                        action.outcome_sse,
                    ),
                    ClaimClosed,
                )
                self.pending_claim_reports -= 1
                return
            except PeerError:
                await sleep(delay * (0.5 + self.context.rng.random()))
                delay = min(MAX_CLAIM_RETRY_DELAY_SECONDS, delay * 2)

    async def _apply_revision(self, revision: Revision) -> None:
        """Pass a new revision of the declarations to the core."""
        self.actor.post(NewRevision(revision))

    async def _poll_load(self) -> None:
        """Query the engine's load periodically."""
        reader = LoadReader(self.settings, make_endpoint_client(self.settings))
        while True:
            self.actor.post(LoadReported(await reader.read_waiting()))
            await sleep(LOAD_POLL_SECONDS)

    async def _send_heartbeats(self) -> None:
        """Renew the endpoint's lease periodically."""
        while True:
            await self._send_heartbeat(draining=False)
            seconds = self.context.settings.heartbeat_seconds
            await sleep(seconds * (0.9 + 0.2 * self.context.rng.random()))

    async def _send_heartbeat(self, draining: bool) -> None:
        """Send one heartbeat, which announces the endpoint or that it is draining."""
        core = self.core
        entry = EndpointEntry(
            self.settings.endpoint_id,
            self.settings.service_id,
            self.context.settings.address,
            self.context.settings.failure_domain,
        )
        heartbeat = SidecarHeartbeat(
            self.context.sender(),
            entry,
            self.context.revision,
            core.limiter.allowed(),
            core.runs.running,
            core.grants.has_bids(),
            draining or core.draining,
        )
        try:
            reply = await self.control.call(
                SIDECAR_HEARTBEAT_PATH,
                heartbeat,
                SidecarHeartbeatReply,
                heartbeat_timeout(self.context.settings),
            )
        except PeerError:
            return
        self.context.observe(reply.sender.stamp)
