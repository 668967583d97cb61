"""Checks beyond the schema: duplicate ids and keys, dangling references."""

from collections.abc import Iterable
from typing import Any, Final

from pistachiolever.settings.errors import Problem
from pistachiolever.settings.schema import check_schema, load_schema

LIST_NAMES: Final = (
    "accounts",
    "services",
    "endpoints",
    "failure_domains",
    "presets",
)


def check_declarations(document: Any, file: str) -> list[Problem]:
    """Return all problems of a document that holds the complete declarations."""
    schema = load_schema("pistachiolever.declarations", "declarations.schema.json")
    problems = check_schema(document, schema, file)
    if not isinstance(document, dict):
        return problems
    problems.extend(_duplicate_ids(document, file))
    problems.extend(_duplicate_keys(document, file))
    problems.extend(_dangling_services(document, file))
    problems.extend(_dangling_presets(document, file))
    return problems


def _items(document: dict[str, Any], name: str) -> list[tuple[int, dict[str, Any]]]:
    """Return the objects of a list with their index, skipping other values."""
    values = document.get(name, [])
    if not isinstance(values, list):
        return []
    return [(i, value) for i, value in enumerate(values) if isinstance(value, dict)]


def _ids(document: dict[str, Any], name: str) -> set[str]:
    """Return the ids declared in a list."""
    return {
        value["id"]
        for _, value in _items(document, name)
        if isinstance(value.get("id"), str)
    }


def _duplicate_ids(document: dict[str, Any], file: str) -> Iterable[Problem]:
    """Find ids that occur more than once in a list."""
    for name in LIST_NAMES:
        seen: set[str] = set()
        for index, value in _items(document, name):
            item_id = value.get("id")
            if not isinstance(item_id, str):
                continue
            if item_id in seen:
                detail = f"{item_id!r} is declared twice; ids must be unique"
                yield Problem(file, f"{name}.{index}.id", detail)
            seen.add(item_id)


def _duplicate_keys(document: dict[str, Any], file: str) -> Iterable[Problem]:
    """Find keys that are assigned to more than one account."""
    owner_by_key: dict[str, str] = {}
    for index, value in _items(document, "accounts"):
        for digest in _strings(value.get("key_sha256")):
            owner = owner_by_key.setdefault(digest, str(value.get("id")))
            if owner != value.get("id"):
                detail = (
                    f"key already used by account {owner!r}; each account needs its own"
                )
                yield Problem(file, f"accounts.{index}.key_sha256", detail)


def _dangling_services(document: dict[str, Any], file: str) -> Iterable[Problem]:
    """Find references to services that are not declared."""
    known = _ids(document, "services")
    allowed = ", ".join(sorted(known)) or "none is declared"
    for index, value in _items(document, "accounts"):
        for service_id in _strings(value.get("service_ids")):
            if service_id not in known:
                detail = f"no service {service_id!r}; declared: {allowed}"
                yield Problem(file, f"accounts.{index}.service_ids", detail)
    for index, value in _items(document, "endpoints"):
        wanted = value.get("service_id")
        if isinstance(wanted, str) and wanted not in known:
            detail = f"no service {wanted!r}; declared: {allowed}"
            yield Problem(file, f"endpoints.{index}.service_id", detail)


def _dangling_presets(document: dict[str, Any], file: str) -> Iterable[Problem]:
    """Find an undeclared preset in force and factors of undeclared accounts."""
    presets = _ids(document, "presets")
    in_force = document.get("preset_in_force")
    if in_force is None:
        detail = "missing; set it to the id of one declared preset"
        yield Problem(file, "preset_in_force", detail)
    elif isinstance(in_force, str) and in_force not in presets:
        allowed = ", ".join(sorted(presets)) or "none is declared"
        detail = f"no preset {in_force!r}; declared: {allowed}"
        yield Problem(file, "preset_in_force", detail)
    accounts = _ids(document, "accounts")
    for index, value in _items(document, "presets"):
        factors = value.get("account_weight_factors", {})
        for account_id in factors if isinstance(factors, dict) else []:
            if account_id not in accounts:
                path = f"presets.{index}.account_weight_factors.{account_id}"
                yield Problem(
                    file, path, "no such account; declare it or remove the factor"
                )


def _strings(value: Any) -> list[str]:
    """Return the strings of a JSON list; empty for any other value."""
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, str)]
