"""Decides what of the known streams goes to disk, and reads it again, without I/O.

A restart of all processes would otherwise forget which version began a stream.
"""

from collections.abc import Iterable

from attrs import define, field, frozen
from cattrs import BaseValidationError
from cattrs.preconf.orjson import make_converter
from orjson import dumps, loads

from pistachiolever.core.checksummed_lines import encode_line, verified_body
from pistachiolever.streams.const import (
    JOURNAL_FILES,
    MAX_JOURNAL_FILE_BYTES,
    MIN_JOURNAL_FILE_BYTES,
)
from pistachiolever.streams.models import StreamOrigin, StreamReport
from pistachiolever.streams.table import StreamTable

# For each service and version the streams by key, with how long each one matters, in
# milliseconds.
Batch = dict[str, dict[str, dict[str, int]]]
_converter = make_converter()


@frozen
class JournalWrite:
    """A line for a file; `is_first` if it replaces what the file holds.

    `keys` are the streams in it, the last of which expires at `expires_at` seconds.
    """

    file: str
    data: bytes
    keys: list[str]
    expires_at: float
    is_first: bool = False


@define
class JournalFile:
    """A file, its size, and when the last of its streams expires, in seconds."""

    name: str
    size: int = 0
    expires_at: float = float("-inf")


@define
class StreamJournal:
    """The streams of a table that are not on disk yet, and two files for them.

    Lines are appended to one file until it is large and all streams of the other file
    have expired; then the other one starts anew. So no line is ever written twice. A
    file that has reached its limit is left in any case.
    """

    table: StreamTable
    unsaved: dict[str, None] = field(factory=dict)
    current: JournalFile = field(factory=lambda: JournalFile(JOURNAL_FILES[0]))
    other: JournalFile = field(factory=lambda: JournalFile(JOURNAL_FILES[1]))

    def add(self, keys: Iterable[str]) -> None:
        """Add streams that have to be saved; the oldest of too many are left out."""
        self.unsaved.update(dict.fromkeys(keys))
        while len(self.unsaved) > self.table.max_streams:
            del self.unsaved[next(iter(self.unsaved))]

    def next_write(self, now: float) -> JournalWrite | None:
        """Return what to write next; None if there is nothing to save.

        The caller tells its outcome by `handle_written` or `handle_failure`.
        """
        reports = self.table.pack(self.unsaved, now)
        self.unsaved = {}
        if not reports:
            return None
        is_first = self._is_change_due(now)
        left_ms = max(report.left_ms for report in reports.values())
        return JournalWrite(
            self.other.name if is_first else self.current.name,
            encode_line(dumps(_batch_of(reports))),
            list(reports),
            now + left_ms / 1000,
            is_first,
        )

    def handle_written(self, write: JournalWrite) -> None:
        """Account for a line that is on disk."""
        if write.is_first:
            self.current, self.other = JournalFile(write.file), self.current
        self.current.size += len(write.data)
        self.current.expires_at = max(self.current.expires_at, write.expires_at)

    def handle_failure(self, write: JournalWrite) -> None:
        """Save the streams of a failed write later, before those added meanwhile."""
        added, self.unsaved = self.unsaved, dict.fromkeys(write.keys)
        self.add(added)

    def restore(self, name: str, data: bytes, now: float) -> int:
        """Add the streams of a file to the table; return its number of damaged lines.

        They expire as if no time had passed since they were written: how long the
        process was down is not known.
        """
        damaged = 0
        for line in data.split(b"\n"):
            batch = _decode(line) if line else {}
            if batch is None:
                damaged += 1
                continue
            self.table.merge(_reports_of(batch), now)
        expiries = (record.expires_at for record in self.table.record_by_key.values())
        file = self.current if name == self.current.name else self.other
        file.size = len(data)
        file.expires_at = max(expiries, default=now)
        return damaged

    def _is_change_due(self, now: float) -> bool:
        """Return whether the next line starts the other file anew."""
        if self.current.size >= MAX_JOURNAL_FILE_BYTES:
            return True
        is_large = self.current.size >= MIN_JOURNAL_FILE_BYTES
        return is_large and self.other.expires_at <= now


def _batch_of(reports: dict[str, StreamReport]) -> Batch:
    """Return reports by service and version, so that no line repeats the names."""
    batch: Batch = {}
    for key, report in reports.items():
        for origin in report.origins:
            versions = batch.setdefault(origin.service_id, {})
            versions.setdefault(origin.version, {})[key] = report.left_ms
    return batch


def _reports_of(batch: Batch) -> dict[str, StreamReport]:
    """Return the reports of a line."""
    reports: dict[str, StreamReport] = {}
    for service_id, versions in batch.items():
        for version, left_ms_by_key in versions.items():
            origin = StreamOrigin(service_id, version)
            for key, left_ms in left_ms_by_key.items():
                report = reports.setdefault(key, StreamReport([], left_ms))
                report.origins.append(origin)
    return reports


def _decode(line: bytes) -> Batch | None:
    """Return what a line holds, or None if it is damaged."""
    body = verified_body(line)
    if body is None:
        return None
    try:
        return _converter.structure(loads(body), Batch)
    except (AttributeError, BaseValidationError, TypeError, ValueError):
        return None
