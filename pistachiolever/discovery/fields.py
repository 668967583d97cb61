"""Reads fields of what endpoints say of themselves, whatever the names."""

from typing import Any

from orjson import JSONDecodeError, loads

from pistachiolever.core.numbers import MAX_NUMBER


class InvalidAnnouncementError(Exception):
    """An announcement or report is malformed."""


def read_object(body: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object."""
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise InvalidAnnouncementError(f"invalid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidAnnouncementError("must be an object")
    return fields


def read_string(fields: dict[str, Any], name: str) -> str:
    """Return a required, non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidAnnouncementError(f"{name}: must be a non-empty string")
    return value


def read_integer(fields: dict[str, Any], name: str, maximum: int = MAX_NUMBER) -> int:
    """Return a required integer from 0 to a maximum."""
    return check_integer(fields.get(name), name, maximum)


def check_integer(value: Any, name: str, maximum: int = MAX_NUMBER) -> int:
    """Return a value that must be an integer from 0 to a maximum."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidAnnouncementError(f"{name}: must be an integer")
    if not 0 <= value <= maximum:
        raise InvalidAnnouncementError(f"{name}: is out of range")
    return value
