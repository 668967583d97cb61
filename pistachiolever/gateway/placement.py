"""Ranks endpoints for a request by expected wait, prefill and failures."""

from collections import OrderedDict
from random import Random

from attrs import Factory, define, evolve, field, frozen

from pistachiolever.admission.cache import keyed_parts
from pistachiolever.admission.const import INITIAL_PREFILL_TOKENS_PER_SECOND
from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import (
    BUSY_PENALTY_SECONDS,
    COLD_PENALTY_SECONDS,
    FAILURE_PENALTY_SECONDS,
    FULL_PENALTY_SECONDS,
    MAX_PART_ENDPOINTS,
    MAX_PREFIX_AFFINITIES,
    NEARLY_EQUAL_SECONDS,
    PREFIX_AFFINITY_SECONDS,
)
from pistachiolever.gateway.endpoint_index import ServiceIndex
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.slowdown.filter import SlowdownFilter
from pistachiolever.slowdown.response_time import plain_wait_seconds
from pistachiolever.spillover.models import LeavingRequest, Option, Price
from pistachiolever.spillover.pricing import ConstantPricing, DomainPricing


@frozen
class Candidate:
    """An endpoint that may get a request, as this router knows it.

    `bidding_tokens` are the prompt tokens of this router's undecided bids for it,
    `other_requests` those of other routers at a plain endpoint, as far as it told.
    """

    endpoint: Announcement
    load: Load
    health: EndpointHealth
    bidding_tokens: float = 0.0
    slowdown: SlowdownFilter = field(factory=SlowdownFilter)
    other_requests: float = 0.0


@frozen
class RankedEndpoint:
    """An endpoint and its cost for a request, in seconds.

    `cost` adds up the expected `wait`, the `prefill` of uncached tokens (a repeated
    prefill of shared parts weighs more), the penalty for recent `failures`, that for a
    cold endpoint and the `price` of leaving the failure domain as the spillover
    `option`.
    """

    endpoint: Announcement
    cost: float
    wait: float
    prefill: float
    failures: float
    option: Option
    price: Price = Price()


@define
class PrefixAffinity:
    """When this router last used shared prompt prefixes, by prefix and endpoint."""

    used_at_by_prefix: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)

    def record_use(
        self, endpoint_id: str, model: str, parts: list[PromptPart], now: float
    ) -> None:
        """Record that an endpoint has prefilled a prompt."""
        for key, _ in keyed_parts(model, parts):
            used_at = self.used_at_by_prefix.setdefault(key, {})
            used_at.pop(endpoint_id, None)
            used_at[endpoint_id] = now
            if len(used_at) > MAX_PART_ENDPOINTS:
                del used_at[next(iter(used_at))]
            self.used_at_by_prefix.move_to_end(key)
        while len(self.used_at_by_prefix) > MAX_PREFIX_AFFINITIES:
            self.used_at_by_prefix.popitem(last=False)

    def recent_endpoints(self, key: str, now: float) -> list[str]:
        """Return the endpoints that have probably cached a prefix."""
        return [
            endpoint_id
            for endpoint_id, used_at in self.used_at_by_prefix.get(key, {}).items()
            if now - used_at <= PREFIX_AFFINITY_SECONDS
        ]


@define
class PromptPlan:
    """What placement needs to know of a prompt, computed once for all endpoints.

    `cached_by_endpoint` are the tokens that endpoints have probably cached,
    `shared_tokens` those of the shared parts. `leaving` is what the price of leaving
    the failure domain depends on. `is_uneven` is true if the capacities of the engines
    differ.
    """

    prompt_tokens: int
    shared_part_id: str = ""
    shared_tokens: int = 0
    home_ids: list[str] = field(factory=list)
    cached_by_endpoint: dict[str, int] = field(factory=dict)
    leaving: LeavingRequest = LeavingRequest()
    is_uneven: bool = False


