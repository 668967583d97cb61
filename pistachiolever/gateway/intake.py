"""Limits the concurrent requests of a router to what it has processor time for."""

from collections import Counter
from collections.abc import Mapping

from attrs import define, field

from pistachiolever.forwarding.const import (
    FORWARD_COST,
    FORWARD_DELAY_SECONDS,
    FORWARD_FROM,
    FORWARDED_SHARE,
    LATE_SAMPLES,
    MAX_FORWARDED,
    MIN_OWN_REQUESTS,
)
from pistachiolever.gateway.const import (
    INTAKE_DECREASE,
    INTAKE_DELAY_SECONDS,
    INTAKE_INCREASE,
    INTAKE_NEAR,
    INTAKE_RECOVERY,
    MAX_INTAKE,
    MIN_INTAKE,
    MIN_INTAKE_DECREASE,
)


@define
class IntakeLimit:
    """Follows the delay of the event loop with a limit of concurrent requests.

    Work that a router can't finish in time costs it the time for what it could finish,
    so siblings serve a part of it, and the rest is refused at once. The limit falls
    in proportion to the delay and rises slowly. Accounts with less than their max-min
    share of it are taken beyond it, so that one account can't displace the others.
    The others can't add more than the limit to what that one has.
    `expected_by_account` are new connections that were let in since the last sample and
    whose requests have not begun yet. `forwarded` are connections that siblings serve;
    each counts as FORWARD_COST requests. `late_samples` is above zero for some samples
    after a delay that is worth forwarding.
    """

    limit: float = MAX_INTAKE
    count_by_account: Counter[str] = field(factory=Counter)
    total: int = 0
    expected_by_account: Counter[str] = field(factory=Counter)
    last_delay: float = 0.0
    forwarded: int = 0
    late_samples: int = 0

    def is_near(self) -> bool:
        """Return whether some requests may be refused or forwarded now."""
        return self._taken() >= INTAKE_NEAR * self.limit or self._is_pressed()

    def _is_pressed(self) -> bool:
        """Return whether siblings should serve what comes.

        That is so before the limit falls, once the event loop is late.
        """
        own = self.total + self.expected_by_account.total()
        if not self.late_samples and self._taken() < INTAKE_NEAR * self.limit:
            return False
        return own >= min(MIN_OWN_REQUESTS, FORWARD_FROM * self.limit)

    def work(self) -> float:
        """Return the requests that are taken, and their part for those forwarded."""
        return self.total + FORWARD_COST * self.forwarded

    def _taken(self) -> float:
        """Return what is taken or expected."""
        return self.work() + self.expected_by_account.total()

    def may_forward(self) -> bool:
        """Return whether to forward a connection rather than to take its request.

        A part of the limit is left for it, whatever was taken before the limit fell.
        """
        if not self._is_pressed() or self.forwarded >= MAX_FORWARDED:
            return False
        own = self.total + self.expected_by_account.total()
        room = max(self.limit - own, (1.0 - FORWARD_FROM) * self.limit)
        return FORWARD_COST * (self.forwarded + 1) <= room

    def expect(self, account_id: str) -> bool:
        """Return whether a new connection of an account is let in."""
        is_admitted = self._taken() < self.limit or self._is_below_share(
            account_id, self.count_by_account + self.expected_by_account
        )
        if is_admitted:
            self.expected_by_account[account_id] += 1
        return is_admitted

    def expect_forwarded(self, account_id: str) -> bool:
        """Return whether a connection that a sibling forwards is let in.

        The own callers keep a part of the limit, and must not be late by it: they have
        no other router.
        """
        if self.late_samples or self._taken() >= FORWARDED_SHARE * self.limit:
            return False
        self.expected_by_account[account_id] += 1
        return True

    def admits(self, account_id: str) -> bool:
        """Return whether a new request of an account is taken."""
        return self.work() < self.limit or self._is_below_share(
            account_id, self.count_by_account
        )

    def _is_below_share(self, account_id: str, counts: Mapping[str, int]) -> bool:
        """Return whether an account has less than its max-min share of the limit."""
        count = counts.get(account_id, 0) + 1
        # Accounts with fewer requests leave the rest of their part to the others.
        return sum(min(other, count) for other in counts.values()) < self.limit

    def begin(self, account_id: str) -> None:
        """Count a request that is taken."""
        self.total += 1
        self.count_by_account[account_id] += 1
        if self.expected_by_account[account_id]:
            self.expected_by_account[account_id] -= 1

    def end(self, account_id: str) -> None:
        """Count the end of a request that was taken."""
        self.total -= 1
        self.count_by_account[account_id] -= 1
        if not self.count_by_account[account_id]:
            del self.count_by_account[account_id]

    def observe(self, delay: float) -> None:
        """Adjust the limit to a sample of the delay, in seconds.

        A single long step is no lack of processor time.
        """
        self.expected_by_account.clear()
        lasting, self.last_delay = min(delay, self.last_delay), delay
        self.late_samples = max(0, self.late_samples - 1)
        if lasting >= FORWARD_DELAY_SECONDS:
            self.late_samples = LATE_SAMPLES
        if lasting > INTAKE_DELAY_SECONDS:
            factor = max(INTAKE_DECREASE, INTAKE_DELAY_SECONDS / lasting)
            # The delay lasts until some of the taken requests have ended.
            lowered = self.work() * min(factor, MIN_INTAKE_DECREASE)
            self.limit = max(MIN_INTAKE, min(self.limit, lowered))
        elif lasting < INTAKE_DELAY_SECONDS / 2:
            is_used = self.work() >= INTAKE_RECOVERY * self.limit
            raised = self.limit * (1 + INTAKE_INCREASE) + is_used
            self.limit = min(MAX_INTAKE, raised)
