"""Limits what an engine gets while it is or may be cold, without I/O.

Well above the rate that a service names for it, a cold engine crashes. Bids carry what
the configuration says of that, since agents know no configuration.
"""

from enum import Enum
from math import inf
from random import Random

from attrs import define, field, frozen

from pistachiolever.admission.const import (
    COLD_ANSWER_SECONDS,
    COLD_IDLE_SECONDS,
    COLD_NAMED_SECONDS,
    COLD_SAVED_REQUESTS,
    COLD_SAVED_SECONDS,
    MIN_COLD_CHECK_SECONDS,
)
from pistachiolever.discovery.check import MAX_COLD_SECONDS


@frozen
class ColdService:
    """What a bid tells of a service whose engines start cold.

    `requests_per_second` is the rate of a cold engine, `burst` the requests that it may
    get at once, `start_seconds` how long it is cold after its start. The rest of what
    the engine announced is `announced_seconds`; the router heard that `announced_age`
    seconds ago. `suspected_age` is the time since the router had a reason to suppose
    that the engine is cold; None without one. All routers to which the agent does not
    respond share `agentless_per_second`, since it may still grant to others.
    """

    health_path: str
    requests_per_second: float
    start_seconds: float
    burst: float
    announced_seconds: float = 0.0
    announced_age: float = 0.0
    suspected_age: float | None = None
    agentless_per_second: float = 0.0


class Warmth(Enum):
    """What is known of an engine; an `UNKNOWN` one counts as cold."""

    WARM = "warm"
    COLD = "cold"
    UNKNOWN = "unknown"


@define
class ColdBucket:
    """A token bucket for the part of the rate that this process may grant.

    If that part of a burst is less than a request, a request may be granted at moments
    in equal intervals, or a little later. The first one is random: many processes that
    save their parts would otherwise use them at the same time.
    """

    rng: Random
    credit: float = 0.0
    refilled_at: float | None = None

    def refill(self, service: ColdService, fraction: float, now: float) -> None:
        """Add the credit since the last call."""
        rate, burst = service.requests_per_second * fraction, service.burst * fraction
        if self.refilled_at is None:
            self.refilled_at = now
            # Another process may just have granted what is saved at the most.
            self.credit = self.rng.random() if burst < 1.0 else 0.0
        self.credit += max(0.0, now - self.refilled_at) * rate
        self.refilled_at = now
        if burst >= 1.0:
            self.credit = min(burst, self.credit)
            return
        saved = max(COLD_SAVED_REQUESTS * fraction, COLD_SAVED_SECONDS * rate)
        if self.credit >= 1.0 + saved:
            phase = self.credit % 1.0
            self.credit = phase + (phase < saved)

    def consume(self, service: ColdService, fraction: float, is_limited: bool) -> None:
        """Take a granted request from the credit.

        What was granted before an engine proves to be cold counts for one second.
        """
        if service.burst * fraction < 1.0 and not is_limited:
            # Processes would otherwise go on at the same moment.
            return
        floor = -service.requests_per_second * fraction
        self.credit = max(floor, self.credit - 1.0)


