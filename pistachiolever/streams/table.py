"""The streams that a process knows of, and which of them it has yet to report."""

from collections.abc import Iterable

from attrs import define, field

from pistachiolever.streams.const import (
    DEADLINE_MARGIN_SECONDS,
    EXPIRY_CHECK_SECONDS,
    MAX_STREAMS,
)
from pistachiolever.streams.models import StreamOrigin, StreamReport


@define
class StreamRecord:
    """Where a stream began, and until when its caller may resume it, in seconds.

    `resumptions` counts how often it was resumed here.
    """

    origins: list[StreamOrigin]
    expires_at: float
    resumptions: int = 0


@define
class StreamTable:
    """Origins of streams by key; tables merge in any order and more than once."""

    max_streams: int = MAX_STREAMS
    record_by_key: dict[str, StreamRecord] = field(factory=dict)
    _checked_at: float = float("-inf")

    def add(
        self, key: str, origin: StreamOrigin, expires_at: float, now: float
    ) -> bool:
        """Add where a stream began; return whether that is news."""
        self._expire(now)
        record = self.record_by_key.get(key)
        if record is None or record.expires_at <= now:
            self.record_by_key[key] = StreamRecord([origin], expires_at)
            if len(self.record_by_key) > self.max_streams:
                del self.record_by_key[next(iter(self.record_by_key))]
            return True
        record.expires_at = max(record.expires_at, expires_at)
        if origin in record.origins:
            return False
        record.origins.append(origin)
        return True

    def origins(self, key: str, now: float) -> list[StreamOrigin]:
        """Return where a stream began; empty if that is not known."""
        record = self.record_by_key.get(key)
        return record.origins if record and record.expires_at > now else []

    def count_resumption(self, key: str) -> int:
        """Count that a stream is resumed; return how often it was until now."""
        record = self.record_by_key.get(key)
        if record is None:
            return 0
        record.resumptions += 1
        return record.resumptions

    def merge(self, reports: dict[str, StreamReport], now: float) -> list[str]:
        """Add what another process has reported; return the keys that are news."""
        news: dict[str, None] = {}
        for key, report in reports.items():
            for origin in report.origins:
                if self.add(key, origin, now + report.left_ms / 1000, now):
                    news[key] = None
        return list(news)

    def pack(self, keys: Iterable[str], now: float) -> dict[str, StreamReport]:
        """Return the reports on those streams that are known."""
        reports: dict[str, StreamReport] = {}
        for key in keys:
            record = self.record_by_key.get(key)
            if record is not None and record.expires_at > now:
                left_ms = round((record.expires_at - now) * 1000)
                reports[key] = StreamReport(record.origins, left_ms)
        return reports

    def _expire(self, now: float) -> None:
        """Forget the streams that nobody can resume any more."""
        if now - self._checked_at < EXPIRY_CHECK_SECONDS:
            return
        self._checked_at = now
        for key, record in list(self.record_by_key.items()):
            if record.expires_at <= now:
                del self.record_by_key[key]


@define
class StreamLog:
    """The streams that began under grants of this process, for the registry."""

    table: StreamTable = field(factory=StreamTable)
    unreported: set[str] = field(factory=set)

    def record_start(
        self, key: str, origin: StreamOrigin, deadline_at: float, now: float
    ) -> None:
        """Record the first event of a stream."""
        if self.table.add(key, origin, deadline_at + DEADLINE_MARGIN_SECONDS, now):
            self.unreported.add(key)

    def pop_reports(self, everything: bool, now: float) -> dict[str, StreamReport]:
        """Return the streams to report: the new ones, or all of them."""
        keys, self.unreported = self.unreported, set()
        return self.table.pack(self.table.record_by_key if everything else keys, now)
