"""Human-readable differences between two sets of declarations."""

from typing import Any

from attrs import frozen
from orjson import dumps

from pistachiolever.declarations.check import LIST_NAMES


@frozen
class Difference:
    """An added (`+`) or removed (`-`) item, or a modified field (`~`)."""

    sign: str
    path: str
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        """Return the difference as one line."""
        if self.sign == "~":
            return f"~ {self.path}: {self.before} -> {self.after}"
        return f"{self.sign} {self.path}"


def diff_documents(before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    """Return the differences between two documents in a stable order."""
    differences: list[Difference] = []
    for name in LIST_NAMES:
        differences.extend(_diff_list(name, before.get(name, []), after.get(name, [])))
    old, new = before.get("preset_in_force"), after.get("preset_in_force")
    if old != new:
        differences.append(
            Difference("~", "preset_in_force", _format_value(old), _format_value(new))
        )
    return differences


def _diff_list(
    name: str, before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> list[Difference]:
    """Return the differences between two lists, matched by id."""
    old_by_id = {item["id"]: item for item in before}
    new_by_id = {item["id"]: item for item in after}
    differences: list[Difference] = []
    for item_id in sorted(set(old_by_id) | set(new_by_id)):
        path = f"{name}.{item_id}"
        if item_id not in old_by_id:
            differences.append(Difference("+", path))
        elif item_id not in new_by_id:
            differences.append(Difference("-", path))
        else:
            differences.extend(_diff_item(path, old_by_id[item_id], new_by_id[item_id]))
    return differences


def _diff_item(
    path: str, before: dict[str, Any], after: dict[str, Any]
) -> list[Difference]:
    """Return the fields that differ between two versions of an item."""
    return [
        Difference(
            "~",
            f"{path}.{key}",
            _format_value(before.get(key)),
            _format_value(after.get(key)),
        )
        for key in sorted(set(before) | set(after))
        if before.get(key) != after.get(key)
    ]


def _format_value(value: Any) -> str:
    """Return a value as compact JSON; an omitted one has its default."""
    return "(default)" if value is None else dumps(value).decode()
