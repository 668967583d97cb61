"""Where work goes: the kept prompt against the wait, and away from what fails."""

from collections import Counter

from attrs import evolve

from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.placement import Candidate, Placement, RankedEndpoint
from tests.support.cases import CaseTest

IDLE = Load(slots=64, free_memory_tokens=500_000, speed=50_000)


def candidate(name: str, load: Load = IDLE, domain: str = "north") -> Candidate:
    """Return an endpoint that may take a request."""
    endpoint = Announcement(
        name, 1, 1, EndpointState.READY, "s", f"10.0.0.{len(name)}:80", domain, 64
    )
    return Candidate(endpoint, load, EndpointHealth())


def best(ranked: list[RankedEndpoint]) -> str:
    """Return the endpoint that comes first."""
    return ranked[0].endpoint.endpoint_id


def parts(shared: str, own: str = "own") -> list[PromptPart]:
    """Return a prompt of 12,000 tokens, 5,000 of them shared."""
    return [PromptPart(shared, 5000), PromptPart(own, 7000)]


class PlacementTest(CaseTest):
    """Each test is a load that the choice has to answer."""

    def setUp(self) -> None:
        """Make six idle endpoints."""
        self.placement = Placement("north")
        self.names = [f"engine{n}" for n in range(6)]
        self.idle = [candidate(name) for name in self.names]

    def rank(self, prompt: list[PromptPart], among: list[Candidate]) -> str:
        """Return the endpoint of a prompt."""
        return best(self.placement.rank("m", 12_000, prompt, among, 1.0))

    def test_a_shared_prompt_meets_at_one_endpoint(self) -> None:
        """Routers that know nothing of each other choose alike."""
        for number in range(40):
            prompt = parts(f"thing{number}")
            first = Placement("north").rank("m", 12_000, prompt, self.idle, 1.0)
            second = Placement("south").rank("m", 12_000, prompt, self.idle[::-1], 1.0)
            self.assertEqual(best(first), best(second))

    def test_things_spread_over_the_endpoints(self) -> None:
        homes = Counter(self.rank(parts(f"thing{n}"), self.idle) for n in range(600))
        self.assertEqual(set(homes), set(self.names))
        self.assertLess(max(homes.values()), 2 * min(homes.values()))

    def test_a_hot_key_spreads_before_it_hurts(self) -> None:
        prompt = parts("hot")
        home = self.rank(prompt, self.idle)
        busy = evolve(IDLE, unread_tokens=4000, queued_tokens=80_000, waiting=8)
        among = [candidate(n, busy if n == home else IDLE) for n in self.names]
        self.assertNotEqual(self.rank(prompt, among), home)

    def test_a_little_wait_is_worth_a_kept_prompt(self) -> None:
        prompt = parts("thing")
        home = self.rank(prompt, self.idle)
        busy = evolve(IDLE, unread_tokens=4000, running=20)
        among = [candidate(n, busy if n == home else IDLE) for n in self.names]
        self.assertEqual(self.rank(prompt, among), home)

    def test_no_work_for_what_fails(self) -> None:
        """A grey endpoint: it looks idle, since it fails at once."""
        among = [candidate(name) for name in self.names]
        for _ in range(8):
            among[0].health.record_failure(1.0)
        chosen = {self.rank(parts(f"t{n}"), among) for n in range(100)}
        self.assertNotIn(self.names[0], chosen)

    def test_an_endpoint_that_failed_comes_back(self) -> None:
        health = EndpointHealth()
        health.record_unreachable(1.0)
        self.assertTrue(health.is_ejected(1.1))
        self.assertFalse(health.is_ejected(2.0))
        self.assertLess(health.failure_fraction(30.0), 0.05)
