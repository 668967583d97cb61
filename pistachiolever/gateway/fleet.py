"""A router's view of the fleet: the configuration in force and the endpoints."""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Final, Protocol

from anyio import create_task_group, sleep
from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.admission.rate_limit import parse_rate
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.core.ids import new_id
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.core.pause import pause_seconds
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import ConnectionPool, PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.admission_clients import (
    AdmissionClient,
    LocalAdmission,
    RemoteAdmission,
    make_local_admission,
)
from pistachiolever.gateway.budget import RetryBudget
from pistachiolever.gateway.const import (
    BID_PREFIX_DIGITS,
    CRASH_CHECK_DELAY_SECONDS,
    CRASH_CHECK_KEEP_ALIVE_SECONDS,
    CRASH_CHECK_SECONDS,
    DRAINING_USE_FRACTION,
    ENDPOINT_CONNECTION_FRACTION,
    MAX_IDLE_ENDPOINT_CONNECTIONS,
    ROUTER_COUNT_SECONDS,
)
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.fair_shares import FairShares
from pistachiolever.gateway.incarnations import IncarnationCheck, StartTimeProbe
from pistachiolever.gateway.models import ProxyRequest, ResponseMetadata
from pistachiolever.gateway.notices import EndpointNotices, Restriction
from pistachiolever.gateway.placement import Candidate, Placement
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.metrics.instruments import HELD_BACK, Instruments
from pistachiolever.quarantine.quarantine import Change, Quarantine
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyConfiguration
from pistachiolever.routing.table import RouteTable
from pistachiolever.streams.const import DEADLINE_MARGIN_SECONDS
from pistachiolever.streams.models import StreamOrigin
from pistachiolever.streams.table import StreamTable
from pistachiolever.usage.models import MeasuredLoad, UsageUpdate, unpack_measured
from pistachiolever.usage.reporter import UsageReporter

