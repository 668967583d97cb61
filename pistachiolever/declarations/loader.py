"""Reads a folder (or one file) of declarations."""

from pathlib import Path
from typing import Any

from pistachiolever.declarations.check import (
    LIST_NAMES,
    check_declarations,
)
from pistachiolever.declarations.codec import from_document
from pistachiolever.declarations.models import Declarations
from pistachiolever.settings.errors import InvalidDocumentError, Problem
from pistachiolever.settings.schema import check_schema, load_schema, read_document


def load_declarations(path: Path) -> Declarations:
    """Return the checked declarations; raise InvalidDocumentError with every fault."""
    if path.is_file():
        document = read_document(path)
        problems = check_declarations(document, str(path))
    else:
        document, problems = _read_folder(path)
        if not problems:
            problems = check_declarations(document, f"{path}/*.json")
    if problems:
        raise InvalidDocumentError(problems)
    return from_document(document)


def _read_folder(path: Path) -> tuple[dict[str, Any], list[Problem]]:
    """Merge the JSON files of a folder; faults of a file name that file."""
    schema = load_schema("pistachiolever.declarations", "declarations.schema.json")
    merged: dict[str, Any] = {}
    problems: list[Problem] = []
    files = sorted(path.glob("*.json"))
    if not files:
        detail = "holds no *.json file; give a folder of declarations"
        problems.append(Problem(str(path), "", detail))
    for file in files:
        try:
            part = read_document(file)
        except InvalidDocumentError as error:
            problems.extend(error.problems)
            continue
        faults = check_schema(part, schema, str(file))
        problems.extend(faults)
        if not faults:
            problems.extend(_merge(merged, part, str(file)))
    return merged, problems


def _merge(merged: dict[str, Any], part: dict[str, Any], file: str) -> list[Problem]:
    """Add one file to the whole."""
    for name in LIST_NAMES:
        if name in part:
            merged.setdefault(name, []).extend(part[name])
    if "preset_in_force" not in part:
        return []
    if "preset_in_force" in merged:
        detail = "stands in two files; keep exactly one"
        return [Problem(file, "preset_in_force", detail)]
    merged["preset_in_force"] = part["preset_in_force"]
    return []
