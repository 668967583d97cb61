"""Decides what it costs a request to leave the failure domain of its router."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from attrs import define, evolve, field

from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.spillover.const import (
    BYTES_PER_MEGABYTE,
    ESTIMATE_SECONDS,
    REMOTE_DOMAIN_PENALTY_SECONDS,
)
from pistachiolever.spillover.damping import Allowance, DampedShortage
from pistachiolever.spillover.estimate import DomainEstimator, DomainKey
from pistachiolever.spillover.models import (
    DomainEstimate,
    KnownLoad,
    LeavingRequest,
    Option,
    Price,
    Reason,
    ShortageChange,
)
from pistachiolever.usage.models import MeasuredLoad


class ShortageListener(Protocol):
    """Learns when domains begin or stop being short."""

    def record_shortage(self, change: ShortageChange) -> None:
        """Handle a change."""


class IgnoredShortages:
    """Ignores all changes."""

    def record_shortage(self, change: ShortageChange) -> None:
        """Ignore a change."""


@define
class Spillover:
    """Prices of leaving the domain, from the loads that a router hears of."""

    settings: GatewaySettings
    rng: Random
    router_count: Callable[[], int] = lambda: 1
    listener: ShortageListener = field(factory=IgnoredShortages)
    estimator: DomainEstimator = field(init=False)
    estimate_by_key: dict[DomainKey, DomainEstimate] = field(factory=dict)
    shortage_by_key: dict[DomainKey, DampedShortage] = field(factory=dict)
    allowance_by_key: dict[DomainKey, Allowance] = field(factory=dict)
    estimated_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Start without loads."""
        self.estimator = DomainEstimator(self.settings.spillover_short_wait_seconds)

    def record_load(self, endpoint: Announcement, measured: MeasuredLoad) -> None:
        """Record the load of an endpoint, if spillover is enabled."""
        if not self.settings.spillover_enabled:
            return
        known = KnownLoad(
            endpoint.service_id, endpoint.failure_domain, measured.load, measured.at
        )
        self.estimator.record(endpoint.endpoint_id, known)

    def prices(
        self, request: LeavingRequest, options: list[Option], now: float
    ) -> list[Price]:
        """Return the price of each option; nothing for those in the own domain."""
        self._update(now)
        own_work = [
            option.work_seconds for option in options if self._is_own(option.domain)
        ]
        freed_seconds = min(own_work, default=0.0)
        return [
            Price()
            if self._is_own(option.domain)
            else self._price(request, option, freed_seconds, now)
            for option in options
        ]

    def record_departure(
        self, service_id: str, option: Option, price: Price, now: float
    ) -> None:
        """Count a request that leaves at a price that depends on spare capacity."""
        if price.reason is Reason.SHORT:
            self._allowance((service_id, option.domain)).use(self._size(option), now)

    def expected_seconds(self, option: Option) -> float:
        """Return the expected time from a bid to the first chunk."""
        latency = self.settings.spillover_latency_seconds
        remote = 0.0 if self._is_own(option.domain) else latency
        return option.wait_seconds + option.work_seconds + remote

    def _is_own(self, domain: str) -> bool:
        """Return whether a domain is this router's."""
        return domain == self.settings.failure_domain

    def _price(
        self,
        request: LeavingRequest,
        option: Option,
        freed_seconds: float,
        now: float,
    ) -> Price:
        """Return the price of leaving for an endpoint in another domain.

        The bytes moved and what the request takes from that domain raise it. What it
        leaves to the own domain lowers it, but not below the latency, and only within
        this router's part of the spare capacity.
        """
        constant = REMOTE_DOMAIN_PENALTY_SECONDS
        own_key = (request.service_id, self.settings.failure_domain)
        key = (request.service_id, option.domain)
        if own_key not in self.estimate_by_key or key not in self.estimate_by_key:
            return Price(constant, Reason.UNKNOWN)
        need = self.shortage_by_key[own_key].level
        taken = self.shortage_by_key[key].level
        if not need and not taken:
            return Price(constant, Reason.CALM)
        reason = self._reason(request, option, key, now)
        is_held = reason in (Reason.USED, Reason.LATE)
        weight = max(need, taken)
        megabytes = request.moved_bytes / BYTES_PER_MEGABYTE
        price = constant
        price += weight * megabytes * self.settings.spillover_seconds_per_megabyte
        price += taken * option.work_seconds
        if not is_held:
            price -= need * freed_seconds
        lowest = min(constant, self.settings.spillover_latency_seconds)
        floor = constant - need * (1.0 - taken) * (constant - lowest)
        return Price(max(floor, price), reason)

    def _reason(
        self, request: LeavingRequest, option: Option, key: DomainKey, now: float
    ) -> Reason:
        """Return why a request pays more or less while a domain lacks room."""
        own_key = (request.service_id, self.settings.failure_domain)
        if self.shortage_by_key[own_key].level <= self.shortage_by_key[key].level:
            return Reason.BUSY
        if self.expected_seconds(option) > request.target_seconds:
            return Reason.LATE
        spare = self.estimate_by_key[key].spare
        allowance = self._allowance(key)
        if allowance.allows(self._size(option), spare, self.router_count(), now):
            return Reason.SHORT
        return Reason.USED

    def _size(self, option: Option) -> float:
        """Return the part of an endpoint that a request occupies.

        That is as if all requests of a period came at once: with what an endpoint works
        off in it, routers that see old loads sent so much that callers were late.
        """
        by_work = option.work_seconds / self.settings.spillover_short_wait_seconds
        return max(1.0 / max(1, option.slots), by_work)

    def _allowance(self, key: DomainKey) -> Allowance:
        """Return this router's part of a domain's spare capacity."""
        return self.allowance_by_key.setdefault(key, Allowance(self.rng))

    def _update(self, now: float) -> None:
        """Estimate again if the last estimates are old."""
        if now - self.estimated_at < ESTIMATE_SECONDS:
            return
        self.estimated_at = now
        self.estimate_by_key = self.estimator.estimate(now)
        for key in self.shortage_by_key.keys() - self.estimate_by_key.keys():
            self._forget(key)
        for key, estimate in self.estimate_by_key.items():
            shortage = self.shortage_by_key.setdefault(
                key, DampedShortage(changed_at=now)
            )
            if shortage.follow(estimate.pressure, now):
                self._report(key, shortage.is_short, estimate)

    def _forget(self, key: DomainKey) -> None:
        """Start anew once a domain is heard of again, with the constant price."""
        self.allowance_by_key.pop(key, None)
        if self.shortage_by_key.pop(key).is_short:
            self._report(key, False, DomainEstimate(0.0, 0.0, 0, 0.0))

    def _report(self, key: DomainKey, is_short: bool, estimate: DomainEstimate) -> None:
        """Report that a domain begins or stops being short."""
        rounded = evolve(
            estimate,
            pressure=round(estimate.pressure, 3),
            spare=round(estimate.spare, 3),
            age_seconds=round(estimate.age_seconds, 3),
        )
        self.listener.record_shortage(ShortageChange(*key, is_short, rounded))
