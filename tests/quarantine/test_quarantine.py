"""Which parts of prompts are quarantined, from which evidence."""

from collections import Counter
from collections.abc import Callable
from random import Random
from time import process_time

from attrs import define

from pistachiolever.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_SECONDS,
    MAX_SUSPECTED_PARTS,
    QUARANTINE_FACTOR,
    QUARANTINE_SECONDS,
    SETTLE_SECONDS,
    SOUND_SECONDS,
    TEST_SPREAD_SECONDS,
)
from pistachiolever.quarantine.models import PartReport
from pistachiolever.quarantine.quarantine import Change, Quarantine
from tests.support.cases import CaseTest

NOW = 1000.0
BAD = ["system", "bad"]
SOUND = ["system", "tools"]
SETTLED = NOW + CRASHES_TO_QUARANTINE + SETTLE_SECONDS


def crash(
    quarantine: Quarantine, parts: list[str], count: int = 3, at: float = NOW
) -> None:
    """Let a number of endpoints crash, one a second."""
    for number in range(count):
        quarantine.record_crash(f"e{at:.0f}-{number}", parts, at + number)


@define
class Case:
    """What happens before requests with the parts BAD come at the time SETTLED."""

    prepare: Callable[[Quarantine], None]
    part: str


def common_part_is_sound(quarantine: Quarantine) -> None:
    """Other requests with the first part are served."""
    quarantine.record_sound(SOUND, NOW)
    crash(quarantine, BAD)


def nothing_is_sound(quarantine: Quarantine) -> None:
    """No other requests come."""
    crash(quarantine, BAD)


def too_few_crashes(quarantine: Quarantine) -> None:
    """One crash fewer than needed."""
    crash(quarantine, BAD, CRASHES_TO_QUARANTINE - 1)


def the_same_crash(quarantine: Quarantine) -> None:
    """Many requests end with one endpoint."""
    for _ in range(5):
        quarantine.record_crash("e1", BAD, NOW)


def crashes_long_apart(quarantine: Quarantine) -> None:
    """The crashes before the last one are forgotten."""
    for number in range(CRASHES_TO_QUARANTINE):
        at = NOW - (CRASHES_TO_QUARANTINE - number) * (EVIDENCE_SECONDS - 1)
        quarantine.record_crash(f"e{number}", BAD, at)


def told_of_crashes_long_apart(quarantine: Quarantine) -> None:
    """The same, as another router tells it."""
    crashes = {f"e{n}": n * int(EVIDENCE_SECONDS) * 700 for n in range(3)}
    quarantine.apply({"bad": PartReport(crashes, 1)}, NOW)


def crashes_long_ago(quarantine: Quarantine) -> None:
    """No request has come since, and nothing else happened."""
    crash(quarantine, BAD, at=NOW - EVIDENCE_SECONDS - 10)


def sound_between(quarantine: Quarantine) -> None:
    """The part has a sound run between the crashes."""
    crash(quarantine, BAD, 2)
    quarantine.record_sound(BAD, NOW + 1.5)
    quarantine.record_crash("e9", BAD, NOW + 2)


def sound_after(quarantine: Quarantine) -> None:
    """The part has a sound run after the crashes."""
    crash(quarantine, BAD)
    quarantine.record_sound(BAD, SETTLED - 0.1)


def sound_long_ago(quarantine: Quarantine) -> None:
    """The part was sound before endpoints began to crash."""
    quarantine.record_sound(BAD, NOW - SOUND_SECONDS - 1)
    crash(quarantine, BAD)


def explained_by_another(quarantine: Quarantine) -> None:
    """The endpoints also ran requests with a part that crashes all of them."""
    for number in range(5):
        quarantine.record_crash(f"e{number}", ["worse"], NOW)
        if number < 3:
            quarantine.record_crash(f"e{number}", BAD, NOW)


def explained_by_a_quarantined_one(quarantine: Quarantine) -> None:
    """The other part is quarantined already."""
    explained_by_another(quarantine)
    quarantine.quarantined_part(["worse"], SETTLED)


def outage_of_many(quarantine: Quarantine) -> None:
    """Many endpoints end at once, and three of them ran a request with the part."""
    quarantine.record_sound(SOUND, NOW)
    for number in range(12):
        parts = BAD if number < 3 else ["system", f"other{number % 7}"]
        quarantine.record_crash(f"e{number}", parts, NOW + number / 10)


