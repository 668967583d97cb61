"""Errors and output of the command line."""

from collections.abc import Iterable
from typing import IO, Any

from click import ClickException, echo
from orjson import OPT_INDENT_2, dumps

from pistachiolever.cli.const import EXIT_INVALID
from pistachiolever.settings.errors import InvalidDocumentError


class InvalidInputError(ClickException):
    """Settings or declarations with faults; every one is shown."""

    exit_code = EXIT_INVALID

    @classmethod
    def of(cls, error: InvalidDocumentError) -> "InvalidInputError":
        """Return the error with a line for each fault."""
        return cls("\n".join(str(problem) for problem in error.problems))


class CommandFailedError(ClickException):
    """A command that did not succeed, with its exit code."""

    def __init__(self, message: str, exit_code: int) -> None:
        """Keep the message and code."""
        super().__init__(message)
        self.code = exit_code

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message and end with the command's own exit code."""
        super().show(file)
        raise SystemExit(self.code)


def show(document: object, lines: Iterable[str], as_json: bool) -> None:
    """Print a document for machines, or lines for people."""
    if as_json:
        echo(dumps(document, option=OPT_INDENT_2).decode())
        return
    for line in lines:
        echo(line)