@define
class ColdStart:
    """Whether an engine is cold, and how many requests it may get then.

    A process beside the engine `can_ask` it. The others follow what the engine
    announces, and suppose for the time of a start that it is cold after it could not be
    reached.
    `known_at` is the time of the newest news, `busy_at` the last time at which the
    engine ran a request. `question` numbers the questions; an answer to an earlier one
    does not count.
    """

    rng: Random
    can_ask: bool = False
    fraction: float = 1.0
    service: ColdService | None = None
    named_at: float = -inf
    warmth: Warmth = Warmth.UNKNOWN
    cold_until: float = -inf
    suspected_at: float = -inf
    known_at: float = -inf
    busy_at: float = -inf
    question: int = 0
    is_asking: bool = False
    bucket: ColdBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without credit."""
        self.bucket = ColdBucket(self.rng)

    # Events.

    def observe_bid(
        self, service: ColdService | None, is_busy: bool, now: float
    ) -> None:
        """Apply what a bid tells; `is_busy` is true if the engine runs requests.

        Bids of routers with an earlier configuration tell nothing.
        """
        if service is not None:
            self.service, self.named_at = service, now
            self._observe_router(service, now)
        if is_busy:
            self.busy_at = now
        elif self.can_ask and now - self.busy_at > COLD_IDLE_SECONDS:
            if self.warmth is Warmth.WARM:
                self.warmth = Warmth.UNKNOWN
            # Until the next run one answer is enough.
            self.busy_at = now

    def _observe_router(self, service: ColdService, now: float) -> None:
        """Apply what a router has heard or supposes."""
        heard_at = now - service.announced_age
        if service.announced_seconds > 0 and heard_at > self.known_at:
            self._set(Warmth.COLD, heard_at)
            self.cold_until = now + service.announced_seconds
        if service.suspected_age is not None and not self.can_ask:
            self.suspected_at = max(self.suspected_at, now - service.suspected_age)

    def handle_run(self, now: float) -> None:
        """Record that the engine runs a request, or ran one until now."""
        self.busy_at = max(self.busy_at, now)

    def handle_doubt(self, now: float) -> None:
        """Forget what is known: the engine has restarted or did not respond."""
        self._set(Warmth.UNKNOWN, now)
        self.is_asking = False

    def next_question(self, now: float) -> int | None:
        """Return the number of a question to ask the engine; None if none is due."""
        if not self.can_ask or self.is_asking or not self._awaits_answer(now):
            return None
        self.is_asking = True
        self.question += 1
        return self.question

    def handle_answer(self, question: int, seconds: float | None, now: float) -> None:
        """Apply for how long the engine stays cold; None if it did not tell."""
        if not self.is_asking or question != self.question:
            return
        self.is_asking = False
        if seconds is None:
            start_seconds = self.service.start_seconds if self.service else 0.0
            seconds = max(MIN_COLD_CHECK_SECONDS, start_seconds)
        self._set(Warmth.COLD if seconds > 0 else Warmth.WARM, now)
        self.cold_until = now + min(MAX_COLD_SECONDS, seconds)

    def _set(self, warmth: Warmth, now: float) -> None:
        """Apply news of a time."""
        self.warmth, self.known_at = warmth, now

    # Decisions.

    def is_limited(self, now: float) -> bool:
        """Return whether the engine is or may be cold."""
        if self.service is None or now - self.named_at > COLD_NAMED_SECONDS:
            return False
        if self.can_ask:
            return self.warmth is not Warmth.WARM
        supposed_until = self.suspected_at + self.service.start_seconds
        return now < max(self.cold_until, supposed_until)

    def _awaits_answer(self, now: float) -> bool:
        """Return whether only the engine can tell if it is cold."""
        if not self.can_ask or not self.is_limited(now):
            return False
        return self.warmth is Warmth.UNKNOWN or now >= self.cold_until

    def refill(self, now: float) -> None:
        """Add the credit since the last call."""
        if self.service is not None:
            self.bucket.refill(self.service, self.fraction, now)

    def allows(self, now: float) -> bool:
        """Return whether a request may be granted now."""
        return not self.is_limited(now) or self.bucket.credit >= 1.0

    def consume(self, now: float) -> None:
        """Take a granted request from the credit."""
        self.handle_run(now)
        if self.service is not None:
            limited = self.is_limited(now)
            self.bucket.consume(self.service, self.fraction, limited)

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Return the time until a request may be granted, after those `ahead` of it.

        It is short while an answer of the engine is due, which is usually warm.
        """
        if self.service is None or not self.is_limited(now):
            return 0.0
        missing = max(0.0, ahead + 1.0 - self.bucket.credit)
        seconds = missing / (self.service.requests_per_second * self.fraction)
        if self._awaits_answer(now):
            return min(seconds, COLD_ANSWER_SECONDS)
        return seconds