def crashes_during_an_outage(quarantine: Quarantine) -> None:
    """The part ends more endpoints than an outage at the same time."""
    quarantine.record_sound(SOUND, NOW)
    for number in range(9):
        parts = BAD if number < 5 else ["system", f"other{number}"]
        quarantine.record_crash(f"e{number}", parts, NOW + number / 10)


class EvidenceTest(CaseTest):
    """Which part of BAD is quarantined."""

    def test_table(self) -> None:
        cases = [
            Case(common_part_is_sound, "bad"),
            Case(nothing_is_sound, "bad"),
            Case(too_few_crashes, ""),
            Case(the_same_crash, ""),
            # Crashes of different days added up.
            Case(crashes_long_apart, ""),
            Case(told_of_crashes_long_apart, ""),
            Case(crashes_long_ago, ""),
            Case(sound_between, ""),
            Case(sound_after, ""),
            Case(sound_long_ago, "bad"),
            Case(explained_by_another, ""),
            Case(explained_by_a_quarantined_one, ""),
            Case(outage_of_many, ""),
            Case(crashes_during_an_outage, "bad"),
        ]
        for case in cases:
            with self.subTest(case.prepare.__name__):
                quarantine = Quarantine("r")
                case.prepare(quarantine)
                part = quarantine.quarantined_part(BAD, SETTLED)
                self.assertEqual(part, case.part)
                self.assertEqual(quarantine.quarantined_part(SOUND, SETTLED), "")

    def test_others_are_heard_before_the_quarantine(self) -> None:
        quarantine = Quarantine("r")
        crash(quarantine, BAD)
        self.assertEqual(quarantine.quarantined_part(BAD, SETTLED - 1.1), "")
        self.assertEqual(quarantine.quarantined_part(BAD, SETTLED), "bad")

    def test_repeats_stop_before_the_quarantine(self) -> None:
        quarantine = Quarantine("r")
        quarantine.record_sound(SOUND, NOW)
        expected = [True, True, False]
        for count, allowed in enumerate(expected):
            self.assertIs(quarantine.may_repeat(BAD, NOW), allowed)
            self.assertTrue(quarantine.may_repeat(SOUND, NOW))
            quarantine.record_crash(f"e{count}", BAD, NOW)


class ContentTest(CaseTest):
    """The content of a request is a part like others, the last one."""

    def test_rare_prompt_part_of_a_bad_request_is_not_quarantined(self) -> None:
        quarantine = Quarantine("r")
        bad = ["rare", "content:bad"]
        crash(quarantine, bad)
        self.assertEqual(quarantine.quarantined_part(bad, SETTLED), "content:bad")
        sound = ["rare", "content:other"]
        self.assertEqual(quarantine.quarantined_part(sound, SETTLED), "")
        self.assertTrue(quarantine.may_repeat(sound, SETTLED))

    def test_bad_prompt_part_in_requests_no_two_alike(self) -> None:
        quarantine = Quarantine("r")
        for number in range(CRASHES_TO_QUARANTINE):
            parts = ["system", "bad", f"content:{number}"]
            quarantine.record_sound(["system"], NOW)
            quarantine.record_crash(f"e{number}", parts, NOW + number)
        later = ["system", "bad", "content:new"]
        self.assertEqual(quarantine.quarantined_part(later, SETTLED), "bad")

    def test_bad_prompt_part_of_which_one_request_was_repeated(self) -> None:
        quarantine = Quarantine("r")
        quarantine.record_sound(["system"], NOW)
        first = ["system", "bad", "content:first"]
        crash(quarantine, first)
        self.assertFalse(quarantine.try_send(first, SETTLED))
        sent = 0
        for number in range(20):
            at = SETTLED + 5 * number
            parts = ["system", "bad", f"content:{number}"]
            if quarantine.try_send(parts, at):
                sent += 1
                quarantine.record_crash(f"later{number}", parts, at)
        self.assertLessEqual(sent, 3)

    # Each accounted for less than half of the crashes, so that none was quarantined.
    def test_several_bad_requests_at_once_were_all_sent_on(self) -> None:
        for count in (1, 2, 3, 4, 6):
            for seed in range(10):
                with self.subTest(count=count, seed=seed):
                    late = self.play_waves(count, Random(seed))
                    self.assertLessEqual(max(late.values(), default=0), 3)

    def play_waves(self, count: int, rng: Random) -> Counter[str]:
        """Return the sends of each bad request long after its third crash.

        Four endpoints start every four seconds, and each gets one of the requests.
        """
        quarantine = Quarantine("r")
        crashed_at: dict[str, list[float]] = {}
        late: Counter[str] = Counter()
        for wave in range(20):
            for number in range(4):
                at = NOW + 4.0 * wave + number / 10
                content = f"content:{rng.randrange(count)}"
                if not quarantine.try_send([content], at):
                    continue
                times = crashed_at.setdefault(content, [])
                late[content] += len(times) >= 3 and at > times[2] + 3.0
                times.append(at)
                quarantine.record_crash(f"e{wave}-{number}", [content], at)
        return late

    # Each request that an outage broke off displaced evidence of repeated crashes.
    def test_outage_displaced_the_evidence_against_a_request(self) -> None:
        quarantine = Quarantine("r")
        crash(quarantine, ["content:bad"], 2)
        for number in range(2 * MAX_SUSPECTED_PARTS):
            at = NOW + 60 + number / 1000
            quarantine.record_crash(f"o{number // 64}", [f"content:{number}"], at)
        self.assertFalse(quarantine.may_repeat(["content:bad"], NOW + 70))


