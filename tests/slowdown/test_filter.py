"""The slowdown follows slow periods, ignores single reports and forgets."""

from nose2.tools import params

from pistachiolever.slowdown.filter import SlowdownFilter
from tests.support.cases import CaseTest


def filter_after(*values: float, interval: float) -> tuple[SlowdownFilter, float]:
    """Return a filter that got 10 s of usual reports and then these, and the time."""
    slowdown, now = SlowdownFilter(), 0.0
    for value in [1.0] * round(10 / interval) + list(values):
        now += interval
        slowdown.observe(value, now)
    return slowdown, now


class SlowdownFilterTest(CaseTest):
    """Reports at different rates, some of them in slow periods of 0.6 s."""

    def test_no_report_is_as_usual(self) -> None:
        slowdown = SlowdownFilter()
        self.assertEqual(slowdown.value_at(5.0), 1.0)
        self.assertEqual(slowdown.beyond_lasting(5.0), 1.0)
        self.assertFalse(slowdown.is_reported)

    # Placement would learn of a slow period only after its end.
    @params((0.01, 60), (0.05, 12), (0.2, 3), (0.6, 1))
    def test_follows_a_slow_period(self, interval: float, count: int) -> None:
        slowdown, now = filter_after(*[2.5] * count, interval=interval)
        self.assertGreater(slowdown.value_at(now), 2.2)

    # Routers with many reports would all leave an endpoint after a single one.
    def test_single_report_among_many_moves_little(self) -> None:
        slowdown, now = filter_after(2.5, interval=0.01)
        self.assertLess(slowdown.value_at(now), 1.1)

    # An endpoint without requests sends no reports and would stay avoided.
    def test_decays_without_reports(self) -> None:
        slowdown, now = filter_after(*[2.5] * 12, interval=0.05)
        self.assertLess(slowdown.value_at(now + 2.0), 1.1)

    # A mean by number of reports would forget a slow period once the router sends less.
    def test_weight_is_by_time_not_by_number(self) -> None:
        slowdown, now = filter_after(*[2.5] * 12, interval=0.05)
        for _ in range(50):
            slowdown.observe(1.0, now + 0.001)
        self.assertGreater(slowdown.value_at(now), 2.2)

    def test_older_report_is_ignored(self) -> None:
        slowdown, now = filter_after(1.0, interval=0.05)
        slowdown.observe(9.0, now - 1.0)
        self.assertEqual(slowdown.value_at(now), 1.0)

    # The measured rate of an engine that is always slow shows it already; counted
    # twice, the engine would get nothing.
    def test_lasting_slowdown_is_not_counted_twice(self) -> None:
        slowdown, now = filter_after(*[1.8] * 800, interval=0.05)
        self.assertLess(slowdown.beyond_lasting(now), 1.05)
        slowdown.observe(4.5, now + 0.6)
        self.assertGreater(slowdown.beyond_lasting(now + 0.6), 2.0)
