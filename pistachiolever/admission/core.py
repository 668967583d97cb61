"""Decides which queued request an endpoint gets next, and which ones are refused.

Engines admit requests in order of arrival and preempt the newest one when their
memory is full. Requests therefore queue here, where the order can follow the
accounts' fair shares, and the engine gets only as many as keep it busy.
"""

from random import Random

from attrs import define, field

from pistachiolever.admission.cache import PrefixCache, keyed_parts
from pistachiolever.admission.cold_start import ColdStart
from pistachiolever.admission.const import (
    FIRST_CHUNK_SECONDS,
    INITIAL_PREFILL_TOKENS_PER_SECOND,
    INITIAL_RUN_SECONDS,
    MAX_QUEUED_REQUESTS,
    MAX_RETRY_AFTER_SECONDS,
    MIN_PREFILL_SAMPLE_TOKENS,
    MIN_PREFILL_TOKENS_PER_SECOND,
    MIN_RETRY_AFTER_SECONDS,
    MISSING_RUN_TIMEOUT_SECONDS,
    OUTPUT_TOKEN_WEIGHT,
    PREFILL_RATE_DECAY,
    SERVICE_DECAY_SECONDS,
)
from pistachiolever.admission.fair_queue import (
    FairQueue,
    QueuedRequest,
    ScheduledRequest,
)
from pistachiolever.admission.models import (
    AdmissionAction,
    Bid,
    EngineReport,
    Granted,
    Load,
    Refused,
)
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.rate_limit import RateLimit
from pistachiolever.admission.recent_service import DecayingSum, RecentService
from pistachiolever.admission.request_limits import RequestLimits
from pistachiolever.admission.throttle import (
    PrefillThrottle,
    RunningResponse,
    target_seconds_per_token,
)
from pistachiolever.slowdown.filter import SlowdownFilter
from pistachiolever.slowdown.rate import LastingRate
from pistachiolever.streams.table import StreamLog


@define
class Capacity:
    """Capacity of an endpoint: concurrent requests and, for an engine, memory."""

    slots: int
    memory_tokens: float = 0.0


@define(eq=False)
class Run:
    """A granted request that has not ended; times are absolute seconds.

    `prefill_tokens` are the prompt tokens that were not cached at the grant, `cost` the
    weighted tokens charged to the account, `events` the stream events that the engine
    reported. `started_at` is when the first chunk came, `unlisted_since` when the run
    was first missing from the engine's reports.
    """

    bid: Bid
    granted_at: float
    prefill_tokens: float
    cost: float
    deadline_at: float
    started_at: float | None = None
    events: int = 0
    unlisted_since: float | None = None


@define
class PrefillRateEstimate:
    """Estimated prefill rate of an engine, from observed times to first chunk.

    It is the ratio of two decaying sums: prefilled tokens and the seconds they took.
    """

    tokens: float = INITIAL_PREFILL_TOKENS_PER_SECOND
    seconds: float = 1.0

    @property
    def tokens_per_second(self) -> float:
        """Return the estimate, never below the minimum."""
        return max(MIN_PREFILL_TOKENS_PER_SECOND, self.tokens / self.seconds)

    def observe(self, tokens: float, seconds: float) -> None:
        """Add a sample, unless its prompt is too short to be meaningful."""
        if tokens < MIN_PREFILL_SAMPLE_TOKENS or seconds <= 0:
            return
        self.tokens = self.tokens * PREFILL_RATE_DECAY + tokens
        self.seconds = self.seconds * PREFILL_RATE_DECAY + seconds