class EndTest(CaseTest):
    """How a quarantine ends."""

    def quarantined(self, node_id: str = "r", routers: int = 1) -> Quarantine:
        """Return a router that has quarantined the part at SETTLED."""
        quarantine = Quarantine(node_id, routers)
        quarantine.record_sound(SOUND, NOW)
        crash(quarantine, BAD)
        self.assertFalse(quarantine.try_send(BAD, SETTLED))
        return quarantine

    def end(self, quarantine: Quarantine) -> float:
        """Return when a quarantine ends."""
        return SETTLED + quarantine.remaining_seconds("bad", SETTLED)

    def test_one_request_tests_the_part(self) -> None:
        quarantine = self.quarantined()
        end = self.end(quarantine)
        self.assertGreaterEqual(end, SETTLED + QUARANTINE_SECONDS)
        self.assertLessEqual(end, SETTLED + QUARANTINE_SECONDS + TEST_SPREAD_SECONDS)
        self.assertFalse(quarantine.try_send(BAD, end - 0.01))
        self.assertTrue(quarantine.try_send(BAD, end))
        self.assertFalse(quarantine.try_send(BAD, end))
        longer = QUARANTINE_FACTOR * QUARANTINE_SECONDS
        self.assertFalse(quarantine.try_send(BAD, end + longer - 0.01))

    def test_request_waiting_for_a_grant_does_not_use_up_the_test(self) -> None:
        quarantine = self.quarantined()
        end = self.end(quarantine)
        for _ in range(3):
            self.assertEqual(quarantine.quarantined_part(BAD, end), "")
        self.assertTrue(quarantine.try_send(BAD, end))

    def test_sound_run_releases_the_part(self) -> None:
        quarantine = self.quarantined()
        end = self.end(quarantine)
        quarantine.try_send(BAD, end)
        quarantine.record_sound(BAD, end + 1.5)
        self.assertTrue(quarantine.try_send(BAD, end + 1.6))
        changes = [change.change for change in quarantine.pop_changes()]
        self.assertEqual(changes, [Change.QUARANTINED, Change.TESTED, Change.RELEASED])

    def test_routers_test_at_different_times(self) -> None:
        ends = {
            round(self.end(self.quarantined(f"router-{number}", 50)), 1)
            for number in range(50)
        }
        self.assertGreater(len(ends), 40)
        self.assertGreater(max(ends) - min(ends), 50 * TEST_SPREAD_SECONDS / 2)


class CostTest(CaseTest):
    """What the decisions cost with many suspected parts."""

    # Each crash of an endpoint, for each of its requests, and each message of other
    # routers held up the whole router for 50 ms and more.
    def test_time_for_the_evidence_of_many_parts(self) -> None:
        quarantine = Quarantine("r", 350)
        started_at = process_time()
        for number in range(MAX_SUSPECTED_PARTS):
            for crash_number in range(3):
                incarnation = f"e{(7 * number + 13 * crash_number) % 60}"
                quarantine.table.add_crash(f"p{number}", 1, incarnation, NOW)
        for number in range(10):
            quarantine.record_crash(f"new{number}", ["p1"], NOW)
        self.assertLess(process_time() - started_at, 0.1)
