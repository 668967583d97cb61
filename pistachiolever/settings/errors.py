"""Errors found in settings and declarations."""

from collections.abc import Sequence

from attrs import frozen


@frozen(order=True)
class Problem:
    """One fault in a JSON file: where it is, and how to mend it."""

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        return f"{self.file}: {self.path or '(top)'}: {self.message}"


class InvalidDocumentError(Exception):
    """A document has faults; all of them are listed."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """Keep the faults in the order of file and path."""
        self.problems = sorted(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
