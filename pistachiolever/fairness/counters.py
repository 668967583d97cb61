"""Virtual counters of the accounts of one service, as one router sees them.

The virtual counter of an account is the service it has received, divided by its
weight, plus its lift. The account with the lowest virtual counter is served next.
The floor of a service is the lowest virtual counter among the accounts with a
backlog; it never decreases. The lift raises the counter of an account that was idle
to the floor, so that idle time earns no credit.
"""

from attrs import define, field

from pistachiolever.wire.models import AccountLift, AccountService, AccountTotal


@define
class AccountCounter:
    """One account's counters, in weighted cost units.

    `served` never decreases and is published by this router incarnation. `others`
    (the service received through other routers) and `lift` come from control.
    `pending` is the estimated cost of the in-flight requests. `published` is the
    value of `served` in the last heartbeat, or -1 if it must be sent again.
    """

    served: float = 0.0
    others: float = 0.0
    lift: float = 0.0
    pending: float = 0.0
    published: float = -1.0
    backlogged: bool = False
    backlog_reported: bool = False
    lift_known: bool = False
    last_dispatch: float = 0.0


@define
class ServiceCounters:
    """Counters of the accounts that use one service through this router."""

    counter_by_account: dict[str, AccountCounter] = field(factory=dict)
    floor: float = 0.0

    def counter(self, account_id: str) -> AccountCounter:
        """Return the account's counters, creating them on first use."""
        counter = self.counter_by_account.get(account_id)
        if counter is None:
            counter = AccountCounter()
            self.counter_by_account[account_id] = counter
        return counter

    def virtual_counter(self, account_id: str) -> float:
        """Return the value by which accounts are ordered.

        Until control has answered a heartbeat that reported the backlog, the floor
        is used as a lower limit instead of the lift. It is not added to the
        counter, so the lift is not counted twice.
        """
        counter = self.counter(account_id)
        virtual_counter = counter.served + counter.others + counter.lift
        if not counter.lift_known:
            virtual_counter = max(virtual_counter, self.floor)
        return virtual_counter + counter.pending

    def set_backlogged(self, account_id: str, backlogged: bool, now: float) -> None:
        """Record whether the account has queued requests."""
        counter = self.counter(account_id)
        if counter.backlogged == backlogged:
            return
        counter.backlogged = backlogged
        counter.backlog_reported = False
        counter.lift_known = False
        if backlogged:
            counter.last_dispatch = now

    def charge_estimate(self, account_id: str, estimate: float, now: float) -> None:
        """Charge the weighted cost estimate of a dispatched request."""
        counter = self.counter(account_id)
        counter.pending += estimate
        counter.last_dispatch = now

    def release_estimate(self, account_id: str, estimate: float) -> None:
        """Subtract all or part of an estimate that was charged at dispatch."""
        counter = self.counter(account_id)
        counter.pending = max(0.0, counter.pending - estimate)

    def charge_service(self, account_id: str, amount: float) -> None:
        """Charge measured, weighted service."""
        self.counter(account_id).served += amount

    def collect_updates(self, service_id: str, full: bool) -> list[AccountService]:
        """Return the counters to publish and mark them as published.

        Without `full`, only counters that changed and accounts with a backlog.
        """
        updates = []
        for account_id, counter in self.counter_by_account.items():
            has_update = counter.served != counter.published or counter.backlogged
            if not has_update and not full:
                continue
            counter.published = counter.served
            counter.backlog_reported = counter.backlogged
            updates.append(
                AccountService(
                    service_id, account_id, counter.served, counter.backlogged
                )
            )
        return updates

    def lifts(self, service_id: str) -> list[AccountLift]:
        """Return the known lifts, for a control process that has lost its state."""
        return [
            AccountLift(service_id, account_id, counter.lift)
            for account_id, counter in self.counter_by_account.items()
            if counter.lift > 0
        ]

    def republish_all(self) -> None:
        """Publish all counters again, since the last heartbeat may have been lost."""
        for counter in self.counter_by_account.values():
            counter.published = -1.0

    def start_incarnation(self, closed: list[AccountService]) -> None:
        """Keep only the service that control did not count for the old incarnation.

        `closed` holds the counters with which control closed that incarnation;
        this service is now part of the total of the other routers.
        """
        closed_by_account = {entry.account_id: entry.served for entry in closed}
        for account_id, counter in self.counter_by_account.items():
            counted = closed_by_account.get(account_id, 0.0)
            counter.served = max(0.0, counter.served - counted)
            counter.others += counted
            counter.published = -1.0

    def apply_total(self, total: AccountTotal) -> None:
        """Apply the totals that control sent for an account.

        The lift never decreases. It counts as known only if the answered heartbeat
        reported the backlog.
        """
        counter = self.counter(total.account_id)
        counter.others = total.others
        counter.lift = max(counter.lift, total.lift)
        counter.lift_known = counter.backlogged and counter.backlog_reported

    def apply_floor(self, floor: float) -> None:
        """Apply the floor that control sent; it never decreases."""
        self.floor = max(self.floor, floor)
