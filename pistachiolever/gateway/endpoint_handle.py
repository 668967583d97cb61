"""A router's handle of one incarnation of an endpoint."""

from collections.abc import Callable
from math import exp

from anyio import CancelScope
from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.admission.rate_limit import RateNotice
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.admission_clients import AdmissionClient
from pistachiolever.gateway.const import OTHERS_DECAY_SECONDS
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.placement import Candidate
from pistachiolever.slowdown.filter import SlowdownFilter


@define(eq=False)
class EndpointHandle:
    """One incarnation of an endpoint: its announcement, admission client and health.

    The admission client is made when it is first used. `bidding_tokens` are the prompt
    tokens of this router's undecided bids for it; cancelling `bid_scopes` withdraws
    these bids. `told_load` is the load that the registry told last, `rate_notice` the
    request rate that the endpoint named. `suspected_at` is the last time at which this
    router had a reason to suppose that the endpoint may have become cold. `slowdown`
    filters what the endpoint reports, `others` are the requests of other routers that a
    plain endpoint told of at `others_at`.
    """

    endpoint: Announcement
    make_admission: Callable[[Announcement], AdmissionClient]
    health: EndpointHealth = field(factory=EndpointHealth)
    bidding_tokens: float = 0.0
    bid_scopes: set[CancelScope] = field(factory=set)
    told_load: Load = Load()
    told_at: float = float("-inf")
    rate_notice: RateNotice = field(factory=RateNotice)
    suspected_at: float = float("-inf")
    slowdown: SlowdownFilter = field(factory=SlowdownFilter)
    others: float = 0.0
    others_at: float = float("-inf")
    _admission: AdmissionClient | None = None

    @property
    def admission(self) -> AdmissionClient:
        """Return the client that obtains grants."""
        if self._admission is None:
            self._admission = self.make_admission(self.endpoint)
            self._admission.update_load(self.told_load, self.told_at)
        return self._admission

    def withdraw_bids(self) -> None:
        """Withdraw undecided bids, so that their requests are placed anew."""
        for scope in list(self.bid_scopes):
            scope.cancel()

    def close(self) -> None:
        """End the tasks of an endpoint that is gone; its bids are placed anew."""
        self.withdraw_bids()
        if self._admission is not None:
            self._admission.close()

    def load(self) -> Load:
        """Return the last known load of the endpoint."""
        return self._admission.load() if self._admission else self.told_load

    def candidate(self, now: float) -> Candidate:
        """Return what placement needs to know of the endpoint."""
        age = max(0.0, now - self.others_at)
        return Candidate(
            self.endpoint,
            self.load(),
            self.health,
            self.bidding_tokens,
            self.slowdown,
            self.others * exp(-age / OTHERS_DECAY_SECONDS),
        )

    def is_full(self) -> bool:
        """Return whether all slots are known to be in use."""
        load = self.load()
        return load.running + load.waiting >= load.slots > 0

    def is_without_agent(self) -> bool:
        """Return whether this router decides itself what the endpoint gets."""
        return self._admission is not None and self._admission.is_local()

    def update_load(self, load: Load, measured_at: float) -> None:
        """Apply a load that the agent measured."""
        self._observe_slowdown(load, measured_at)
        if measured_at > self.told_at:
            self.told_load, self.told_at = load, measured_at
        if self._admission is not None:
            self._admission.update_load(load, measured_at)

    def record_seen_load(self, load: Load, measured_at: float) -> None:
        """Apply what the endpoint told of its load in a response."""
        self._observe_slowdown(load, measured_at)
        own = self.load().running
        self.others = max(0, load.running + load.waiting - own)
        self.others_at = measured_at
        if self._admission is not None:
            self._admission.record_seen_load(load, measured_at)

    def _observe_slowdown(self, load: Load, measured_at: float) -> None:
        """Apply the slowdown of a load, if it tells any."""
        if load.tells_slowdown:
            self.slowdown.observe(load.slowdown, measured_at)
