"""Merges the counters of all routers; the one writer of floors and lifts."""

from collections.abc import Iterable

from attrs import define, field

from pistachiolever.fairness.const import (
    BACKLOG_GRACE_SECONDS,
    EPSILON,
    INCARNATION_EXPIRY_SECONDS,
    TOMBSTONE_SECONDS,
)
from pistachiolever.wire.models import (
    AccountLift,
    AccountService,
    AccountTotal,
    ServiceFloor,
)


@define
class ServiceTotals:
    """The weighted service of every account at one service."""

    total_by_account: dict[str, float] = field(factory=dict)
    lift_by_account: dict[str, float] = field(factory=dict)
    backlog_seen_by_account: dict[str, float] = field(factory=dict)
    greatest: float = 0.0
    lowest_allowed: float = 0.0

    def virtual(self, account_id: str) -> float:
        """Return the account's weighted service with its lift."""
        total = self.total_by_account.get(account_id, 0.0)
        return total + self.lift_by_account.get(account_id, 0.0)

    def add(self, account_id: str, amount: float) -> None:
        """Count service that was newly published."""
        total = self.total_by_account.get(account_id, 0.0)
        self.total_by_account[account_id] = total + amount
        self.greatest = max(self.greatest, self.virtual(account_id))

    def see_backlog(self, account_id: str, now: float) -> None:
        """Note a backlog; raise the account to the floor if it is a new one."""
        seen = self.backlog_seen_by_account.get(account_id)
        if seen is None or now - seen > BACKLOG_GRACE_SECONDS:
            self._lift(account_id, now)
        self.backlog_seen_by_account[account_id] = now

    def adopt_lift(self, account_id: str, lift: float) -> None:
        """Take in a lift that a former writer made."""
        known = self.lift_by_account.get(account_id, 0.0)
        self.lift_by_account[account_id] = max(known, lift)
        self.greatest = max(self.greatest, self.virtual(account_id))

    def floor(self, now: float) -> float:
        """Return the least virtual of the backlogged; of an idle service, the most.

        It never falls: service taken while nobody waited is no debt.
        """
        self._forget_old_backlogs(now)
        waiting = [self.virtual(name) for name in self.backlog_seen_by_account]
        current = min(waiting) if waiting else self.greatest
        self.lowest_allowed = max(self.lowest_allowed, current)
        return self.lowest_allowed

    def _lift(self, account_id: str, now: float) -> None:
        """Raise an account that came back to the floor of those that wait."""
        self.backlog_seen_by_account.pop(account_id, None)
        missing = self.floor(now) - self.virtual(account_id)
        if missing > EPSILON:
            lift = self.lift_by_account.get(account_id, 0.0)
            self.lift_by_account[account_id] = lift + missing

    def _forget_old_backlogs(self, now: float) -> None:
        """Drop accounts that no router has reported as waiting for a while."""
        old = [
            name
            for name, seen in self.backlog_seen_by_account.items()
            if now - seen > BACKLOG_GRACE_SECONDS
        ]
        for name in old:
            del self.backlog_seen_by_account[name]


@define
class IncarnationRecord:
    """The counters of one router incarnation: by service, then by account."""

    last_seen: float
    served_by_service: dict[str, dict[str, float]] = field(factory=dict)
    expired: bool = False

    def served(self, service_id: str, account_id: str) -> float:
        """Return the greatest counter that the router published."""
        return self.served_by_service.get(service_id, {}).get(account_id, 0.0)

    def raise_to(self, service_id: str, account_id: str, served: float) -> float:
        """Raise a counter; return by how much it grew."""
        served_by_account = self.served_by_service.setdefault(service_id, {})
        before = served_by_account.get(account_id, 0.0)
        served_by_account[account_id] = max(before, served)
        return max(0.0, served - before)


@define
class FleetTotals:
    """The sum over all routers that were ever seen, and what follows from it."""

    record_by_incarnation: dict[str, IncarnationRecord] = field(factory=dict)
    totals_by_service: dict[str, ServiceTotals] = field(factory=dict)

    def service(self, service_id: str) -> ServiceTotals:
        """Return the totals of a service, made at its first use."""
        totals = self.totals_by_service.get(service_id)
        if totals is None:
            totals = ServiceTotals()
            self.totals_by_service[service_id] = totals
        return totals

    def is_known(self, incarnation: str) -> bool:
        """Tell whether the incarnation has published to this process."""
        return incarnation in self.record_by_incarnation

    def is_expired(self, incarnation: str) -> bool:
        """Tell whether the incarnation was closed and must be replaced."""
        record = self.record_by_incarnation.get(incarnation)
        return record is not None and record.expired

    def merge_counters(
        self, incarnation: str, accounts: Iterable[AccountService], now: float
    ) -> None:
        """Merge a router's counters; doubled or late ones do no harm."""
        record = self.record_by_incarnation.setdefault(
            incarnation, IncarnationRecord(now)
        )
        if record.expired:
            return
        record.last_seen = max(record.last_seen, now)
        for account in accounts:
            totals = self.service(account.service_id)
            grown = record.raise_to(
                account.service_id, account.account_id, account.served
            )
            totals.add(account.account_id, grown)
            if account.backlogged:
                totals.see_backlog(account.account_id, now)

    def restore_lifts(self, lifts: Iterable[AccountLift]) -> None:
        """Take in lifts that a former writer made."""
        for lift in lifts:
            self.service(lift.service_id).adopt_lift(lift.account_id, lift.lift)

    def expire(self, now: float) -> list[str]:
        """Close incarnations that fell silent; what they served stays counted."""
        closed = []
        for incarnation, record in list(self.record_by_incarnation.items()):
            silence = now - record.last_seen
            if not record.expired and silence > INCARNATION_EXPIRY_SECONDS:
                record.expired = True
                closed.append(incarnation)
            if record.expired and silence > TOMBSTONE_SECONDS:
                del self.record_by_incarnation[incarnation]
        return closed

    def closed_counters(self, incarnation: str) -> list[AccountService]:
        """Return the counters with which an expired incarnation was closed."""
        record = self.record_by_incarnation[incarnation]
        return [
            AccountService(service_id, account_id, served, False)
            for service_id, by_account in record.served_by_service.items()
            for account_id, served in by_account.items()
        ]

    def account_totals(
        self, incarnation: str, accounts: Iterable[AccountService]
    ) -> list[AccountTotal]:
        """Return the totals of the accounts that a router named."""
        record = self.record_by_incarnation[incarnation]
        totals = []
        for account in accounts:
            service = self.service(account.service_id)
            total = service.total_by_account.get(account.account_id, 0.0)
            own = record.served(account.service_id, account.account_id)
            lift = service.lift_by_account.get(account.account_id, 0.0)
            others = max(0.0, total - own)
            totals.append(
                AccountTotal(account.service_id, account.account_id, others, lift)
            )
        return totals

    def floors(self, service_ids: Iterable[str], now: float) -> list[ServiceFloor]:
        """Return the floor of each service."""
        return [
            ServiceFloor(service_id, self.service(service_id).floor(now))
            for service_id in sorted(set(service_ids))
        ]
