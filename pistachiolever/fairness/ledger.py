"""A router's view of the weighted service of each account, for one service."""

from attrs import define, field

from pistachiolever.wire.models import AccountLift, AccountService, AccountTotal


@define
class AccountCounter:
    """One account's counters, all in weighted cost units.

    `served` only grows and is what this router incarnation publishes; `others` and
    `lift` come from control; `pending` is the estimate of what is in flight.
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
class ServiceLedger:
    """Counters of the accounts that use one service through this router."""

    counter_by_account: dict[str, AccountCounter] = field(factory=dict)
    floor: float = 0.0

    def counter(self, account_id: str) -> AccountCounter:
        """Return the account's counter, made at its first use."""
        counter = self.counter_by_account.get(account_id)
        if counter is None:
            counter = AccountCounter()
            self.counter_by_account[account_id] = counter
        return counter

    def virtual(self, account_id: str) -> float:
        """Return the weighted service that orders the account among others.

        Until control has answered a heartbeat that showed the backlog, the floor
        stands in for the lift: it is never added, so it cannot be added twice.
        """
        counter = self.counter(account_id)
        virtual = counter.served + counter.others + counter.lift
        if not counter.lift_known:
            virtual = max(virtual, self.floor)
        return virtual + counter.pending

    def set_backlogged(self, account_id: str, backlogged: bool, now: float) -> None:
        """Note that the account's queue filled or emptied."""
        counter = self.counter(account_id)
        if counter.backlogged == backlogged:
            return
        counter.backlogged = backlogged
        counter.backlog_reported = False
        counter.lift_known = False
        if backlogged:
            counter.last_dispatch = now

    def dispatched(self, account_id: str, estimate: float, now: float) -> None:
        """Charge the estimate (weighted) of a request that was sent."""
        counter = self.counter(account_id)
        counter.pending += estimate
        counter.last_dispatch = now

    def settle(self, account_id: str, estimate: float) -> None:
        """Take back what is left of an estimate."""
        counter = self.counter(account_id)
        counter.pending = max(0.0, counter.pending - estimate)

    def serve(self, account_id: str, amount: float) -> None:
        """Charge measured service (weighted)."""
        self.counter(account_id).served += amount

    def report(self, service_id: str, full: bool) -> list[AccountService]:
        """Return the counters to publish: those that changed, or all."""
        changed = []
        for account_id, counter in self.counter_by_account.items():
            news = counter.served != counter.published or counter.backlogged
            if not news and not full:
                continue
            counter.published = counter.served
            counter.backlog_reported = counter.backlogged
            changed.append(
                AccountService(
                    service_id, account_id, counter.served, counter.backlogged
                )
            )
        return changed

    def lifts(self, service_id: str) -> list[AccountLift]:
        """Return the known lifts, for a control process that lost them."""
        return [
            AccountLift(service_id, account_id, counter.lift)
            for account_id, counter in self.counter_by_account.items()
            if counter.lift > 0
        ]

    def republish_all(self) -> None:
        """Forget what was published, after a heartbeat that may be lost."""
        for counter in self.counter_by_account.values():
            counter.published = -1.0

    def start_incarnation(self, closed: list[AccountService]) -> None:
        """Keep only the service that the closed incarnation had not published."""
        closed_by_account = {entry.account_id: entry.served for entry in closed}
        for account_id, counter in self.counter_by_account.items():
            counted = closed_by_account.get(account_id, 0.0)
            counter.served = max(0.0, counter.served - counted)
            counter.others += counted
            counter.published = -1.0

    def apply_total(self, total: AccountTotal) -> None:
        """Take in what control knows of an account.

        The lift only grows. It counts as known only when the backlog was reported
        in the heartbeat that this answers.
        """
        counter = self.counter(total.account_id)
        counter.others = total.others
        counter.lift = max(counter.lift, total.lift)
        counter.lift_known = counter.backlogged and counter.backlog_reported

    def apply_floor(self, floor: float) -> None:
        """Take in the floor of the service; it never falls."""
        self.floor = max(self.floor, floor)
