"""Generates the requests of a load shape from a seed."""

from math import exp, pi, sin
from random import Random

from attrs import define, field

from pistachiolever.emulator.const import BURST_SECONDS, MIN_DEADLINE_FRACTION
from pistachiolever.emulator.models import Arrival, Episode, KindShape, LoadShape


@define
class LoadGenerator:
    """Draws the accounts, shared prompt parts and requests of a load shape."""

    shape: LoadShape
    rng: Random
    account_ids: list[str] = field(init=False)
    account_weights: list[float] = field(init=False)
    home_by_account: dict[str, str] = field(init=False)
    owner_by_variant: dict[tuple[str, int, int], str] = field(factory=dict)
    size_by_variant: dict[tuple[str, int, int], int] = field(factory=dict)
    hot_accounts_by_episode: dict[Episode, frozenset[str]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Draw accounts, hot accounts and shared parts, which are fixed for a run."""
        shape, rng = self.shape, self.rng
        self.account_ids = [f"account{number}" for number in range(shape.accounts)]
        self.account_weights = [
            1.0 / (number + 1) ** shape.account_skew for number in range(shape.accounts)
        ]
        self.home_by_account = {
            account_id: self._draw_domain() for account_id in self.account_ids
        }
        for episode in shape.episodes:
            if not episode.kind_id:
                ranks = slice(episode.first_rank, episode.last_rank + 1)
                hot = rng.sample(self.account_ids[ranks], episode.accounts)
                self.hot_accounts_by_episode[episode] = frozenset(hot)
        for kind in shape.kinds:
            for depth, part in enumerate(kind.parts):
                for variant in range(part.things):
                    key = (kind.kind_id, depth, variant)
                    self.owner_by_variant[key] = rng.choice(self.account_ids)
                    self.size_by_variant[key] = _draw_size(
                        rng, part.tokens, part.spread
                    )

    def arrivals(self) -> list[Arrival]:
        """Return all requests in order of arrival."""
        arrivals: list[Arrival] = []
        for kind in self.shape.kinds:
            for account_id, weight in zip(
                self.account_ids, self.account_weights, strict=True
            ):
                fraction = weight / sum(self.account_weights)
                arrivals.extend(self._account_arrivals(kind, account_id, fraction))
        arrivals.sort(key=lambda arrival: arrival.at)
        return arrivals

    def _account_arrivals(
        self, kind: KindShape, account_id: str, fraction: float
    ) -> list[Arrival]:
        """Return an account's requests of a kind.

        Bursts come as a Poisson process at the maximum rate, which is thinned to the
        rate at each moment.
        """
        shape, rng = self.shape, self.rng
        mean = kind.rate * shape.rate_factor * fraction
        changes = [0.0]
        for episode in shape.episodes:
            changes += [episode.at, episode.at + episode.seconds]
        max_rate = max(self._episode_factor(kind, account_id, at) for at in changes)
        max_rate *= mean * (1 + shape.swing)
        arrivals: list[Arrival] = []
        at = 0.0
        while max_rate > 0:
            at += rng.expovariate(max_rate / shape.clump)
            if at >= shape.seconds:
                break
            rate = (
                mean
                * self._swing_factor(at)
                * self._episode_factor(kind, account_id, at)
            )
            if rng.random() * max_rate >= rate:
                continue
            for _ in range(max(1, round(rng.expovariate(1 / shape.clump)))):
                arrival_at = at + rng.random() * BURST_SECONDS
                arrivals.append(self._draw_arrival(kind, account_id, arrival_at))
        return arrivals

    def _swing_factor(self, at: float) -> float:
        """Return the ratio of the rate at a time to the mean rate."""
        return 1 + self.shape.swing * sin(2 * pi * at / self.shape.swing_seconds)

    def _episode_factor(self, kind: KindShape, account_id: str, at: float) -> float:
        """Return the factor on an account's rate from the episodes at a time."""
        factor = 1.0
        for episode in self.shape.episodes:
            if not episode.at <= at < episode.at + episode.seconds:
                continue
            hot = self.hot_accounts_by_episode.get(episode, frozenset())
            if episode.kind_id == kind.kind_id or account_id in hot:
                factor *= episode.factor
        return factor

    def _draw_arrival(self, kind: KindShape, account_id: str, at: float) -> Arrival:
        """Draw one request."""
        rng = self.rng
        request_id = f"{rng.getrandbits(64):016x}"
        parts = [
            self._draw_part(kind, depth, account_id) for depth in range(len(kind.parts))
        ]
        own_tokens = _draw_size(rng, kind.prompt_tokens, kind.prompt_spread)
        parts.append((f"own{request_id}", min(own_tokens, kind.most_prompt_tokens)))
        events = _draw_size(rng, kind.output_events, kind.output_spread)
        event_tokens = self.shape.engine.event_tokens
        output = min(events, kind.most_output_events) * event_tokens
        hint = max(1, round(output * exp(rng.gauss(0.0, kind.hint_spread))))
        domain = self.home_by_account[account_id]
        if rng.random() > self.shape.home_share:
            domain = self._draw_domain()
        fraction = rng.uniform(MIN_DEADLINE_FRACTION, 1.0)
        deadline = kind.deadline_seconds * fraction
        return Arrival(
            request_id, at, kind, account_id, domain, deadline, parts, output, hint
        )

    def _draw_part(
        self, kind: KindShape, depth: int, account_id: str
    ) -> tuple[str, int]:
        """Draw which variant of a shared part an account's prompt has."""
        part = kind.parts[depth]
        variants = list(range(part.things))
        if part.by_account:
            owned = [
                variant
                for variant in variants
                if self.owner_by_variant[kind.kind_id, depth, variant] == account_id
            ]
            variants = owned or variants
        weights = [1.0 / (variant + 1) ** part.skew for variant in variants]
        variant = self.rng.choices(variants, weights)[0]
        name = f"{kind.kind_id}/{depth}/{variant}"
        return (name, self.size_by_variant[kind.kind_id, depth, variant])

    def _draw_domain(self) -> str:
        """Draw a failure domain with a probability in proportion to its weight."""
        domains = self.shape.domains
        weights = [domain.weight for domain in domains]
        return self.rng.choices(domains, weights)[0].domain_id


def _draw_size(rng: Random, mean: float, spread: float) -> int:
    """Draw a log-normal size with a mean and a deviation of its logarithm."""
    middle = mean * exp(-spread * spread / 2)
    return max(1, round(middle * exp(rng.gauss(0.0, spread))))
