"""The gateway process: callers' server, readiness and graceful shutdown."""

from re import Pattern, compile as compile_pattern, escape
from time import process_time
from typing import Final

from absl import logging
from anyio import CancelScope, create_task_group, move_on_after, sleep
from attrs import define, field

from pistachiolever.core.arrivals import ArrivalClock
from pistachiolever.edge.keys import bearer_key
from pistachiolever.events.const import EventCode
from pistachiolever.forwarding.const import MAX_RESPONSE_SECONDS, REFUSAL
from pistachiolever.forwarding.forwarder import (
    ForwardedScreen,
    Forwarder,
    without_preface,
)
from pistachiolever.gateway.const import (
    BALANCER_REMOVAL_SECONDS,
    CALLER_CONNECTION_FRACTION,
    DELAY_SAMPLE_SECONDS,
    DRAIN_POLL_SECONDS,
    DRAINING,
    ENDPOINT_DISCOVERY_SECONDS,
    GRACE_MARGIN_SECONDS,
    LAST_REQUESTS_SECONDS,
    OVERLOAD_RETRY_AFTER_SECONDS,
    STARTUP_RETRY_AFTER_SECONDS,
)
from pistachiolever.gateway.drain_window import DrainWindow
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.intake import IntakeLimit
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.overload import Overload, OverloadGuard
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.gateway.screens import ForwardingGateway, IntakeScreen
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.gateway.stream_origins import StreamOrigins
from pistachiolever.gateway.version_confirmation import VersionConfirmation
from pistachiolever.gateway.work_counts import WorkCounts, WorkReporter
from pistachiolever.http1.budget import ByteBudget
from pistachiolever.http1.connection import Exchange
from pistachiolever.http1.const import MAX_MONITORING_CONNECTIONS
from pistachiolever.http1.errors import BadRequestError, MalformedMessageError
from pistachiolever.http1.heads import parse_request
from pistachiolever.http1.models import Header, HttpLimits
from pistachiolever.http1.screening import END_OF_HEAD
from pistachiolever.http1.server import ForwardedEntry, HttpServer
from pistachiolever.metrics.instruments import REQUESTS, SHED, UNREAD
from pistachiolever.registry.sibling_lookup import SiblingLookup
from pistachiolever.registry.stream_lookup import StreamLookup
from pistachiolever.registry.stream_recorder import MemberRecorder
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import ProxyAccount, ProxyRoute
from pistachiolever.routing.table import RouteTable, host_name

