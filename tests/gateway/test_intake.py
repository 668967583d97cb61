"""The limit of concurrent requests of a router without processor time."""

from attrs import define, field

from pistachiolever.gateway.const import (
    DELAY_SAMPLE_SECONDS,
    INTAKE_DELAY_SECONDS,
    MAX_INTAKE,
    MIN_INTAKE,
)
from pistachiolever.gateway.intake import IntakeLimit
from tests.support.cases import CaseTest

# Processor time of the simulated router: of a request that it serves, and of one that
# it refuses; a served request lasts for SERVE_SECONDS besides.
SERVE_COST_SECONDS = 0.01
REFUSE_COST_SECONDS = 0.0005
SERVE_SECONDS = 0.5
TICK_SECONDS = 0.002


@define
class SimulatedRouter:
    """A router whose event loop is behind by the work that it has taken."""

    intake: IntakeLimit = field(factory=IntakeLimit)
    now: float = 0.0
    backlog_seconds: float = 0.0
    ending: list[tuple[float, str]] = field(factory=list)
    served_by_account: dict[str, int] = field(factory=dict)
    refused_by_account: dict[str, int] = field(factory=dict)
    most_delay: float = 0.0

    def run(self, rate_by_account: dict[str, float], seconds: float) -> None:
        """Let requests arrive at constant rates."""
        due = dict.fromkeys(rate_by_account, 0.0)
        sample_at = self.now + DELAY_SAMPLE_SECONDS
        for _ in range(int(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.end_finished()
            for account_id, rate in rate_by_account.items():
                due[account_id] += rate * TICK_SECONDS
                while due[account_id] >= 1:
                    due[account_id] -= 1
                    self.arrive(account_id)
            self.backlog_seconds = max(0.0, self.backlog_seconds - TICK_SECONDS)
            # The task that measures the delay runs after all that is waiting.
            if self.now >= sample_at + self.backlog_seconds:
                self.intake.observe(self.now - sample_at)
                self.most_delay = max(self.most_delay, self.now - sample_at)
                sample_at = self.now + DELAY_SAMPLE_SECONDS

    def end_finished(self) -> None:
        """End the requests whose time is over."""
        for ends_at, account_id in list(self.ending):
            if ends_at <= self.now:
                self.ending.remove((ends_at, account_id))
                self.intake.end(account_id)

    def arrive(self, account_id: str) -> None:
        """Take or refuse a request."""
        if not self.intake.admits(account_id):
            self.backlog_seconds += REFUSE_COST_SECONDS
            refused = self.refused_by_account
            refused[account_id] = refused.get(account_id, 0) + 1
            return
        self.intake.begin(account_id)
        self.backlog_seconds += SERVE_COST_SECONDS
        self.ending.append((self.now + SERVE_SECONDS, account_id))
        served = self.served_by_account
        served[account_id] = served.get(account_id, 0) + 1


class IntakeTest(CaseTest):
    """What a router takes with more work than processor time."""

    def test_everything_is_taken_while_there_is_processor_time(self) -> None:
        router = SimulatedRouter()
        router.run({"a": 50.0, "b": 20.0}, 10.0)
        self.assertEqual({}, router.refused_by_account)

    # A router with more work than it could do finished less than one without.
    def test_router_finished_less_the_more_it_was_sent(self) -> None:
        for rate in (120.0, 200.0, 400.0, 700.0):
            with self.subTest(rate):
                router = SimulatedRouter()
                router.run({"a": rate}, 3.0)
                before = sum(router.served_by_account.values())
                router.most_delay = 0.0
                router.run({"a": rate}, 10.0)
                served = sum(router.served_by_account.values()) - before
                time_left = 10.0 - REFUSE_COST_SECONDS * (10 * rate - served)
                self.assertGreater(served, 0.7 * time_left / SERVE_COST_SECONDS)
                self.assertLess(router.most_delay, 5 * INTAKE_DELAY_SECONDS)

    # Accounts beside a flood of another one waited as long as the flood.
    def test_flood_displaced_other_accounts(self) -> None:
        router = SimulatedRouter()
        router.run({"flood": 400.0, "a": 4.0, "b": 8.0}, 12.0)
        for account_id, asked in (("a", 48), ("b", 96)):
            refused = router.refused_by_account.get(account_id, 0)
            self.assertLess(refused, 0.1 * asked)

    def test_limit_recovers_after_a_flood(self) -> None:
        router = SimulatedRouter()
        router.run({"flood": 500.0}, 3.0)
        router.run({"a": 40.0}, 2.0)
        router.refused_by_account.clear()
        router.run({"a": 80.0}, 5.0)
        refused = router.refused_by_account.get("a", 0)
        self.assertLess(refused, 20)

    # A long step, such as a large configuration, is no lack of processor time.
    def test_one_long_step_changes_nothing(self) -> None:
        intake = IntakeLimit()
        intake.observe(0.5)
        intake.observe(0.0)
        self.assertEqual(MAX_INTAKE, intake.limit)

    def test_limit_stays_within_its_bounds(self) -> None:
        intake = IntakeLimit()
        for _ in range(100):
            intake.observe(2.0)
        self.assertEqual(MIN_INTAKE, intake.limit)
        for _ in range(2000):
            intake.observe(0.0)
        self.assertEqual(MAX_INTAKE, intake.limit)

    def test_counts_end_with_their_requests(self) -> None:
        intake = IntakeLimit()
        for account_id in ("a", "b", "a"):
            intake.begin(account_id)
        for account_id in ("a", "a", "b"):
            intake.end(account_id)
        self.assertEqual((0, {}), (intake.total, intake.count_by_account))

    # All connections were let in that came before the first request was begun.
    def test_connections_of_one_moment_passed_the_limit(self) -> None:
        intake = IntakeLimit(limit=10.0)
        self.assertEqual(10, sum(intake.expect("a") for _ in range(100)))
        for _ in range(10):
            intake.begin("a")
        self.assertFalse(intake.expect("a"))
        # Those that never send a request don't count for ever.
        intake = IntakeLimit(limit=10.0)
        for _ in range(100):
            intake.expect("a")
        intake.observe(0.0)
        self.assertTrue(intake.expect("a"))