PART_EVENTS: Final = {
    Change.QUARANTINED: EventCode.PART_QUARANTINED,
    Change.TESTED: EventCode.PART_TESTED,
    Change.RELEASED: EventCode.PART_RELEASED,
}
# Restrictions under which a chosen endpoint still gets a request.
SENDABLE: Final = (Restriction.NONE, Restriction.LEAVING)
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
    forwarded. `loop_delay` is the smoothed delay of the event loop, in seconds.
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
    placement: Placement = field(init=False)
    budget: RetryBudget = field(init=False)
    notices: EndpointNotices = field(init=False)
    incarnations: IncarnationCheck = field(init=False)
    shares: FairShares = field(factory=FairShares)
    new_admission_clients: Mailbox[AdmissionClient] = field(factory=Mailbox)
    gone_addresses: Mailbox[str] = field(factory=Mailbox)
    reporter: UsageReporter = field(init=False)
    quarantine: Quarantine = field(init=False)
    streams: StreamTable = field(factory=StreamTable)
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
        self.placement = Placement(self.settings.failure_domain, self.policy)
        self.budget = RetryBudget(
            self.settings.retry_ratio,
            self.settings.retry_window_seconds,
            self.settings.retry_slack,
        )
        self.notices = EndpointNotices(self.settings.drain_seconds)
        self.incarnations = IncarnationCheck(self.now, self.start_time_probe)
        self.quarantine = Quarantine(self.settings.node_id)
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
                measured = unpack_measured(numbers, now)
                handle.update_load(measured.load, measured.at)
                self.update_free(handle)
        for address, numbers in update.seen_loads.items():
            handle = self.handle_by_agent.get(address)
            if handle is not None:
                measured = unpack_measured(numbers, now)
                handle.record_seen_load(measured.load, measured.at)
                self.update_free(handle)
        self.quarantine.apply(update.parts, now)
        self._record_part_changes()

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
                index.update_load(handle.endpoint.endpoint_id, handle.is_full())

    def _sync_handles(self) -> None:
        """Keep one handle for the current incarnation of each endpoint."""
        for announcement in self.directory.changed_since(self.applied_change):
            self._sync_handle(announcement)
        self.applied_change = self.directory.change_number

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

    # Notices of endpoints.

    def record_notices(
        self,
        handle: EndpointHandle,
        request_id: str,
        metadata: ResponseMetadata,
        sent_at: float,
    ) -> None:
        """Record what an endpoint asks of this router in a response.

        `sent_at` is when its request was sent.
        """
        endpoint, now = handle.endpoint, self.now()
        self._record_rate(handle, request_id, metadata.rate_limit, sent_at)
        if metadata.leaving and self.notices.record_leaving(endpoint, now):
            self.events.record(
                EventCode.ENDPOINT_LEAVING,
                request_id,
                endpoint=endpoint.endpoint_id,
                born=endpoint.born_ms,
                seconds=self.settings.drain_seconds,
            )
            handle.withdraw_bids()
        if metadata.retry_after is None:
            return
        seconds = pause_seconds(metadata.retry_after)
        self.events.record(
            EventCode.ENDPOINT_PAUSED,
            request_id,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born_ms,
            seconds=seconds or 0.0,
            asked=metadata.retry_after[:40],
        )
        if seconds is not None:
            self.notices.record_pause(endpoint, seconds, now)
            handle.withdraw_bids()

    def _record_rate(
        self,
        handle: EndpointHandle,
        request_id: str,
        rate_limit: str | None,
        sent_at: float,
    ) -> None:
        """Record the request rate that an endpoint accepts.

        A value that can't be read changes nothing.
        """
        try:
            rate = parse_rate(rate_limit)
            is_news = handle.rate_notice.observe(rate, sent_at, self.now())
        except ValueError:
            is_news = True
        if not is_news:
            return
        self.events.record(
            EventCode.ENDPOINT_LIMITED,
            request_id,
            endpoint=handle.endpoint.endpoint_id,
            born=handle.endpoint.born_ms,
            rate=handle.rate_notice.requests_per_second,
            named=(rate_limit or "")[:40],
        )

    def may_send(self, handle: EndpointHandle) -> bool:
        """Return whether the notices of a chosen endpoint allow a request now.

        A leaving endpoint is chosen only if no other one can serve the request.
        """
        restriction = self.notices.restriction(handle.endpoint, self.now())
        if restriction not in SENDABLE:
            self._count_held_back(handle, restriction)
        return self._allows_request(handle)

    def held_back(self, service_id: str) -> dict[str, list[str]]:
        """Return the restricted endpoints of a service, by kind of restriction.

        An endpoint that is draining or unreachable by now is among them: it usually is
        soon after it has said that it leaves.
        """
        ids: dict[str, list[str]] = {}
        if not self.notices.by_incarnation:
            return ids
        now = self.now()
        for endpoint_id, handle in self.handle_by_id.items():
            if handle.endpoint.service_id != service_id:
                continue
            restriction = self.notices.restriction(handle.endpoint, now)
            if restriction is not Restriction.NONE:
                ids.setdefault(restriction.value, []).append(endpoint_id)
        return ids

    def pause_remaining(
        self, service_id: str, version: str | None = None
    ) -> float | None:
        """Return the seconds until the first endpoint of a service takes requests.

        None unless pauses prevent requests to all of its endpoints that stay. With a
        `version` only endpoints of that one count.
        """
        if not self.notices.paused:
            return None
        now = self.now()
        times = [
            self.notices.available_at(handle.endpoint)
            for handle in self._ready(service_id, set(), version)
        ]
        staying = [at for at in times if at is not None]
        if not staying or min(staying) <= now:
            return None
        return min(staying) - now

    def _count_held_back(
        self, handle: EndpointHandle, restriction: Restriction
    ) -> None:
        """Count a dispatch that a notice prevented."""
        self.instruments.count(
            HELD_BACK, handle.endpoint.endpoint_id, restriction.value
        )

    def _record_ended_pauses(self) -> None:
        """Log the pauses that no longer limit requests."""
        for pause in self.notices.pop_ended_pauses(self.now()):
            self.events.record(
                EventCode.ENDPOINT_RESUMED,
                endpoint=pause.endpoint_id,
                seconds=round(pause.seconds, 3),
            )

    # Parts of requests under which endpoints crash.

    def quarantined_part(self, part_ids: list[str]) -> str:
        """Return a part of a request that must not be sent now; empty if none."""
        part_id = self.quarantine.quarantined_part(part_ids, self.now())
        self._record_part_changes()
        return part_id

    def may_send_parts(self, part_ids: list[str]) -> bool:
        """Return whether a request with these parts may be sent to an endpoint now."""
        allowed = self.quarantine.try_send(part_ids, self.now())
        self._record_part_changes()
        return allowed

    def record_sound_run(self, part_ids: list[str]) -> None:
        """Record that an endpoint ran a request with these parts."""
        self.quarantine.record_sound(part_ids, self.now())
        self._record_part_changes()

    async def check_crash(
        self, handle: EndpointHandle, request_id: str, part_ids: list[str]
    ) -> bool:
        """Find out whether an endpoint that ended a new run's connection has crashed.

        It has if nobody listens at its address; a connection may end for other reasons.
        Return whether it is known to be there.
        """
        if not self.quarantine.suspects(part_ids, self.now()):
            return False
        endpoint = handle.endpoint
        await sleep(CRASH_CHECK_DELAY_SECONDS)
        try:
            connection = await self.pool.open(endpoint.address, CRASH_CHECK_SECONDS)
        except PeerClosedError as error:
            if error.is_local:
                return False
            self.record_unreachable(handle, error.detail)
            if not error.refused:
                return False
        else:
            await self.pool.release(connection, CRASH_CHECK_KEEP_ALIVE_SECONDS)
            return True
        incarnation = f"{endpoint.endpoint_id}/{endpoint.born_ms}"
        suspected = self.quarantine.record_crash(incarnation, part_ids, self.now())
        self.events.record(
            EventCode.PARTS_SUSPECTED,
            request_id,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born_ms,
            parts=suspected,
        )
        return False

    def record_stream(self, request: ProxyRequest, origin: StreamOrigin) -> None:
        """Remember where a stream began that its caller may resume here."""
        if request.route.resumable:
            expires_at = request.deadline_at + DEADLINE_MARGIN_SECONDS
            self.streams.add(request.stream_key, origin, expires_at, self.now())

    def _record_part_changes(self) -> None:
        """Log which parts were quarantined, tested or released."""
        for change in self.quarantine.pop_changes():
            self.events.record(
                PART_EVENTS[change.change],
                part=change.part_id,
                crashes=change.crashes,
                seconds=change.seconds,
            )

    # Queries by requests.

    def candidates(
        self,
        service_id: str,
        avoid: set[str],
        part_id: str = "",
        extra: Iterable[str] = (),
        version: str | None = None,
    ) -> list[Candidate]:
        """Return the endpoints of a service to consider for a request.

        `part_id` is the last shared part of its prompt, `extra` are further endpoints.
        With a `version` only endpoints of that one are considered.
        """
        chosen = self.index(service_id, version).choose(part_id, self.rng)
        chosen.update(dict.fromkeys(extra))
        handles = [
            handle
            for endpoint_id in chosen
            if (handle := self.handle_by_id.get(endpoint_id)) is not None
        ]
        accepting = self._accepting(handles, service_id, avoid, version)
        usable, _ = self._split_usable(accepting)
        return [
            Candidate(
                handle.endpoint, handle.load(), handle.health, handle.bidding_tokens
            )
            for handle in usable or self.usable(service_id, avoid, version)
        ]

    def usable(
        self, service_id: str, avoid: set[str], version: str | None = None
    ) -> list[EndpointHandle]:
        """Return all endpoints of a service that may get a request now.

        Leaving ones are used only if there are no others, draining ones only for
        streams that no other version can continue.
        """
        usable, leaving = self._split_usable(self._ready(service_id, avoid, version))
        if usable or leaving or version is None:
            return usable or leaving
        return [
            handle
            for endpoint_id in self.draining_since_by_id
            if (handle := self.handle_by_id[endpoint_id]).endpoint.version == version
            and handle.endpoint.service_id == service_id
            and endpoint_id not in avoid
            and self._allows_request(handle)
            and not handle.health.is_ejected(self.now())
        ]

    def _allows_request(self, handle: EndpointHandle) -> bool:
        """Return whether neither notices nor a drain prevent a request now.

        Control may have learned of the drain somewhat earlier than this router.
        """
        endpoint = handle.endpoint
        if self.notices.restriction(endpoint, self.now()) not in SENDABLE:
            return False
        if endpoint.state is EndpointState.READY:
            return True
        since = self.draining_since_by_id.get(endpoint.endpoint_id, float("-inf"))
        allowed_seconds = DRAINING_USE_FRACTION * self.settings.drain_seconds
        return self.now() - since < allowed_seconds

    def has_usable(
        self, service_id: str, avoid: set[str], version: str | None = None
    ) -> bool:
        """Return whether another endpoint of a service may get a request now."""
        return bool(self.usable(service_id, avoid, version))

    def _split_usable(
        self, handles: Iterable[EndpointHandle]
    ) -> tuple[list[EndpointHandle], list[EndpointHandle]]:
        """Return the endpoints without restriction, and those that are leaving."""
        self._record_ended_pauses()
        usable: list[EndpointHandle] = []
        leaving: list[EndpointHandle] = []
        for handle in handles:
            restriction = self.notices.restriction(handle.endpoint, self.now())
            if restriction is Restriction.NONE:
                usable.append(handle)
                continue
            if restriction is Restriction.LEAVING:
                leaving.append(handle)
            self._count_held_back(handle, restriction)
        return usable, leaving

    def _ready(
        self, service_id: str, avoid: set[str], version: str | None
    ) -> list[EndpointHandle]:
        """Return all endpoints of a service that accept requests."""
        ids = self.index(service_id, version).ready.ids
        handles = [self.handle_by_id[endpoint_id] for endpoint_id in ids]
        return self._accepting(handles, service_id, avoid, version)

    def _accepting(
        self,
        handles: list[EndpointHandle],
        service_id: str,
        avoid: set[str],
        version: str | None,
    ) -> list[EndpointHandle]:
        """Return those of some endpoints that accept requests."""
        now = self.now()
        return [
            handle
            for handle in handles
            if handle.endpoint.service_id == service_id
            and version in (None, handle.endpoint.version)
            and handle.endpoint.state is EndpointState.READY
            and handle.endpoint.endpoint_id not in avoid
            and not handle.health.is_ejected(now)
        ]

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

    def next_bid_id(self) -> str:
        """Return an id for a bid that no other bid in the fleet has."""
        self.bid_count += 1
        return f"{self.incarnation}/{self.bid_count}"

    def record_unreachable(self, handle: EndpointHandle, error: str) -> None:
        """Eject an endpoint that accepts no connection."""
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
