"""Checks JSON documents against their JSON Schema, reporting every fault."""

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
    """Return a schema that ships with a package."""
    text = files(package).joinpath(name).read_bytes()
    schema: dict[str, Any] = loads(text)
    return schema


def read_document(path: Path) -> Any:
    """Return the JSON document in a file."""
    try:
        return loads(path.read_bytes())
    except OSError as error:
        detail = f"cannot be read ({error.strerror}); give a readable JSON file"
        raise InvalidDocumentError([Problem(str(path), "", detail)]) from error
    except JSONDecodeError as error:
        detail = f"is not JSON: {error.msg} at line {error.lineno}"
        raise InvalidDocumentError([Problem(str(path), "", detail)]) from error


def check_schema(document: Any, schema: dict[str, Any], file: str) -> list[Problem]:
    """Return every fault of the document against the schema."""
    validator = Draft202012Validator(schema)
    problems: list[Problem] = []
    for error in validator.iter_errors(document):
        problems.extend(_problems_of(error, file))
    return problems


def _problems_of(error: ValidationError, file: str) -> Iterable[Problem]:
    """Return one problem for each field that the error names."""
    path = ".".join(str(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        allowed = sorted(error.schema.get("properties", {}))
        for key in sorted(set(error.instance) - set(allowed)):
            where = f"{path}.{key}" if path else key
            yield Problem(file, where, f"unknown key; allowed: {', '.join(allowed)}")
        return
    yield Problem(file, path, _message_of(error))


def _message_of(error: ValidationError) -> str:
    """Return what is wrong and what is allowed."""
    rule = error.validator_value
    if error.validator == "pattern":
        meaning = error.schema.get("description", f"text matching {rule}")
        return f"{error.instance!r} is not allowed; give {meaning}"
    if error.validator in ("minimum", "maximum", "exclusiveMinimum"):
        low = error.schema.get("minimum", error.schema.get("exclusiveMinimum", "-"))
        high = error.schema.get("maximum", "-")
        return f"{error.instance!r} is out of range; allowed: {low} to {high}"
    if error.validator == "type":
        return f"{error.instance!r} has the wrong type; allowed: {rule}"
    if error.validator == "enum":
        names = ", ".join(str(name) for name in rule)
        return f"{error.instance!r} is not allowed; allowed: {names}"
    return str(error.message)
