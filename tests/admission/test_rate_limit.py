"""The request rate that an endpoint names, in memory."""

from math import inf
from random import Random

from attrs import evolve

from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import Bid
from pistachiolever.admission.rate_limit import NamedRate, RateLimit, RateNotice
from tests.admission.test_core import BID, granted, make_core, refused
from tests.support.cases import CaseTest

# What the users allow within a window: one and a half times the rate, and 5 requests.
WINDOW_SECONDS = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
STEP_SECONDS = 0.02
PLAIN_BID = evolve(
    BID, prompt_tokens=0, output_tokens=0, memory_tokens=0, target_seconds=0.4
)


def plain_bid(number: int, rate: float | None, age_seconds: float = 0.0) -> Bid:
    """Return a bid of a router that knows a rate."""
    return evolve(
        PLAIN_BID, bid_id=f"b{number}", named_rate=NamedRate(rate, age_seconds)
    )


def most_in_window(times: list[float]) -> int:
    """Return the most grants in any window of WINDOW_SECONDS."""
    return max(
        (sum(at <= t < at + WINDOW_SECONDS for t in times) for at in times), default=0
    )


class SharedRateTest(CaseTest):
    """Processes that share a rate grant no more than it allows, and use it up."""

    # Each router alone kept to a rate that is meant for all of them together.
    def test_processes_exceeded_a_shared_rate_together(self) -> None:
        for processes, rate, demand in (
            (1, 2.5, 11.0),
            (1, 0.0, 11.0),
            (1, 60.0, 200.0),
            (5, 7.0, 28.0),
            (29, 2.5, 80.0),
            (29, 13.0, 80.0),
            (70, 13.0, 200.0),
        ):
            for seed in range(2):
                with self.subTest(processes=processes, rate=rate, seed=seed):
                    times = self.play(processes, rate, demand, Random(seed))
                    allowed = RATE_FACTOR * rate * WINDOW_SECONDS + EXTRA_REQUESTS
                    self.assertLessEqual(most_in_window(times), allowed)
                    self.assertGreaterEqual(len(times), 0.75 * rate * 20.0)

    # Routers that are idle save credit, and all of them could use it at once.
    def test_idle_processes_saved_too_much_credit(self) -> None:
        rate = 5.0
        for processes in (1, 5, 29, 70):
            with self.subTest(processes):
                limits = [RateLimit(Random(n), 1 / processes) for n in range(processes)]
                for limit in limits:
                    limit.update(NamedRate(rate, 0.0), 1.0)
                    limit.record_demand(100.0)
                at_once = sum(limit.allows() for limit in limits)
                self.assertLessEqual(at_once, 2 * rate + EXTRA_REQUESTS)

    def play(
        self, processes: int, rate: float, demand: float, rng: Random
    ) -> list[float]:
        """Return the times of grants; `demand` requests a second come in all."""
        cores = [AdmissionCore(Capacity(64), rng) for _ in range(processes)]
        times: list[float] = []
        number, now, due = 0, 1.0, 0.0
        while now < 21.0:
            now += STEP_SECONDS
            due += demand * STEP_SECONDS
            for core in cores:
                core.rate_limit.fraction = 1 / processes
                times += [now] * self.end_runs(core, granted(core.review(now)), now)
            while due >= 1.0:
                due, number = due - 1.0, number + 1
                core = rng.choice(cores)
                actions = core.submit(plain_bid(number, rate), now)
                times += [now] * self.end_runs(core, granted(actions), now)
        return times

    def end_runs(self, core: AdmissionCore, bid_ids: list[str], now: float) -> int:
        """End granted runs at once; return the number of grants, also of later ones."""
        count = 0
        while bid_ids:
            count += 1
            bid_ids += granted(core.handle_end(bid_ids.pop(), 0, now))
        return count


class AdmissionTest(CaseTest):
    """Bids carry the rate to whoever grants requests."""

    def test_later_requests_are_refused_with_a_time_to_retry(self) -> None:
        core = AdmissionCore(Capacity(64), Random(1))
        actions = [
            action
            for number in range(30)
            for action in core.submit(plain_bid(number, 2.0), 1.0)
        ]
        self.assertLessEqual(len(granted(actions)), 1)
        self.assertGreater(len(refused(actions)), 25)
        self.assertEqual(
            {a.reason for a in actions if hasattr(a, "reason")}, {"limited"}
        )
        self.assertGreater(core.load(1.0).limit_seconds, 0.0)

    def test_newest_notice_counts(self) -> None:
        core = make_core()
        steps = [
            (3.0, 0.0, 3.0),
            (None, 1.5, 3.0),
            (5.0, 0.0, 5.0),
            (3.0, 9.0, 5.0),
            (None, 0.0, None),
            (5.0, 1.0, None),
        ]
        for number, (rate, age_seconds, expected) in enumerate(steps):
            core.submit(plain_bid(number, rate, age_seconds), 10.0 + number)
            with self.subTest(number):
                self.assertEqual(core.rate_limit.notice.requests_per_second, expected)

    # A bid of a router that does not know of a restart brought the old limit back.
    def test_limit_outlived_a_restart_of_the_engine(self) -> None:
        core = make_core()
        core.submit(plain_bid(1, 2.0), 10.0)
        core.handle_restart(11.0)
        core.submit(plain_bid(2, 2.0, age_seconds=1.5), 11.5)
        self.assertFalse(core.rate_limit.is_limited())
        core.submit(plain_bid(3, 4.0), 12.0)
        self.assertEqual(core.rate_limit.notice.requests_per_second, 4.0)


class RateNoticeTest(CaseTest):
    """A router's knowledge of the rate that an endpoint named."""

    # A response that was overtaken by one with a limit lifted the limit.
    def test_late_response_without_a_limit_lifted_it(self) -> None:
        notice = RateNotice()
        self.assertFalse(notice.observe(None, 0.5, 1.0))
        self.assertIsNone(notice.pack(1.0))
        self.assertTrue(notice.observe(3.0, 1.0, 2.0))
        self.assertFalse(notice.observe(None, 1.9, 2.5))
        self.assertEqual(notice.pack(2.5), NamedRate(3.0, 0.5))
        self.assertTrue(notice.observe(None, 2.1, 3.0))
        self.assertEqual(notice.pack(3.1), NamedRate(None, 1.0))
        self.assertGreater(notice.named_at, -inf)
