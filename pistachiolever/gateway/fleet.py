"""A router's view of the fleet: the configuration in force and the endpoints."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import create_task_group
from attrs import define, field

from pistachiolever.admission.cold_start import ColdService
from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.capacity.estimate import RunStatistics
from pistachiolever.core.ids import new_id
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import ConnectionPool, PeerClient
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.evacuation.view import EvacuationView
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.admission_clients import (
    AdmissionClient,
    LocalAdmission,
    RemoteAdmission,
    make_local_admission,
)
from pistachiolever.gateway.budget import RetryBudget
from pistachiolever.gateway.cold_bids import describe_cold
from pistachiolever.gateway.const import (
    BID_PREFIX_DIGITS,
    ENDPOINT_CONNECTION_FRACTION,
    MAX_IDLE_ENDPOINT_CONNECTIONS,
    ROUTER_COUNT_SECONDS,
)
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.endpoint_selection import EndpointSelection
from pistachiolever.gateway.fair_shares import FairShares
from pistachiolever.gateway.incarnations import IncarnationCheck, StartTimeProbe
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.notice_recorder import NoticeRecorder
from pistachiolever.gateway.notices import EndpointNotices, Restriction
from pistachiolever.gateway.part_checks import PartChecks
from pistachiolever.gateway.placement import Placement
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.quarantine.quarantine import Quarantine
from pistachiolever.registry.stream_recorder import NoRecorder, StreamRecorder
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyConfiguration, ProxyService
from pistachiolever.routing.table import RouteTable
from pistachiolever.spillover.recorder import ShortageRecorder
from pistachiolever.spillover.spillover import Spillover
from pistachiolever.streams.base_versions import BaseVersions
from pistachiolever.streams.const import DEADLINE_MARGIN_SECONDS
from pistachiolever.streams.known_versions import KnownVersions
from pistachiolever.streams.models import StreamOrigin, StreamReport
from pistachiolever.streams.table import StreamTable
from pistachiolever.usage.models import MeasuredLoad, UsageUpdate, unpack_measured
from pistachiolever.usage.reporter import UsageReporter

# A service and a software version; None for the endpoints of all versions.
IndexKey = tuple[str, str | None]


class ConfigurationDecoder(Protocol):
    """Decodes and validates a configuration document."""

    def __call__(self, document: bytes) -> ProxyConfiguration:
        """Return the configuration; raise InvalidConfigurationError."""


@define
class FleetView:
    """The configuration in force and the known endpoints, from registry updates.

    `expired_ids` are the endpoints that the registry has not heard of for long. They
    are forgotten when they accept no connection. `draining_since_by_id` are the times
    at which this router learned that endpoints drain. `streams` are those that it has
    forwarded. `unconfirmed_services` have versions that not enough members are known
    to know, or members that have not told its base version. `recorder` keeps streams
    that don't begin at a base version; the last one of each of `unrecorded_services`
    could not be recorded. `loop_delay` is the smoothed delay of the event
    loop, in seconds.
    """

    settings: GatewaySettings
    decode: ConfigurationDecoder
    client: PeerClient
    events: EventLogger
    rng: Random
    now: Callable[[], float]
    instruments: Instruments = field(factory=Instruments)
    policy: PlacementPolicy = PlacementPolicy()
    start_time_probe: StartTimeProbe | None = None
    table: RouteTable | None = None
    directory: EndpointDirectory = field(init=False)
    expired_ids: set[str] = field(factory=set)
    draining_since_by_id: dict[str, float] = field(factory=dict)
    handle_by_id: dict[str, EndpointHandle] = field(factory=dict)
    handle_by_agent: dict[str, EndpointHandle] = field(factory=dict)
    index_by_key: dict[IndexKey, ServiceIndex] = field(factory=dict)
    pool: ConnectionPool = field(init=False)
    spillover: Spillover = field(init=False)
    placement: Placement = field(init=False)
    budget: RetryBudget = field(init=False)
    notices: EndpointNotices = field(init=False)
    evacuations: EvacuationView = field(factory=EvacuationView)
    incarnations: IncarnationCheck = field(init=False)
    selection: EndpointSelection = field(init=False)
    notice_recorder: NoticeRecorder = field(init=False)
    parts: PartChecks = field(init=False)
    shares: FairShares = field(factory=FairShares)
    runs: RunStatistics = field(factory=RunStatistics)
    new_admission_clients: Mailbox[AdmissionClient] = field(factory=Mailbox)
    gone_addresses: Mailbox[str] = field(factory=Mailbox)
    reporter: UsageReporter = field(init=False)
    quarantine: Quarantine = field(init=False)
    streams: StreamTable = field(factory=StreamTable)
    versions: KnownVersions = field(factory=KnownVersions)
    bases: BaseVersions = field(factory=BaseVersions)
    recorder: StreamRecorder = field(factory=NoRecorder)
    unrecorded_services: set[str] = field(factory=set)
    unconfirmed_services: Mailbox[str] = field(factory=Mailbox)
    router_counts: deque[tuple[float, int]] = field(factory=deque)
    shares_stale: bool = False
    applied_change: int = -1
    incarnation: str = field(init=False)
    bid_count: int = 0
    loop_delay: float = 0.0
    withdrawn_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the connection pool, the placement and the retry budget."""
        self.directory = EndpointDirectory(self._names_service)
        self.incarnation = new_id(self.rng)[:BID_PREFIX_DIGITS]
        self.pool = ConnectionPool(
            max_idle=MAX_IDLE_ENDPOINT_CONNECTIONS,
            max_open=int(ENDPOINT_CONNECTION_FRACTION * self.settings.max_descriptors),
        )
        self.spillover = Spillover(
            self.settings,
            self.rng,
            lambda: self.budget.router_count,
            ShortageRecorder(self.events),
        )
        self.placement = Placement(
            self.settings.failure_domain,
            self.policy,
            pricing=self.spillover,
            rng=self.rng,
        )
        self.budget = RetryBudget(
            self.settings.retry_ratio,
            self.settings.retry_window_seconds,
            self.settings.retry_slack,
        )
        self.notices = EndpointNotices(self.settings.drain_seconds)
        self.incarnations = IncarnationCheck(self.now, self.start_time_probe)
        self.selection = EndpointSelection(
            self.settings,
            self.rng,
            self.now,
            self.events,
            self.instruments,
            self.notices,
            self.index,
            self.handle_by_id,
            self.draining_since_by_id,
            self.evacuations,
        )
        self.notice_recorder = NoticeRecorder(
            self.settings, self.events, self.notices, self.now
        )
        self.quarantine = Quarantine(self.settings.node_id)
        self.parts = PartChecks(
            self.quarantine,
            lambda: self.pool,
            self.events,
            self.now,
            self.record_unreachable,
        )
        self.reporter = UsageReporter(
            self.settings.node_id, RecentService(), quarantine=self.quarantine
        )

    async def run(self) -> None:
        """Run admission clients; close connections to endpoints that are gone."""
        async with create_task_group() as group:
            group.start_soon(self._close_gone)
            while admissions := await self.new_admission_clients.get_all():
                for admission in admissions:
                    group.start_soon(admission.run)

    async def _close_gone(self) -> None:
        """Close idle connections to endpoints that are gone."""
        while addresses := await self.gone_addresses.get_all():
            for address in addresses:
                await self.pool.close(address)

    # Registry updates.

    def apply_configuration(self, version: int, document: str) -> None:
        """Put a newer configuration in force, unless it is invalid."""
        try:
            configuration = self.decode(document.encode())
        except InvalidConfigurationError as error:
            self.events.record(
                EventCode.CONFIGURATION_REFUSED, version=version, error=str(error)
            )
            return
        self.table = RouteTable(configuration)
        self.directory.settle_addresses(self.now())
        self._sync_handles()
        self._list_agents()
        self.events.record(
            EventCode.CONFIGURATION_IN_FORCE,
            version=version,
            routes=len(configuration.routes),
        )

    def apply_evacuations(self, orders: EvacuationOrders) -> None:
        """Apply which domains are evacuated; withdraw undecided bids there."""
        change = self.evacuations.apply(orders)
        if change is None:
            return
        for handle in self.handle_by_id.values():
            if handle.endpoint.failure_domain in change.started:
                handle.withdraw_bids()
            elif handle.endpoint.failure_domain in change.ended:
                handle.suspected_at = self.now()
        self.events.record(
            EventCode.EVACUATION_APPLIED,
            revision=orders.revision,
            domains=orders.domains,
        )

    def apply_announcements(self, announcements: list[Announcement]) -> None:
        """Merge announcements of endpoints."""
        now = self.now()
        for announcement in announcements:
            self.expired_ids.discard(announcement.endpoint_id)
            if self.directory.merge(announcement, now):
                self.events.record(
                    EventCode.ENDPOINT_CHANGED,
                    endpoint=announcement.endpoint_id,
                    state=announcement.state.value,
                    born=announcement.born_ms,
                    sequence=announcement.sequence,
                    address=announcement.address,
                    service=announcement.service_id,
                    version=announcement.version,
                )
        self._sync_handles()

    def apply_expired(self, announcements: list[Announcement]) -> None:
        """Apply that the registry has not heard of endpoints for long.

        Only their connection to the registry may be down, so those that accept
        connections are used on.
        """
        for announcement in announcements:
            handle = self.handle_by_id.get(announcement.endpoint_id)
            if handle is None or handle.endpoint.born_ms > announcement.born_ms:
                continue
            self.expired_ids.add(announcement.endpoint_id)
            if handle.health.unreachable_count:
                self._forget(announcement.endpoint_id)

    def _forget(self, endpoint_id: str) -> None:
        """Forget an expired endpoint until it announces itself again."""
        self.directory.discard(endpoint_id)
        self._drop_handle(endpoint_id)
        self.events.record(EventCode.ENDPOINT_DROPPED, endpoint=endpoint_id)

    def update_router_count(self, count: int) -> None:
        """Apply the number of routers, which share the retry budget.

        The highest recent number counts: a member that has just started knows few.
        """
        now = self.now()
        self.router_counts.append((now, count))
        while self.router_counts[0][0] < now - ROUTER_COUNT_SECONDS:
            self.router_counts.popleft()
        self.budget.router_count = max(1, max(n for _, n in self.router_counts))
        self.quarantine.router_count = self.budget.router_count

    def apply_usage(self, update: UsageUpdate) -> None:
        """Apply what has changed in the accounts' usage and the endpoints' loads."""
        now = self.now()
        if self.shares_stale:
            self.shares_stale = False
            self.events.record(EventCode.USAGE_FOUND)
        self.shares.update(update.uses, now)
        for address, numbers in update.loads.items():
            handle = self.handle_by_agent.get(address)
            if handle is not None:
                measured = unpack_measured(numbers, now, update.paces.get(address))
                handle.update_load(measured.load, measured.at)
                self.spillover.record_load(handle.endpoint, measured)
                self.update_free(handle)
        for address, numbers in update.seen_loads.items():
            handle = self.handle_by_agent.get(address)
            if handle is not None:
                measured = unpack_measured(numbers, now)
                handle.record_seen_load(measured.load, measured.at)
                self.update_free(handle)
        self.quarantine.apply(update.parts, now)
        self.parts.record_changes()

    def record_seen_load(self, handle: EndpointHandle, load: Load) -> None:
        """Apply the load that an endpoint told in a response.

        What an endpoint without an agent tells is passed on to the other routers.
        """
        now = self.now()
        handle.record_seen_load(load, now)
        self.update_free(handle)
        if handle.endpoint.agent and handle.is_without_agent():
            measured = MeasuredLoad(load, now)
            self.reporter.record_seen_load(handle.endpoint.agent, measured)

    def update_free(self, handle: EndpointHandle) -> None:
        """Remember whether an endpoint has a free slot."""
        for key in _index_keys(handle.endpoint):
            index = self.index_by_key.get(key)
            if index is not None:
                endpoint_id = handle.endpoint.endpoint_id
                index.update_load(endpoint_id, handle.is_full())
                # All routers are told the same rates, so that they agree on the homes.
                rate = handle.told_load.prefill_rate
                index.update_rate(endpoint_id, rate, self.now())

    def _sync_handles(self) -> None:
        """Keep one handle for the current incarnation of each endpoint."""
        for announcement in self.directory.changed_since(self.applied_change):
            self._sync_handle(announcement)
        self.applied_change = self.directory.change_number
        self._add_versions()

    def _sync_handle(self, announcement: Announcement) -> None:
        """Apply the newest announcement of one endpoint."""
        endpoint_id = announcement.endpoint_id
        handle = self.handle_by_id.get(endpoint_id)
        is_gone = announcement.state is EndpointState.GONE
        was_ready = False
        if handle is not None:
            known = handle.endpoint
            was_ready = known.state is EndpointState.READY
            self._unlist(known)
            if is_gone or announcement.born_ms != known.born_ms:
                self._drop_handle(endpoint_id)
                handle = None
        if is_gone:
            return
        if handle is None:
            handle = EndpointHandle(announcement, self._make_admission)
            self.handle_by_id[endpoint_id] = handle
        handle.endpoint = announcement
        if was_ready and announcement.state is EndpointState.DRAINING:
            self.draining_since_by_id[endpoint_id] = self.now()
        if announcement.agent and self._names_service(announcement.service_id):
            self.handle_by_agent[announcement.agent] = handle
        if announcement.state is EndpointState.READY:
            self.draining_since_by_id.pop(endpoint_id, None)
            self._list(announcement)

    def _add_versions(self) -> None:
        """Add the versions of ready endpoints; have members asked about new ones."""
        versions_by_service: dict[str, set[str]] = {}
        for service_id, version in self.index_by_key:
            if version is not None and self._names_service(service_id):
                versions_by_service.setdefault(service_id, set()).add(version)
        unsettled = self.bases.update(versions_by_service, self.now())
        for service_id in self.versions.add(versions_by_service) + unsettled:
            self.unconfirmed_services.put(service_id)

    def present_versions(self, service_id: str) -> set[str]:
        """Return the versions of the ready endpoints of a service."""
        return {
            version
            for known_id, version in self.index_by_key
            if known_id == service_id and version is not None
        }

    def _list_agents(self) -> None:
        """List the agents of the endpoints whose services are named."""
        self.handle_by_agent = {
            handle.endpoint.agent: handle
            for handle in self.handle_by_id.values()
            if handle.endpoint.agent and self._names_service(handle.endpoint.service_id)
        }

    def _names_service(self, service_id: str) -> bool | None:
        """Return whether the configuration names a service, None without one."""
        return service_id in self.table.service_by_id if self.table else None

    def _drop_handle(self, endpoint_id: str) -> None:
        """Stop using an incarnation of an endpoint."""
        handle = self.handle_by_id.pop(endpoint_id)
        known = handle.endpoint
        self.expired_ids.discard(endpoint_id)
        self.draining_since_by_id.pop(endpoint_id, None)
        self._unlist(known)
        if self.handle_by_agent.get(known.agent) is handle:
            del self.handle_by_agent[known.agent]
        handle.close()
        self.incarnations.forget(known.address)
        self.gone_addresses.put(known.address)

    def index(self, service_id: str, version: str | None = None) -> ServiceIndex:
        """Return the index of a service, or of its endpoints of one version."""
        return self.index_by_key.get((service_id, version)) or ServiceIndex()

    def _list(self, announcement: Announcement) -> None:
        """Add an endpoint to the indexes."""
        for key in _index_keys(announcement):
            index = self.index_by_key.setdefault(key, ServiceIndex())
            index.add(announcement.endpoint_id)

    def _unlist(self, announcement: Announcement) -> None:
        """Remove an endpoint from the indexes; forget empty ones."""
        for key in _index_keys(announcement):
            index = self.index(*key)
            index.discard(announcement.endpoint_id)
            if not index.ready.ids:
                self.index_by_key.pop(key, None)

    def _make_admission(self, announcement: Announcement) -> AdmissionClient:
        """Return the admission client of an endpoint, and start its task."""

        def make_local() -> LocalAdmission:
            """Return the client that decides without an agent."""
            is_engine = bool(announcement.agent)
            local = make_local_admission(
                self.rng,
                self.now,
                self._router_fraction,
                self.reporter.service if is_engine else None,
                self._read_total if is_engine else None,
                self.reporter.streams,
            )
            self.new_admission_clients.put(local)
            return local

        if not announcement.agent:
            return make_local()
        admission = RemoteAdmission(
            announcement.agent, self.client, make_local, self.events, self.now
        )
        self.new_admission_clients.put(admission)
        return admission

    def _read_total(self, account_id: str) -> float:
        """Return an account's service in the whole fleet, as the registry tells it.

        This router's own service is known to the clients that decide here.
        """
        return self.shares.told_total(account_id, self.now())

    def _router_fraction(self) -> float:
        """Return this router's part of what all routers share without an agent."""
        return 1.0 / max(1, self.budget.router_count)

    def record_stream(self, request: ProxyRequest, origin: StreamOrigin) -> None:
        """Remember where a stream began that its caller may resume here."""
        if request.route.resumable:
            expires_at = request.deadline_at + DEADLINE_MARGIN_SECONDS
            self.streams.add(request.stream_key, origin, expires_at, self.now())

    async def keep_origin(self, request: ProxyRequest, origin: StreamOrigin) -> bool:
        """Return whether a stream may begin: its origin can be known to all routers.

        Unless that is the base version, enough members should have it on disk.
        """
        service_id, version = origin.service_id, origin.version
        if not request.route.resumable:
            return True
        if not self.bases.needs_record(service_id, version):
            return True
        is_required = self.bases.requires_record(service_id)
        if service_id in self.unrecorded_services and not is_required:
            return True
        seconds = request.remaining_seconds(self.now()) + DEADLINE_MARGIN_SECONDS
        report = StreamReport([origin], round(seconds * 1000))
        if await self.recorder.record(request.stream_key, report):
            return True
        self.events.record(
            EventCode.STREAM_UNRECORDED,
            request.request_id,
            service=service_id,
            version=version,
            begins=not is_required,
        )
        if is_required:
            self.versions.suspend(service_id, version)
        self.unrecorded_services.add(service_id)
        self.unconfirmed_services.put(service_id)
        return not is_required

    # Queries by requests.

    def fair_share(self) -> float | None:
        """Return the max-min share of recent service; None if it limits no account.

        Paused engines add nothing to the capacity that accounts share.
        """
        if self.table is None:
            return None
        now = self.now()
        if not self.shares_stale and self.shares.is_stale(now):
            self.shares_stale = True
            self.events.record(
                EventCode.USAGE_STALE, seconds=round(now - self.shares.heard_at, 2)
            )
        tokens_per_second = self.table.configuration.tokens_per_second
        return self.shares.share(
            tokens_per_second * self._unpaused_fraction(),
            self.budget.router_count,
            now,
        )

    def _unpaused_fraction(self) -> float:
        """Return the fraction of engines that have not asked for a pause."""
        if not self.notices.paused:
            return 1.0
        now = self.now()
        engines = [h.endpoint for h in self.handle_by_id.values() if h.endpoint.agent]
        paused = [
            endpoint
            for endpoint in engines
            if self.notices.restriction(endpoint, now) is Restriction.PAUSED
        ]
        return 1.0 - len(paused) / max(1, len(engines))

    def cold_service(
        self, service: ProxyService, handle: EndpointHandle
    ) -> ColdService | None:
        """Return what a bid tells of a service whose engines start cold."""
        endpoint, now = handle.endpoint, self.now()
        record = self.directory.record_by_id.get(endpoint.endpoint_id)
        heard_at = record.received_at if record else now
        return describe_cold(
            service, endpoint, heard_at, handle.suspected_at, self.settings, now
        )

    def next_bid_id(self) -> str:
        """Return an id for a bid that no other bid in the fleet has."""
        self.bid_count += 1
        return f"{self.incarnation}/{self.bid_count}"

    def record_unreachable(self, handle: EndpointHandle, error: str) -> None:
        """Eject an endpoint that accepts no connection."""
        handle.suspected_at = self.now()
        handle.health.record_unreachable(self.now())
        self.events.record(
            EventCode.ENDPOINT_EJECTED,
            endpoint=handle.endpoint.endpoint_id,
            error=error,
            seconds=round(handle.health.ejected_until - self.now(), 2),
        )
        endpoint_id = handle.endpoint.endpoint_id
        is_current = self.handle_by_id.get(endpoint_id) is handle
        if is_current and endpoint_id in self.expired_ids:
            self._forget(endpoint_id)


def _index_keys(endpoint: Announcement) -> tuple[IndexKey, IndexKey]:
    """Return the keys of the indexes that list an endpoint."""
    return ((endpoint.service_id, None), (endpoint.service_id, endpoint.version))
