"""Validates JSON documents against a JSON Schema and reports all problems."""

from collections.abc import Iterable
from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator, ValidationError
from orjson import JSONDecodeError, loads

from pistachiolever.settings.errors import InvalidDocumentError, Problem


@cache
def load_schema(package: str, name: str) -> dict[str, Any]:
    """Return a JSON Schema included in a package."""
    text = files(package).joinpath(name).read_bytes()
    schema: dict[str, Any] = loads(text)
    return schema


def read_document(path: Path) -> Any:
    """Return a file's JSON document; raise InvalidDocumentError if unreadable."""
    try:
        return loads(path.read_bytes())
    except OSError as error:
        detail = f"cannot be read ({error.strerror}); expected a readable JSON file"
        raise InvalidDocumentError([Problem(str(path), "", detail)]) from error
    except JSONDecodeError as error:
        detail = f"is not valid JSON: {error.msg} at line {error.lineno}"
        raise InvalidDocumentError([Problem(str(path), "", detail)]) from error


def check_schema(document: Any, schema: dict[str, Any], file: str) -> list[Problem]:
    """Return all problems of a document according to the schema."""
    validator = Draft202012Validator(schema)
    problems: list[Problem] = []
    for error in validator.iter_errors(document):
        problems.extend(_to_problems(error, file))
    return problems


def _to_problems(error: ValidationError, file: str) -> Iterable[Problem]:
    """Return one problem per field that a validation error names."""
    path = ".".join(str(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        allowed = sorted(error.schema.get("properties", {}))
        for key in sorted(set(error.instance) - set(allowed)):
            key_path = f"{path}.{key}" if path else key
            yield Problem(file, key_path, f"unknown key; allowed: {', '.join(allowed)}")
        return
    yield Problem(file, path, _format_message(error))


def _format_message(error: ValidationError) -> str:
    """Return a message that states the error and the allowed values."""
    rule = error.validator_value
    if error.validator == "pattern":
        expected = error.schema.get("description", f"text matching {rule}")
        return f"{error.instance!r} is not allowed; expected {expected}"
    if error.validator in ("minimum", "maximum", "exclusiveMinimum"):
        minimum = error.schema.get("minimum", error.schema.get("exclusiveMinimum", "-"))
        maximum = error.schema.get("maximum", "-")
        return f"{error.instance!r} is out of range; allowed: {minimum} to {maximum}"
    if error.validator == "type":
        return f"{error.instance!r} has the wrong type; allowed: {rule}"
    if error.validator == "enum":
        values = ", ".join(str(value) for value in rule)
        return f"{error.instance!r} is not allowed; allowed: {values}"
    return str(error.message)
