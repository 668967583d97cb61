"""Loads declarations from a folder or a single file."""

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
class SourceMap:
    """Maps each item of the merged lists to the file it came from, by index."""

    folder: str
    files_by_list: dict[str, list[str]] = field(factory=dict)

    def add(self, name: str, file: str, count: int) -> None:
        """Record that the next `count` items of a list come from a file."""
        self.files_by_list.setdefault(name, []).extend([file] * count)

    def locate(self, problem: Problem) -> Problem:
        """Return a problem with the file and the index within that file."""
        name, _, rest = problem.path.partition(".")
        index, _, inner = rest.partition(".")
        files = self.files_by_list.get(name, [])
        if not index.isdigit() or int(index) >= len(files):
            return evolve(problem, file=self.folder)
        file = files[int(index)]
        position = files[: int(index)].count(file)
        path = f"{name}.{position}.{inner}" if inner else f"{name}.{position}"
        return evolve(problem, file=file, path=path)


@define
class FolderContent:
    """The merged files of a folder, and the problems of individual files."""

    sources: SourceMap
    document: dict[str, Any] = field(factory=dict)
    problems: list[Problem] = field(factory=list)


def load_declarations(path: Path) -> Declarations:
    """Return valid declarations; raise InvalidDocumentError with all problems."""
    if path.is_file():
        document = read_document(path)
        problems = check_declarations(document, str(path))
    else:
        content = _read_folder(path)
        document, problems = content.document, content.problems
        if not problems:
            merged_problems = check_declarations(document, ALL_FILES)
            problems = [content.sources.locate(problem) for problem in merged_problems]
    if problems:
        raise InvalidDocumentError(problems)
    return from_document(document)


def _read_folder(path: Path) -> FolderContent:
    """Merge the JSON files of a folder; report problems with the file's name."""
    schema = load_schema("pistachiolever.declarations", "declarations.schema.json")
    content = FolderContent(SourceMap(str(path)))
    files = sorted(path.glob("*.json"))
    if not files:
        detail = "contains no *.json file; expected a folder of declarations"
        content.problems.append(Problem(str(path), "", detail))
    for file in files:
        try:
            document = read_document(file)
        except InvalidDocumentError as error:
            content.problems.extend(error.problems)
            continue
        problems = check_schema(document, schema, str(file))
        content.problems.extend(problems)
        if not problems:
            _merge(content, document, str(file))
    return content


def _merge(content: FolderContent, document: dict[str, Any], file: str) -> None:
    """Add the content of one file to the merged document."""
    for name in LIST_NAMES:
        if name in document:
            content.document.setdefault(name, []).extend(document[name])
            content.sources.add(name, file, len(document[name]))
    if "preset_in_force" not in document:
        return
    if "preset_in_force" in content.document:
        detail = "defined in more than one file; keep exactly one"
        content.problems.append(Problem(file, "preset_in_force", detail))
    content.document["preset_in_force"] = document["preset_in_force"]
