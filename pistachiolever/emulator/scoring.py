"""Scores a run: the fraction of the entitled credit that callers earned.

The credit of a request depends on its size and on whether its response came in time. A
request is entitled to the full credit, or to a fraction of it if its account requests
more than its fair share.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

from pistachiolever.emulator.callers import CallerResult
from pistachiolever.emulator.const import BASE_CREDIT_FRACTION, MAX_CREDIT_FACTOR
from pistachiolever.emulator.engine import EngineCounters
from pistachiolever.emulator.models import Arrival, KindShape, LoadShape
from pistachiolever.gateway.fair_shares import max_min_share

# Weights in the total score, as the users of the platform specified them: the whole
# run, the two worst windows, the worst kind, the worst tenth of accounts.
SCORE_WEIGHTS: Final = (0.45, 0.15, 0.1, 0.3)

# The weight of an output token in the size of a request; a prompt token has 1.
OUTPUT_SIZE_WEIGHT: Final = 10.0

GroupKey = tuple[int, str, str]


@frozen
class RequestResult:
    """How a request ended, and the credit that it earned of its maximum."""

    arrival: Arrival
    end: CallerResult
    max_credit: float
    earned: float


@frozen
class Score:
    """The result of a run.

    `worth` is the total score. `whole` to `worst_accounts` are fractions of the
    entitled credit, and `read_again` is the price of repeated prefill as such a
    fraction. `in_time` to `failed` are fractions of the requests. `busy` is the
    fraction of engine time that was used, `needed` the minimum for the entitled
    requests (emulator.bound). `served_by_kind` holds the earned fraction of each kind
    and of its largest requests, `late_requests` and `disregarding_requests` are those
    of EngineCounters.
    """

    worth: float
    whole: float
    worst_windows: float
    worst_kind: float
    worst_accounts: float
    read_again: float
    in_time: float
    late: float
    refused: float
    failed: float
    busy: float
    needed: float = 0.0
    served_by_kind: dict[str, float] = field(factory=dict)
    late_requests: float = 0.0
    disregarding_requests: float = 0.0
    served_by_domain: dict[str, float] = field(factory=dict)


def credit_in_time(arrival: Arrival, event_tokens: int) -> float:
    """Return the credit of a response in time, which grows with the request's size."""
    kind = arrival.kind
    size = arrival.prompt_tokens + OUTPUT_SIZE_WEIGHT * arrival.output_tokens
    factor = BASE_CREDIT_FRACTION + (1 - BASE_CREDIT_FRACTION) * size / mean_size(
        kind, event_tokens
    )
    return kind.worth * min(MAX_CREDIT_FACTOR, factor)


def mean_size(kind: KindShape, event_tokens: int) -> float:
    """Return a kind's mean request size, with the weight OUTPUT_SIZE_WEIGHT."""
    shared = sum(part.tokens for part in kind.parts)
    output = kind.output_events * event_tokens
    return shared + kind.prompt_tokens + OUTPUT_SIZE_WEIGHT * output