@define
class AdmissionCore:
    """Admission state of one endpoint, without I/O: events in, grants and refusals out.

    Its times are absolute seconds. `prefilling_ids` are granted bids without a first
    chunk, oldest first; `prefill_started_at` is when the engine presumably began with
    the first of them. `reserved_tokens` is the engine memory reserved by grants,
    `untracked_running` counts runs that the engine reports beyond the granted ones.
    `demand` sums the uncached prompt tokens of new bids, `within_share_demand` those of
    accounts that had received less than their fair share. `run_ends` counts recently
    ended runs, `run_seconds` sums their durations. `rate_limit` holds the request rate
    that the endpoint has named, `cold_start` that of a cold engine, `limits` both.
    `streams` are those that began under its grants.
    """

    capacity: Capacity
    rng: Random
    policy: AdmissionPolicy = AdmissionPolicy()
    cache: PrefixCache = field(init=False)
    service: RecentService = field(factory=RecentService)
    streams: StreamLog = field(factory=StreamLog)
    prefill_rate: PrefillRateEstimate = field(factory=PrefillRateEstimate)
    lasting_rate: LastingRate = field(factory=LastingRate)
    slowdown: SlowdownFilter = field(factory=SlowdownFilter)
    queued_by_id: dict[str, QueuedRequest] = field(factory=dict)
    run_by_id: dict[str, Run] = field(factory=dict)
    prefilling_ids: list[str] = field(factory=list)
    prefill_started_at: float = 0.0
    throttle: PrefillThrottle = field(init=False)
    event_tokens: int = 1
    run_count_by_part: dict[str, int] = field(factory=dict)
    reserved_tokens: float = 0.0
    untracked_running: int = 0
    demand: DecayingSum = field(factory=DecayingSum)
    within_share_demand: DecayingSum = field(factory=DecayingSum)
    run_ends: DecayingSum = field(factory=DecayingSum)
    run_seconds: DecayingSum = field(factory=DecayingSum)
    rate_limit: RateLimit = field(init=False)
    cold_start: ColdStart = field(init=False)
    limits: RequestLimits = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with an empty cache and an unthrottled engine."""
        self.cache = PrefixCache(self.capacity.memory_tokens)
        self.throttle = PrefillThrottle(self.policy)
        self.rate_limit = RateLimit(self.rng)
        self.cold_start = ColdStart(self.rng)
        self.limits = RequestLimits(self.rate_limit, self.cold_start)

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Apply another policy to later decisions; reset the throttle."""
        self.policy = policy
        self.throttle = PrefillThrottle(policy)

    # Events.

    def submit(self, bid: Bid, now: float) -> list[AdmissionAction]:
        """Queue a bid, or refuse it if the queue is full or knows its id already."""
        if bid.bid_id in self.queued_by_id or bid.bid_id in self.run_by_id:
            return []
        if len(self.queued_by_id) >= MAX_QUEUED_REQUESTS:
            return [Refused(bid.bid_id, "queue-full", self._retry_after(1.0))]
        self.rate_limit.update(bid.named_rate, now)
        is_busy = bool(self.run_by_id or self.untracked_running)
        self.cold_start.observe_bid(bid.cold, is_busy, now)
        self.capacity.slots = bid.slots
        self.event_tokens = bid.event_tokens
        self.capacity.memory_tokens = bid.memory_tokens
        self.cache.capacity_tokens = bid.memory_tokens
        self.service.set_total(bid.account_id, bid.total, now)
        prefill_tokens = bid.prompt_tokens - self.cache.cached_tokens(
            bid.model, bid.parts
        )
        queued = QueuedRequest(
            bid,
            now,
            now + bid.target_seconds,
            now + bid.deadline_seconds,
            max(0, prefill_tokens),
        )
        if not bid.asks_again:
            self._record_demand(queued, now)
        self.queued_by_id[bid.bid_id] = queued
        return self.review(now)

    def _record_demand(self, queued: QueuedRequest, now: float) -> None:
        """Add a new bid to the demand of its account and of the endpoint."""
        bid = queued.bid
        self.service.record_demand(bid, queued.cost, now)
        self.demand.add(queued.prefill_tokens, now)
        if bid.share is None or self.service.total(bid.account_id, now) < bid.share:
            self.within_share_demand.add(queued.prefill_tokens, now)

    def withdraw(self, bid_id: str, now: float) -> list[AdmissionAction]:
        """Remove a bid that its router no longer wants, granted or not."""
        self.queued_by_id.pop(bid_id, None)
        if bid_id in self.run_by_id:
            return self.handle_end(bid_id, 0, now)
        return []

    def handle_start(self, bid_id: str, now: float) -> list[AdmissionAction]:
        """Handle that a router got the first chunk of a response."""
        run = self.run_by_id.get(bid_id)
        if run is None:
            return []
        self._record_stream(run, now)
        return self._complete_prefill(bid_id, run, now)

    def _record_stream(self, run: Run, now: float) -> None:
        """Record that a stream has begun here, which only its router can tell.

        The events that the engine lists may be lost on their way to the router, and
        another endpoint may then begin the stream.
        """
        if run.bid.origin is not None:
            self.streams.record_start(
                run.bid.stream_key, run.bid.origin, run.deadline_at, now
            )

    def _complete_prefill(
        self, bid_id: str, run: Run, now: float
    ) -> list[AdmissionAction]:
        """Handle that the prefill of a request is complete."""
        if run.started_at is not None:
            return []
        run.started_at = now
        if bid_id in self.prefilling_ids:
            prefill_from = max(run.granted_at, self.prefill_started_at)
            self.prefill_rate.observe(run.prefill_tokens, now - prefill_from)
            self.lasting_rate.observe(run.prefill_tokens, now - prefill_from)
            self.prefilling_ids.remove(bid_id)
            self.prefill_started_at = now
        self.cache.insert(run.bid.model, run.bid.parts)
        return self.review(now)

    def handle_end(
        self, bid_id: str, output_tokens: int, now: float
    ) -> list[AdmissionAction]:
        """Release what an ended run held; charge its actual output."""
        run = self.run_by_id.pop(bid_id, None)
        if run is None:
            return []
        if bid_id in self.prefilling_ids:
            if self.prefilling_ids[0] == bid_id:
                self.prefill_started_at = now
            self.prefilling_ids.remove(bid_id)
        self._free_memory(run)
        self.cold_start.handle_run(now)
        self.run_ends.add(1.0, now)
        self.run_seconds.add(now - run.granted_at, now)
        if run.started_at is None:
            # Nothing was served: refund the account.
            self.service.charge(run.bid, -run.cost, now)
        else:
            correction = OUTPUT_TOKEN_WEIGHT * (output_tokens - run.bid.output_tokens)
            self.service.charge(run.bid, correction, now)
        return self.review(now)

    def handle_report(self, report: EngineReport, now: float) -> list[AdmissionAction]:
        """Reconcile the granted runs with those that the engine lists.

        The engine lists running requests only, so a granted run may also be queued
        there. Otherwise it counts as ended once it is missing for
        MISSING_RUN_TIMEOUT_SECONDS.
        """
        listed = {run.request_id: run for run in report.runs}
        if not self.capacity.memory_tokens:
            # No bid has named the capacity yet.
            self.capacity.memory_tokens = report.total_tokens
        if report.slowdown:
            self.slowdown.observe(report.slowdown, now)
        self._adjust_throttle(report, now)
        self.untracked_running = max(0, report.running - len(self.run_by_id))
        if report.running:
            self.cold_start.handle_run(now)
        actions: list[AdmissionAction] = []
        for bid_id, run in list(self.run_by_id.items()):
            listed_run = listed.get(run.bid.request_id)
            if listed_run is not None:
                run.events = listed_run.events
                run.unlisted_since = None
                if listed_run.events > 0:
                    actions.extend(self._complete_prefill(bid_id, run, now))
                continue
            if report.waiting and run.started_at is None:
                run.unlisted_since = None
                continue
            if run.unlisted_since is None:
                run.unlisted_since = now
            elif (
                now - max(run.unlisted_since, run.granted_at)
                > MISSING_RUN_TIMEOUT_SECONDS
            ):
                actions.extend(self.handle_end(bid_id, 0, now))
        return actions

    def _adjust_throttle(self, report: EngineReport, now: float) -> None:
        """Adjust the prefill throttle to what running responses need."""
        events_by_run = {run.request_id: run.events for run in report.runs}
        self.throttle.observe(events_by_run, self.event_tokens, now)
        responses = [
            RunningResponse(
                run.bid.output_tokens,
                run.events * self.event_tokens,
                run.deadline_at - now,
            )
            for run in self.run_by_id.values()
            if run.started_at is not None
        ]
        self.throttle.adjust(target_seconds_per_token(responses, self.policy))

    def handle_restart(self, now: float) -> list[AdmissionAction]:
        """End all runs and clear the cache: the engine has restarted."""
        self.cache.clear()
        self.rate_limit.reset(now)
        self.cold_start.handle_doubt(now)
        actions: list[AdmissionAction] = []
        for bid_id in list(self.run_by_id):
            actions.extend(self.handle_end(bid_id, 0, now))
        return actions

    def load(self, now: float) -> Load:
        """Return the current load of the endpoint."""
        self.limits.refill(now)
        return Load(
            self.pending_prefill_tokens(now),
            sum(queued.prefill_tokens for queued in self.queued_by_id.values()),
            len(self.queued_by_id),
            len(self.run_by_id) + self.untracked_running,
            self.capacity.slots,
            max(0.0, self._memory_limit() - self.reserved_tokens),
            self.prefill_tokens_per_second(),
            self.limits.wait_seconds(len(self.queued_by_id), now),
            slowdown=self.slowdown.value_at(now),
            prefill_rate=self.lasting_rate.tokens_per_second,
            tells_slowdown=self.slowdown.is_reported,
        )

    def prefill_tokens_per_second(self) -> float:
        """Return the estimated prefill rate under the current throttle."""
        return self.prefill_rate.tokens_per_second * self.throttle.fraction

    # Grants and refusals.

    def review(self, now: float) -> list[AdmissionAction]:
        """Grant what fits, in fair order, and refuse what would be late."""
        if not self.queued_by_id:
            return []
        self.limits.record_demand(now)
        demand_ratio = self._demand_ratio(self.demand, now)
        limits_over_share = demand_ratio > self.policy.gate_demand
        queue = FairQueue(self.service, self.policy, now, limits_over_share)
        scheduled = queue.order(list(self.queued_by_id.values()))
        actions: list[AdmissionAction] = []
        while (chosen := self._next_grantable(scheduled, now)) is not None:
            scheduled.remove(chosen)
            actions.append(self._grant(chosen.queued, now))
        actions.extend(self._refuse_late(scheduled, now))
        return actions

    def pending_prefill_tokens(self, now: float) -> float:
        """Estimate the prompt tokens that the engine has yet to prefill."""
        if not self.prefilling_ids:
            return 0.0
        total = sum(
            self.run_by_id[bid_id].prefill_tokens for bid_id in self.prefilling_ids
        )
        front = self.run_by_id[self.prefilling_ids[0]]
        elapsed = now - max(self.prefill_started_at, front.granted_at)
        return total - min(
            front.prefill_tokens, elapsed * self.prefill_rate.tokens_per_second
        )

    def _next_grantable(
        self, scheduled: list[ScheduledRequest], now: float
    ) -> ScheduledRequest | None:
        """Return the next request to grant; None if the endpoint can take none now.

        A request that does not fit into memory is overtaken by later ones only for
        `pass_share` of its target, so that large requests are not starved.
        """
        if not scheduled or self._is_full() or not self.limits.allows(now):
            return None
        if (
            self.prefilling_ids
            and self.pending_prefill_tokens(now) >= self.policy.unread_tokens
        ):
            return None
        self.throttle.refill(self.prefill_rate.tokens_per_second, now)
        if self.throttle.credit_tokens <= 0 and self.run_by_id:
            return None
        for entry in scheduled:
            if entry.over_share and not self._may_take_over_share(entry, now):
                continue
            if self._fits(entry.queued):
                return entry
            waited = now - entry.queued.arrived_at
            if waited > self.policy.pass_share * entry.queued.bid.target_seconds:
                return None
        return None

    def _may_take_over_share(self, entry: ScheduledRequest, now: float) -> bool:
        """Return whether the engine is free enough for a request over its share."""
        if self._is_too_large(entry):
            return False
        return self.pending_prefill_tokens(now) <= self.policy.beyond_unread_tokens

    def _is_too_large(self, entry: ScheduledRequest) -> bool:
        """Return whether a request over its share has too long a prefill."""
        return entry.queued.prefill_tokens > self.policy.beyond_most_unread

    def _demand_ratio(self, demand: DecayingSum, now: float) -> float:
        """Return recent demand relative to what can be prefilled in the same time."""
        capacity = self.prefill_tokens_per_second() * SERVICE_DECAY_SECONDS
        return demand.value_at(now) / capacity

    def _is_full(self) -> bool:
        """Return whether all slots are in use."""
        return len(self.run_by_id) + self.untracked_running >= self.capacity.slots

    def _fits(self, queued: QueuedRequest) -> bool:
        """Return whether the engine has memory for a request.

        An idle engine takes any request, however large; a plain endpoint has no memory
        limit.
        """
        if not self.capacity.memory_tokens or not self.run_by_id:
            return True
        return (
            self.reserved_tokens + self._required_memory(queued.bid)
            <= self._memory_limit()
        )

    def _memory_limit(self) -> float:
        """Return the tokens of memory that may be reserved."""
        return self.capacity.memory_tokens * self.policy.memory_share

    def _required_memory(self, bid: Bid) -> float:
        """Return the memory a request needs beyond parts that runs already hold."""
        held = sum(
            part.tokens
            for key, part in keyed_parts(bid.model, bid.parts)
            if key in self.run_count_by_part
        )
        return max(0, bid.prompt_tokens - held) + bid.output_tokens

    def _grant(self, queued: QueuedRequest, now: float) -> Granted:
        """Reserve memory for a request, charge its account and track the run."""
        bid = queued.bid
        del self.queued_by_id[bid.bid_id]
        cached = self.cache.cached_tokens(bid.model, bid.parts)
        self.reserved_tokens += self._required_memory(bid)
        for key, _ in keyed_parts(bid.model, bid.parts):
            self.run_count_by_part[key] = self.run_count_by_part.get(key, 0) + 1
        prefill_tokens = max(0, bid.prompt_tokens - cached)
        self.run_by_id[bid.bid_id] = Run(
            bid, now, prefill_tokens, queued.cost, queued.deadline_at
        )
        self.throttle.consume(prefill_tokens)
        self.limits.consume(now)
        if not self.prefilling_ids:
            self.prefill_started_at = now
        self.prefilling_ids.append(bid.bid_id)
        self.service.charge(bid, queued.cost, now)
        return Granted(bid.bid_id, cached)

    def _free_memory(self, run: Run) -> None:
        """Release the memory that only this run held."""
        bid = run.bid
        held = 0
        for key, part in keyed_parts(bid.model, bid.parts):
            self.run_count_by_part[key] -= 1
            if self.run_count_by_part[key]:
                held += part.tokens
            else:
                del self.run_count_by_part[key]
        freed = max(0, bid.prompt_tokens - held) + bid.output_tokens
        self.reserved_tokens = max(0.0, self.reserved_tokens - freed)
        if not self.run_by_id:
            self.reserved_tokens = 0.0

    def _refuse_late(
        self, scheduled: list[ScheduledRequest], now: float
    ) -> list[AdmissionAction]:
        """Refuse requests whose estimated time to first chunk exceeds their limit."""
        if not scheduled:
            return []
        rate = self.prefill_tokens_per_second()
        ahead = self.pending_prefill_tokens(now) + max(
            0.0, -self.throttle.credit_tokens
        )
        blocked_count = 0
        is_full = self._is_full()
        between_ends = self._seconds_between_ends(now)
        wait_fraction = self._wait_fraction(now)
        actions: list[AdmissionAction] = []
        waiting_count = 0
        for entry in scheduled:
            queued = entry.queued
            blocked_count += is_full or not self._fits(queued)
            wait = max(ahead / rate, blocked_count * between_ends)
            limit_wait = self.limits.wait_seconds(waiting_count, now)
            is_limited = limit_wait > wait
            wait = max(wait, limit_wait)
            start = now + wait + FIRST_CHUNK_SECONDS
            target = queued.bid.target_seconds
            max_fraction = wait_fraction
            if entry.over_share:
                max_fraction = min(max_fraction, self.policy.beyond_share_wait)
                if self._is_too_large(entry):
                    max_fraction = 0.0
            own_prefill_seconds = min(
                queued.prefill_tokens / rate, self.policy.own_reading_share * target
            )
            if start + own_prefill_seconds - queued.arrived_at > max_fraction * target:
                del self.queued_by_id[queued.bid.bid_id]
                actions.append(
                    Refused(
                        queued.bid.bid_id,
                        _refusal_reason(entry, is_limited),
                        self._retry_after(wait),
                    )
                )
                continue
            ahead += queued.prefill_tokens
            waiting_count += 1
        return actions

    def _wait_fraction(self, now: float) -> float:
        """Return the fraction of its target that a request may wait and be prefilled.

        A short burst can be queued until it is served. Under lasting overload a long
        queue only makes every request late, so the limit falls from the calm to the
        busy value.
        """
        excess = self._demand_ratio(self.within_share_demand, now) - 1.0
        overload = min(1.0, max(0.0, excess / self.policy.full_excess))
        calm, busy = self.policy.calm_wait_share, self.policy.busy_wait_share
        return calm + overload * (busy - calm)

    def _seconds_between_ends(self, now: float) -> float:
        """Estimate the time until the next run ends."""
        end_count = self.run_ends.value_at(now)
        mean = (
            self.run_seconds.value_at(now) / end_count
            if end_count > 0.5
            else INITIAL_RUN_SECONDS
        )
        return mean / max(1, len(self.run_by_id))

    def _retry_after(self, wait_seconds: float) -> float:
        """Return the seconds until a retry: the wait, plus jitter, within limits.

        The jitter keeps refused callers from retrying all at the same time.
        """
        spread = wait_seconds * (1.0 + self.rng.random()) + self.rng.random()
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, spread))


def _refusal_reason(entry: ScheduledRequest, is_limited: bool) -> str:
    """Return why a request is refused that would be late."""
    if is_limited:
        return "limited"
    return "beyond-share" if entry.over_share else "late"
