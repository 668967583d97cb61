"""The gateway process: callers' server, readiness and graceful shutdown."""

from anyio import CancelScope, create_task_group, move_on_after, sleep
from attrs import define, field

from pistachiolever.events.const import EventCode
from pistachiolever.gateway.const import (
    BALANCER_REMOVAL_SECONDS,
    DRAIN_POLL_SECONDS,
    ENDPOINT_DISCOVERY_SECONDS,
    GRACE_MARGIN_SECONDS,
    STARTUP_RETRY_AFTER_SECONDS,
)
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.models import Header, HttpLimits
from pistachiolever.http1.server import Exchange, HttpServer
from pistachiolever.metrics.instruments import REQUESTS
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import ProxyAccount, ProxyRoute
from pistachiolever.routing.table import RouteTable, host_name


class NotAllowedError(Exception):
    """The configuration does not allow a request; carries the HTTP status."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status and the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@define
class GatewayProcess:
    """Serves callers until it is stopped, then drains."""

    settings: GatewaySettings
    header_format: HeaderFormat
    fleet: FleetView
    watcher: RegistryWatcher
    draining: bool = False
    started_at: float = field(init=False)
    public_server: HttpServer = field(init=False)
    readiness_server: HttpServer = field(init=False)
    was_ready: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the servers and register the gauges."""
        self.started_at = self.fleet.now()
        self.public_server = HttpServer(
            self.settings.front_address, self._handle_request, self._limits
        )
        self.readiness_server = HttpServer(
            self.settings.ready_address, self._handle_readiness
        )
        gauge = self.fleet.instruments.gauge
        gauge("pistachiolever_configuration_version", self._version)
        gauge("pistachiolever_endpoints", lambda: len(self.fleet.handle_by_id))
        gauge("pistachiolever_busy_connections", self.public_server.busy_count)
        gauge("pistachiolever_routers", lambda: self.fleet.budget.router_count)
        gauge("pistachiolever_registry_in_touch", self.watcher.is_connected)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.fleet.run)
            group.start_soon(self.watcher.run)
            group.start_soon(self.readiness_server.serve)
            group.start_soon(self.public_server.serve)

    async def drain(self) -> None:
        """Report not ready, finish running requests, return within the grace period."""
        started_at = self.fleet.now()
        self.draining = True
        self.public_server.draining = True
        drain_seconds = self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        self.fleet.events.record(
            EventCode.PROCESS_DRAINING, busy=self.public_server.busy_count()
        )
        with move_on_after(drain_seconds):
            # The balancer sends new connections until two more checks have failed.
            await sleep(min(BALANCER_REMOVAL_SECONDS, drain_seconds))
            self.public_server.stop_accepting()
            while self.public_server.connections:
                await sleep(DRAIN_POLL_SECONDS)
                self.public_server.close_idle()
        self.fleet.events.record(
            EventCode.PROCESS_STOPPED,
            seconds=round(self.fleet.now() - started_at, 2),
            cut=self.public_server.busy_count(),
        )

    def _limits(self) -> HttpLimits:
        """Return the HTTP limits of the configuration in force."""
        table = self.fleet.table
        return table.configuration.limits if table else HttpLimits()

    # Readiness.

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        if self.draining or self.fleet.table is None:
            return False
        waited = self.fleet.now() - self.started_at
        return bool(self.fleet.handle_by_id) or waited > ENDPOINT_DISCOVERY_SECONDS

    async def _handle_readiness(self, exchange: Exchange) -> None:
        """Answer a readiness check of the load balancer."""
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

    async def _handle_request(self, exchange: Exchange) -> None:
        """Serve a caller's request."""
        arrived_at = self.fleet.now()
        metadata = self.header_format.parse_request(exchange.head)
        body = await exchange.read_body()
        try:
            request = self._resolve_request(exchange, metadata, body, arrived_at)
        except NotAllowedError as error:
            self.fleet.events.record(
                EventCode.REQUEST_REFUSED,
                metadata.request_id,
                status=error.status,
                reason=error.reason,
                version=self._version(),
            )
            headers: list[Header] = []
            if error.status == 503:
                headers.append((b"retry-after", b"%.1f" % STARTUP_RETRY_AFTER_SECONDS))
            await exchange.respond(error.status, headers, b"")
            return
        processor = RequestProcessor(self.fleet, self.header_format, request, exchange)
        done = False
        try:
            await processor.run()
            done = True
        finally:
            if not done:
                self._record_cancelled(request, processor)

    def _record_cancelled(
        self, request: ProxyRequest, processor: RequestProcessor
    ) -> None:
        """Record a request that its caller abandoned."""
        self.fleet.instruments.count(
            REQUESTS, request.route.kind.value, request.account_id, "cancelled"
        )
        with CancelScope(shield=True):
            self.fleet.events.record(
                EventCode.REQUEST_CANCELLED,
                request.request_id,
                sends=request.attempt_count,
                queued=round(processor.queued_seconds, 3),
                total=round(self.fleet.now() - request.arrived_at, 3),
            )

    def _resolve_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        body: bytes,
        arrived_at: float,
    ) -> ProxyRequest:
        """Return the request with route and account; raise NotAllowedError."""
        table = self.fleet.table
        if table is None:
            raise NotAllowedError(503, "no configuration is known yet")
        host = host_name(exchange.head.value(b"host") or b"")
        route = table.match(host, exchange.head.path)
        if route is None:
            raise NotAllowedError(404, f"no route for {host}{exchange.head.path}")
        account = _authenticate(table, route, metadata)
        service = table.service_by_id[route.service_for(metadata.request_id)]
        timeout_seconds = route.timeout_seconds
        if metadata.deadline_seconds is not None:
            timeout_seconds = min(timeout_seconds, metadata.deadline_seconds)
        priority = route.priority
        if account is not None and account.priority is not None:
            priority += account.priority * 1000
        return ProxyRequest(
            metadata,
            exchange.head,
            body,
            route,
            service,
            account.account_id if account else "",
            priority,
            arrived_at,
            arrived_at + route.target_seconds,
            arrived_at + timeout_seconds,
        )

    def _version(self) -> int:
        """Return the configuration version in force; -1 without one."""
        table = self.fleet.table
        return table.configuration.version if table else -1


def _authenticate(
    table: RouteTable, route: ProxyRoute, metadata: RequestMetadata
) -> ProxyAccount | None:
    """Return the account that a key belongs to; raise NotAllowedError if it is unknown.

    None if the configuration needs no keys, or for an unknown key on a public route.
    """
    if not table.needs_key:
        return None
    account = table.account_by_key.get(metadata.key)
    if account is None and not route.public:
        raise NotAllowedError(401, "the key is not known")
    return account
