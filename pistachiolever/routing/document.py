"""Reads typed fields of a configuration document, whatever its names."""

from typing import Any

from pistachiolever.core.numbers import MAX_NUMBER
from pistachiolever.routing.errors import InvalidConfigurationError


class FieldReader:
    """Typed access to the fields of a JSON object; errors name the field."""

    def __init__(self, fields: Any, path: str) -> None:
        """Raise InvalidConfigurationError if the value is not an object."""
        if not isinstance(fields, dict):
            raise InvalidConfigurationError(path, "must be an object")
        self.fields: dict[str, Any] = fields
        self.path = path

    def error(self, name: str, reason: str) -> InvalidConfigurationError:
        """Return an error that names a field."""
        return InvalidConfigurationError(f"{self.path}.{name}", reason)

    def string(self, name: str) -> str:
        """Return a required, non-empty string."""
        value = self.fields.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, "must be a non-empty string")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number; required unless there is a default."""
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(name, "must be a number")
        if abs(value) > MAX_NUMBER:
            raise self.error(name, "is out of range")
        return float(value)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer; required unless there is a default."""
        value = self.fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self.error(name, "must be an integer")
        if abs(value) > MAX_NUMBER:
            raise self.error(name, "is out of range")
        return value

    def boolean(self, name: str) -> bool:
        """Return a boolean; false if it is missing."""
        value = self.fields.get(name, False)
        if not isinstance(value, bool):
            raise self.error(name, "must be true or false")
        return value

    def objects(self, name: str) -> list["FieldReader"]:
        """Return the objects of a list."""
        value = self.fields.get(name)
        if not isinstance(value, list):
            raise self.error(name, "must be a list")
        return [
            FieldReader(entry, f"{self.path}.{name}[{index}]")
            for index, entry in enumerate(value)
        ]

    def object(self, name: str) -> "FieldReader":
        """Return an object."""
        return FieldReader(self.fields.get(name), f"{self.path}.{name}")

    def strings(self, name: str) -> list[str]:
        """Return a list of strings; empty if it is missing."""
        value = self.fields.get(name, [])
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self.error(name, "must be a list of strings")
        return value