@define
class Placement:
    """Ranks the endpoints of a service for a request."""

    failure_domain: str
    policy: PlacementPolicy = PlacementPolicy()
    prefix_affinity: PrefixAffinity = field(factory=PrefixAffinity)
    pricing: DomainPricing = field(
        default=Factory(
            lambda self: ConstantPricing(self.failure_domain), takes_self=True
        )
    )
    rng: Random = field(factory=Random)

    def plan(
        self,
        model: str,
        prompt_tokens: int,
        parts: list[PromptPart],
        index: ServiceIndex,
        now: float,
    ) -> PromptPlan:
        """Return the plan of a prompt, whose last part is its own."""
        shared = parts[:-1]
        plan = PromptPlan(prompt_tokens, is_uneven=bool(index.classes.class_by_id))
        if not shared:
            return plan
        plan.shared_part_id = shared[-1].part_id
        plan.shared_tokens = sum(part.tokens for part in shared)
        plan.home_ids = index.homes(plan.shared_part_id)
        cached = 0
        for key, part in keyed_parts(model, shared):
            cached += part.tokens
            # An endpoint that has read a part has read those before it.
            for endpoint_id in self.prefix_affinity.recent_endpoints(key, now):
                plan.cached_by_endpoint[endpoint_id] = cached
        return plan

    def rank(
        self, plan: PromptPlan, candidates: list[Candidate], now: float
    ) -> list[RankedEndpoint]:
        """Return the candidates in order of cost, the cheapest first."""
        weight = self._shared_prefill_weight(candidates)
        preferred_id = self._preferred_id(plan, candidates)
        ranked = [
            self._evaluate(plan, candidate, now, preferred_id, weight)
            for candidate in candidates
        ]
        options = [choice.option for choice in ranked]
        prices = self.pricing.prices(plan.leaving, options, now)
        ranked = [
            evolve(choice, cost=choice.cost + price.seconds, price=price)
            for choice, price in zip(ranked, prices, strict=True)
        ]
        ranked.sort(key=lambda choice: (choice.cost, choice.endpoint.endpoint_id))
        if ranked and self._may_spread(plan, ranked[0], candidates, preferred_id):
            self._spread(ranked, candidates)
        return ranked

    def _may_spread(
        self,
        plan: PromptPlan,
        best: RankedEndpoint,
        candidates: list[Candidate],
        preferred_id: str,
    ) -> bool:
        """Return whether routers may choose different endpoints for equal requests.

        A large shared part would then be prefilled at all of them.
        """
        shared_seconds = plan.shared_tokens / INITIAL_PREFILL_TOKENS_PER_SECOND
        if shared_seconds > NEARLY_EQUAL_SECONDS:
            return False
        if self._is_warm(plan, best, preferred_id):
            return False
        return plan.is_uneven or any(
            candidate.slowdown.is_reported for candidate in candidates
        )

    def _is_warm(
        self, plan: PromptPlan, choice: RankedEndpoint, preferred_id: str
    ) -> bool:
        """Return whether an endpoint has a shared part, or is to have it."""
        endpoint_id = choice.endpoint.endpoint_id
        return endpoint_id == preferred_id or endpoint_id in plan.cached_by_endpoint

    def _spread(
        self, ranked: list[RankedEndpoint], candidates: list[Candidate]
    ) -> None:
        """Move a random choice among nearly equal ones to the front.

        All routers know the same loads, and would choose the same endpoint until they
        hear of it. The faster ones are drawn more often.
        """
        best = ranked[0]
        limit = best.cost + NEARLY_EQUAL_SECONDS
        nearly_equal = [
            choice
            for choice in ranked
            if choice.cost <= limit
            and choice.endpoint.failure_domain == best.endpoint.failure_domain
        ]
        if len(nearly_equal) < 2:
            return
        capacity_by_id = {
            candidate.endpoint.endpoint_id: _capacity(candidate)
            for candidate in candidates
        }
        weights = [
            capacity_by_id[choice.endpoint.endpoint_id] for choice in nearly_equal
        ]
        chosen = self.rng.choices(nearly_equal, weights)[0]
        ranked.remove(chosen)
        ranked.insert(0, chosen)

    def _preferred_id(self, plan: PromptPlan, candidates: list[Candidate]) -> str:
        """Return the first home among the candidates; empty if there is none.

        Every router prefers the same endpoint, so a shared prompt is prefilled once.
        """
        ids = {candidate.endpoint.endpoint_id for candidate in candidates}
        return next((home for home in plan.home_ids if home in ids), "")

    def _evaluate(
        self,
        plan: PromptPlan,
        candidate: Candidate,
        now: float,
        preferred_id: str,
        shared_prefill_weight: float,
    ) -> RankedEndpoint:
        """Return a candidate with its cost."""
        endpoint, load = candidate.endpoint, candidate.load
        rate = load.speed or INITIAL_PREFILL_TOKENS_PER_SECOND
        rate /= candidate.slowdown.beyond_lasting(now)
        wait = (
            load.unread_tokens + load.queued_tokens + candidate.bidding_tokens
        ) / rate
        if not plan.prompt_tokens:
            wait += _plain_wait(candidate, now)
        is_full = load.running + load.waiting >= load.slots
        if is_full or load.free_memory_tokens < plan.prompt_tokens:
            wait += FULL_PENALTY_SECONDS
        wait = max(wait, load.limit_seconds)
        cached = plan.cached_by_endpoint.get(endpoint.endpoint_id, 0)
        if endpoint.endpoint_id == preferred_id:
            cached = plan.shared_tokens
        uncached_shared = max(0, plan.shared_tokens - cached)
        prefill = shared_prefill_weight * uncached_shared / rate
        own_prefill = max(0, plan.prompt_tokens - cached) / rate
        prefill += own_prefill
        failures = FAILURE_PENALTY_SECONDS * candidate.health.failure_fraction(now)
        cost = wait + prefill + failures
        if endpoint.cold_seconds > 0:
            cost += COLD_PENALTY_SECONDS
        option = Option(endpoint.failure_domain, own_prefill, wait, load.slots)
        return RankedEndpoint(endpoint, cost, wait, prefill, failures, option)

    def _shared_prefill_weight(self, candidates: list[Candidate]) -> float:
        """Return the weight of prefilling a shared prompt again, relative to waiting.

        On idle engines it delays only the request itself; the more engines have queued
        requests, the more others it delays.
        """
        busy_count = sum(candidate.load.waiting > 0 for candidate in candidates)
        pressure = busy_count / max(1, len(candidates))
        calm = self.policy.calm_reread_weight
        return calm + pressure * (self.policy.busy_reread_weight - calm)


def _plain_wait(candidate: Candidate, now: float) -> float:
    """Return what the running requests of a plain endpoint cost a further one.

    It follows from the expected response time where the endpoint reports its slowdown.
    """
    load = candidate.load
    if not candidate.slowdown.is_reported:
        return BUSY_PENALTY_SECONDS * load.running / max(1, load.slots)
    requests = load.running + load.waiting + candidate.other_requests
    slowdown = candidate.slowdown.value_at(now)
    return plain_wait_seconds(requests, load.slots, slowdown)


def _capacity(candidate: Candidate) -> float:
    """Return the rate of an endpoint, the usual one if it is not known."""
    return candidate.load.prefill_rate or INITIAL_PREFILL_TOKENS_PER_SECOND
