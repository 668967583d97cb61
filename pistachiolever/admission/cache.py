"""Model of an engine's prompt prefix cache."""

from collections import OrderedDict

from attrs import define, field

from pistachiolever.admission.models import PromptPart


@define
class PrefixCache:
    """An LRU cache of prompt parts; sizes are in tokens.

    A part can only be reused behind the same preceding parts, so its key names them
    all.
    """

    capacity_tokens: float
    tokens_by_key: OrderedDict[str, int] = field(factory=OrderedDict)
    used_tokens: int = 0

    def cached_tokens(self, model: str, parts: list[PromptPart]) -> int:
        """Return how many tokens of a prompt need no prefill."""
        total = 0
        for key, part in keyed_parts(model, parts):
            if key not in self.tokens_by_key:
                break
            total += part.tokens
        return total

    def insert(self, model: str, parts: list[PromptPart]) -> None:
        """Insert a prompt's parts as the most recently used; evict the oldest ones."""
        for key, part in reversed(list(keyed_parts(model, parts))):
            known = self.tokens_by_key.pop(key, None)
            if known is None:
                self.used_tokens += part.tokens
            self.tokens_by_key[key] = part.tokens
        while self.used_tokens > self.capacity_tokens and self.tokens_by_key:
            _, tokens = self.tokens_by_key.popitem(last=False)
            self.used_tokens -= tokens

    def clear(self) -> None:
        """Remove all parts, after a restart of the engine."""
        self.tokens_by_key.clear()
        self.used_tokens = 0


def keyed_parts(model: str, parts: list[PromptPart]) -> list[tuple[str, PromptPart]]:
    """Return each part with a key that names it and all parts before it."""
    key = model
    keyed = []
    for part in parts:
        key = f"{key}/{part.part_id}"
        keyed.append((key, part))
    return keyed
