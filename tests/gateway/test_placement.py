"""Placement weighs cached prompts against waiting and avoids failing endpoints."""

from collections import Counter

from attrs import evolve

from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.placement import Candidate, Placement, RankedEndpoint
from tests.support.cases import CaseTest

IDLE = Load(slots=64, free_memory_tokens=500_000, speed=50_000)


def candidate(name: str, load: Load = IDLE, domain: str = "north") -> Candidate:
    """Return an endpoint that may get a request."""
    endpoint = Announcement(
        name, 1, 1, EndpointState.READY, "s", f"10.0.0.{len(name)}:80", domain, 64
    )
    return Candidate(endpoint, load, EndpointHealth())


def best(ranked: list[RankedEndpoint]) -> str:
    """Return the id of the first endpoint."""
    return ranked[0].endpoint.endpoint_id


def parts(shared: str, own: str = "own") -> list[PromptPart]:
    """Return a prompt of 12,000 tokens, 5,000 of them shared."""
    return [PromptPart(shared, 5000), PromptPart(own, 7000)]


def rank(
    placement: Placement, prompt: list[PromptPart], among: list[Candidate]
) -> list[RankedEndpoint]:
    """Rank endpoints for a prompt of 12,000 tokens."""
    index = ServiceIndex()
    for candidate in among:
        index.add(candidate.endpoint.endpoint_id)
    plan = placement.plan("m", 12_000, prompt, index, 1.0)
    return placement.rank(plan, among, 1.0)


class PlacementTest(CaseTest):
    """Each test ranks endpoints under one kind of load."""

    def setUp(self) -> None:
        """Make six idle endpoints."""
        self.placement = Placement("north")
        self.names = [f"engine{n}" for n in range(6)]
        self.idle = [candidate(name) for name in self.names]

    def rank(self, prompt: list[PromptPart], among: list[Candidate]) -> str:
        """Return the best endpoint for a prompt."""
        return best(rank(self.placement, prompt, among))

    def test_routers_agree_on_the_endpoint_of_a_shared_prompt(self) -> None:
        """Routers without common state must choose the same endpoint."""
        for number in range(40):
            prompt = parts(f"thing{number}")
            first = rank(Placement("north"), prompt, self.idle)
            second = rank(Placement("south"), prompt, self.idle[::-1])
            self.assertEqual(best(first), best(second))

    def test_prompts_spread_over_endpoints(self) -> None:
        preferred = Counter(
            self.rank(parts(f"thing{n}"), self.idle) for n in range(600)
        )
        self.assertEqual(set(preferred), set(self.names))
        self.assertLess(max(preferred.values()), 2 * min(preferred.values()))

    def test_hot_prompt_moves_from_a_busy_endpoint(self) -> None:
        prompt = parts("hot")
        preferred = self.rank(prompt, self.idle)
        busy = evolve(IDLE, unread_tokens=4000, queued_tokens=80_000, waiting=8)
        among = [candidate(n, busy if n == preferred else IDLE) for n in self.names]
        self.assertNotEqual(self.rank(prompt, among), preferred)

    def test_cached_prompt_is_worth_a_short_wait(self) -> None:
        prompt = parts("thing")
        preferred = self.rank(prompt, self.idle)
        busy = evolve(IDLE, unread_tokens=4000, running=20)
        among = [candidate(n, busy if n == preferred else IDLE) for n in self.names]
        self.assertEqual(self.rank(prompt, among), preferred)

    # The first part is common to all prompts, and only the last endpoints that used it
    # were remembered; with it the knowledge of all further parts was lost.
    def test_cached_part_behind_a_common_one_is_known(self) -> None:
        index = ServiceIndex()
        for name in self.names:
            index.add(name)
        affinity = self.placement.prefix_affinity
        for name in self.names:
            shared = [PromptPart("common", 500), PromptPart(f"of-{name}", 5000)]
            affinity.record_use(name, "m", shared, 1.0)
        for name in self.names:
            prompt = [
                PromptPart("common", 500),
                PromptPart(f"of-{name}", 5000),
                PromptPart("own", 7000),
            ]
            plan = self.placement.plan("m", 12_500, prompt, index, 2.0)
            self.assertEqual(plan.cached_by_endpoint[name], 5500)

    def test_failing_endpoint_is_avoided(self) -> None:
        """An endpoint that fails at once looks idle and would attract all requests."""
        among = [candidate(name) for name in self.names]
        for _ in range(8):
            among[0].health.record_failure(1.0)
        chosen = {self.rank(parts(f"t{n}"), among) for n in range(100)}
        self.assertNotIn(self.names[0], chosen)

    def test_ejected_endpoint_recovers(self) -> None:
        health = EndpointHealth()
        health.record_unreachable(1.0)
        self.assertTrue(health.is_ejected(1.1))
        self.assertFalse(health.is_ejected(2.0))
        self.assertLess(health.failure_fraction(30.0), 0.05)
