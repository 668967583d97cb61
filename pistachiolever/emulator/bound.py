"""Upper bound of the credit that a scheduler with full knowledge could earn."""

from pistachiolever.emulator.models import Arrival, LoadShape
from pistachiolever.emulator.scoring import ScoreCollector


def min_busy_fraction(shape: LoadShape, collector: ScoreCollector) -> float:
    """Return the fraction of engine time that the entitled requests need at least.

    Up to 1, a scheduler that knows all arrivals and loses nothing by their order earns
    the whole entitled credit; above 1, at most the inverse of it. The bound assumes
    that each shared part is prefilled once per run and that all batches are full.
    """
    seconds = 0.0
    prefilled_ids: set[str] = set()
    for arrival, fraction in collector.entitled_fractions():
        seconds += fraction * _unshared_seconds(shape, arrival)
        for name, tokens in arrival.parts[:-1]:
            if name not in prefilled_ids:
                prefilled_ids.add(name)
                seconds += fraction * _prefill_seconds(shape, tokens, 0)
    slow_downs = shape.engine.slow_downs
    relative_speed = sum(1 / factor for factor in slow_downs) / len(slow_downs)
    engines = sum(domain.engines for domain in shape.domains)
    return seconds / (engines * relative_speed * shape.seconds)


def _unshared_seconds(shape: LoadShape, arrival: Arrival) -> float:
    """Return the seconds to prefill a request's unshared part and to decode it."""
    engine = shape.engine
    shared_tokens = sum(tokens for _, tokens in arrival.parts[:-1])
    prefill = _prefill_seconds(shape, arrival.parts[-1][1], shared_tokens)
    step_ms = engine.step_ms / engine.slots + engine.step_ms_each
    return prefill + arrival.output_tokens * step_ms / 1000


def _prefill_seconds(shape: LoadShape, tokens: int, context_tokens: int) -> float:
    """Return the seconds to prefill tokens that follow `context_tokens` others."""
    engine = shape.engine
    pairs = tokens * (context_tokens + tokens / 2) / 1e6
    milliseconds = tokens / engine.read_tokens_per_ms
    return (milliseconds + pairs * engine.pairs_ms_per_million) / 1000
