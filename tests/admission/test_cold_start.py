"""The requests that an engine gets while it is or may be cold, in memory."""

from bisect import bisect
from random import Random

from attrs import define, evolve, field
from nose2.tools import params

from pistachiolever.admission.cold_start import ColdService, ColdStart, Warmth
from pistachiolever.admission.const import REVIEW_INTERVAL_SECONDS
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import Bid
from tests.admission.test_core import BID, granted, refused
from tests.support.cases import CaseTest

SLACK = 5.0
OVERAGE = 1.5
START_SECONDS = 6.0
STEP_SECONDS = REVIEW_INTERVAL_SECONDS
# Requests reach the engine somewhat later than they are granted.
MAX_SEND_SECONDS = 0.15
# Time between the question of an agent and the engine's answer.
ANSWER_SECONDS = 0.02
SERVICE = ColdService("/health", 16.0, START_SECONDS, SLACK)
PLAIN_BID = evolve(
    BID, prompt_tokens=0, output_tokens=0, memory_tokens=0, target_seconds=0.5
)


@define(eq=False)
class Engine:
    """An engine that is cold within some intervals; keeps the arrivals."""

    cold: list[tuple[float, float]]
    arrivals: list[float] = field(factory=list)

    def cold_seconds(self, now: float) -> float:
        """Return how long it stays cold."""
        return max((end - now for start, end in self.cold if start <= now), default=0.0)

    def most_while_cold(self) -> int:
        """Return the most requests in any second of the cold intervals."""
        times = sorted(at for at in self.arrivals for b, e in self.cold if b <= at < e)
        counts = (bisect(times, at + 1.0) - n for n, at in enumerate(times))
        return max(counts, default=0)


@define(eq=False)
class Granter:
    """An agent, or a router alone, that grants requests of short duration."""

    engine: Engine
    rng: Random
    has_agent: bool = True
    fraction: float = 1.0
    health_works: bool = True
    service: ColdService = SERVICE
    core: AdmissionCore = field(init=False)
    answer_at: float = float("inf")
    question: int = 0
    questions: int = 0
    count: int = 0

    def __attrs_post_init__(self) -> None:
        """Start."""
        self.core = AdmissionCore(Capacity(64), self.rng)
        self.core.cold_start.can_ask = self.has_agent
        self.core.cold_start.fraction = self.fraction

    def submit(self, now: float) -> None:
        """Submit a bid."""
        self.count += 1
        service = evolve(
            self.service,
            suspected_age=None if self.has_agent else now,
        )
        bid = evolve(PLAIN_BID, bid_id=f"b{self.count}", slots=64, cold=service)
        self._end(granted(self.core.submit(bid, now)), now)

    def step(self, now: float) -> None:
        """Review the queue; ask the engine, and hear its answers."""
        cold_start = self.core.cold_start
        question = cold_start.next_question(now)
        if question is not None:
            self.question, self.answer_at = question, now + ANSWER_SECONDS
            self.questions += 1
        if now >= self.answer_at:
            self.answer_at = float("inf")
            seconds = self.engine.cold_seconds(now) if self.health_works else None
            cold_start.handle_answer(self.question, seconds, now)
        self._end(granted(self.core.review(now)), now)

    def _end(self, bid_ids: list[str], now: float) -> None:
        """Send granted requests, which end at once."""
        while bid_ids:
            delay = self.rng.random() * MAX_SEND_SECONDS
            self.engine.arrivals.append(now + delay)
            bid_ids += granted(self.core.handle_end(bid_ids.pop(), 0, now))


def play(
    granters: list[Granter], rng: Random, begin: float, end: float, demand: float
) -> None:
    """Send `demand` requests a second from one time to another."""
    due, now = 0.0, begin
    while now < end:
        due += demand * STEP_SECONDS
        while due >= 1.0:
            due -= 1.0
            rng.choice(granters).submit(now)
        for granter in granters:
            granter.step(now)
        now += STEP_SECONDS


