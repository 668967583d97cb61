"""Discrete-event simulation of routers, sidecars and the coordinator in virtual time.

The simulation has no policy of its own: it delivers messages between the cores, with
latency and network partitions, and simulates endpoints with a fixed token rate.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from attrs import define, field, frozen

from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.coordinator import FleetCoordinator
from pistachiolever.control.directory import Directory
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import (
    Account,
    CostRule,
    Declarations,
    Preset,
    Revision,
    Service,
    ServiceKind,
)
from pistachiolever.router import models as router_messages
from pistachiolever.router.core import RouterCore
from pistachiolever.settings.models import RouterSettings, SidecarSettings
from pistachiolever.sidecar import models as sidecar_messages
from pistachiolever.sidecar.core import SidecarCore
from pistachiolever.wire.models import (
    EndpointEntry,
    RouterHeartbeat,
    RouterHeartbeatReply,
    RouterMessage,
    Sender,
    SidecarMessage,
)

SERVICE = "planning"
CHUNKS_PER_REQUEST = 8


@frozen
class SimulationShape:
    """Size and timing of a simulated fleet; times are in seconds."""

    routers: int = 3
    endpoints: int = 3
    accounts: int = 6
    batch: int = 4
    token_seconds: float = 0.01
    latency_seconds: float = 0.0005
    heartbeat_seconds: float = 1.0
    tick_seconds: float = 0.1
    weights: dict[str, float] = field(factory=dict)
    queue_count: int = 100_000
    queue_seconds: float = 100_000.0
    seed: int = 1

    def account(self, number: int) -> str:
        """Return the id of an account."""
        return f"account-{number}"

    def revision(self) -> Revision:
        """Return the declarations of the fleet."""
        accounts = [
            Account(name, [name], [SERVICE], self.weights.get(name, 1.0))
            for name in map(self.account, range(self.accounts))
        ]
        service = Service(
            SERVICE,
            ServiceKind.PLAIN,
            True,
            cost=CostRule(0.0, 1.0, 0.0),
            max_output_tokens=4096,
            max_concurrency=self.batch,
        )
        preset = Preset(
            "ordinary-day",
            queue_count_per_account=self.queue_count,
            queue_bytes_per_account=1 << 30,
            queue_seconds=self.queue_seconds,
        )
        return Revision.of(1, Declarations(accounts, [service], presets=[preset]))


@define
class RequestRecord:
    """The simulated history of a request, for the assertions of tests."""

    request_id: str
    account_id: str
    tokens: int
    submitted_at: float
    runs: int = 0
    started_at: float = -1.0
    verdicts: list[Verdict] = field(factory=list)


@define
class ScheduledAction:
    """An action that runs at a virtual time."""

    at: float
    order: int
    action: Callable[[], None]

    def __lt__(self, other: "ScheduledAction") -> bool:
        """Order by time, then by order of scheduling."""
        if self.at != other.at:
            return self.at < other.at
        return self.order < other.order


@define
class SimulatedRouter:
    """A router core and its state in the simulation."""

    process_id: str
    incarnation: str
    core: RouterCore
    alive: bool = True
    coordinator_unreachable: bool = False
    full_due: bool = True


@define
class SimulatedFleet:
    """Routers, sidecars and a coordinator that exchange messages with a latency."""

    shape: SimulationShape
    now: float = 0.0
    rng: Random = field(init=False)
    revision: Revision = field(init=False)
    coordinator: FleetCoordinator = field(init=False)
    router_by_id: dict[str, SimulatedRouter] = field(factory=dict)
    sidecar_by_id: dict[str, SidecarCore] = field(factory=dict)
    record_by_id: dict[str, RequestRecord] = field(factory=dict)
    served_by_account: dict[str, float] = field(factory=dict)
    partitioned_pairs: set[tuple[str, str]] = field(factory=set)
    session_by_pair: dict[tuple[str, str], int] = field(factory=dict)
    number_by_run: dict[tuple[str, str], int] = field(factory=dict)
    heartbeat_loss: float = 0.0
    idle_slot_seconds: float = 0.0
    busy_slot_seconds: float = 0.0
    messages: int = 0
    on_end: Callable[[RequestRecord], None] | None = None
    _queue: list[ScheduledAction] = field(factory=list)
    _order: int = 0
    _next_request: int = 0
    _next_incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        """Create all cores and open every session."""
        self.rng = Random(self.shape.seed)
        self.revision = self.shape.revision()
        self.coordinator = FleetCoordinator(Directory(4.0, AttachmentTable(64)), -100.0)
        for number in range(self.shape.endpoints):
            endpoint_id = f"endpoint-{number}"
            settings = SidecarSettings(endpoint_id, SERVICE, "http://127.0.0.1:1")
            service = self.revision.service_by_id[SERVICE]
            core = SidecarCore(settings, Random(self.rng.random()), service)
            self.sidecar_by_id[endpoint_id] = core
        for number in range(self.shape.routers):
            self.start_router(f"router-{number}")
        self._tick()

    # Time.

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._order += 1
        heappush(self._queue, ScheduledAction(self.now + seconds, self._order, action))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0].at <= end:
            due = heappop(self._queue)
            self._advance(due.at)
            due.action()
        self._advance(end)

    def _advance(self, at: float) -> None:
        """Move the clock; add up busy slots and slots that idle while requests wait."""
        passed = at - self.now
        if passed <= 0:
            return
        slots = self.shape.batch * self.shape.endpoints
        running = sum(core.runs.running for core in self.sidecar_by_id.values())
        self.busy_slot_seconds += running * passed
        waiting = self.waiting()
        if waiting:
            self.idle_slot_seconds += min(slots - running, waiting) * passed
        self.now = at

    def waiting(self) -> int:
        """Return the number of requests queued at live routers."""
        return sum(
            queue.account_queues.count
            for router in self.router_by_id.values()
            if router.alive
            for queue in router.core.queue_by_service.values()
        )

    def _tick(self) -> None:
        """Send a tick to every core, periodically."""
        for router in self.router_by_id.values():
            self._to_router(router.process_id, router_messages.Tick())
        for endpoint_id in self.sidecar_by_id:
            self._to_sidecar(endpoint_id, sidecar_messages.Tick())
        self.after(self.shape.tick_seconds, self._tick)

    # Faults.

    def start_router(self, process_id: str) -> None:
        """Start a router without any state."""
        self._next_incarnation += 1
        core = RouterCore(
            RouterSettings(max_queue_bytes=1 << 30),
            Random(self.rng.random()),
            self.revision,
        )
        incarnation = f"{process_id}#{self._next_incarnation}"
        self.router_by_id[process_id] = SimulatedRouter(process_id, incarnation, core)
        for endpoint_id in self.sidecar_by_id:
            self._connect(process_id, endpoint_id)
        self._heartbeat_loop(process_id, incarnation)

    def kill_router(self, process_id: str) -> None:
        """Kill a router; its state is lost."""
        self.router_by_id[process_id].alive = False
        for endpoint_id in self.sidecar_by_id:
            self._disconnect(process_id, endpoint_id)

    def partition(self, process_id: str, endpoint_id: str) -> None:
        """Partition a router from an endpoint."""
        self.partitioned_pairs.add((process_id, endpoint_id))
        self._disconnect(process_id, endpoint_id)

    def heal(self, process_id: str, endpoint_id: str) -> None:
        """End the partition between a router and an endpoint."""
        self.partitioned_pairs.discard((process_id, endpoint_id))
        self._connect(process_id, endpoint_id)

    def _connect(self, process_id: str, endpoint_id: str) -> None:
        """Open a session between a live router and a reachable endpoint."""
        pair = (process_id, endpoint_id)
        router = self.router_by_id[process_id]
        if (
            pair in self.partitioned_pairs
            or pair in self.session_by_pair
            or not router.alive
        ):
            return
        self._order += 1
        self.session_by_pair[pair] = self._order
        entry = EndpointEntry(endpoint_id, SERVICE, "127.0.0.1:1", "local")
        self._to_sidecar(endpoint_id, sidecar_messages.RouterConnected(process_id))
        self._to_router(
            process_id, router_messages.SidecarConnected(entry, f"{endpoint_id}#1")
        )

    def _disconnect(self, process_id: str, endpoint_id: str) -> None:
        """Close a session; messages in transit are lost."""
        if self.session_by_pair.pop((process_id, endpoint_id), None) is None:
            return
        self._to_sidecar(endpoint_id, sidecar_messages.RouterDisconnected(process_id))
        self._to_router(process_id, router_messages.SidecarDisconnected(endpoint_id))

    # Callers.

    def submit(self, process_id: str, account_id: str, tokens: int) -> RequestRecord:
        """Submit a request with this number of output tokens."""
        self._next_request += 1
        record = RequestRecord(
            f"{self._next_request:032x}", account_id, tokens, self.now
        )
        self.record_by_id[record.request_id] = record
        request = router_messages.CallerRequest(
            record.request_id, account_id, SERVICE, "", 1024, 0
        )
        self._to_router(process_id, router_messages.Submit(request))
        return record

    # Messages between cores.

    def _to_router(self, process_id: str, message: router_messages.RouterInput) -> None:
        """Pass a message to a router core and execute its actions."""
        router = self.router_by_id[process_id]
        if not router.alive:
            return
        for action in router.core.handle(message, self.now):
            if isinstance(action, router_messages.SendCommand):
                self._send_command(process_id, action.endpoint_id, action.message)
            elif isinstance(action, router_messages.Deliver):
                if action.outcome is not None:
                    self._record_end(action.request_id, action.outcome.verdict)
            elif isinstance(action, router_messages.EndRequest):
                self._record_end(action.request_id, action.refusal.verdict)

    def _send_command(
        self, process_id: str, endpoint_id: str, message: RouterMessage
    ) -> None:
        """Transmit a command to a sidecar, or report its failure to the router."""
        pair = (process_id, endpoint_id)
        arrived = sidecar_messages.FromRouter(process_id, message)
        failed = router_messages.CommandsFailed(
            endpoint_id, [message], pair in self.session_by_pair
        )
        self._transmit(
            pair,
            lambda: self._to_sidecar(endpoint_id, arrived),
            lambda: self._to_router(process_id, failed),
        )

    def _transmit(
        self,
        pair: tuple[str, str],
        deliver: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Deliver a message after the latency, or lose it if its session closed."""
        session = self.session_by_pair.get(pair)
        self.messages += 1

        def arrive() -> None:
            """Deliver if the session is still the same one."""
            if session is not None and self.session_by_pair.get(pair) == session:
                deliver()
            else:
                on_lost()

        self.after(self.shape.latency_seconds, arrive)

    def _to_sidecar(
        self, endpoint_id: str, message: sidecar_messages.SidecarInput
    ) -> None:
        """Pass a message to a sidecar core and execute its actions."""
        core = self.sidecar_by_id[endpoint_id]
        for action in core.handle(message, self.now):
            if isinstance(action, sidecar_messages.SendToRouter):
                self._send_reply(endpoint_id, action.router_id, action.message)
            elif isinstance(action, sidecar_messages.StartRun):
                self._start_run(endpoint_id, action.dispatch.request_id)
            elif isinstance(action, sidecar_messages.CancelRun):
                self.number_by_run.pop((endpoint_id, action.request_id), None)

    def _send_reply(
        self, endpoint_id: str, process_id: str, message: SidecarMessage
    ) -> None:
        """Transmit a sidecar's message to a router, which requests lost ones again."""
        arrived = router_messages.FromSidecar(endpoint_id, message)
        self._transmit(
            (process_id, endpoint_id),
            lambda: self._to_router(process_id, arrived),
            lambda: None,
        )

    # Endpoints.

    def _start_run(self, endpoint_id: str, request_id: str) -> None:
        """Simulate the endpoint's run of a request, which returns a few chunks."""
        record = self.record_by_id[request_id]
        record.runs += 1
        if record.started_at < 0:
            record.started_at = self.now
        run = (endpoint_id, request_id)
        self._order += 1
        self.number_by_run[run] = self._order
        self._generate_chunk(run, self._order, record.tokens)

    def _generate_chunk(
        self, run: tuple[str, str], number: int, remaining_tokens: int
    ) -> None:
        """Generate the next chunk; end the run after the last one."""
        endpoint_id, request_id = run
        record = self.record_by_id[request_id]
        size = min(remaining_tokens, max(1, record.tokens // CHUNKS_PER_REQUEST))

        def arrive() -> None:
            """Pass the chunk to the sidecar unless the run was cancelled."""
            if self.number_by_run.get(run) != number:
                return
            served = self.served_by_account.get(record.account_id, 0.0)
            self.served_by_account[record.account_id] = served + size
            self._to_sidecar(
                endpoint_id, sidecar_messages.OutputReceived(request_id, "x", size)
            )
            if remaining_tokens > size:
                self._generate_chunk(run, number, remaining_tokens - size)
                return
            self.number_by_run.pop(run, None)
            ended = sidecar_messages.RunEnded(request_id, Verdict.RAN, True)
            self._to_sidecar(endpoint_id, ended)

        self.after(size * self.shape.token_seconds, arrive)

    # Heartbeats to the coordinator.

    def _heartbeat_loop(self, process_id: str, incarnation: str) -> None:
        """Send heartbeats periodically while this incarnation of the router lives."""
        router = self.router_by_id[process_id]
        if not router.alive or router.incarnation != incarnation:
            return
        self._heartbeat(router)
        wait = self.shape.heartbeat_seconds * (0.9 + 0.2 * self.rng.random())
        self.after(wait, lambda: self._heartbeat_loop(process_id, router.incarnation))

    def _heartbeat(self, router: SimulatedRouter) -> None:
        """Exchange counters with the coordinator, with possible message loss."""
        full = router.full_due
        accounts = router.core.collect_account_updates(full)
        lost = router.coordinator_unreachable or self.rng.random() < self.heartbeat_loss
        if lost and self.rng.random() < 0.5:
            router.core.heartbeat_failed()
            return
        heartbeat = RouterHeartbeat(
            Sender(router.process_id, router.incarnation),
            "127.0.0.1:1",
            "local",
            1,
            accounts,
            router.core.service_backlogs(),
            full=full,
        )
        if not router.coordinator_unreachable:
            self.coordinator.expire(self.now)
            reply = self.coordinator.router_heartbeat(
                heartbeat, Sender("coordinator", ""), 1, self.now
            )
        if lost:
            router.core.heartbeat_failed()
            return
        self.after(
            self.shape.latency_seconds, lambda: self._heartbeat_answered(router, reply)
        )

    def _heartbeat_answered(
        self, router: SimulatedRouter, reply: RouterHeartbeatReply
    ) -> None:
        """Deliver the coordinator's reply to a router that is still alive."""
        if self.router_by_id[router.process_id] is not router or not router.alive:
            return
        router.full_due = reply.need_full
        if reply.expired:
            self._next_incarnation += 1
            router.incarnation = f"{router.process_id}#{self._next_incarnation}"
            router.full_due = True
        self._to_router(router.process_id, router_messages.HeartbeatAnswered(reply))
        if reply.expired:
            self._heartbeat_loop(router.process_id, router.incarnation)

    def _record_end(self, request_id: str, verdict: Verdict) -> None:
        """Record the verdict of a request that ended."""
        record = self.record_by_id[request_id]
        record.verdicts.append(verdict)
        if self.on_end is not None:
            self.on_end(record)
