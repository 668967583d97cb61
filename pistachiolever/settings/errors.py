"""Problems found in settings and declarations."""

from collections.abc import Sequence

from attrs import frozen


@frozen(order=True)
class Problem:
    """One problem in a JSON file: where it is, and how to fix it."""

    file: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f"{self.file}: {self.path or '(top)'}: {self.message}"


class InvalidDocumentError(Exception):
    """A document is invalid; all its problems are listed."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """Store the problems, sorted by file and path."""
        self.problems = sorted(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))
