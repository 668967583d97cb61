"""The pass-through router as a process: callers' server, readiness, shutdown."""

from anyio import CancelScope, create_task_group, move_on_after, sleep
from attrs import define, field

from pistachiolever.events.const import EventCode
from pistachiolever.gateway.const import (
    BALANCER_SECONDS,
    COLD_RETRY_SECONDS,
    DRAIN_POLL_SECONDS,
    FIRST_ENDPOINTS_SECONDS,
    GRACE_MARGIN_SECONDS,
)
from pistachiolever.gateway.dialect import Dialect
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.journey import Journey
from pistachiolever.gateway.models import CallerFacts, PassRequest
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.models import Header, HttpLimits
from pistachiolever.http1.server import Exchange, HttpServer
from pistachiolever.metrics.instruments import REQUESTS
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import ProxyAccount, ProxyRoute
from pistachiolever.routing.table import RouteTable, host_name


class NotAllowedError(Exception):
    """A request that the configuration in force does not allow; has the status."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status and the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@define
class GatewayProcess:
    """Serves callers until it is told to stop and has finished what it took."""

    settings: GatewaySettings
    dialect: Dialect
    fleet: FleetView
    watcher: RegistryWatcher
    draining: bool = False
    started_at: float = field(init=False)
    front: HttpServer = field(init=False)
    ready: HttpServer = field(init=False)
    was_ready: bool = False

    def __attrs_post_init__(self) -> None:
        """Make the servers."""
        self.started_at = self.fleet.now()
        self.front = HttpServer(self.settings.front_address, self._serve, self._limits)
        self.ready = HttpServer(self.settings.ready_address, self._answer_ready)
        gauge = self.fleet.instruments.gauge
        gauge("pistachiolever_configuration_version", self._version)
        gauge("pistachiolever_endpoints", lambda: len(self.fleet.handle_by_id))
        gauge("pistachiolever_busy_connections", self.front.busy_count)
        gauge("pistachiolever_routers", lambda: self.fleet.budget.routers)
        gauge("pistachiolever_registry_in_touch", self.watcher.is_connected)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.fleet.run)
            group.start_soon(self.watcher.run)
            group.start_soon(self.ready.serve)
            group.start_soon(self.front.serve)

    async def drain(self) -> None:
        """Stop being ready, finish what was taken, and return before the grace ends."""
        begun = self.fleet.now()
        self.draining = True
        self.front.draining = True
        grace = self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        self.fleet.events.record(
            EventCode.PROCESS_DRAINING, busy=self.front.busy_count()
        )
        with move_on_after(grace):
            # The balancer still sends new connections until it has asked twice.
            await sleep(min(BALANCER_SECONDS, grace))
            self.front.stop_accepting()
            while self.front.connections:
                await sleep(DRAIN_POLL_SECONDS)
                self.front.close_idle()
        self.fleet.events.record(
            EventCode.PROCESS_STOPPED,
            seconds=round(self.fleet.now() - begun, 2),
            cut=self.front.busy_count(),
        )

    def _limits(self) -> HttpLimits:
        """Return what callers may send, by the configuration in force."""
        table = self.fleet.table
        return table.configuration.limits if table else HttpLimits()

    # Readiness.

    def is_ready(self) -> bool:
        """Tell whether new connections should come here."""
        if self.draining or self.fleet.table is None:
            return False
        waited = self.fleet.now() - self.started_at
        return bool(self.fleet.handle_by_id) or waited > FIRST_ENDPOINTS_SECONDS

    async def _answer_ready(self, exchange: Exchange) -> None:
        """Answer the balancer."""
        await exchange.read_body()
        if exchange.head.path != self.settings.ready_path:
            await exchange.respond(404, [], b"")
            return
        is_ready = self.is_ready()
        if is_ready != self.was_ready:
            self.was_ready = is_ready
            self.fleet.events.record(EventCode.READINESS_CHANGED, ready=is_ready)
        await exchange.respond(200 if is_ready else 503, [], b"")

    # Callers.

    async def _serve(self, exchange: Exchange) -> None:
        """Serve one request of a caller."""
        arrived_at = self.fleet.now()
        facts = self.dialect.caller_facts(exchange.head)
        body = await exchange.read_body()
        try:
            request = self._admit(exchange, facts, body, arrived_at)
        except NotAllowedError as error:
            self.fleet.events.record(
                EventCode.REQUEST_REFUSED,
                facts.request_id,
                status=error.status,
                reason=error.reason,
                version=self._version(),
            )
            headers: list[Header] = []
            if error.status == 503:
                headers.append((b"retry-after", b"%.1f" % COLD_RETRY_SECONDS))
            await exchange.respond(error.status, headers, b"")
            return
        journey = Journey(self.fleet, self.dialect, request, exchange)
        done = False
        try:
            await journey.run()
            done = True
        finally:
            if not done:
                self._note_cancelled(request, journey)

    def _note_cancelled(self, request: PassRequest, journey: Journey) -> None:
        """Record that the caller left."""
        self.fleet.instruments.count(
            REQUESTS, request.route.kind.value, request.account_id, "cancelled"
        )
        with CancelScope(shield=True):
            self.fleet.events.record(
                EventCode.REQUEST_CANCELLED,
                request.request_id,
                sends=request.sends,
                queued=round(journey.queued_seconds, 3),
                total=round(self.fleet.now() - request.arrived_at, 3),
            )

    def _admit(
        self, exchange: Exchange, facts: CallerFacts, body: bytes, arrived_at: float
    ) -> PassRequest:
        """Return the request if it is allowed, or raise NotAllowedError."""
        table = self.fleet.table
        if table is None:
            raise NotAllowedError(503, "no configuration is known yet")
        host = host_name(exchange.head.value(b"host") or b"")
        route = table.match(host, exchange.head.path)
        if route is None:
            raise NotAllowedError(404, f"no route for {host}{exchange.head.path}")
        account = _account_of(table, route, facts)
        service = table.service_by_id[route.service_for(facts.request_id)]
        left = route.timeout_seconds
        if facts.deadline_seconds is not None:
            left = min(left, facts.deadline_seconds)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority += account.priority * 1000
        return PassRequest(
            facts,
            exchange.head,
            body,
            route,
            service,
            account.account_id if account else "",
            priority,
            arrived_at,
            arrived_at + route.target_seconds,
            arrived_at + left,
        )

    def _version(self) -> int:
        """Return the version in force here; -1 where there is none."""
        table = self.fleet.table
        return table.configuration.version if table else -1


def _account_of(
    table: RouteTable, route: ProxyRoute, facts: CallerFacts
) -> ProxyAccount | None:
    """Return whose request it is; raise NotAllowedError for an unknown key."""
    if not table.needs_key:
        return None
    account = table.account_by_key.get(facts.key)
    if account is None and not route.public:
        raise NotAllowedError(401, "the key is not known")
    return account
