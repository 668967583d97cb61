"""Ranks endpoints for a request by expected wait, prefill and failures."""

from collections import OrderedDict
from hashlib import blake2b

from attrs import define, field, frozen

from pistachiolever.admission.cache import keyed_parts
from pistachiolever.admission.const import INITIAL_PREFILL_TOKENS_PER_SECOND
from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import (
    BUSY_PENALTY_SECONDS,
    COLD_PENALTY_SECONDS,
    FAILURE_PENALTY_SECONDS,
    FULL_PENALTY_SECONDS,
    MAX_PREFIX_AFFINITIES,
    PREFIX_AFFINITY_SECONDS,
    REMOTE_DOMAIN_PENALTY_SECONDS,
)
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.policy import PlacementPolicy


@frozen
class Candidate:
    """An endpoint that may get a request, as this router knows it.

    `bidding_tokens` are the prompt tokens of this router's undecided bids for it.
    """

    endpoint: Announcement
    load: Load
    health: EndpointHealth
    bidding_tokens: float = 0.0


@frozen
class RankedEndpoint:
    """An endpoint and its cost for a request, in seconds.

    `cost` adds up the expected `wait`, the `prefill` of uncached tokens (a repeated
    prefill of shared parts weighs more), the penalty for recent `failures` and those
    for a remote failure domain and a cold endpoint.
    """

    endpoint: Announcement
    cost: float
    wait: float
    prefill: float
    failures: float


@define
class PrefixAffinity:
    """When this router last used shared prompt prefixes at each endpoint."""

    used_at_by_endpoint_prefix: OrderedDict[tuple[str, str], float] = field(
        factory=OrderedDict
    )

    def record_use(
        self, endpoint_id: str, model: str, parts: list[PromptPart], now: float
    ) -> None:
        """Record that an endpoint has prefilled a prompt."""
        for key, _ in keyed_parts(model, parts):
            key_at_endpoint = (endpoint_id, key)
            self.used_at_by_endpoint_prefix[key_at_endpoint] = now
            self.used_at_by_endpoint_prefix.move_to_end(key_at_endpoint)
        while len(self.used_at_by_endpoint_prefix) > MAX_PREFIX_AFFINITIES:
            self.used_at_by_endpoint_prefix.popitem(last=False)

    def cached_tokens(
        self, endpoint_id: str, model: str, parts: list[PromptPart], now: float
    ) -> int:
        """Return how many tokens of a prompt an endpoint has probably cached."""
        total = 0
        for key, part in keyed_parts(model, parts):
            used_at = self.used_at_by_endpoint_prefix.get((endpoint_id, key))
            if used_at is None or now - used_at > PREFIX_AFFINITY_SECONDS:
                break
            total += part.tokens
        return total


@define
class Placement:
    """Ranks the endpoints of a service for a request."""

    failure_domain: str
    policy: PlacementPolicy = PlacementPolicy()
    prefix_affinity: PrefixAffinity = field(factory=PrefixAffinity)

    def rank(
        self,
        model: str,
        prompt_tokens: int,
        parts: list[PromptPart],
        candidates: list[Candidate],
        now: float,
    ) -> list[RankedEndpoint]:
        """Return the candidates in order of cost, the cheapest first."""
        preferred_id = _preferred_endpoint_id(parts, candidates)
        weight = self._shared_prefill_weight(candidates)
        ranked = [
            self._evaluate(
                model,
                prompt_tokens,
                parts,
                candidate,
                now,
                candidate.endpoint.endpoint_id == preferred_id,
                weight,
            )
            for candidate in candidates
        ]
        ranked.sort(key=lambda choice: (choice.cost, choice.endpoint.endpoint_id))
        return ranked

    def _evaluate(
        self,
        model: str,
        prompt_tokens: int,
        parts: list[PromptPart],
        candidate: Candidate,
        now: float,
        is_preferred: bool,
        shared_prefill_weight: float,
    ) -> RankedEndpoint:
        """Return a candidate with its cost."""
        endpoint, load = candidate.endpoint, candidate.load
        rate = load.speed or INITIAL_PREFILL_TOKENS_PER_SECOND
        wait = (
            load.unread_tokens + load.queued_tokens + candidate.bidding_tokens
        ) / rate
        if not prompt_tokens:
            wait += BUSY_PENALTY_SECONDS * load.running / max(1, load.slots)
        is_full = load.running + load.waiting >= load.slots
        if is_full or load.free_memory_tokens < prompt_tokens:
            wait += FULL_PENALTY_SECONDS
        cached = self.prefix_affinity.cached_tokens(
            endpoint.endpoint_id, model, parts, now
        )
        if is_preferred:
            cached = max(cached, sum(part.tokens for part in parts[:-1]))
        uncached_tokens = max(0, prompt_tokens - cached)
        prefill = (
            shared_prefill_weight * self._uncached_shared_tokens(parts, cached) / rate
        )
        prefill += uncached_tokens / rate
        failures = FAILURE_PENALTY_SECONDS * candidate.health.failure_fraction(now)
        cost = wait + prefill + failures
        if endpoint.failure_domain != self.failure_domain:
            cost += REMOTE_DOMAIN_PENALTY_SECONDS
        if endpoint.cold_seconds > 0:
            cost += COLD_PENALTY_SECONDS
        return RankedEndpoint(endpoint, cost, wait, prefill, failures)

    def _shared_prefill_weight(self, candidates: list[Candidate]) -> float:
        """Return the weight of prefilling a shared prompt again, relative to waiting.

        On idle engines it delays only the request itself; the more engines have queued
        requests, the more others it delays.
        """
        busy_count = sum(candidate.load.waiting > 0 for candidate in candidates)
        pressure = busy_count / max(1, len(candidates))
        calm = self.policy.calm_reread_weight
        return calm + pressure * (self.policy.busy_reread_weight - calm)

    def _uncached_shared_tokens(self, parts: list[PromptPart], cached: int) -> int:
        """Return the tokens of shared parts that need prefill."""
        shared = sum(part.tokens for part in parts[:-1])
        return max(0, shared - cached)


def _preferred_endpoint_id(parts: list[PromptPart], candidates: list[Candidate]) -> str:
    """Return the endpoint for requests that share a prompt, by rendezvous hashing.

    Every router computes the same one, so a shared prompt is prefilled once. Empty if
    the request shares no prompt.
    """
    if len(parts) < 2 or not candidates:
        return ""
    shared = parts[-2].part_id
    ids = [candidate.endpoint.endpoint_id for candidate in candidates]
    return max(ids, key=lambda endpoint_id: _rendezvous_score(shared, endpoint_id))


def _rendezvous_score(part_id: str, endpoint_id: str) -> bytes:
    """Return an endpoint's score for a part, which is the same in every router."""
    return blake2b(f"{part_id}/{endpoint_id}".encode(), digest_size=8).digest()
