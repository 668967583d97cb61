"""Chooses the endpoint of a request: the least wait, counting prompts read again."""

from collections import OrderedDict
from hashlib import blake2b

from attrs import define, field, frozen

from pistachiolever.admission.cache import keyed_parts
from pistachiolever.admission.const import FIRST_SPEED
from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import (
    BUSY_PENALTY_SECONDS,
    COLD_PENALTY_SECONDS,
    DISTANCE_SECONDS,
    FAILURE_PENALTY_SECONDS,
    FULL_PENALTY_SECONDS,
    MAX_PART_HOMES,
    PART_HOME_SECONDS,
)
from pistachiolever.gateway.health import EndpointHealth
from pistachiolever.gateway.policy import PlacementPolicy


@frozen
class Candidate:
    """An endpoint that may take a request, as this router sees it."""

    endpoint: Announcement
    load: Load
    health: EndpointHealth
    sent_since: float = 0.0


@frozen
class Choice:
    """An endpoint and what speaks for and against it, in seconds."""

    endpoint: Announcement
    cost: float
    wait: float
    reread: float
    failures: float


@define
class PartHomes:
    """Where shared parts of prompts were used lately, by this router."""

    used_at_by_home: OrderedDict[tuple[str, str], float] = field(factory=OrderedDict)

    def use(
        self, endpoint_id: str, model: str, parts: list[PromptPart], now: float
    ) -> None:
        """Note that an endpoint read a prompt."""
        for key, _ in keyed_parts(model, parts):
            home = (endpoint_id, key)
            self.used_at_by_home[home] = now
            self.used_at_by_home.move_to_end(home)
        while len(self.used_at_by_home) > MAX_PART_HOMES:
            self.used_at_by_home.popitem(last=False)

    def cached_tokens(
        self, endpoint_id: str, model: str, parts: list[PromptPart], now: float
    ) -> int:
        """Return how much of a prompt the endpoint probably keeps."""
        total = 0
        for key, part in keyed_parts(model, parts):
            used_at = self.used_at_by_home.get((endpoint_id, key))
            if used_at is None or now - used_at > PART_HOME_SECONDS:
                break
            total += part.tokens
        return total


@define
class Placement:
    """Ranks endpoints for a request."""

    failure_domain: str
    policy: PlacementPolicy = PlacementPolicy()
    homes: PartHomes = field(factory=PartHomes)

    def rank(
        self,
        model: str,
        prompt_tokens: int,
        parts: list[PromptPart],
        candidates: list[Candidate],
        now: float,
    ) -> list[Choice]:
        """Return the candidates, the best first."""
        home = _home_of(parts, candidates)
        weight = self._reread_weight(candidates)
        choices = [
            self._choice(
                model,
                prompt_tokens,
                parts,
                candidate,
                now,
                candidate.endpoint.endpoint_id == home,
                weight,
            )
            for candidate in candidates
        ]
        choices.sort(key=lambda choice: (choice.cost, choice.endpoint.endpoint_id))
        return choices

    def _choice(
        self,
        model: str,
        prompt_tokens: int,
        parts: list[PromptPart],
        candidate: Candidate,
        now: float,
        is_home: bool,
        reread_weight: float,
    ) -> Choice:
        """Return what speaks for and against one endpoint."""
        endpoint, load = candidate.endpoint, candidate.load
        speed = load.speed or FIRST_SPEED
        wait = (load.unread_tokens + load.queued_tokens + candidate.sent_since) / speed
        if not prompt_tokens:
            wait += BUSY_PENALTY_SECONDS * load.running / max(1, load.slots)
        is_full = load.running + load.waiting >= load.slots
        if is_full or load.free_memory_tokens < prompt_tokens:
            wait += FULL_PENALTY_SECONDS
        cached = self.homes.cached_tokens(endpoint.endpoint_id, model, parts, now)
        if is_home:
            cached = max(cached, sum(part.tokens for part in parts[:-1]))
        unread = max(0, prompt_tokens - cached)
        reread = reread_weight * self._shared_unread(parts, cached) / speed
        reread += unread / speed
        failures = FAILURE_PENALTY_SECONDS * candidate.health.failure_share(now)
        cost = wait + reread + failures
        if endpoint.failure_domain != self.failure_domain:
            cost += DISTANCE_SECONDS
        if endpoint.cold_seconds > 0:
            cost += COLD_PENALTY_SECONDS
        return Choice(endpoint, cost, wait, reread, failures)

    def _reread_weight(self, candidates: list[Candidate]) -> float:
        """Return what reading a shared prompt again weighs against waiting.

        While engines are free it delays nobody but the request itself; the more of
        them have work that waits, the more others it holds up.
        """
        busy = sum(candidate.load.waiting > 0 for candidate in candidates)
        pressure = busy / max(1, len(candidates))
        calm = self.policy.calm_reread_weight
        return calm + pressure * (self.policy.busy_reread_weight - calm)

    def _shared_unread(self, parts: list[PromptPart], cached: int) -> int:
        """Return the tokens of parts that others share and that must be read."""
        shared = sum(part.tokens for part in parts[:-1])
        return max(0, shared - cached)


def _home_of(parts: list[PromptPart], candidates: list[Candidate]) -> str:
    """Return the endpoint where requests that share a prompt meet.

    Every router computes the same one, so a shared prompt is read once.
    """
    if len(parts) < 2 or not candidates:
        return ""
    shared = parts[-2].part_id
    ids = [candidate.endpoint.endpoint_id for candidate in candidates]
    return max(ids, key=lambda endpoint_id: _rank(shared, endpoint_id))


def _rank(part_id: str, endpoint_id: str) -> bytes:
    """Return a rank of an endpoint for a part that every router computes alike."""
    return blake2b(f"{part_id}/{endpoint_id}".encode(), digest_size=8).digest()
