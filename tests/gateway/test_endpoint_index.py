"""The endpoints considered for a request, at 6 to 3,000 of them."""

from random import Random
from time import perf_counter

from attrs import evolve
from nose2.tools import params

from pistachiolever.admission.models import PromptPart
from pistachiolever.gateway.const import FREE_SAMPLES, HOMES, RANDOM_SAMPLES
from pistachiolever.gateway.endpoint_index import IndexedSet, ServiceIndex
from tests.gateway.test_notices import ENDPOINT, make_fleet, notify
from tests.support.cases import CaseTest


def make_index(count: int) -> ServiceIndex:
    """Return an index of endpoints."""
    index = ServiceIndex()
    for number in range(count):
        index.add(f"e{number}")
    return index


class IndexedSetTest(CaseTest):
    """Compared with a plain set."""

    def test_random_operations(self) -> None:
        rng, items, naive = Random(3), IndexedSet(), set[str]()
        for _ in range(3000):
            item = str(rng.randrange(40))
            if rng.random() < 0.5:
                items.add(item)
                naive.add(item)
            else:
                items.discard(item)
                naive.discard(item)
            self.assertEqual(set(items.ids), naive)
            self.assertEqual(len(items.ids), len(naive))
            self.assertLessEqual(set(items.sample(5, rng)), naive)


class ServiceIndexTest(CaseTest):
    """Homes of shared parts, and samples."""

    # With nine engines, six were considered when all were busy.
    @params(1, 6, 9, 12)
    def test_all_endpoints_of_a_small_service(self, count: int) -> None:
        index = make_index(count)
        for number in range(count):
            index.update_load(f"e{number}", is_full=True)
        chosen = index.choose("part", Random(1))
        self.assertEqual(len(chosen), count)

    @params(82, 1000, 3000)
    def test_few_endpoints_of_a_large_service(self, count: int) -> None:
        chosen = make_index(count).choose("part", Random(1))
        self.assertLessEqual(len(chosen), HOMES + FREE_SAMPLES + RANDOM_SAMPLES)

    def test_most_parts_keep_their_home_when_an_endpoint_leaves(self) -> None:
        index = make_index(60)
        before = {f"p{n}": index.homes(f"p{n}")[0] for n in range(600)}
        index.discard("e7")
        moved = [part for part, home in before.items() if index.homes(part)[0] != home]
        self.assertEqual({before[part] for part in moved}, {"e7"})
        self.assertLess(len(moved), 30)

    def test_parts_spread_evenly(self) -> None:
        index = make_index(60)
        counts = dict.fromkeys(index.hash_by_id, 0)
        for number in range(6000):
            counts[index.homes(f"part{number}")[0]] += 1
        self.assertLess(max(counts.values()), 160)
        self.assertGreater(min(counts.values()), 50)

    def test_free_endpoints_are_found_among_many_full_ones(self) -> None:
        index = make_index(3000)
        for number in range(10, 3000):
            index.update_load(f"e{number}", is_full=True)
        chosen = index.choose("part", Random(1))
        self.assertGreaterEqual(len(set(chosen) & {f"e{n}" for n in range(10)}), 4)


class CandidateTest(CaseTest):
    """A router's candidates respect notices and use all endpoints if need be."""

    def test_last_endpoint_that_stays_is_found(self) -> None:
        endpoints = [
            evolve(
                ENDPOINT, endpoint_id=f"e{n}", address=f"10.0.{n // 200}.{n % 200}:1"
            )
            for n in range(300)
        ]
        fleet = make_fleet(endpoints, [100.0])
        for number in range(299):
            notify(fleet, f"e{number}", leaving=True)
        chosen = [
            c.endpoint.endpoint_id for c in fleet.selection.candidates("s", set())
        ]
        self.assertEqual(chosen, ["e299"])

    # The time of placement grew with the number of endpoints: 1.4 ms at 82 of them.
    def test_time_does_not_depend_on_the_number_of_endpoints(self) -> None:
        times = []
        for count in (82, 1000):
            endpoints = [
                evolve(ENDPOINT, endpoint_id=f"e{n}", address=f"10.{n}.0.1:1")
                for n in range(count)
            ]
            fleet = make_fleet(endpoints, [100.0])
            parts = [PromptPart(f"shared{n}", 5000) for n in range(2)]
            parts.append(PromptPart("own", 7000))
            best = float("inf")
            for _ in range(5):
                started_at = perf_counter()
                for _ in range(100):
                    plan = fleet.placement.plan(
                        "m", 12_000, parts, fleet.index("s"), 100.0
                    )
                    found = fleet.selection.candidates("s", set(), plan.shared_part_id)
                    fleet.placement.rank(plan, found, 100.0)
                best = min(best, (perf_counter() - started_at) / 100)
            times.append(best)
        self.assertLess(times[1], 2 * times[0], times)
