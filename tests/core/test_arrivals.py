"""Estimates of the arrival of input, in virtual time."""

from attrs import frozen
from nose2.tools import params

from pistachiolever.core.arrivals import ArrivalClock
from tests.support.cases import CaseTest

PERIOD = 0.05


@frozen
class Reading:
    """Input that is read at a time, and when it counts as arrived.

    The timer of the process was due at 1.0 and ran at `ran_at`, if it has.
    """

    read_at: float
    arrived_at: float
    ran_at: float | None = None


READINGS = [
    Reading(0.99, 0.99),
    Reading(1.01, 1.01),
    Reading(1.5, 1.0),
    Reading(3.0, 1.0),
    Reading(1.01, 1.01, 1.005),
    # The timer of a late process may run before its input is read.
    Reading(3.01, 1.0, 3.0),
    Reading(3.04, 3.04, 3.0),
    Reading(3.5, 3.05, 3.0),
]


class ArrivalClockTest(CaseTest):
    """Input counts as old as it can be while the process is late, else as new."""

    @params(*READINGS)
    def test_estimate(self, reading: Reading) -> None:
        now = 1.0 - PERIOD
        clock = ArrivalClock(lambda: now)
        clock.expect(1.0)
        if reading.ran_at is not None:
            now = reading.ran_at
            clock.expect(now + PERIOD)
        now = reading.read_at
        self.assertAlmostEqual(clock.estimate(), reading.arrived_at)
