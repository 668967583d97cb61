"""Error types and output formats of the command line."""

from collections.abc import Iterable
from typing import IO, Any

from click import ClickException, echo
from orjson import OPT_INDENT_2, dumps

from pistachiolever.cli.const import EXIT_INVALID
from pistachiolever.settings.errors import InvalidDocumentError


class InvalidInputError(ClickException):
    """Invalid settings or declarations; the message lists every problem."""

    exit_code = EXIT_INVALID

    @classmethod
    def from_error(cls, error: InvalidDocumentError) -> "InvalidInputError":
        """Return an error whose message has a line for each problem."""
        return cls("\n".join(str(problem) for problem in error.problems))


class CommandFailedError(ClickException):
    """A command failed; the process ends with the given exit code."""

    def __init__(self, message: str, exit_code: int) -> None:
        """Store the message and the exit code."""
        super().__init__(message)
        self.code = exit_code

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message and exit with the code of this error."""
        super().show(file)
        raise SystemExit(self.code)


def show(document: object, lines: Iterable[str], as_json: bool) -> None:
    """Print the document as JSON, or the lines as plain text."""
    if as_json:
        echo(dumps(document, option=OPT_INDENT_2).decode())
        return
    for line in lines:
        echo(line)
