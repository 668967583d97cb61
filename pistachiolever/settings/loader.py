"""Loads and validates the settings file of a process."""

from pathlib import Path
from typing import Any

from cattrs.preconf.orjson import make_converter

from pistachiolever.settings.const import (
    DEFAULT_HEARTBEAT_SECONDS,
    DEFAULT_LEASE_SECONDS,
)
from pistachiolever.settings.errors import InvalidDocumentError, Problem
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.settings.schema import check_schema, load_schema, read_document

_converter = make_converter()


def load_settings(path: Path, role: str) -> ProcessSettings:
    """Return valid settings for a role; raise InvalidDocumentError otherwise."""
    document = read_document(path)
    problems = check_settings(document, str(path), role)
    if problems:
        raise InvalidDocumentError(problems)
    return _converter.structure(document, ProcessSettings)


def check_settings(document: Any, file: str, role: str) -> list[Problem]:
    """Return all problems of a settings document."""
    schema = load_schema("pistachiolever.settings", "process.schema.json")
    problems = check_schema(document, schema, file)
    if not isinstance(document, dict):
        return problems
    if role and role not in document:
        detail = f"missing; the role {role} requires this settings object"
        problems.append(Problem(file, role, detail))
    heartbeat = document.get("heartbeat_seconds", DEFAULT_HEARTBEAT_SECONDS)
    lease = document.get("lease_seconds", DEFAULT_LEASE_SECONDS)
    if _is_number(heartbeat) and _is_number(lease) and lease < 2 * heartbeat:
        detail = f"{lease} is too short; allowed: at least twice heartbeat_seconds"
        problems.append(Problem(file, "lease_seconds", detail))
    return problems


def _is_number(value: object) -> bool:
    """Return whether a JSON value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)
