"""The tasks of a router process: they own its sockets and perform its actions."""

from anyio import Event, create_task_group, move_on_after, sleep
from anyio.abc import TaskGroup
from attrs import define, field

from pistachiolever.core.actor import Actor
from pistachiolever.core.errors import Refusal
from pistachiolever.declarations.models import Revision
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.control_client import ControlClient, heartbeat_timeout
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.router.claims import ClaimClient
from pistachiolever.router.const import TICK_SECONDS
from pistachiolever.router.core import RouterCore
from pistachiolever.router.models import (
    Deliver,
    Drain,
    EndpointGone,
    EndpointListed,
    EndRequest,
    HeartbeatAnswered,
    NewRevision,
    ReaderSlow,
    RecordDispatch,
    ReleaseClaim,
    RouterAction,
    RouterInput,
    SendCommand,
    Tick,
)
from pistachiolever.router.sessions import SidecarSession
from pistachiolever.router.streams import CallerStream
from pistachiolever.settings.models import RouterSettings
from pistachiolever.wire.const import ROUTER_HEARTBEAT_PATH
from pistachiolever.wire.models import (
    AccountLift,
    EndpointSet,
    Outcome,
    RouterHeartbeat,
    RouterHeartbeatReply,
)


@define
class RouterProcess:
    """One router process: its core, callers, sessions and heartbeats."""

    context: ProcessContext
    settings: RouterSettings
    client: FleetClient
    control: ControlClient
    revision: Revision
    core: RouterCore = field(init=False)
    actor: Actor[RouterInput, RouterAction] = field(init=False)
    claims: ClaimClient = field(init=False)
    stream_by_request: dict[str, CallerStream] = field(factory=dict)
    account_by_request: dict[str, str] = field(factory=dict)
    session_by_endpoint: dict[str, SidecarSession] = field(factory=dict)
    stopped: Event = field(factory=Event)
    endpoint_set_version: str = ""
    full_heartbeat_due: bool = True
    draining: bool = False
    _group: TaskGroup = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the core and the actor that runs it."""
        self.core = RouterCore(self.settings, self.context.rng, self.revision)
        self.claims = ClaimClient(self.context, self.control)
        self.actor = Actor(self.core, self.perform, self.context.now)

    async def run(self) -> None:
        """Run until the router has drained."""
        self.context.recorder.record(EventCode.PROCESS_STARTED, detail="role=router")
        async with create_task_group() as group:
            self._group = group
            group.start_soon(self.actor.run)
            group.start_soon(self.actor.tick, Tick(), TICK_SECONDS)
            group.start_soon(self._send_heartbeats)
            group.start_soon(self.control.watch, self._apply_revision)
            await self.stopped.wait()
            group.cancel_scope.cancel()
        self.context.recorder.record(EventCode.PROCESS_STOPPED)

    async def drain(self) -> None:
        """Refuse new and queued requests, finish those in flight, then stop."""
        self.context.recorder.record(EventCode.PROCESS_DRAINING)
        self.draining = True
        self.actor.post(Drain())
        with move_on_after(self.context.settings.drain_seconds):
            while not self.core.draining or not self.core.is_idle():
                await sleep(TICK_SECONDS)
            while self.stream_by_request or self.claims.pending_releases:
                await sleep(TICK_SECONDS)
        with move_on_after(self.context.settings.heartbeat_seconds):
            await self._send_heartbeat()
        self.stopped.set()

    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        states = self.core.endpoints.state_by_id.values()
        return not self.draining and any(state.connected for state in states)

    def release_claim_later(self, attempt_id: str) -> None:
        """Release an idempotency key in the background."""
        self._group.start_soon(self.claims.release, attempt_id)

    # Streams of callers.

    def open_stream(self, request_id: str, account_id: str) -> CallerStream:
        """Create the stream of a caller; it replaces an earlier one of the request."""
        stream = CallerStream(request_id, self.settings.stream_buffer_bytes)
        self.stream_by_request[request_id] = stream
        self.account_by_request[request_id] = account_id
        return stream

    def close_stream(self, stream: CallerStream) -> bool:
        """Remove a stream; return whether it was still the request's current one."""
        if self.stream_by_request.get(stream.request_id) is not stream:
            return False
        del self.stream_by_request[stream.request_id]
        del self.account_by_request[stream.request_id]
        return True

    # Actions.

    def perform(self, action: RouterAction) -> None:
        """Perform one action of the core."""
        match action:
            case Deliver(request_id, _, sse, outcome):
                self._deliver(request_id, sse, outcome)
            case SendCommand(endpoint_id, message):
                session = self.session_by_endpoint.get(endpoint_id)
                if session is not None:
                    session.outbox.put(message)
            case EndRequest(request_id, refusal):
                self._end_request(request_id, refusal)
            case RecordDispatch():
                self._record_dispatch(action)
            case ReleaseClaim(attempt_id):
                self.release_claim_later(attempt_id)

    def _deliver(self, request_id: str, sse: str, outcome: Outcome | None) -> None:
        """Add events to the caller's stream."""
        stream = self.stream_by_request.get(request_id)
        if stream is None:
            return
        if stream.deliver(sse, outcome):
            self.actor.post(ReaderSlow(request_id))
        if outcome is not None:
            self.context.metrics.incr(f"verdict.{outcome.verdict.value.lower()}")
            self.context.recorder.record(
                EventCode.REQUEST_FINISHED,
                request_id=request_id,
                account_id=self.account_by_request[request_id],
                endpoint_id=stream.endpoint_id,
                detail=f"verdict={outcome.verdict.value} complete={outcome.complete}",
            )

    def _end_request(self, request_id: str, refusal: Refusal) -> None:
        """End a caller's stream with a refusal."""
        self.context.metrics.incr(f"refused.{refusal.reason}")
        self.context.recorder.record(
            EventCode.REQUEST_REFUSED,
            request_id=request_id,
            account_id=self.account_by_request.get(request_id, ""),
            detail=f"verdict={refusal.verdict.value} reason={refusal.reason}",
        )
        stream = self.stream_by_request.get(request_id)
        if stream is not None:
            stream.end(refusal)

    def _record_dispatch(self, action: RecordDispatch) -> None:
        """Record a dispatch in the event log."""
        stream = self.stream_by_request.get(action.request_id)
        if stream is not None:
            stream.endpoint_id = action.endpoint_id
        self.context.recorder.record(
            EventCode.REQUEST_DISPATCHED,
            request_id=action.request_id,
            account_id=action.account_id,
            endpoint_id=action.endpoint_id,
            detail=f"attempt={action.attempt}",
        )

    # Control.

    async def _apply_revision(self, revision: Revision) -> None:
        """Switch to a new revision of the declarations."""
        self.revision = revision
        self.actor.post(NewRevision(revision))

    async def _send_heartbeats(self) -> None:
        """Send heartbeats at randomised intervals."""
        while True:
            await self._send_heartbeat()
            seconds = self.context.settings.heartbeat_seconds
            await sleep(seconds * (0.9 + 0.2 * self.context.rng.random()))

    async def _send_heartbeat(self) -> None:
        """Publish counters and apply the totals and endpoints in the reply."""
        full = self.full_heartbeat_due
        heartbeat = RouterHeartbeat(
            self.context.sender(),
            self.context.settings.address,
            self.context.settings.failure_domain,
            self.context.revision,
            self.core.collect_account_updates(full),
            self.core.service_backlogs(),
            self.endpoint_set_version,
            full,
            self.draining,
            self._known_lifts() if full else [],
        )
        try:
            reply = await self.control.call(
                ROUTER_HEARTBEAT_PATH,
                heartbeat,
                RouterHeartbeatReply,
                heartbeat_timeout(self.context.settings),
            )
        except PeerError:
            self.core.heartbeat_failed()
            return
        self.full_heartbeat_due = reply.need_full
        self.context.observe(reply.sender.stamp)
        if reply.expired:
            self.context.renew_incarnation()
            self.full_heartbeat_due = True
        self.actor.post(HeartbeatAnswered(reply))
        if reply.endpoint_set is not None:
            self._apply_endpoints(reply.endpoint_set)

    def _known_lifts(self) -> list[AccountLift]:
        """Return all known lifts, for a control process that has lost its state."""
        lifts: list[AccountLift] = []
        for service_id, queue in self.core.queue_by_service.items():
            lifts.extend(queue.counters.lifts(service_id))
        return lifts

    def _apply_endpoints(self, endpoint_set: EndpointSet) -> None:
        """Open sessions to new endpoints and close those to removed endpoints."""
        self.endpoint_set_version = endpoint_set.version
        entry_by_id = {entry.endpoint_id: entry for entry in endpoint_set.endpoints}
        for endpoint_id, entry in entry_by_id.items():
            session = self.session_by_endpoint.get(endpoint_id)
            if session is not None and session.entry == entry:
                self.actor.post(EndpointListed(endpoint_id))
                continue
            if session is not None:
                session.close()
            session = SidecarSession(self.context, entry, self.actor.post)
            self.session_by_endpoint[endpoint_id] = session
            self._group.start_soon(session.run)
        for endpoint_id in set(self.session_by_endpoint) - set(entry_by_id):
            self.actor.post(EndpointGone(endpoint_id))
            self._close_if_unused(endpoint_id)

    def _close_if_unused(self, endpoint_id: str) -> None:
        """Close the session of a removed endpoint if it has no request in flight."""
        if self.core.in_flight_requests.at_endpoint(endpoint_id):
            return
        self.session_by_endpoint.pop(endpoint_id).close()
