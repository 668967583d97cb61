"""Decides which waiting request an endpoint takes next, and which are refused.

Engines admit in order of arrival and preempt the newest request when their memory
is full. So requests wait here, where the order can follow the accounts' shares, and
only as much is handed on as keeps the engine busy.
"""

from random import Random

from attrs import define, field

from pistachiolever.admission.cache import PrefixCache, keyed_parts
from pistachiolever.admission.const import (
    FIRST_PART_SECONDS,
    FIRST_RUN_SECONDS,
    FIRST_SPEED,
    LEAST_RETRY_SECONDS,
    LEAST_SPEED,
    LOST_RUN_SECONDS,
    MAX_WAITING,
    MOST_RETRY_SECONDS,
    OUTPUT_TOKEN_WEIGHT,
    SERVICE_MEMORY_SECONDS,
    SPEED_DECAY,
    SPEED_SAMPLE_TOKENS,
)
from pistachiolever.admission.fair_queue import FairQueue, Turn, Waiting
from pistachiolever.admission.flow import ReadingFlow, RunningAnswer, needed_pace
from pistachiolever.admission.models import (
    AdmissionAction,
    Bid,
    EngineReport,
    Granted,
    Load,
    Refused,
)
from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.admission.shares import FadingSum, RecentService


@define
class Capacity:
    """What the endpoint holds: requests at once and, for an engine, tokens."""

    slots: int
    memory_tokens: float = 0.0


@define(eq=False)
class Run:
    """A request that was granted and has not ended."""

    bid: Bid
    granted_at: float
    unread_tokens: float
    cost: float
    deadline_at: float
    started_at: float | None = None
    events: int = 0
    missing_since: float | None = None


@define
class ReadingPace:
    """Tokens that the engine reads in a second, from first parts that were seen."""

    tokens: float = FIRST_SPEED
    seconds: float = 1.0

    @property
    def speed(self) -> float:
        """Return tokens a second."""
        return max(LEAST_SPEED, self.tokens / self.seconds)

    def see(self, tokens: float, seconds: float) -> None:
        """Take in how long some tokens took."""
        if tokens < SPEED_SAMPLE_TOKENS or seconds <= 0:
            return
        self.tokens = self.tokens * SPEED_DECAY + tokens
        self.seconds = self.seconds * SPEED_DECAY + seconds


