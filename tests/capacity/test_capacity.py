"""When engines have room for a request, and when refused callers come back."""

from random import Random

from nose2.tools import params

from pistachiolever.admission.models import Load
from pistachiolever.capacity.const import MAX_LOAD_AGE_SECONDS, MIN_RETURN_SECONDS
from pistachiolever.capacity.estimate import RunStatistics, estimate_room
from pistachiolever.capacity.models import (
    KnownLoad,
    MeanRun,
    RequestSize,
    ReturnLimits,
)
from pistachiolever.capacity.returns import return_seconds
from tests.support.cases import CaseTest

SIZE = RequestSize(900, 100)
MEAN = MeanRun(2.0, 500.0)
FREE = Load(0, 0, 0, 3, 8, 50_000, 1000.0)
QUEUED = Load(500, 1500, 0, 3, 8, 50_000, 1000.0)
NO_SLOT = Load(0, 0, 1, 8, 8, 50_000, 1000.0)
NO_MEMORY = Load(0, 0, 0, 4, 8, 500, 1000.0)
UNKNOWN = Load()


class RoomTest(CaseTest):
    """A free engine is never overlooked, and unknown loads give no estimate."""

    @params(
        ("a short queue, a slot and memory", [QUEUED, NO_SLOT, FREE], 0.0, 0.0),
        ("the queue", [QUEUED], 0.0, 2.0),
        ("two runs end every half second", [NO_SLOT], 0.0, 0.5),
        ("one run holds the missing memory", [NO_MEMORY], 0.0, 0.5),
        ("the queue has shrunk since", [QUEUED], 1.0, 1.0),
        ("late loads", [QUEUED], MAX_LOAD_AGE_SECONDS + 0.1, None),
        ("loads missing", [QUEUED, UNKNOWN], 0.0, None),
        ("no engine", [], 0.0, None),
    )
    def test_room(
        self, case: str, loads: list[Load], age: float, expected: float | None
    ) -> None:
        known = [KnownLoad(load, age) for load in loads]
        self.assertEqual(estimate_room(known, SIZE, MEAN).seconds, expected, case)

    def test_mean_run(self) -> None:
        runs = RunStatistics()
        self.assertEqual(runs.mean(0.0), MeanRun())
        runs.record(1.0, 300, 0.0)
        runs.record(3.0, 700, 0.0)
        self.assertEqual(runs.mean(0.0), MeanRun(2.0, 500.0))


class ReturnTest(CaseTest):
    """Refused callers must not come back all at once, too early or in vain."""

    @params(
        ("before the target", 0.2, ReturnLimits(1.0, 5.0), 0.2, 0.75),
        ("a long prompt", 0.2, ReturnLimits(1.0, 5.0, 0.3), 0.2, 0.45),
        ("too long a prompt", 0.2, ReturnLimits(1.0, 5.0, 0.6), 0.2, 5.0),
        ("no room before the target", 2.0, ReturnLimits(1.0, 5.0), 2.0, 5.0),
        ("the deadline is near", 0.0, ReturnLimits(1.0, 0.3), 0.05, 0.3),
        ("no room before the deadline", 9.0, ReturnLimits(1.0, 5.0), 5.0, 5.0),
        ("no time left", 1.0, ReturnLimits(-1.0, 0.0), 0.05, 0.05),
    )
    def test_callers_are_spread(
        self, case: str, room: float, limits: ReturnLimits, low: float, high: float
    ) -> None:
        rng = Random(1)
        seconds = sorted(return_seconds(room, limits, rng) for _ in range(200))
        self.assertGreaterEqual(seconds[0], max(low, MIN_RETURN_SECONDS), case)
        self.assertLessEqual(seconds[-1], high, case)
        self.assertAlmostEqual(seconds[100], (low + high) / 2, delta=0.1 * high)
