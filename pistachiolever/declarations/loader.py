"""Reads a folder (or one file) of declarations."""

from pathlib import Path
from typing import Any, Final

from attrs import define, evolve, field

from pistachiolever.declarations.check import (
    LIST_NAMES,
    check_declarations,
)
from pistachiolever.declarations.codec import from_document
from pistachiolever.declarations.models import Declarations
from pistachiolever.settings.errors import InvalidDocumentError, Problem
from pistachiolever.settings.schema import check_schema, load_schema, read_document

ALL_FILES: Final = "(all files)"


@define
class Origins:
    """Where the items of the merged lists came from: a file for each, in order."""

    folder: str
    files_by_list: dict[str, list[str]] = field(factory=dict)

    def note(self, name: str, file: str, count: int) -> None:
        """Note that the next items of a list come from a file."""
        self.files_by_list.setdefault(name, []).extend([file] * count)

    def locate(self, problem: Problem) -> Problem:
        """Return a fault with the file and index where the operator finds it."""
        name, _, rest = problem.path.partition(".")
        index, _, inner = rest.partition(".")
        files = self.files_by_list.get(name, [])
        if not index.isdigit() or int(index) >= len(files):
            return evolve(problem, file=self.folder)
        file = files[int(index)]
        own = files[: int(index)].count(file)
        path = f"{name}.{own}.{inner}" if inner else f"{name}.{own}"
        return evolve(problem, file=file, path=path)


@define
class FolderContent:
    """The merged files of a folder, and the faults of single files."""

    origins: Origins
    document: dict[str, Any] = field(factory=dict)
    problems: list[Problem] = field(factory=list)


def load_declarations(path: Path) -> Declarations:
    """Return the checked declarations; raise InvalidDocumentError with every fault."""
    if path.is_file():
        document = read_document(path)
        problems = check_declarations(document, str(path))
    else:
        content = _read_folder(path)
        document, problems = content.document, content.problems
        if not problems:
            found = check_declarations(document, ALL_FILES)
            problems = [content.origins.locate(problem) for problem in found]
    if problems:
        raise InvalidDocumentError(problems)
    return from_document(document)


def _read_folder(path: Path) -> FolderContent:
    """Merge the JSON files of a folder; faults of a file name that file."""
    schema = load_schema("pistachiolever.declarations", "declarations.schema.json")
    content = FolderContent(Origins(str(path)))
    files = sorted(path.glob("*.json"))
    if not files:
        detail = "holds no *.json file; give a folder of declarations"
        content.problems.append(Problem(str(path), "", detail))
    for file in files:
        try:
            part = read_document(file)
        except InvalidDocumentError as error:
            content.problems.extend(error.problems)
            continue
        faults = check_schema(part, schema, str(file))
        content.problems.extend(faults)
        if not faults:
            _merge(content, part, str(file))
    return content


def _merge(content: FolderContent, part: dict[str, Any], file: str) -> None:
    """Add one file to the whole."""
    for name in LIST_NAMES:
        if name in part:
            content.document.setdefault(name, []).extend(part[name])
            content.origins.note(name, file, len(part[name]))
    if "preset_in_force" not in part:
        return
    if "preset_in_force" in content.document:
        detail = "stands in two files; keep exactly one"
        content.problems.append(Problem(file, "preset_in_force", detail))
    content.document["preset_in_force"] = part["preset_in_force"]
