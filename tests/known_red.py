"""Reads the list of tests that fail because of known, unresolved faults."""

from pathlib import Path
from typing import Final

from attrs import field, frozen

LIST_FILE: Final = Path(__file__).parents[1] / "KNOWN-RED.txt"
FIELD_NAMES: Final = ("test", "command", "seed", "seen", "issue")


class KnownRedError(Exception):
    """The list of known failures is malformed."""


@frozen
class KnownFailure:
    """One entry: the test's id, how to run it, what was seen, and the open issue."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


@frozen
class KnownRed:
    """The entries of the list, by test id."""

    by_test: dict[str, KnownFailure] = field(factory=dict)


def read_known_red(path: Path = LIST_FILE) -> KnownRed:
    """Return the entries of a list; without the file there are none."""
    if not path.exists():
        return KnownRed()
    blocks = [block for block in path.read_text().split("\n\n") if block.strip()]
    entries = [_parse_entry(block) for block in blocks]
    by_test = {entry.test: entry for entry in entries}
    if len(by_test) != len(entries):
        raise KnownRedError("a test is listed twice")
    return KnownRed(by_test)


def _parse_entry(block: str) -> KnownFailure:
    """Return an entry, given as one `name: value` line for each field."""
    values: dict[str, str] = {}
    for line in block.strip().splitlines():
        name, separator, value = line.partition(": ")
        if not separator or name not in FIELD_NAMES or not value.strip():
            raise KnownRedError(f"expected one of {FIELD_NAMES}, got: {line}")
        if name in values:
            raise KnownRedError(f"{name} is given twice in an entry")
        values[name] = value.strip()
    missing = [name for name in FIELD_NAMES if name not in values]
    if missing:
        raise KnownRedError(f"entry {values.get('test', '?')} lacks {missing}")
    return KnownFailure(**values)
