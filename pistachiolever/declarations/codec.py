"""Conversion of declarations to and from JSON."""

from typing import Any

from cattrs.preconf.orjson import make_converter
from orjson import OPT_INDENT_2, OPT_SORT_KEYS, dumps, loads

from pistachiolever.declarations.models import Declarations

_converter = make_converter(omit_if_default=True)


def to_document(declarations: Declarations) -> dict[str, Any]:
    """Return the declarations as a JSON document."""
    document: dict[str, Any] = _converter.unstructure(declarations)
    document["preset_in_force"] = declarations.preset_in_force
    return document


def to_text(declarations: Declarations) -> str:
    """Return the declarations as compact JSON with sorted keys."""
    return dumps(to_document(declarations), option=OPT_SORT_KEYS).decode()


def to_pretty_text(declarations: Declarations) -> str:
    """Return the declarations as indented JSON with sorted keys."""
    return dumps(
        to_document(declarations), option=OPT_SORT_KEYS | OPT_INDENT_2
    ).decode()


def from_document(document: Any) -> Declarations:
    """Return the declarations in a document that passed all checks."""
    return _converter.structure(document, Declarations)


def from_text(text: str | bytes) -> Declarations:
    """Return the declarations in a JSON text that passed all checks."""
    return from_document(loads(text))