class BoundTest(CaseTest):
    """A cold engine crashes if it gets more within a second, over all routers."""

    def check(self, engine: Engine, rate: float = 16.0, least: int = 0) -> None:
        """Check the requests while the engine was cold."""
        most = engine.most_while_cold()
        self.assertLessEqual(most, rate * OVERAGE + SLACK)
        self.assertGreaterEqual(most, least)

    # 21 requests came in one second, where 20 were allowed.
    @params((10.0, 80.0), (16.0, 80.0), (16.0, 300.0))
    def test_domain_that_returns_at_once_under_a_burst(
        self, rate: float, demand: float
    ) -> None:
        for seed in range(3):
            rng, engine = Random(seed), Engine([(10.0, 16.0)])
            service = evolve(SERVICE, requests_per_second=rate)
            granter = Granter(engine, rng, service=service)
            play([granter], rng, 5.0, 9.0, demand)
            play([granter], rng, 10.0, 18.0, demand)
            self.check(engine, rate, int(0.8 * rate))
            after = sum(16.2 < at < 17.2 for at in engine.arrivals)
            self.assertGreater(after, 0.8 * demand)

    def test_agent_that_is_restarted(self) -> None:
        for seed in range(5):
            rng, engine = Random(seed), Engine([(0.0, 9.0)])
            first = Granter(engine, rng)
            lost_at = 4.0 + rng.random()
            play([first], rng, 1.0, lost_at, 80.0)
            again = Granter(engine, rng)
            play([again], rng, lost_at + rng.random() / 10, 9.0, 80.0)
            self.check(engine)

    @params((16.0, 26), (10.0, 29), (16.0, 2), (10.0, 5), (100.0, 26))
    def test_lost_agent(self, rate: float, routers: int) -> None:
        for seed in range(3):
            rng, engine = Random(seed), Engine([(0.0, 9.0)])
            service = evolve(SERVICE, requests_per_second=rate, start_seconds=20.0)
            agent = Granter(engine, rng, service=service)
            play([agent], rng, 1.0, 4.0, 6 * rate)
            alone = [
                Granter(
                    engine, Random(f"{seed}/{n}"), False, 1 / routers, True, service
                )
                for n in range(routers)
            ]
            play(alone, rng, 4.0, 6.0, 6 * rate)
            # A pause, after which all of them have had time to save credit.
            play(alone, rng, 7.5, 9.0, 20 * rate)
            self.check(engine, rate, int(0.6 * rate))

    # An agent that has just started grants its whole rate before all routers know.
    def test_agent_that_responds_to_some_routers(self) -> None:
        for seed in range(3):
            rng, engine = Random(seed), Engine([(0.0, 9.0)])
            rest = evolve(SERVICE, requests_per_second=8.0, start_seconds=20.0)
            routers = [
                Granter(engine, Random(f"{seed}/{n}"), False, 1 / 26, True, rest)
                for n in range(20)
            ]
            play([*routers, Granter(engine, rng)], rng, 1.0, 5.0, 200.0)
            self.check(engine, least=16)

    def test_engine_that_becomes_cold_again_while_it_is_idle(self) -> None:
        for seed in range(3):
            rng, engine = Random(seed), Engine([(8.0, 12.0)])
            granter = Granter(engine, rng)
            play([granter], rng, 1.0, 7.0, 40.0)
            asked = granter.questions
            play([granter], rng, 8.5, 11.0, 200.0)
            self.check(engine, least=16)
            self.assertEqual((asked, granter.questions), (1, 2))

    def test_health_check_that_fails(self) -> None:
        rng, engine = Random(1), Engine([(0.0, 30.0)])
        granter = Granter(engine, rng, health_works=False)
        play([granter], rng, 1.0, 20.0, 80.0)
        self.check(engine, least=16)
        # At the start, and each time that a start may have ended.
        self.assertEqual(granter.questions, 4)
        granter.health_works, engine.cold = True, []
        engine.arrivals.clear()
        play([granter], rng, 26.0, 28.0, 80.0)
        self.assertGreater(len(engine.arrivals), 140)

    def test_service_without_a_rate_is_not_limited_or_asked(self) -> None:
        core = AdmissionCore(Capacity(64), Random(1))
        core.cold_start.can_ask = True
        bids = [evolve(PLAIN_BID, bid_id=f"b{n}", slots=64) for n in range(64)]
        actions = [action for bid in bids for action in core.submit(bid, 1.0)]
        self.assertEqual((len(granted(actions)), refused(actions)), (64, []))
        self.assertIsNone(core.cold_start.next_question(1.0))
        self.assertEqual(core.load(1.0).limit_seconds, 0.0)


