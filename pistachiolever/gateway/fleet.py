"""What a router believes of the fleet: the routes in force and the endpoints."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from anyio import create_task_group
from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.core.mailbox import Mailbox
from pistachiolever.discovery.directory import EndpointDirectory
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import ConnectionPool, PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.budget import RetryBudget
from pistachiolever.gateway.const import MOST_IDLE_CONNECTIONS
from pistachiolever.gateway.fair_shares import FairShares
from pistachiolever.gateway.gates import AgentGate, Gate, LocalGate, make_local_gate
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.placement import Candidate, Placement
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.metrics.instruments import Instruments
from pistachiolever.registry.const import ROUTER_TIMEOUT_SECONDS
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.routing.models import ProxyConfiguration
from pistachiolever.routing.table import RouteTable


class ConfigurationDecoder(Protocol):
    """Reads the document of a whole configuration."""

    def __call__(self, document: bytes) -> ProxyConfiguration:
        """Return the checked configuration; raise InvalidConfigurationError."""


@define(eq=False)
class EndpointHandle:
    """One life of an endpoint: how it is reached, judged and asked for room."""

    endpoint: Announcement
    gate: Gate
    local: LocalGate
    health: EndpointHealth = field(factory=EndpointHealth)
    bidding_tokens: float = 0.0

    def load(self) -> Load:
        """Return what stands before the endpoint."""
        return self.gate.load()


@define
class FleetView:
    """The configuration in force here and the endpoints that are known."""

    settings: GatewaySettings
    decode: ConfigurationDecoder
    caller: PeerClient
    events: EventLogger
    rng: Random
    now: Callable[[], float]
    instruments: Instruments = field(factory=Instruments)
    policy: PlacementPolicy = PlacementPolicy()
    table: RouteTable | None = None
    directory: EndpointDirectory = field(factory=EndpointDirectory)
    handle_by_id: dict[str, EndpointHandle] = field(factory=dict)
    pool: ConnectionPool = field(init=False)
    placement: Placement = field(init=False)
    budget: RetryBudget = field(init=False)
    shares: FairShares = field(factory=FairShares)
    new_gates: Mailbox[AgentGate | LocalGate] = field(factory=Mailbox)
    gone_addresses: Mailbox[str] = field(factory=Mailbox)
    router_counts: deque[tuple[float, int]] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Start with nothing known."""
        self.pool = ConnectionPool(max_idle=MOST_IDLE_CONNECTIONS)
        self.placement = Placement(self.settings.failure_domain, self.policy)
        self.budget = RetryBudget(
            self.settings.retry_ratio,
            self.settings.retry_window_seconds,
            self.settings.retry_slack,
        )

    async def run(self) -> None:
        """Run the gates' tasks and close connections to endpoints that are gone."""
        async with create_task_group() as group:
            group.start_soon(self._close_gone)
            while gates := await self.new_gates.get_all():
                for gate in gates:
                    if isinstance(gate, AgentGate):
                        group.start_soon(gate.run)
                    else:
                        group.start_soon(gate.desk.run)

    async def _close_gone(self) -> None:
        """Close idle connections to endpoints that have left."""
        while addresses := await self.gone_addresses.get_all():
            for address in addresses:
                await self.pool.close(address)

    # What the registry tells.

    def apply_configuration(self, version: int, document: str) -> None:
        """Put a newer configuration in force."""
        try:
            configuration = self.decode(document.encode())
        except InvalidConfigurationError as error:
            self.events.record(
                EventCode.CONFIGURATION_REFUSED, version=version, error=str(error)
            )
            return
        self.table = RouteTable(configuration)
        self.events.record(
            EventCode.CONFIGURATION_IN_FORCE,
            version=version,
            routes=len(configuration.routes),
        )

    def apply_announcements(self, news: list[Announcement]) -> None:
        """Take in what endpoints said."""
        now = self.now()
        for announcement in news:
            if self.directory.merge(announcement, now):
                self.events.record(
                    EventCode.ENDPOINT_CHANGED,
                    endpoint=announcement.endpoint_id,
                    state=announcement.state.value,
                    born=announcement.born_ms,
                    sequence=announcement.sequence,
                    address=announcement.address,
                    service=announcement.service_id,
                )
        self._follow_directory()

    def update_router_count(self, count: int) -> None:
        """Take in how many routers one member sees; the most seen lately counts."""
        now = self.now()
        self.router_counts.append((now, count))
        while self.router_counts[0][0] < now - ROUTER_TIMEOUT_SECONDS:
            self.router_counts.popleft()
        self.budget.routers = max(1, max(n for _, n in self.router_counts))

    def _follow_directory(self) -> None:
        """Keep a handle for each living endpoint."""
        living = {news.endpoint_id: news for news in self.directory.active()}
        for endpoint_id, handle in list(self.handle_by_id.items()):
            news = living.get(endpoint_id)
            if news is None or news.born_ms != handle.endpoint.born_ms:
                del self.handle_by_id[endpoint_id]
                self.gone_addresses.put(handle.endpoint.address)
        for endpoint_id, news in living.items():
            known = self.handle_by_id.get(endpoint_id)
            if known is None:
                self.handle_by_id[endpoint_id] = self._make_handle(news)
            else:
                known.endpoint = news

    def _make_handle(self, news: Announcement) -> EndpointHandle:
        """Return a handle for an endpoint that is new here."""
        local = make_local_gate(self.rng, self.now, lambda: self._share(news))
        self.new_gates.put(local)
        if not news.agent:
            return EndpointHandle(news, local, local)
        gate = AgentGate(
            self.settings.node_id,
            news.agent,
            self.caller,
            local,
            self.events,
            self.now,
            lambda uses: self.shares.hear(news.endpoint_id, uses, self.now()),
        )
        self.new_gates.put(gate)
        return EndpointHandle(news, gate, local)

    def _share(self, news: Announcement) -> float:
        """Return this router's share of an endpoint that no agent stands beside.

        Plain endpoints refuse what they can't take, so a router need not hold back.
        """
        return 1.0 / max(1, self.budget.routers) if news.agent else 1.0

    # What requests ask.

    def candidates(self, service_id: str, avoid: set[str]) -> list[Candidate]:
        """Return the endpoints that may take a request now."""
        now = self.now()
        return [
            Candidate(
                handle.endpoint,
                handle.load(),
                handle.health,
                handle.bidding_tokens,
            )
            for handle in self.handle_by_id.values()
            if handle.endpoint.service_id == service_id
            and handle.endpoint.state is EndpointState.READY
            and handle.endpoint.endpoint_id not in avoid
            and not handle.health.is_ejected(now)
        ]

    def share(self) -> float | None:
        """Return what an account may have got lately at all endpoints."""
        if self.table is None:
            return None
        tokens_per_second = self.table.configuration.tokens_per_second
        return self.shares.share(tokens_per_second, self.now())

    def note_unreached(self, handle: EndpointHandle, error: str) -> None:
        """Leave an endpoint alone that takes no connection."""
        handle.health.see_unreached(self.now())
        self.events.record(
            EventCode.ENDPOINT_EJECTED,
            endpoint=handle.endpoint.endpoint_id,
            error=error,
            seconds=round(handle.health.ejected_until - self.now(), 2),
        )