@define
class AdmissionCore:
    """The bids and runs of one endpoint: calls in, grants and refusals out."""

    capacity: Capacity
    rng: Random
    policy: AdmissionPolicy = AdmissionPolicy()
    cache: PrefixCache = field(init=False)
    service: RecentService = field(factory=RecentService)
    pace: ReadingPace = field(factory=ReadingPace)
    waiting_by_id: dict[str, Waiting] = field(factory=dict)
    run_by_id: dict[str, Run] = field(factory=dict)
    unread_ids: list[str] = field(factory=list)
    front_since: float = 0.0
    flow: ReadingFlow = field(init=False)
    event_tokens: int = 1
    users_by_part: dict[str, int] = field(factory=dict)
    memory_used: float = 0.0
    foreign_running: int = 0
    demand: FadingSum = field(factory=FadingSum)
    due_demand: FadingSum = field(factory=FadingSum)
    run_ends: FadingSum = field(factory=FadingSum)
    run_seconds: FadingSum = field(factory=FadingSum)

    def __attrs_post_init__(self) -> None:
        """Start with an empty cache and all credit for reading."""
        self.cache = PrefixCache(self.capacity.memory_tokens)
        self.flow = ReadingFlow(self.policy)

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Decide by another policy from now on."""
        self.policy = policy
        self.flow = ReadingFlow(policy)

    # Calls.

    def bid(self, bid: Bid, now: float) -> list[AdmissionAction]:
        """Take in a bid."""
        if len(self.waiting_by_id) >= MAX_WAITING:
            return [Refused(bid.bid_id, "queue-full", self._retry_after(1.0))]
        self.capacity.slots = bid.slots
        self.event_tokens = bid.event_tokens
        self.capacity.memory_tokens = bid.memory_tokens
        self.cache.capacity_tokens = bid.memory_tokens
        self.service.hear(bid.account_id, bid.elsewhere, now)
        unread = bid.prompt_tokens - self.cache.cached_tokens(bid.model, bid.parts)
        waiting = Waiting(
            bid,
            now,
            now + bid.target_seconds,
            now + bid.deadline_seconds,
            max(0, unread),
        )
        if not bid.asks_again:
            self._note_demand(waiting, now)
        self.waiting_by_id[bid.bid_id] = waiting
        return self.review(now)

    def _note_demand(self, waiting: Waiting, now: float) -> None:
        """Count what is asked for here, and what of it is below a share."""
        bid = waiting.bid
        self.service.ask(bid, waiting.cost, now)
        self.demand.add(waiting.unread_tokens, now)
        if bid.share is None or self.service.total(bid.account_id, now) < bid.share:
            self.due_demand.add(waiting.unread_tokens, now)

    def withdraw(self, bid_id: str, now: float) -> list[AdmissionAction]:
        """Drop a bid whose router no longer wants it."""
        self.waiting_by_id.pop(bid_id, None)
        if bid_id in self.run_by_id:
            return self.ended(bid_id, 0, now)
        return []

    def started(self, bid_id: str, now: float) -> list[AdmissionAction]:
        """Note that the first part of an answer was seen."""
        run = self.run_by_id.get(bid_id)
        if run is None or run.started_at is not None:
            return []
        run.started_at = now
        if bid_id in self.unread_ids:
            begun = max(run.granted_at, self.front_since)
            self.pace.see(run.unread_tokens, now - begun)
            self.unread_ids.remove(bid_id)
            self.front_since = now
        self.cache.insert(run.bid.model, run.bid.parts)
        return self.review(now)

    def ended(
        self, bid_id: str, output_tokens: int, now: float
    ) -> list[AdmissionAction]:
        """Note that a run ended; charge what it really took."""
        run = self.run_by_id.pop(bid_id, None)
        if run is None:
            return []
        if bid_id in self.unread_ids:
            if self.unread_ids[0] == bid_id:
                self.front_since = now
            self.unread_ids.remove(bid_id)
        self._free_memory(run)
        self.run_ends.add(1.0, now)
        self.run_seconds.add(now - run.granted_at, now)
        if run.started_at is None:
            # Nothing was served; the account does not pay for a failed run.
            self.service.charge(run.bid, -run.cost, now)
        else:
            wrong = OUTPUT_TOKEN_WEIGHT * (output_tokens - run.bid.output_tokens)
            self.service.charge(run.bid, wrong, now)
        return self.review(now)

    def report(self, report: EngineReport, now: float) -> list[AdmissionAction]:
        """Compare the engine's own list with what was granted."""
        listed = {run.request_id: run for run in report.runs}
        self._adapt_flow(report, now)
        self.foreign_running = max(0, report.running - len(self.run_by_id))
        actions: list[AdmissionAction] = []
        for bid_id, run in list(self.run_by_id.items()):
            seen = listed.get(run.bid.request_id)
            if seen is not None:
                run.events = seen.events
                run.missing_since = None
                if seen.events > 0 and run.started_at is None:
                    actions.extend(self.started(bid_id, now))
                continue
            if report.waiting and run.started_at is None:
                run.missing_since = None
                continue
            if run.missing_since is None:
                run.missing_since = now
            elif now - max(run.missing_since, run.granted_at) > LOST_RUN_SECONDS:
                actions.extend(self.ended(bid_id, 0, now))
        return actions

    def _adapt_flow(self, report: EngineReport, now: float) -> None:
        """Let the share of reading follow what the running answers need."""
        events_by_run = {run.request_id: run.events for run in report.runs}
        self.flow.see(events_by_run, self.event_tokens, now)
        answers = [
            RunningAnswer(
                run.bid.output_tokens,
                run.events * self.event_tokens,
                run.deadline_at - now,
            )
            for run in self.run_by_id.values()
            if run.started_at is not None
        ]
        self.flow.adapt(needed_pace(answers, self.policy))

    def restarted(self, now: float) -> list[AdmissionAction]:
        """Forget what a former life of the engine held."""
        self.cache.clear()
        actions: list[AdmissionAction] = []
        for bid_id in list(self.run_by_id):
            actions.extend(self.ended(bid_id, 0, now))
        return actions

    def load(self, now: float) -> Load:
        """Return what stands before the endpoint."""
        return Load(
            self.unread_tokens(now),
            sum(waiting.unread_tokens for waiting in self.waiting_by_id.values()),
            len(self.waiting_by_id),
            len(self.run_by_id) + self.foreign_running,
            self.capacity.slots,
            max(0.0, self._memory_limit() - self.memory_used),
            self.reading_speed(),
        )

    def reading_speed(self) -> float:
        """Return the tokens that are read in a second, by the share for reading."""
        return self.pace.speed * self.flow.share

    # Decisions.

    def review(self, now: float) -> list[AdmissionAction]:
        """Grant what fits, in fair order, and refuse what comes too late."""
        if not self.waiting_by_id:
            return []
        part = self._part_of_readable(self.demand, now)
        is_gated = part > self.policy.gate_demand
        queue = FairQueue(self.service, self.policy, now, is_gated)
        turns = queue.order(list(self.waiting_by_id.values()))
        actions: list[AdmissionAction] = []
        while (chosen := self._next(turns, now)) is not None:
            turns.remove(chosen)
            actions.append(self._grant(chosen.waiting, now))
        actions.extend(self._refuse_late(turns, now))
        return actions

    def unread_tokens(self, now: float) -> float:
        """Return the tokens that the engine has still to read, as far as is known."""
        if not self.unread_ids:
            return 0.0
        total = sum(self.run_by_id[bid_id].unread_tokens for bid_id in self.unread_ids)
        front = self.run_by_id[self.unread_ids[0]]
        passed = now - max(self.front_since, front.granted_at)
        return total - min(front.unread_tokens, passed * self.pace.speed)

    def _next(self, turns: list[Turn], now: float) -> Turn | None:
        """Return the request to grant now, if the endpoint has room for it."""
        if not turns or self._is_full():
            return None
        if self.unread_ids and self.unread_tokens(now) >= self.policy.unread_tokens:
            return None
        self.flow.refill(self.pace.speed, now)
        if self.flow.credit <= 0 and self.run_by_id:
            return None
        for turn in turns:
            if turn.beyond_share and not self._has_room_beyond(turn, now):
                continue
            if self._fits(turn.waiting):
                return turn
            held = now - turn.waiting.arrived_at
            if held > self.policy.pass_share * turn.waiting.bid.target_seconds:
                return None
        return None

    def _has_room_beyond(self, turn: Turn, now: float) -> bool:
        """Tell whether the engine is free enough for a request beyond a share."""
        if self._is_too_large(turn):
            return False
        return self.unread_tokens(now) <= self.policy.beyond_unread_tokens

    def _is_too_large(self, turn: Turn) -> bool:
        """Tell whether reading a prompt beyond a share would hold up too many."""
        return turn.waiting.unread_tokens > self.policy.beyond_most_unread

    def _part_of_readable(self, demand: FadingSum, now: float) -> float:
        """Return what was asked to be read lately against what can be read."""
        readable = self.reading_speed() * SERVICE_MEMORY_SECONDS
        return demand.read(now) / readable

    def _is_full(self) -> bool:
        """Tell whether all slots are taken."""
        return len(self.run_by_id) + self.foreign_running >= self.capacity.slots

    def _fits(self, waiting: Waiting) -> bool:
        """Tell whether the engine has memory for a request."""
        if not self.capacity.memory_tokens or not self.run_by_id:
            return True
        return self.memory_used + self._memory_need(waiting.bid) <= self._memory_limit()

    def _memory_limit(self) -> float:
        """Return the tokens of memory that may be promised."""
        return self.capacity.memory_tokens * self.policy.memory_share

    def _memory_need(self, bid: Bid) -> float:
        """Return the memory a request takes beyond parts that running ones hold."""
        held = sum(
            part.tokens
            for key, part in keyed_parts(bid.model, bid.parts)
            if key in self.users_by_part
        )
        return max(0, bid.prompt_tokens - held) + bid.output_tokens

    def _grant(self, waiting: Waiting, now: float) -> Granted:
        """Promise room to a request."""
        bid = waiting.bid
        del self.waiting_by_id[bid.bid_id]
        cached = self.cache.cached_tokens(bid.model, bid.parts)
        self.memory_used += self._memory_need(bid)
        for key, _ in keyed_parts(bid.model, bid.parts):
            self.users_by_part[key] = self.users_by_part.get(key, 0) + 1
        unread = max(0, bid.prompt_tokens - cached)
        self.run_by_id[bid.bid_id] = Run(
            bid, now, unread, waiting.cost, waiting.deadline_at
        )
        self.flow.take(unread)
        if not self.unread_ids:
            self.front_since = now
        self.unread_ids.append(bid.bid_id)
        self.service.charge(bid, waiting.cost, now)
        return Granted(bid.bid_id, cached)

    def _free_memory(self, run: Run) -> None:
        """Take back the memory that only an ended run held."""
        bid = run.bid
        held = 0
        for key, part in keyed_parts(bid.model, bid.parts):
            self.users_by_part[key] -= 1
            if self.users_by_part[key]:
                held += part.tokens
            else:
                del self.users_by_part[key]
        freed = max(0, bid.prompt_tokens - held) + bid.output_tokens
        self.memory_used = max(0.0, self.memory_used - freed)
        if not self.run_by_id:
            self.memory_used = 0.0

    def _refuse_late(self, turns: list[Turn], now: float) -> list[AdmissionAction]:
        """Refuse what can't have its first part in time, as things stand."""
        if not turns:
            return []
        speed = self.reading_speed()
        ahead = self.unread_tokens(now) + max(0.0, -self.flow.credit)
        blocked = 0
        is_full = self._is_full()
        between_ends = self._seconds_between_ends(now)
        wait_share = self._wait_share(now)
        actions: list[AdmissionAction] = []
        for turn in turns:
            waiting = turn.waiting
            blocked += is_full or not self._fits(waiting)
            wait = max(ahead / speed, blocked * between_ends)
            start = now + wait + FIRST_PART_SECONDS
            target = waiting.bid.target_seconds
            share = wait_share
            if turn.beyond_share:
                share = min(share, self.policy.beyond_share_wait)
                if self._is_too_large(turn):
                    share = 0.0
            own = min(
                waiting.unread_tokens / speed, self.policy.own_reading_share * target
            )
            if start + own - waiting.arrived_at > share * target:
                del self.waiting_by_id[waiting.bid.bid_id]
                reason = "beyond-share" if turn.beyond_share else "late"
                actions.append(
                    Refused(waiting.bid.bid_id, reason, self._retry_after(wait))
                )
                continue
            ahead += waiting.unread_tokens
        return actions

    def _wait_share(self, now: float) -> float:
        """Return the part of its target that a request may wait and be read.

        A burst is worth waiting out. While more comes than can be read, a queue only
        makes all late, so it is kept short.
        """
        excess = self._part_of_readable(self.due_demand, now) - 1.0
        part = min(1.0, max(0.0, excess / self.policy.full_excess))
        calm, busy = self.policy.calm_wait_share, self.policy.busy_wait_share
        return calm + part * (busy - calm)

    def _seconds_between_ends(self, now: float) -> float:
        """Return about how long it takes until the next run ends."""
        ends = self.run_ends.read(now)
        mean = self.run_seconds.read(now) / ends if ends > 0.5 else FIRST_RUN_SECONDS
        return mean / max(1, len(self.run_by_id))

    def _retry_after(self, wait_seconds: float) -> float:
        """Return when to come back: after the backlog, spread so that not all do."""
        spread = wait_seconds * (1.0 + self.rng.random()) + self.rng.random()
        return min(MOST_RETRY_SECONDS, max(LEAST_RETRY_SECONDS, spread))
