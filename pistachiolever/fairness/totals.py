"""Merges the counters of all routers and computes floors and lifts.

Only the leading control process computes floors and lifts; routers apply them.
`fairness/counters.py` explains these terms.
"""

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
    """The weighted service of every account at one service.

    `backlogged_at_by_account` holds the time at which a router last reported a
    backlog of the account.
    """

    total_by_account: dict[str, float] = field(factory=dict)
    lift_by_account: dict[str, float] = field(factory=dict)
    backlogged_at_by_account: dict[str, float] = field(factory=dict)
    max_virtual_counter: float = 0.0
    last_floor: float = 0.0

    def virtual_counter(self, account_id: str) -> float:
        """Return the account's weighted service plus its lift."""
        total = self.total_by_account.get(account_id, 0.0)
        return total + self.lift_by_account.get(account_id, 0.0)

    def add(self, account_id: str, amount: float) -> None:
        """Add newly published service."""
        total = self.total_by_account.get(account_id, 0.0)
        self.total_by_account[account_id] = total + amount
        self.max_virtual_counter = max(
            self.max_virtual_counter, self.virtual_counter(account_id)
        )

    def record_backlog(self, account_id: str, now: float) -> None:
        """Record a backlog; raise the account to the floor if the backlog is new."""
        seen = self.backlogged_at_by_account.get(account_id)
        if seen is None or now - seen > BACKLOG_GRACE_SECONDS:
            self._raise_to_floor(account_id, now)
        self.backlogged_at_by_account[account_id] = now

    def restore_lift(self, account_id: str, lift: float) -> None:
        """Restore a lift that an earlier leader computed."""
        known = self.lift_by_account.get(account_id, 0.0)
        self.lift_by_account[account_id] = max(known, lift)
        self.max_virtual_counter = max(
            self.max_virtual_counter, self.virtual_counter(account_id)
        )

    def floor(self, now: float) -> float:
        """Return the lowest virtual counter among the accounts with a backlog.

        Without any backlog it is the highest virtual counter seen. The floor never
        decreases: service used while no account had a backlog is not held against
        the account that used it.
        """
        self._expire_backlogs(now)
        backlogged = [
            self.virtual_counter(name) for name in self.backlogged_at_by_account
        ]
        current = min(backlogged) if backlogged else self.max_virtual_counter
        self.last_floor = max(self.last_floor, current)
        return self.last_floor

    def _raise_to_floor(self, account_id: str, now: float) -> None:
        """Raise an account with a new backlog to the floor."""
        self.backlogged_at_by_account.pop(account_id, None)
        deficit = self.floor(now) - self.virtual_counter(account_id)
        if deficit > EPSILON:
            lift = self.lift_by_account.get(account_id, 0.0)
            self.lift_by_account[account_id] = lift + deficit

    def _expire_backlogs(self, now: float) -> None:
        """Remove accounts whose backlog no router has reported recently."""
        expired = [
            name
            for name, seen in self.backlogged_at_by_account.items()
            if now - seen > BACKLOG_GRACE_SECONDS
        ]
        for name in expired:
            del self.backlogged_at_by_account[name]


@define
class IncarnationRecord:
    """The counters of one router incarnation, by service and account.

    `replaced` is true once a later incarnation of the same router has published.
    """

    last_seen: float
    router_id: str = ""
    served_by_service: dict[str, dict[str, float]] = field(factory=dict)
    expired: bool = False
    replaced: bool = False

    def served(self, service_id: str, account_id: str) -> float:
        """Return the highest counter value that the router published."""
        return self.served_by_service.get(service_id, {}).get(account_id, 0.0)

    def update_counter(self, service_id: str, account_id: str, served: float) -> float:
        """Raise a counter to a published value; return the increase."""
        served_by_account = self.served_by_service.setdefault(service_id, {})
        before = served_by_account.get(account_id, 0.0)
        served_by_account[account_id] = max(before, served)
        return max(0.0, served - before)


@define
class FleetTotals:
    """The merged counters of all router incarnations, including closed ones."""

    record_by_incarnation: dict[str, IncarnationRecord] = field(factory=dict)
    totals_by_service: dict[str, ServiceTotals] = field(factory=dict)

    def service_totals(self, service_id: str) -> ServiceTotals:
        """Return the totals of a service, creating them on first use."""
        totals = self.totals_by_service.get(service_id)
        if totals is None:
            totals = ServiceTotals()
            self.totals_by_service[service_id] = totals
        return totals

    def is_known(self, incarnation: str) -> bool:
        """Return whether the incarnation has published to this process."""
        return incarnation in self.record_by_incarnation

    def is_expired(self, incarnation: str) -> bool:
        """Return whether the incarnation was closed and must be replaced."""
        record = self.record_by_incarnation.get(incarnation)
        return record is not None and record.expired

    def merge_counters(
        self,
        router_id: str,
        incarnation: str,
        accounts: Iterable[AccountService],
        now: float,
    ) -> None:
        """Merge a router's counters; duplicate or outdated values have no effect."""
        record = self.record_by_incarnation.get(incarnation)
        if record is None:
            record = self._add_incarnation(router_id, incarnation, now)
        if record.expired:
            return
        record.last_seen = max(record.last_seen, now)
        for account in accounts:
            totals = self.service_totals(account.service_id)
            increase = record.update_counter(
                account.service_id, account.account_id, account.served
            )
            totals.add(account.account_id, increase)
            if account.backlogged:
                totals.record_backlog(account.account_id, now)

    def _add_incarnation(
        self, router_id: str, incarnation: str, now: float
    ) -> IncarnationRecord:
        """Add an incarnation, which replaces the earlier ones of its router."""
        for known in self.record_by_incarnation.values():
            if known.router_id == router_id:
                known.replaced = True
        record = IncarnationRecord(now, router_id)
        self.record_by_incarnation[incarnation] = record
        return record

    def restore_lifts(self, lifts: Iterable[AccountLift]) -> None:
        """Restore the lifts that an earlier leader computed."""
        for lift in lifts:
            self.service_totals(lift.service_id).restore_lift(
                lift.account_id, lift.lift
            )

    def expire(self, now: float) -> list[str]:
        """Close incarnations that stopped publishing; their service stays counted.

        A closed incarnation is remembered until its router has started a new one,
        however long that takes, because its counters would be counted again. After
        that late messages may still arrive for TOMBSTONE_SECONDS.
        """
        closed = []
        for incarnation, record in list(self.record_by_incarnation.items()):
            unseen_seconds = now - record.last_seen
            if not record.expired and unseen_seconds > INCARNATION_EXPIRY_SECONDS:
                record.expired = True
                closed.append(incarnation)
            if record.replaced and unseen_seconds > TOMBSTONE_SECONDS:
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
        """Return the totals of the accounts in a router's heartbeat."""
        record = self.record_by_incarnation[incarnation]
        totals = []
        for account in accounts:
            service = self.service_totals(account.service_id)
            total = service.total_by_account.get(account.account_id, 0.0)
            own_served = record.served(account.service_id, account.account_id)
            lift = service.lift_by_account.get(account.account_id, 0.0)
            others = max(0.0, total - own_served)
            totals.append(
                AccountTotal(account.service_id, account.account_id, others, lift)
            )
        return totals

    def floors(self, service_ids: Iterable[str], now: float) -> list[ServiceFloor]:
        """Return the floor of each service."""
        return [
            ServiceFloor(service_id, self.service_totals(service_id).floor(now))
            for service_id in sorted(set(service_ids))
        ]