def known_start(warmth: Warmth, can_ask: bool = True) -> ColdStart:
    """Return what is known of an engine that has just run a request."""
    cold_start = ColdStart(Random(1), can_ask)
    cold_start.observe_bid(SERVICE, True, 10.0)
    cold_start.warmth, cold_start.known_at = warmth, 10.0
    cold_start.cold_until = 12.0 if warmth is Warmth.COLD else 10.0
    return cold_start


class StateTest(CaseTest):
    """What makes an engine cold, and when it is asked."""

    # The engine ran until 10.0, as bids told; the next one comes at `now`.
    @params(
        ("busy", Warmth.WARM, 10.5, Warmth.WARM, False),
        ("after a pause", Warmth.WARM, 11.5, Warmth.UNKNOWN, True),
        ("cold", Warmth.COLD, 11.5, Warmth.COLD, False),
        ("at the end of the time it named", Warmth.COLD, 12.0, Warmth.COLD, True),
        ("started", Warmth.UNKNOWN, 10.5, Warmth.UNKNOWN, True),
    )
    def test_question(
        self, name: str, before: Warmth, now: float, after: Warmth, asked: bool
    ) -> None:
        cold_start = known_start(before)
        cold_start.observe_bid(SERVICE, False, now)
        self.assertIs(cold_start.warmth, after, name)
        self.assertIs(cold_start.next_question(now) is not None, asked)
        self.assertIsNone(cold_start.next_question(now))

    # An answer from before a restart says nothing of the new engine.
    @params((False, 0.0, Warmth.WARM), (False, 3.0, Warmth.COLD), (True, 0.0, None))
    def test_answer(
        self, restarted: bool, seconds: float, expected: Warmth | None
    ) -> None:
        cold_start = known_start(Warmth.UNKNOWN)
        question = cold_start.next_question(10.0)
        assert question is not None
        if restarted:
            cold_start.handle_doubt(10.1)
            cold_start.next_question(10.1)
        cold_start.handle_answer(question, seconds, 10.2)
        self.assertIs(cold_start.warmth, expected or Warmth.UNKNOWN)
        self.assertEqual(cold_start.is_limited(12.0), expected is not Warmth.WARM)

    # Bids repeat an announcement from before the engine told that it is warm.
    @params(
        ("newer than the answer", 0.5, True, True),
        ("older than the answer", 1.5, True, False),
        ("newer, without an agent", 0.5, False, True),
    )
    def test_announcement(self, name: str, age: float, agent: bool, cold: bool) -> None:
        cold_start = known_start(Warmth.WARM, agent)
        told = evolve(SERVICE, announced_seconds=2.0, announced_age=age)
        cold_start.observe_bid(told, True, 11.0)
        self.assertEqual(cold_start.is_limited(11.0), cold, name)
        cold_start.observe_bid(evolve(SERVICE, announced_age=age + 3), True, 13.5)
        if cold and agent:
            self.assertIsNotNone(cold_start.next_question(13.5))
        self.assertEqual(cold_start.is_limited(13.5), cold and agent)

    def test_router_alone_supposes_a_start(self) -> None:
        cold_start = known_start(Warmth.UNKNOWN, can_ask=False)
        self.assertFalse(cold_start.is_limited(10.0))
        cold_start.observe_bid(evolve(SERVICE, suspected_age=1.0), False, 10.0)
        self.assertTrue(cold_start.is_limited(9.0 + START_SECONDS - 0.1))
        self.assertFalse(cold_start.is_limited(9.0 + START_SECONDS))

    def test_refusal_and_load_name_the_time_of_the_next_grant(self) -> None:
        core = AdmissionCore(Capacity(64), Random(1))
        core.cold_start.can_ask = True
        bid = evolve(PLAIN_BID, cold=evolve(SERVICE, announced_seconds=5.0))
        bids: list[Bid] = [evolve(bid, bid_id=f"b{n}", slots=64) for n in range(40)]
        actions = [action for known in bids for action in core.submit(known, 1.0)]
        self.assertGreater(len(refused(actions)), 20)
        self.assertGreater(core.load(1.0).limit_seconds, 0.3)
        waits = [getattr(a, "retry_after_seconds", 0.0) for a in actions]
        self.assertGreaterEqual(max(waits), 0.4)