@define
class ScoreCollector:
    """Collects the results of a run's requests and scores them."""

    shape: LoadShape
    results: list[RequestResult] = field(factory=list)

    def record(self, arrival: Arrival, end: CallerResult) -> None:
        """Record how a request ended."""
        kind = arrival.kind
        max_credit = credit_in_time(arrival, self.shape.engine.event_tokens)
        earned = 0.0
        if end.status == "answered" and end.first_chunk_seconds is not None:
            in_time = end.first_chunk_seconds <= kind.target_seconds
            in_time = in_time and end.longest_gap <= kind.gap_seconds
            earned = (
                max_credit if in_time else max_credit * kind.late_worth / kind.worth
            )
        self.results.append(RequestResult(arrival, end, max_credit, earned))

    def score(self, counters: EngineCounters, busy: float) -> Score:
        """Return the score of all recorded results."""
        entitled = self._entitled_credit()
        total = sum(entitled.values())
        earned = self._earned_credit(entitled)
        whole = sum(earned.values()) / total
        windows = sorted(
            _earned_fractions(entitled, earned, lambda key: key[0]).values()
        )
        by_kind = _earned_fractions(entitled, earned, lambda key: key[2])
        by_size = self._size_fractions()
        kinds = sorted([*by_kind.values(), *by_size.values()])
        accounts = sorted(
            _earned_fractions(entitled, earned, lambda key: key[1]).values()
        )
        tenth = max(1, round(len(accounts) / 10))
        components = (
            whole,
            sum(windows[:2]) / 2,
            kinds[0],
            sum(accounts[:tenth]) / tenth,
        )
        price = self.shape.read_again_price * counters.repeated_tokens / 1000 / total
        count = len(self.results)
        statuses = [result.end.status for result in self.results]
        in_time = sum(result.earned == result.max_credit for result in self.results)
        answered = statuses.count("answered")
        worth = (
            sum(w * p for w, p in zip(SCORE_WEIGHTS, components, strict=True)) - price
        )
        return Score(
            worth,
            *components,
            price,
            in_time / count,
            (answered - in_time) / count,
            statuses.count("refused") / count,
            statuses.count("failed") / count,
            busy,
            0.0,
            by_kind | by_size,
            served_by_domain=self._domain_fractions(),
        )

    def _domain_fractions(self) -> dict[str, float]:
        """Return the fraction answered in time by the domain of the caller."""
        count_by_domain: Counter[str] = Counter()
        in_time_by_domain: Counter[str] = Counter()
        for result in self.results:
            domain_id = result.arrival.domain_id
            count_by_domain[domain_id] += 1
            in_time_by_domain[domain_id] += result.earned == result.max_credit
        return {
            domain_id: in_time_by_domain[domain_id] / count
            for domain_id, count in count_by_domain.items()
        }

    def _size_fractions(self) -> dict[str, float]:
        """Return earned fractions of each kind's largest tenth and the next fifth."""
        entitled = [
            result.max_credit * fraction
            for result, (_, fraction) in zip(
                self.results, self.entitled_fractions(), strict=True
            )
        ]
        fractions: dict[str, float] = {}
        for kind in self.shape.kinds:
            pairs = [
                (result, amount)
                for result, amount in zip(self.results, entitled, strict=True)
                if result.arrival.kind == kind
            ]
            pairs.sort(key=lambda pair: -pair[0].arrival.weighted_tokens)
            tenth = max(1, len(pairs) // 10)
            groups = {"tenth": pairs[:tenth], "fifth": pairs[tenth : 3 * tenth]}
            for name, group in groups.items():
                total = sum(amount for _, amount in group)
                earned = sum(result.earned for result, _ in group)
                if total:
                    fractions[f"{kind.kind_id} {name}"] = min(1.0, earned / total)
        return fractions

    def _group_key(self, result: RequestResult) -> GroupKey:
        """Return the window, account and kind by which earned credit is capped."""
        arrival = result.arrival
        return (self._window(result), arrival.account_id, arrival.kind.kind_id)

    def entitled_fractions(self) -> list[tuple[Arrival, float]]:
        """Return each request with the fraction of its credit that it is entitled to.

        The fraction is below 1 if the account requests more than its max-min share of
        the capacity in a window.
        """
        requested: dict[int, dict[str, float]] = {}
        for result in self.results:
            by_account = requested.setdefault(self._window(result), {})
            account_id = result.arrival.account_id
            tokens = result.arrival.weighted_tokens
            by_account[account_id] = by_account.get(account_id, 0.0) + tokens
        seconds = self.shape.share_window_seconds
        capacity = self.shape.tokens_per_second * seconds
        share_by_window = {
            window: max_min_share(by_account.values(), capacity)
            for window, by_account in requested.items()
        }
        fractions: list[tuple[Arrival, float]] = []
        for result in self.results:
            window, account_id, _ = self._group_key(result)
            share = share_by_window[window]
            fraction = 1.0
            if share is not None:
                fraction = min(1.0, share / requested[window][account_id])
            fractions.append((result.arrival, fraction))
        return fractions

    def _entitled_credit(self) -> dict[GroupKey, float]:
        """Return the entitled credit by window, account and kind."""
        entitled: dict[GroupKey, float] = {}
        for result, (_, fraction) in zip(
            self.results, self.entitled_fractions(), strict=True
        ):
            key = self._group_key(result)
            entitled[key] = entitled.get(key, 0.0) + result.max_credit * fraction
        return entitled

    def _earned_credit(self, entitled: dict[GroupKey, float]) -> dict[GroupKey, float]:
        """Return the earned credit of each group, capped at the entitled credit."""
        earned: dict[GroupKey, float] = {}
        for result in self.results:
            key = self._group_key(result)
            earned[key] = earned.get(key, 0.0) + result.earned
        return {
            key: min(amount, earned.get(key, 0.0)) for key, amount in entitled.items()
        }

    def _window(self, result: RequestResult) -> int:
        """Return the window in which a request arrived."""
        return int(result.arrival.at / self.shape.share_window_seconds)


def _earned_fractions(
    entitled: dict[GroupKey, float],
    earned: dict[GroupKey, float],
    group_of: Callable[[GroupKey], int | str],
) -> dict[str, float]:
    """Return the earned fraction of the entitled credit by group."""
    entitled_by_group: dict[str, float] = {}
    earned_by_group: dict[str, float] = {}
    for key, amount in entitled.items():
        group = str(group_of(key))
        entitled_by_group[group] = entitled_by_group.get(group, 0.0) + amount
        earned_by_group[group] = earned_by_group.get(group, 0.0) + earned[key]
    return {
        group: earned_by_group[group] / amount
        for group, amount in entitled_by_group.items()
    }
