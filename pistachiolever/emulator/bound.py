"""What a queue that knew everything could earn at most: an upper bound."""

from pistachiolever.emulator.ledger import Ledger
from pistachiolever.emulator.models import Arrival, LoadShape


def needed_share(shape: LoadShape, ledger: Ledger) -> float:
    """Return the part of the engines' time that all owed requests need at least.

    Up to one, a queue that knew all arrivals, and lost nothing by their order, would
    earn all that was owed; beyond it at most the inverse. Shared parts are read once
    in the whole run, and tokens are made in full batches.
    """
    seconds = 0.0
    seen: set[str] = set()
    for arrival, part in ledger.owed_parts():
        seconds += part * _own_seconds(shape, arrival)
        for name, tokens in arrival.parts[:-1]:
            if name not in seen:
                seen.add(name)
                seconds += part * _read_seconds(shape, tokens, 0)
    slow_downs = shape.engine.slow_downs
    speed = sum(1 / factor for factor in slow_downs) / len(slow_downs)
    engines = sum(domain.engines for domain in shape.domains)
    return seconds / (engines * speed * shape.seconds)


def _own_seconds(shape: LoadShape, arrival: Arrival) -> float:
    """Return the time for the part of its own and for the answer of a request."""
    engine = shape.engine
    shared = sum(tokens for _, tokens in arrival.parts[:-1])
    read = _read_seconds(shape, arrival.parts[-1][1], shared)
    step_ms = engine.step_ms / engine.slots + engine.step_ms_each
    return read + arrival.output_tokens * step_ms / 1000


def _read_seconds(shape: LoadShape, tokens: int, before: int) -> float:
    """Return the time to read tokens that come after others."""
    engine = shape.engine
    pairs = tokens * (before + tokens / 2) / 1e6
    milliseconds = tokens / engine.read_tokens_per_ms
    return (milliseconds + pairs * engine.pairs_ms_per_million) / 1000
