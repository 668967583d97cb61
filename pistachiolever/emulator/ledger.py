"""What callers got of what they were owed, by the users' rules for credit."""

from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

from pistachiolever.emulator.callers import CallerEnd
from pistachiolever.emulator.const import BASE_WORTH, MOST_WORTH
from pistachiolever.emulator.engine import EngineTally
from pistachiolever.emulator.models import Arrival, KindShape, LoadShape
from pistachiolever.gateway.fair_shares import max_min_share

# Weights of the parts of the worth: the whole run, the two worst windows, the worst
# kind, the worst tenth of accounts.
WEIGHTS: Final = (0.45, 0.15, 0.1, 0.3)

# A token of output counts so many tokens of prompt in the size of a request.
OUTPUT_SIZE: Final = 10.0

Key = tuple[int, str, str]


@frozen
class Entry:
    """A request that ended: what it could earn and what it earned."""

    arrival: Arrival
    end: CallerEnd
    most: float
    earned: float


@frozen
class Score:
    """Parts of what was owed that callers got, and what engines did.

    `whole` to `worst_accounts` are shares of the credit owed, `read_again` the price of
    shared parts that were read again against it; counts are shares of requests. `busy`
    is the part of the engines' time that was used, `needed` what the owed requests
    need at least (emulator.bound).
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


def worth_of(arrival: Arrival, event_tokens: int) -> float:
    """Return what an answer in time earns: more for larger requests."""
    kind = arrival.kind
    size = arrival.prompt_tokens + OUTPUT_SIZE * arrival.output_tokens
    share = BASE_WORTH + (1 - BASE_WORTH) * size / mean_size(kind, event_tokens)
    return kind.worth * min(MOST_WORTH, share)


def mean_size(kind: KindShape, event_tokens: int) -> float:
    """Return the mean size of a kind's requests in tokens."""
    shared = sum(part.tokens for part in kind.parts)
    output = kind.output_events * event_tokens
    return shared + kind.prompt_tokens + OUTPUT_SIZE * output


@define
class Ledger:
    """The entries of a run."""

    shape: LoadShape
    entries: list[Entry] = field(factory=list)

    def note(self, arrival: Arrival, end: CallerEnd) -> None:
        """Write down how a request ended."""
        kind = arrival.kind
        most = worth_of(arrival, self.shape.engine.event_tokens)
        earned = 0.0
        if end.status == "answered" and end.first_seconds is not None:
            in_time = end.first_seconds <= kind.target_seconds
            in_time = in_time and end.longest_gap <= kind.gap_seconds
            earned = most if in_time else most * kind.late_worth / kind.worth
        self.entries.append(Entry(arrival, end, most, earned))

    def score(self, tally: EngineTally, busy: float) -> Score:
        """Return the parts of the worth."""
        owed = self._owed()
        total = sum(owed.values())
        got = self._earned(owed)
        whole = sum(got.values()) / total
        windows = sorted(_shares(owed, got, lambda key: key[0]).values())
        by_kind = _shares(owed, got, lambda key: key[2])
        by_size = self._by_size()
        kinds = sorted([*by_kind.values(), *by_size.values()])
        accounts = sorted(_shares(owed, got, lambda key: key[1]).values())
        tenth = max(1, round(len(accounts) / 10))
        worst = (
            whole,
            sum(windows[:2]) / 2,
            kinds[0],
            sum(accounts[:tenth]) / tenth,
        )
        price = self.shape.read_again_price * tally.read_again / 1000 / total
        count = len(self.entries)
        statuses = [entry.end.status for entry in self.entries]
        in_time = sum(entry.earned == entry.most for entry in self.entries)
        answered = statuses.count("answered")
        worth = sum(w * p for w, p in zip(WEIGHTS, worst, strict=True)) - price
        return Score(
            worth,
            *worst,
            price,
            in_time / count,
            (answered - in_time) / count,
            statuses.count("refused") / count,
            statuses.count("failed") / count,
            busy,
            0.0,
            by_kind | by_size,
        )

    def _by_size(self) -> dict[str, float]:
        """Return the parts that the largest tenth of a kind and the fifth below got."""
        owed = [
            entry.most * part
            for entry, (_, part) in zip(self.entries, self.owed_parts(), strict=True)
        ]
        shares: dict[str, float] = {}
        for kind in self.shape.kinds:
            pairs = [
                (entry, amount)
                for entry, amount in zip(self.entries, owed, strict=True)
                if entry.arrival.kind == kind
            ]
            pairs.sort(key=lambda pair: -pair[0].arrival.weighted_tokens)
            tenth = max(1, len(pairs) // 10)
            groups = {"tenth": pairs[:tenth], "fifth": pairs[tenth : 3 * tenth]}
            for name, group in groups.items():
                asked = sum(amount for _, amount in group)
                earned = sum(entry.earned for entry, _ in group)
                if asked:
                    shares[f"{kind.kind_id} {name}"] = min(1.0, earned / asked)
        return shares

    def _key(self, entry: Entry) -> Key:
        """Return the group of a request whose credits are bounded together."""
        arrival = entry.arrival
        return (self._window(entry), arrival.account_id, arrival.kind.kind_id)

    def owed_parts(self) -> list[tuple[Arrival, float]]:
        """Return each request with the part of it that is owed.

        An account that asks for more than its share in a window is owed that part.
        """
        asked: dict[int, dict[str, float]] = {}
        for entry in self.entries:
            by_account = asked.setdefault(self._window(entry), {})
            account_id = entry.arrival.account_id
            tokens = entry.arrival.weighted_tokens
            by_account[account_id] = by_account.get(account_id, 0.0) + tokens
        seconds = self.shape.share_window_seconds
        capacity = self.shape.tokens_per_second * seconds
        level = {
            window: max_min_share(by_account.values(), capacity)
            for window, by_account in asked.items()
        }
        parts: list[tuple[Arrival, float]] = []
        for entry in self.entries:
            window, account_id, _ = self._key(entry)
            most = level[window]
            part = 1.0
            if most is not None:
                part = min(1.0, most / asked[window][account_id])
            parts.append((entry.arrival, part))
        return parts

    def _owed(self) -> dict[Key, float]:
        """Return the credit owed by window, account and kind."""
        owed: dict[Key, float] = {}
        for entry, (_, part) in zip(self.entries, self.owed_parts(), strict=True):
            key = self._key(entry)
            owed[key] = owed.get(key, 0.0) + entry.most * part
        return owed

    def _earned(self, owed: dict[Key, float]) -> dict[Key, float]:
        """Return the credit earned, up to what was owed."""
        earned: dict[Key, float] = {}
        for entry in self.entries:
            key = self._key(entry)
            earned[key] = earned.get(key, 0.0) + entry.earned
        return {key: min(amount, earned.get(key, 0.0)) for key, amount in owed.items()}

    def _window(self, entry: Entry) -> int:
        """Return the window in which a request was first asked."""
        return int(entry.arrival.at / self.shape.share_window_seconds)


def _shares(
    owed: dict[Key, float],
    got: dict[Key, float],
    group_of: Callable[[Key], int | str],
) -> dict[str, float]:
    """Return the part of what was owed that was earned, by group."""
    owed_by_group: dict[str, float] = {}
    got_by_group: dict[str, float] = {}
    for key, amount in owed.items():
        group = str(group_of(key))
        owed_by_group[group] = owed_by_group.get(group, 0.0) + amount
        got_by_group[group] = got_by_group.get(group, 0.0) + got[key]
    return {
        group: got_by_group[group] / amount for group, amount in owed_by_group.items()
    }
