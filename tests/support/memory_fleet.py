"""Drives the decisions of routers, sidecars and the coordinator in virtual time.

It holds no policy of its own: it carries typed messages between the cores, with
delays and cuts, and plays the endpoints by a fixed rate.
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
PARTS_EACH = 8


@frozen
class MemoryShape:
    """A fleet in memory; times are in seconds."""

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
    """What the oracle knows of one request."""

    request_id: str
    account_id: str
    tokens: int
    submitted_at: float
    runs: int = 0
    started_at: float = -1.0
    ends: list[Verdict] = field(factory=list)


@define
class Due:
    """Something that happens at a time."""

    at: float
    order: int
    action: Callable[[], None]

    def __lt__(self, other: "Due") -> bool:
        """Order by time, then by when it was asked for."""
        if self.at != other.at:
            return self.at < other.at
        return self.order < other.order


@define
class MemoryRouter:
    """One router's decisions and its place in the fleet."""

    process_id: str
    incarnation: str
    core: RouterCore
    alive: bool = True
    coordinator_cut: bool = False
    full_due: bool = True


@define
class MemoryFleet:
    """A few routers, sidecars and one coordinator, joined by delayed messages."""

    shape: MemoryShape
    now: float = 0.0
    rng: Random = field(init=False)
    revision: Revision = field(init=False)
    coordinator: FleetCoordinator = field(init=False)
    router_by_id: dict[str, MemoryRouter] = field(factory=dict)
    sidecar_by_id: dict[str, SidecarCore] = field(factory=dict)
    record_by_id: dict[str, RequestRecord] = field(factory=dict)
    served_by_account: dict[str, float] = field(factory=dict)
    cut_pairs: set[tuple[str, str]] = field(factory=set)
    session_by_pair: dict[tuple[str, str], int] = field(factory=dict)
    running_by_run: dict[tuple[str, str], int] = field(factory=dict)
    heartbeat_loss: float = 0.0
    idle_slot_seconds: float = 0.0
    busy_slot_seconds: float = 0.0
    messages: int = 0
    on_end: Callable[[RequestRecord], None] | None = None
    _queue: list[Due] = field(factory=list)
    _order: int = 0
    _next_request: int = 0
    _next_incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        """Make all cores and open every session."""
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
        """Do something later."""
        self._order += 1
        heappush(self._queue, Due(self.now + seconds, self._order, action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0].at <= end:
            due = heappop(self._queue)
            self._advance(due.at)
            due.action()
        self._advance(end)

    def _advance(self, at: float) -> None:
        """Move the clock; count the slots that worked and those that idled."""
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
        """Return how many requests wait at living routers."""
        return sum(
            queue.account_queues.count
            for router in self.router_by_id.values()
            if router.alive
            for queue in router.core.queue_by_service.values()
        )

    def _tick(self) -> None:
        """Tick every core, again and again."""
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
        self.router_by_id[process_id] = MemoryRouter(process_id, incarnation, core)
        for endpoint_id in self.sidecar_by_id:
            self._connect(process_id, endpoint_id)
        self._heartbeat_loop(process_id, incarnation)

    def kill_router(self, process_id: str) -> None:
        """Lose a router with all its state."""
        self.router_by_id[process_id].alive = False
        for endpoint_id in self.sidecar_by_id:
            self._disconnect(process_id, endpoint_id)

    def cut(self, process_id: str, endpoint_id: str) -> None:
        """Cut a router off from an endpoint."""
        self.cut_pairs.add((process_id, endpoint_id))
        self._disconnect(process_id, endpoint_id)

    def heal(self, process_id: str, endpoint_id: str) -> None:
        """Join a router with an endpoint again."""
        self.cut_pairs.discard((process_id, endpoint_id))
        self._connect(process_id, endpoint_id)

    def _connect(self, process_id: str, endpoint_id: str) -> None:
        """Open a session."""
        pair = (process_id, endpoint_id)
        router = self.router_by_id[process_id]
        if pair in self.cut_pairs or pair in self.session_by_pair or not router.alive:
            return
        self._order += 1
        self.session_by_pair[pair] = self._order
        entry = EndpointEntry(endpoint_id, SERVICE, "127.0.0.1:1", "local")
        self._to_sidecar(endpoint_id, sidecar_messages.RouterConnected(process_id))
        self._to_router(
            process_id, router_messages.SidecarConnected(entry, f"{endpoint_id}#1")
        )

    def _disconnect(self, process_id: str, endpoint_id: str) -> None:
        """Break a session; what was on its way is lost."""
        if self.session_by_pair.pop((process_id, endpoint_id), None) is None:
            return
        self._to_sidecar(endpoint_id, sidecar_messages.RouterDisconnected(process_id))
        self._to_router(process_id, router_messages.SidecarDisconnected(endpoint_id))

    # Callers.

    def submit(self, process_id: str, account_id: str, tokens: int) -> RequestRecord:
        """Send a request of so many tokens."""
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

    # Messages.

    def _to_router(self, process_id: str, message: router_messages.RouterInput) -> None:
        """Give a router a message and carry out what it decides."""
        router = self.router_by_id[process_id]
        if not router.alive:
            return
        for action in router.core.handle(message, self.now):
            if isinstance(action, router_messages.SendCommand):
                self._send_command(process_id, action.endpoint_id, action.message)
            elif isinstance(action, router_messages.Deliver):
                if action.outcome is not None:
                    self._end(action.request_id, action.outcome.verdict)
            elif isinstance(action, router_messages.EndRequest):
                self._end(action.request_id, action.refusal.verdict)

    def _send_command(
        self, process_id: str, endpoint_id: str, message: RouterMessage
    ) -> None:
        """Carry a command to a sidecar, or tell that it failed."""
        pair = (process_id, endpoint_id)
        arrived = sidecar_messages.FromRouter(process_id, message)
        failed = router_messages.CommandsFailed(
            endpoint_id, [message], pair in self.session_by_pair
        )
        self._carry(
            pair,
            lambda: self._to_sidecar(endpoint_id, arrived),
            lambda: self._to_router(process_id, failed),
        )

    def _carry(
        self,
        pair: tuple[str, str],
        deliver: Callable[[], None],
        lose: Callable[[], None],
    ) -> None:
        """Deliver a message later, or lose it if its session breaks meanwhile."""
        session = self.session_by_pair.get(pair)
        self.messages += 1

        def arrive() -> None:
            """See whether the session is still the same."""
            if session is not None and self.session_by_pair.get(pair) == session:
                deliver()
            else:
                lose()

        self.after(self.shape.latency_seconds, arrive)

    def _to_sidecar(
        self, endpoint_id: str, message: sidecar_messages.SidecarInput
    ) -> None:
        """Give a sidecar a message and carry out what it decides."""
        core = self.sidecar_by_id[endpoint_id]
        for action in core.handle(message, self.now):
            if isinstance(action, sidecar_messages.SendToRouter):
                self._send_reply(endpoint_id, action.router_id, action.message)
            elif isinstance(action, sidecar_messages.StartRun):
                self._start_run(endpoint_id, action.dispatch.request_id)
            elif isinstance(action, sidecar_messages.CancelRun):
                self.running_by_run.pop((endpoint_id, action.request_id), None)

    def _send_reply(
        self, endpoint_id: str, process_id: str, message: SidecarMessage
    ) -> None:
        """Carry a sidecar's message to a router; a lost one is asked for again."""
        arrived = router_messages.FromSidecar(endpoint_id, message)
        self._carry(
            (process_id, endpoint_id),
            lambda: self._to_router(process_id, arrived),
            lambda: None,
        )

    # Endpoints.

    def _start_run(self, endpoint_id: str, request_id: str) -> None:
        """Play the endpoint's work on a request, in a few parts."""
        record = self.record_by_id[request_id]
        record.runs += 1
        if record.started_at < 0:
            record.started_at = self.now
        run = (endpoint_id, request_id)
        self._order += 1
        self.running_by_run[run] = self._order
        self._next_part(run, self._order, record.tokens)

    def _next_part(self, run: tuple[str, str], token: int, left: int) -> None:
        """Generate a part, or end the run."""
        endpoint_id, request_id = run
        record = self.record_by_id[request_id]
        size = min(left, max(1, record.tokens // PARTS_EACH))

        def arrive() -> None:
            """Pass on the part unless the run was cancelled."""
            if self.running_by_run.get(run) != token:
                return
            served = self.served_by_account.get(record.account_id, 0.0)
            self.served_by_account[record.account_id] = served + size
            self._to_sidecar(
                endpoint_id, sidecar_messages.OutputReceived(request_id, "x", size)
            )
            if left > size:
                self._next_part(run, token, left - size)
                return
            self.running_by_run.pop(run, None)
            ended = sidecar_messages.RunEnded(request_id, Verdict.RAN, True)
            self._to_sidecar(endpoint_id, ended)

        self.after(size * self.shape.token_seconds, arrive)

    # The coordinator.

    def _heartbeat_loop(self, process_id: str, incarnation: str) -> None:
        """Send a router's heartbeat again and again while it lives."""
        router = self.router_by_id[process_id]
        if not router.alive or router.incarnation != incarnation:
            return
        self._heartbeat(router)
        wait = self.shape.heartbeat_seconds * (0.9 + 0.2 * self.rng.random())
        self.after(wait, lambda: self._heartbeat_loop(process_id, router.incarnation))

    def _heartbeat(self, router: MemoryRouter) -> None:
        """Exchange counters with the coordinator, unless the way there is cut."""
        full = router.full_due
        accounts = router.core.collect_account_updates(full)
        lost = router.coordinator_cut or self.rng.random() < self.heartbeat_loss
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
        if not router.coordinator_cut:
            self.coordinator.expire(self.now)
            reply = self.coordinator.router_heartbeat(
                heartbeat, Sender("hub", ""), 1, self.now
            )
        if lost:
            router.core.heartbeat_failed()
            return
        self.after(self.shape.latency_seconds, lambda: self._answered(router, reply))

    def _answered(self, router: MemoryRouter, reply: RouterHeartbeatReply) -> None:
        """Bring the coordinator's answer to a router that still lives."""
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

    def _end(self, request_id: str, verdict: Verdict) -> None:
        """Note how a request ended."""
        record = self.record_by_id[request_id]
        record.ends.append(verdict)
        if self.on_end is not None:
            self.on_end(record)