AUTHORIZATION: Final = compile_pattern(rb"(?i)\r\nauthorization:[ \t]*([^\r\n]*)")
OVERLOAD_RESPONSE: Final = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: %s\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


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
    lookup: StreamLookup = field(init=False)
    recorder: MemberRecorder = field(init=False)
    drain_window: DrainWindow = field(init=False)
    origins: StreamOrigins = field(init=False)
    was_ready: bool = False
    guard: OverloadGuard = field(factory=OverloadGuard)
    work_reporter: WorkReporter = field(factory=WorkReporter)
    request_count: int = 0
    shed_count: int = 0
    intake: IntakeLimit = field(factory=IntakeLimit)
    unread_count: int = 0
    budget: ByteBudget = field(factory=ByteBudget)
    forwarder: Forwarder = field(init=False)
    request_id_pattern: Pattern[bytes] = field(init=False)
    arrivals: ArrivalClock = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the servers and register the gauges."""
        self.started_at = self.fleet.now()
        self.arrivals = ArrivalClock(self.fleet.now)
        self.drain_window = DrainWindow(self.fleet.runs)
        self.lookup = StreamLookup(
            self.fleet.client, self.watcher.choice, self.fleet.now
        )
        self.origins = StreamOrigins(self.fleet, self.lookup)
        self.recorder = MemberRecorder(
            self.fleet.client, self.watcher.choice, self.fleet.now
        )
        self.fleet.recorder = self.recorder
        name = escape(self.header_format.request_id)
        self.request_id_pattern = compile_pattern(
            rb"(?i)\r\n" + name + rb":[ \t]*([^\r\n]*)"
        )
        # As many bytes of responses as of callers' requests.
        responses = ByteBudget(self.budget.max_bytes, self.budget.report_cut)
        self.fleet.pool.budget = self.fleet.client.pool.budget = responses
        self.watcher.forward_address = self.settings.forward_address
        forwarding = ForwardingGateway(self)
        self.forwarder = Forwarder(
            forwarding,
            SiblingLookup(
                self.fleet.client,
                self.watcher.choice,
                self.settings.forward_address,
            ),
            self.fleet.events,
            self.fleet.instruments,
            self.fleet.rng,
            self.fleet.now,
        )
        entry = None
        if self.settings.forward_address:
            screen = ForwardedScreen(forwarding)
            entry = ForwardedEntry(
                self.settings.forward_address,
                screen,
                without_preface,
                REFUSAL,
                screen.greet,
            )
        self.public_server = HttpServer(
            self.settings.front_address,
            self._handle_request,
            self._limits,
            int(CALLER_CONNECTION_FRACTION * self.settings.max_descriptors),
            self._record_limit,
            self._count_unread,
            IntakeScreen(self),
            self.budget,
            self.forwarder,
            entry,
            self.arrivals.estimate,
        )
        self.readiness_server = HttpServer(
            self.settings.ready_address,
            self._handle_readiness,
            max_connections=MAX_MONITORING_CONNECTIONS,
            budget=self.budget,
        )
        gauge = self.fleet.instruments.gauge
        gauge("pistachiolever_configuration_version", self.version)
        gauge("pistachiolever_endpoints", lambda: len(self.fleet.handle_by_id))
        gauge("pistachiolever_busy_connections", self.public_server.busy_count)
        gauge("pistachiolever_overload", lambda: self.guard.level)
        gauge("pistachiolever_request_limit", lambda: self.intake.limit)
        gauge("pistachiolever_forwarded_connections", self.forwarder.count)
        gauge("pistachiolever_connections", lambda: len(self.public_server.connections))
        gauge("pistachiolever_endpoint_connections", lambda: self.fleet.pool.open_count)
        gauge("pistachiolever_routers", lambda: self.fleet.budget.router_count)
        gauge(
            "pistachiolever_evacuated_domains",
            lambda: len(self.fleet.evacuations.domains),
        )
        gauge("pistachiolever_registry_in_touch", self.watcher.is_connected)
        gauge(
            "pistachiolever_quarantined_parts",
            lambda: self.fleet.quarantine.quarantined_count(self.fleet.now()),
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with create_task_group() as group:
            group.start_soon(self.fleet.run)
            group.start_soon(self.watcher.run)
            group.start_soon(self.lookup.run)
            group.start_soon(self.recorder.run)
            group.start_soon(VersionConfirmation(self.fleet, self.lookup).run)
            group.start_soon(self.readiness_server.serve)
            group.start_soon(self.public_server.serve)
            group.start_soon(self._watch_delay)
            if self.settings.forward_address:
                group.start_soon(self.forwarder.run)

    async def _watch_delay(self) -> None:
        """Measure the delay of the event loop; record changes of the overload."""
        while True:
            started_at = self.fleet.now()
            self.arrivals.expect(started_at + DELAY_SAMPLE_SECONDS)
            await sleep(DELAY_SAMPLE_SECONDS)
            now, known = self.fleet.now(), self.guard.level
            delay = max(0.0, now - started_at - DELAY_SAMPLE_SECONDS)
            level = self.guard.observe(delay, now)
            self.intake.observe(delay)
            self.fleet.loop_delay = self.guard.delay
            self.public_server.draining = self.draining or level > Overload.NONE
            if level is not known:
                self.fleet.events.record(
                    EventCode.OVERLOAD_CHANGED,
                    level=level.name,
                    delay=round(self.guard.delay, 3),
                    busy=self.public_server.busy_count(),
                    limit=round(self.intake.limit),
                    shed=self.shed_count,
                    unread=self.unread_count,
                )
            self._report_work(max(level, known), now)

    def _report_work(self, level: Overload, now: float) -> None:
        """Log what the router did in the last interval if it was overloaded."""
        work = self.work_reporter.take(self._count_work(), now)
        if work is None or (level is Overload.NONE and not work["shed"]):
            return
        self.fleet.events.record(
            EventCode.OVERLOAD_WORK,
            level=level.name,
            delay=round(self.guard.delay, 3),
            busy=self.public_server.busy_count(),
            connections=len(self.public_server.connections),
            limit=round(self.intake.limit),
            **work,
        )

    def _count_work(self) -> WorkCounts:
        """Return the work of this router since its start."""
        return WorkCounts(
            process_time(),
            self.public_server.accepted_count,
            self.request_count,
            self.shed_count,
            self.fleet.bid_count,
            self.fleet.withdrawn_count,
            self.fleet.pool.opened_count + self.fleet.client.pool.opened_count,
            self.forwarder.forwarded_count,
        )

    async def drain(self) -> None:
        """Report not ready, finish running requests, return within the grace period.

        The listener stays open until the end: while all routers drain, the balancer
        still sends callers here, and they need an answer.
        """
        started_at = self.fleet.now()
        server, self.draining = self.public_server, True
        drain_seconds = self.settings.grace_seconds - GRACE_MARGIN_SECONDS
        window = self.drain_window
        window.ends_at = started_at + drain_seconds - 2 * LAST_REQUESTS_SECONDS
        window.balancer_leaves_at = started_at + BALANCER_REMOVAL_SECONDS
        server.draining = True
        self.fleet.events.record(EventCode.PROCESS_DRAINING, busy=self._busy_count())
        with move_on_after(max(0.0, drain_seconds - 2 * LAST_REQUESTS_SECONDS)):
            # The balancer sends new connections until two more checks have failed.
            await sleep(BALANCER_REMOVAL_SECONDS)
            server.close_idle()
            while self._busy_count():
                await sleep(DRAIN_POLL_SECONDS)
                server.close_idle()
                if window.is_closing(self.fleet.now()):
                    window.end_waits()
        window.close(self.fleet.now())
        server.stop_listening()
        with move_on_after(LAST_REQUESTS_SECONDS):
            # Requests on connections accepted just now are answered, too.
            await sleep(LAST_REQUESTS_SECONDS / 2)
            server.close_after_requests()
            while server.connections or self.forwarder.count():
                await sleep(DRAIN_POLL_SECONDS / 5)
        cut = self._busy_count()
        server.abandon_requests()
        self.forwarder.abandon()
        if cut:
            # The answers are sent meanwhile.
            await sleep(DRAIN_POLL_SECONDS)
        self.fleet.events.record(
            EventCode.PROCESS_STOPPED,
            seconds=round(self.fleet.now() - started_at, 2),
            cut=cut,
        )

    def _busy_count(self) -> int:
        """Return the number of requests being served here or at siblings."""
        return self.public_server.busy_count() + self.forwarder.count()

    def _limits(self) -> HttpLimits:
        """Return the HTTP limits of the configuration in force."""
        table = self.fleet.table
        return table.configuration.limits if table else HttpLimits()

    def _record_limit(self, reason: str, connections: int) -> None:
        """Record that callers wait to be accepted."""
        self.fleet.events.record(
            EventCode.CONNECTIONS_LIMITED, reason=reason, connections=connections
        )

    def _count_unread(self) -> None:
        """Count a request whose caller left before it was read."""
        self.unread_count += 1
        self.fleet.instruments.count(UNREAD)

    # Readiness.

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections.

        The watcher applies no configuration before the orders of evacuation.
        """
        if self.draining or self.fleet.table is None:
            return False
        if self.guard.level > Overload.NONE:
            return False
        waited = self.fleet.now() - self.started_at
        return bool(self.fleet.handle_by_id) or waited > ENDPOINT_DISCOVERY_SECONDS

    async def _handle_readiness(self, exchange: Exchange) -> None:
        """Answer a readiness check of the load balancer."""
        exchange.discard_body()
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
        """Serve a caller's request, or refuse it for lack of processor time."""
        self.request_count += 1
        account_id = self.account_of(exchange.head.value(b"authorization") or b"")
        if not self.admits(account_id):
            await self._shed(exchange, account_id)
            return
        self.intake.begin(account_id)
        try:
            await self._serve_request(exchange)
        finally:
            self.intake.end(account_id)

    def account_of(self, authorization: bytes) -> str:
        """Return the account of a key; empty if there is none."""
        table = self.fleet.table
        if table is None:
            return ""
        account = table.account_by_key.get(bearer_key(authorization.decode("latin-1")))
        return account.account_id if account else ""

    def account_of_head(self, head: bytes) -> str:
        """Return the account of an unparsed head; empty if there is none."""
        match = AUTHORIZATION.search(head)
        return self.account_of(match.group(1) if match else b"")

    def response_seconds_of(self, head: bytes) -> float:
        """Return how long a response may take, by the unparsed head of its request.

        A request that can't be read or has no route is refused by any router at once.
        """
        try:
            request = parse_request(head + END_OF_HEAD).head
            metadata = self.header_format.parse_request(request)
        except (BadRequestError, MalformedMessageError) as error:
            logging.debug("a forwarded request can't be read: %s", error)
            return MAX_RESPONSE_SECONDS
        host = host_name(request.value(b"host") or b"")
        table = self.fleet.table
        route = table.match(host, request.path) if table else None
        return response_seconds(route, metadata) if route else MAX_RESPONSE_SECONDS

    def admits(self, account_id: str) -> bool:
        """Return whether there is processor time for a request of an account."""
        if self.guard.level is Overload.SHEDDING:
            return False
        return self.intake.admits(account_id)

    async def _serve_request(self, exchange: Exchange) -> None:
        """Serve a request that was taken."""
        arrived_at = self.fleet.now()
        if exchange.arrived_at is not None:
            arrived_at = min(arrived_at, exchange.arrived_at)
        metadata = self.header_format.parse_request(exchange.head)
        try:
            request = self._resolve_request(exchange, metadata, arrived_at)
            request.body = await exchange.read_body()
            if not self.drain_window.may_take(request, self.fleet.now()):
                raise NotAllowedError(503, DRAINING)
            self.drain_window.shorten_deadline(request)
        except NotAllowedError as error:
            exchange.discard_body()
            self.fleet.events.record(
                EventCode.REQUEST_REFUSED,
                metadata.request_id,
                status=error.status,
                reason=error.reason,
                version=self.version(),
            )
            headers: list[Header] = []
            if error.status == 503:
                # Spread, since callers would otherwise return at the same moment.
                seconds = STARTUP_RETRY_AFTER_SECONDS * (0.5 + self.fleet.rng.random())
                headers.append((b"retry-after", b"%.2f" % seconds))
            await exchange.respond(error.status, headers, b"")
            return
        processor = RequestProcessor(
            self.fleet,
            self.header_format,
            request,
            exchange,
            self.origins,
            self.drain_window,
        )
        done = False
        try:
            await processor.run()
            done = True
        finally:
            if not done:
                self._record_cancelled(request, processor)

    async def _shed(self, exchange: Exchange, account_id: str) -> None:
        """Refuse a request before reading its body: there is no time to serve it.

        Its caller closes the connection and returns through another router.
        """
        headers = [self.overload_header(account_id), (b"connection", b"close")]
        await exchange.respond(503, headers, b"")

    def overload_response(self, head: bytes) -> bytes:
        """Count a refusal by the unparsed head of a request; return the response."""
        _, seconds = self.overload_header(self.account_of_head(head))
        return OVERLOAD_RESPONSE % seconds

    def overload_header(self, account_id: str) -> Header:
        """Count a refusal for lack of processor time; return its Retry-After."""
        self.shed_count += 1
        self.fleet.instruments.count(SHED, account_id)
        seconds = OVERLOAD_RETRY_AFTER_SECONDS * (0.5 + self.fleet.rng.random())
        return (b"retry-after", b"%.2f" % seconds)

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
                bids=request.bid_count,
                queued=round(processor.bidding.queued_seconds, 3),
                total=round(self.fleet.now() - request.arrived_at, 3),
            )

    def _resolve_request(
        self,
        exchange: Exchange,
        metadata: RequestMetadata,
        arrived_at: float,
    ) -> ProxyRequest:
        """Return the request with route and account, without a body yet.

        Raise NotAllowedError.
        """
        table = self.fleet.table
        if table is None:
            raise NotAllowedError(503, "no configuration is known yet")
        host = host_name(exchange.head.value(b"host") or b"")
        route = table.match(host, exchange.head.path)
        if route is None:
            raise NotAllowedError(404, f"no route for {host}{exchange.head.path}")
        account = _authenticate(table, route, metadata)
        service = table.service_by_id[route.service_for(metadata.stream_id)]
        timeout_seconds = response_seconds(route, metadata)
        priority = route.priority
        if account is not None and account.priority is not None:
            # The account's priority takes precedence over the route's.
            priority += account.priority * 1000
        return ProxyRequest(
            metadata,
            exchange.head,
            b"",
            route,
            service,
            account.account_id if account else "",
            priority,
            arrived_at,
            arrived_at + route.target_seconds,
            arrived_at + timeout_seconds,
        )

    def version(self) -> int:
        """Return the configuration version in force; -1 without one."""
        table = self.fleet.table
        return table.configuration.version if table else -1


def response_seconds(route: ProxyRoute, metadata: RequestMetadata) -> float:
    """Return how long the response to a request may take."""
    if metadata.deadline_seconds is None:
        return route.timeout_seconds
    return min(route.timeout_seconds, metadata.deadline_seconds)


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
