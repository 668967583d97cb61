"""Values by key, with the number of the state in which each was last set."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

from attrs import define, field

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


@define
class ChangeLog(Generic[K, V]):
    """Values by key in the order in which they were last set.

    Reading the changes since a state costs as much as there are changes.
    """

    entry_by_key: OrderedDict[K, tuple[int, V]] = field(factory=OrderedDict)

    def set(self, key: K, value: V, number: int) -> None:
        """Set a value in the state with a number, which never falls."""
        self.entry_by_key[key] = (number, value)
        self.entry_by_key.move_to_end(key)

    def get(self, key: K) -> V | None:
        """Return a value, or None."""
        entry = self.entry_by_key.get(key)
        return entry[1] if entry else None

    def remove(self, key: K) -> None:
        """Remove a value, if there is one; this is no change."""
        self.entry_by_key.pop(key, None)

    def since(self, number: int) -> list[tuple[K, V]]:
        """Return what was set in states after the one with a number."""
        changes: list[tuple[K, V]] = []
        for key, (set_in, value) in reversed(self.entry_by_key.items()):
            if set_in <= number:
                break
            changes.append((key, value))
        return changes
