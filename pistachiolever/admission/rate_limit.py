"""The request rate that an endpoint accepts from all routers, without I/O.

An endpoint names its limit in responses. Routers remember it and repeat it in their
bids, so that whoever grants requests keeps to it, also after a restart.
"""

from math import inf
from random import Random

from attrs import define, field, frozen

from pistachiolever.admission.const import (
    IDLE_RATE_SECONDS,
    MIN_REQUESTS_PER_SECOND,
    RATE_BURST_SECONDS,
)


def parse_rate(text: str | None) -> float | None:
    """Return the requests a second that an endpoint named, None if it named no limit.

    Raise ValueError if that is not a finite number of at least 0.
    """
    if text is None:
        return None
    rate = float(text)
    if not 0 <= rate < inf:
        raise ValueError(f"not a rate: {text}")
    return rate


@frozen
class NamedRate:
    """A rate in a message: requests a second, None for no limit, and its age."""

    requests_per_second: float | None
    age_seconds: float


@define
class RateNotice:
    """What an endpoint named last; times are of this process's clock.

    `requests_per_second` is None without a limit, `named_at` is -inf if the endpoint
    has never named one.
    """

    requests_per_second: float | None = None
    named_at: float = -inf

    def observe(self, rate: float | None, sent_at: float, now: float) -> bool:
        """Apply a response to a request sent at a time; return whether that is news.

        Responses overtake each other, so one without a limit lifts it only if its
        request was sent after the endpoint had named the limit.
        """
        if rate is None and self.named_at == -inf:
            return False
        return self.merge(rate, sent_at if rate is None else now)

    def merge(self, rate: float | None, named_at: float) -> bool:
        """Apply what was named at a time; return whether that changes the rate."""
        if named_at <= self.named_at:
            return False
        self.named_at = named_at
        if rate == self.requests_per_second:
            return False
        self.requests_per_second = rate
        return True

    def pack(self, now: float) -> NamedRate | None:
        """Return the message; None if no limit was ever named."""
        if self.named_at == -inf:
            return None
        return NamedRate(self.requests_per_second, max(0.0, now - self.named_at))


@define
class RateLimit:
    """A token bucket for the part of a rate that this process may grant.

    `fraction` is that part. The first credit is random, so that the processes that
    share a rate do not grant requests at the same moment.
    """

    rng: Random
    fraction: float = 1.0
    notice: RateNotice = field(factory=RateNotice)
    credit: float = 0.0
    refilled_at: float = -inf
    demanded_at: float = -inf

    def update(self, named: NamedRate | None, now: float) -> None:
        """Apply the rate of a bid, if it is newer than the known one."""
        if named is None:
            return
        was_limited = self.is_limited()
        self.notice.merge(named.requests_per_second, now - named.age_seconds)
        self._start_bucket(was_limited, now)

    def observe(self, rate: float | None, sent_at: float, now: float) -> bool:
        """Apply a response to a request sent at a time; return whether that is news."""
        was_limited = self.is_limited()
        is_news = self.notice.observe(rate, sent_at, now)
        self._start_bucket(was_limited, now)
        return is_news

    def _start_bucket(self, was_limited: bool, now: float) -> None:
        """Start with a part of a request if a limit is new."""
        if self.is_limited() and not was_limited:
            self.credit = self.rng.random()
            self.refilled_at = self.demanded_at = now

    def reset(self, now: float) -> None:
        """Lift the limit that was named before: the endpoint has restarted."""
        self.notice.merge(None, now)

    def is_limited(self) -> bool:
        """Return whether the endpoint has named a limit."""
        return self.notice.requests_per_second is not None

    def record_demand(self, now: float) -> None:
        """Record that a request comes or waits.

        After a pause, less than a whole request of credit is made either a whole one,
        with that probability, or none on average: processes that have saved the same
        part would otherwise all have to wait, and then grant at the same moment.
        """
        if not self.is_limited():
            return
        self.refill(now)
        if self._is_idle(now) and self.credit < 1.0:
            is_granted = self.rng.random() < self.credit
            self.credit = 1.0 if is_granted else self.rng.random() - 0.5
        self.demanded_at = now

    def refill(self, now: float) -> None:
        """Add the credit since the last call.

        Without demand a process saves no more than its part of a burst, however small:
        many processes may save credit.
        """
        if not self.is_limited():
            return
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        maximum = max(1.0, self._rate() * RATE_BURST_SECONDS) * self.fraction
        if not self._is_idle(now):
            maximum = max(1.0, maximum)
        credit = self.credit + elapsed * self._rate() * self.fraction
        self.credit = min(maximum, credit)

    def allows(self) -> bool:
        """Return whether a request may be granted now."""
        return not self.is_limited() or self.credit >= 1.0

    def consume(self) -> None:
        """Take a granted request from the credit."""
        if self.is_limited():
            self.credit -= 1.0

    def wait_seconds(self, ahead: int) -> float:
        """Return the time until a request may be granted, after those `ahead` of it."""
        if not self.is_limited():
            return 0.0
        missing = max(0.0, ahead + 1.0 - self.credit)
        return missing / (self._rate() * self.fraction)

    def _is_idle(self, now: float) -> bool:
        """Return whether no request has come for some time."""
        return now - self.demanded_at > IDLE_RATE_SECONDS

    def _rate(self) -> float:
        """Return the rate, no less than the minimum."""
        return max(MIN_REQUESTS_PER_SECOND, self.notice.requests_per_second or 0.0)
