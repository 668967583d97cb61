"""Draws the requests of a load shape."""

from math import exp, pi, sin
from random import Random

from attrs import define, field

from pistachiolever.emulator.const import CLUMP_SECONDS, LEAST_DEADLINE_SHARE
from pistachiolever.emulator.models import Arrival, Episode, KindShape, LoadShape


@define
class LoadSource:
    """The accounts, the shared parts and the requests that a seed makes of a shape."""

    shape: LoadShape
    rng: Random
    account_ids: list[str] = field(init=False)
    account_weights: list[float] = field(init=False)
    home_by_account: dict[str, str] = field(init=False)
    owner_by_thing: dict[tuple[str, int, int], str] = field(factory=dict)
    size_by_thing: dict[tuple[str, int, int], int] = field(factory=dict)
    hot_by_episode: dict[Episode, frozenset[str]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Draw what stays the same for the whole run."""
        shape, rng = self.shape, self.rng
        self.account_ids = [f"account{number}" for number in range(shape.accounts)]
        self.account_weights = [
            1.0 / (number + 1) ** shape.account_skew for number in range(shape.accounts)
        ]
        self.home_by_account = {
            account_id: self._domain() for account_id in self.account_ids
        }
        for episode in shape.episodes:
            if not episode.kind_id:
                ranks = slice(episode.first_rank, episode.last_rank + 1)
                drawn = rng.sample(self.account_ids[ranks], episode.accounts)
                self.hot_by_episode[episode] = frozenset(drawn)
        for kind in shape.kinds:
            for depth, part in enumerate(kind.parts):
                for thing in range(part.things):
                    key = (kind.kind_id, depth, thing)
                    self.owner_by_thing[key] = rng.choice(self.account_ids)
                    self.size_by_thing[key] = _size(rng, part.tokens, part.spread)

    def arrivals(self) -> list[Arrival]:
        """Return all requests in order of time."""
        drawn: list[Arrival] = []
        for kind in self.shape.kinds:
            for account_id, weight in zip(
                self.account_ids, self.account_weights, strict=True
            ):
                share = weight / sum(self.account_weights)
                drawn.extend(self._of_account(kind, account_id, share))
        drawn.sort(key=lambda arrival: arrival.at)
        return drawn

    def _of_account(
        self, kind: KindShape, account_id: str, share: float
    ) -> list[Arrival]:
        """Return an account's requests of a kind: clumps thinned by the rate."""
        shape, rng = self.shape, self.rng
        mean = kind.rate * shape.rate_factor * share
        starts = [0.0, *(episode.at for episode in shape.episodes)]
        most = max(self._episodes(kind, account_id, start) for start in starts)
        most *= mean * (1 + shape.swing)
        drawn: list[Arrival] = []
        at = 0.0
        while most > 0:
            at += rng.expovariate(most / shape.clump)
            if at >= shape.seconds:
                break
            rate = mean * self._swing(at) * self._episodes(kind, account_id, at)
            if rng.random() * most >= rate:
                continue
            for _ in range(max(1, round(rng.expovariate(1 / shape.clump)))):
                moment = at + rng.random() * CLUMP_SECONDS
                drawn.append(self._arrival(kind, account_id, moment))
        return drawn

    def _swing(self, at: float) -> float:
        """Return the momentary rate of all against the mean one."""
        return 1 + self.shape.swing * sin(2 * pi * at / self.shape.swing_seconds)

    def _episodes(self, kind: KindShape, account_id: str, at: float) -> float:
        """Return how many times as much an account asks in the present episodes."""
        factor = 1.0
        for episode in self.shape.episodes:
            if not episode.at <= at < episode.at + episode.seconds:
                continue
            hot = self.hot_by_episode.get(episode, frozenset())
            if episode.kind_id == kind.kind_id or account_id in hot:
                factor *= episode.factor
        return factor

    def _arrival(self, kind: KindShape, account_id: str, at: float) -> Arrival:
        """Draw one request."""
        rng = self.rng
        request_id = f"{rng.getrandbits(64):016x}"
        parts = [
            self._part(kind, depth, account_id) for depth in range(len(kind.parts))
        ]
        own = _size(rng, kind.prompt_tokens, kind.prompt_spread)
        parts.append((f"own{request_id}", min(own, kind.most_prompt_tokens)))
        events = _size(rng, kind.output_events, kind.output_spread)
        event_tokens = self.shape.engine.event_tokens
        output = min(events, kind.most_output_events) * event_tokens
        hint = max(1, round(output * exp(rng.gauss(0.0, kind.hint_spread))))
        domain = self.home_by_account[account_id]
        if rng.random() > self.shape.home_share:
            domain = self._domain()
        share = rng.uniform(LEAST_DEADLINE_SHARE, 1.0)
        deadline = kind.deadline_seconds * share
        return Arrival(
            request_id, at, kind, account_id, domain, deadline, parts, output, hint
        )

    def _part(self, kind: KindShape, depth: int, account_id: str) -> tuple[str, int]:
        """Draw a shared part of an account's prompt."""
        part = kind.parts[depth]
        things = list(range(part.things))
        if part.by_account:
            own = [
                thing
                for thing in things
                if self.owner_by_thing[kind.kind_id, depth, thing] == account_id
            ]
            things = own or things
        weights = [1.0 / (thing + 1) ** part.skew for thing in things]
        thing = self.rng.choices(things, weights)[0]
        name = f"{kind.kind_id}/{depth}/{thing}"
        return (name, self.size_by_thing[kind.kind_id, depth, thing])

    def _domain(self) -> str:
        """Draw a failure domain by its part of the callers."""
        domains = self.shape.domains
        weights = [domain.weight for domain in domains]
        return self.rng.choices(domains, weights)[0].domain_id


def _size(rng: Random, mean: float, spread: float) -> int:
    """Draw a size with a mean and a deviation of its logarithm."""
    middle = mean * exp(-spread * spread / 2)
    return max(1, round(middle * exp(rng.gauss(0.0, spread))))
