"""Which sibling gets a connection, and which routers a member names."""

from random import Random

from attrs import frozen
from nose2.tools import params

from pistachiolever.forwarding.const import (
    BUSY_QUERY_SECONDS,
    FORWARD_DELAY_SECONDS,
    FORWARD_GAP_SECONDS,
    IDLE_QUERY_SECONDS,
    LATE_SAMPLES,
    MAX_SIBLINGS,
    SIBLING_EXPIRY_SECONDS,
    SIBLING_PAUSE_SECONDS,
    SILENT_PAUSE_SECONDS,
    UNREACHABLE_PAUSE_SECONDS,
)
from pistachiolever.forwarding.directory import SiblingDirectory
from pistachiolever.forwarding.models import ForwardOutcome
from pistachiolever.forwarding.siblings import SiblingTable
from pistachiolever.gateway.intake import IntakeLimit
from tests.support.cases import CaseTest


@frozen
class Pause:
    """An outcome, and for how long its sibling gets no connection."""

    outcome: ForwardOutcome
    seconds: float


PAUSES = [
    Pause(ForwardOutcome.ANSWERED, 0.0),
    Pause(ForwardOutcome.CALLER_LEFT, 0.0),
    Pause(ForwardOutcome.BROKEN_OFF, 0.0),
    Pause(ForwardOutcome.TIMED_OUT, 0.0),
    Pause(ForwardOutcome.SILENT, SILENT_PAUSE_SECONDS),
    Pause(ForwardOutcome.REFUSED, SIBLING_PAUSE_SECONDS),
    Pause(ForwardOutcome.UNREACHABLE, UNREACHABLE_PAUSE_SECONDS),
]


class SiblingTableTest(CaseTest):
    """The siblings share the connections; those that refuse are left out."""

    def test_connections_are_spread_evenly(self) -> None:
        table, rng, now = SiblingTable(), Random(1), 0.0
        table.update("abc")
        for _ in range(30):
            sibling = table.choose(set(), now, rng)
            assert sibling is not None
            table.begin(sibling, now)
            now += FORWARD_GAP_SECONDS
        counts = [sibling.forwarded for sibling in table.sibling_by_address.values()]
        self.assertEqual(counts, [10, 10, 10])

    @params(*PAUSES)
    def test_pause_after_an_outcome(self, pause: Pause) -> None:
        table = SiblingTable()
        table.update("a")
        table.record(table.sibling_by_address["a"], pause.outcome, 1.0)
        is_free = {
            now: table.choose(set(), now, Random(1)) is not None
            for now in (1.0, 0.99 + pause.seconds, 1.01 + pause.seconds)
        }
        self.assertEqual(is_free[1.01 + pause.seconds], True)
        self.assertEqual(is_free[1.0], pause.seconds == 0.0)
        self.assertEqual(table.has_free(0.99 + pause.seconds), not pause.seconds)

    # SHORT: what was forwarded in one moment made siblings late for their own callers.
    def test_sibling_gets_one_connection_at_a_time(self) -> None:
        table, rng = SiblingTable(), Random(1)
        table.update("a")
        table.begin(table.sibling_by_address["a"], 1.0)
        self.assertFalse(table.has_free(1.01))
        self.assertIsNone(table.choose(set(), 1.01, rng))
        self.assertIsNotNone(table.choose(set(), 1.001 + FORWARD_GAP_SECONDS, rng))

    def test_update_keeps_what_is_known(self) -> None:
        table = SiblingTable()
        table.update("ab")
        known = table.sibling_by_address["a"]
        table.record(known, ForwardOutcome.REFUSED, 1.0)
        table.update("ac")
        self.assertIs(table.sibling_by_address["a"], known)
        self.assertEqual(set(table.sibling_by_address), {"a", "c"})

    def test_no_sibling_is_tried_twice(self) -> None:
        table = SiblingTable()
        table.update("ab")
        self.assertIsNone(table.choose({"a", "b"}, 0.0, Random(1)))

    @params((False, IDLE_QUERY_SECONDS), (True, BUSY_QUERY_SECONDS))
    def test_query_is_due(self, is_busy: bool, seconds: float) -> None:
        table = SiblingTable()
        self.assertTrue(table.is_query_due(is_busy, 0.0))
        table.queried_at = 0.0
        self.assertFalse(table.is_query_due(is_busy, 0.99 * seconds))
        self.assertTrue(table.is_query_due(is_busy, seconds))


class SiblingDirectoryTest(CaseTest):
    """A member names the routers of a failure domain that watch it now."""

    def test_domains_and_expiry(self) -> None:
        directory, rng = SiblingDirectory(), Random(1)
        directory.record("north", "a", 0.0)
        directory.record("south", "b", 0.0)
        directory.record("north", "c", SIBLING_EXPIRY_SECONDS)
        self.assertEqual(directory.find("north", 1.0, rng), ["a", "c"])
        late = SIBLING_EXPIRY_SECONDS + 1.0
        self.assertEqual(directory.find("north", late, rng), ["c"])
        self.assertEqual(directory.find("west", 1.0, rng), [])

    def test_number_is_bounded(self) -> None:
        directory = SiblingDirectory()
        for number in range(10 * MAX_SIBLINGS):
            directory.record("north", str(number), 0.0)
        named = directory.find("north", 0.0, Random(1))
        self.assertEqual(len(set(named)), MAX_SIBLINGS)


class ForwardingLimitTest(CaseTest):
    """How much a router forwards beside what it serves itself."""

    def test_idle_router_forwards_nothing(self) -> None:
        self.assertFalse(IntakeLimit().may_forward())

    def test_router_on_time_serves_its_callers_itself(self) -> None:
        intake = IntakeLimit(400.0)
        for _ in range(100):
            intake.begin("one")
        intake.observe(0.0)
        self.assertFalse(intake.may_forward())

    def test_forwarded_connections_are_bounded(self) -> None:
        for own in (10, 40, 80):
            with self.subTest(own):
                intake = IntakeLimit(40.0)
                for _ in range(own):
                    intake.begin("one")
                for _ in range(2):
                    intake.observe(2 * FORWARD_DELAY_SECONDS)
                while intake.may_forward():
                    intake.forwarded += 1
                self.assertGreater(intake.forwarded, 40)
                self.assertLess(intake.forwarded, 400)

    # SHORT: what siblings forwarded made routers late for their own callers.
    def test_late_router_takes_nothing_from_siblings(self) -> None:
        intake = IntakeLimit()
        for _ in range(2):
            intake.observe(FORWARD_DELAY_SECONDS)
        self.assertFalse(intake.expect_forwarded("one"))
        for _ in range(LATE_SAMPLES):
            intake.observe(0.0)
        self.assertTrue(intake.expect_forwarded("one"))

    def test_router_near_its_limit_takes_nothing_from_siblings(self) -> None:
        intake = IntakeLimit(40.0)
        taken = 0
        while intake.expect_forwarded("one"):
            taken += 1
        self.assertLess(taken, 40)
        self.assertTrue(intake.expect("two"))
