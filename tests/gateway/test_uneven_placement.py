"""Placement among engines of different speed and endpoints that are slowed down."""

from collections import Counter
from random import Random

from anyio import run
from attrs import evolve
from nose2.tools import params

from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import Load
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.placement import Candidate, Placement, PromptPlan
from pistachiolever.http1.models import ResponseHead
from pistachiolever.platform.endpoints import EngineClient
from pistachiolever.platform.names import HEADER_FORMAT
from pistachiolever.slowdown.const import CLASS_REVIEW_SECONDS
from pistachiolever.slowdown.filter import SlowdownFilter
from pistachiolever.usage.models import (
    MeasuredLoad,
    pack_load,
    pack_pace,
    unpack_measured,
)
from pistachiolever.usage.reporter import is_load_changed
from tests.gateway.test_notices import ENDPOINT
from tests.gateway.test_placement import IDLE, candidate
from tests.support.cases import CaseTest

SLOW, FAST = 0.55 * 45_000, 1.2 * 45_000


def uneven_index(rates: list[float]) -> ServiceIndex:
    """Return an index of engines with these rates, after some reviews."""
    index = ServiceIndex()
    for number in range(len(rates)):
        index.add(f"e{number}")
    for review in range(10):
        for number, rate in enumerate(rates):
            now = review * CLASS_REVIEW_SECONDS
            index.update_rate(f"e{number}", rate and rate + review, now)
    return index


def plain(name: str, running: int, slowdown: float | None) -> Candidate:
    """Return a plain endpoint that reported a slowdown, or none."""
    reported = SlowdownFilter()
    if slowdown is not None:
        reported.observe(slowdown, 1.0)
    load = Load(running=running, slots=6)
    return evolve(candidate(name, load), slowdown=reported)


class HomesTest(CaseTest):
    """Homes of shared parts."""

    # A slow engine was home to as many parts as a fast one: its prompts queued there,
    # were refused and were prefilled elsewhere a second time.
    def test_slow_engines_are_home_to_fewer_parts(self) -> None:
        index = uneven_index([SLOW, FAST] * 6)
        homes = Counter(index.homes(f"part{n}")[0] for n in range(6000))
        slow = sum(count for name, count in homes.items() if int(name[1:]) % 2 == 0)
        self.assertAlmostEqual(slow / 6000, 0.55 / 1.75, delta=0.04)

    # Prompts would be prefilled again at new homes, in each deployment.
    @params([45_000.0] * 12, [40_000.0, 50_000.0, 60_000.0] * 4, [0.0] * 12)
    def test_homes_stay_among_alike_engines(self, rates: list[float]) -> None:
        index, unrated = uneven_index(rates), uneven_index([0.0] * 12)
        weighted = uneven_index([0.0] * 12)
        weighted.classes.class_by_id["gone"] = 1
        for number in range(500):
            homes = unrated.homes(f"part{number}")
            self.assertEqual(index.homes(f"part{number}"), homes)
            self.assertEqual(weighted.homes(f"part{number}"), homes)


class RankTest(CaseTest):
    """The cheapest endpoint."""

    # All routers chose the same endpoint until they heard of the others' choices.
    def test_routers_with_the_same_loads_spread(self) -> None:
        rates = [SLOW, FAST] * 3
        among = [
            candidate(f"e{n}", evolve(IDLE, speed=rate, prefill_rate=rate))
            for n, rate in enumerate(rates)
        ]
        chosen = Counter[str]()
        for router in range(26):
            placement = Placement("north", rng=Random(router))
            for _ in range(20):
                ranked = placement.rank(PromptPlan(200, is_uneven=True), among, 1.0)
                chosen[ranked[0].endpoint.endpoint_id] += 1
        for number, rate in enumerate(rates):
            share = 26 * 20 * rate / sum(rates)
            self.assertLess(chosen[f"e{number}"], 2 * share)

    # A copy whose VM is slowed down was ranked by its running requests alone.
    @params(
        (plain("a", 0, 2.5), plain("b", 3, 1.0), "b"),
        (plain("a", 5, 1.0), plain("b", 0, 1.2), "b"),
        (plain("a", 0, None), plain("b", 1, None), "a"),
    )
    def test_plain_endpoints(self, a: Candidate, b: Candidate, best: str) -> None:
        for seed in range(20):
            ranked = Placement("north", rng=Random(seed)).rank(PromptPlan(0), [a, b], 1)
            self.assertEqual(ranked[0].endpoint.endpoint_id, best)


class PackedLoadTest(CaseTest):
    """Loads of processes of all versions."""

    # A list of another length ended the update of all loads.
    @params(
        ([20, *pack_load(IDLE)], [], IDLE),
        ([20, 1], [], Load(1)),
        ([20, *pack_load(IDLE), 7, 8, 9], [], IDLE),
        ([20, 1], [9, 0], Load(1, prefill_rate=9)),
        ([20, 1], [0, 250], Load(1, slowdown=2.5, tells_slowdown=True)),
    )
    def test_unpack(self, numbers: list[int], pace: list[int], load: Load) -> None:
        measured = unpack_measured(numbers, 1.0, pace)
        self.assertEqual(measured, MeasuredLoad(load, 0.98))


class AgentTest(CaseTest):
    """What an agent reads of its engine reaches routers."""

    # A router alone hears of an engine about once a second, less often than slow
    # periods begin and end.
    def test_slowdown_in_reports_is_forwarded(self) -> None:
        class SlowEngine(PeerClient):
            async def exchange(self, *_: object) -> tuple[ResponseHead, bytes]:
                body = b'{"born":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":9}'
                return ResponseHead(200, [(HEADER_FORMAT.load, b"0,0,9,250")]), body

        report = run(EngineClient("10.0.0.1:80", SlowEngine()).report)
        core = AdmissionCore(Capacity(9), Random(1))
        core.handle_report(report, 1.0)
        load = core.load(1.0)
        self.assertTrue(is_load_changed(Load(slots=9, free_memory_tokens=9), load))
        measured = unpack_measured([0, *pack_load(load)], 1.0, pack_pace(load))
        handle = EndpointHandle(ENDPOINT, self.fail)
        handle.update_load(measured.load, measured.at)
        self.assertEqual(handle.candidate(1.0).slowdown.value_at(1.0), 2.5)
