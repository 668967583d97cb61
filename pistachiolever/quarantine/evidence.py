"""The records of all suspected parts, in routers and members of the registry."""

from collections import Counter
from collections.abc import Iterable
from math import inf

from attrs import define, field

from pistachiolever.quarantine.const import (
    EVIDENCE_SECONDS,
    MAX_SUSPECTED_PARTS,
)
from pistachiolever.quarantine.models import PartRecord, PartReport, unpack_report


@define
class EvidenceTable:
    """Records by part, the longest unchanged one first."""

    record_by_part: dict[str, PartRecord] = field(factory=dict)

    def merge(self, reports: dict[str, PartReport], now: float) -> list[str]:
        """Add what another process has sent; return the parts with news."""
        changed: list[str] = []
        for part_id, report in reports.items():
            other = unpack_report(report, now)
            other.forget_crashes(now - EVIDENCE_SECONDS)
            if not _is_expired(other, now) and self._merge_record(part_id, other):
                changed.append(part_id)
        self._limit()
        return changed

    def add_crash(self, part_id: str, depth: int, incarnation: str, now: float) -> bool:
        """Record that an endpoint crashed under a part; return whether it is news."""
        known = self.record_by_part.get(part_id)
        if known is not None:
            known.forget_crashes(now - EVIDENCE_SECONDS)
        is_news = self._merge_record(part_id, PartRecord({incarnation: now}, depth))
        self._limit()
        return is_news

    def is_full(self) -> bool:
        """Return whether another part would displace one."""
        return len(self.record_by_part) >= MAX_SUSPECTED_PARTS

    def expire(self, now: float) -> None:
        """Forget old crashes, and quarantines that ended long ago."""
        for part_id, record in list(self.record_by_part.items()):
            record.forget_crashes(now - EVIDENCE_SECONDS)
            if _is_expired(record, now):
                del self.record_by_part[part_id]

    def explanations(self) -> Counter[str]:
        """Return the number of faulty parts that have caused each crash."""
        return Counter(
            incarnation
            for record in self.record_by_part.values()
            if record.is_faulty()
            for incarnation in record.crashed_at
        )

    def explained(self, part_ids: Iterable[str]) -> set[str]:
        """Return the crashes that faulty parts other than these have caused."""
        others = self.record_by_part.keys() - set(part_ids)
        crashes: set[str] = set()
        for part_id in others:
            record = self.record_by_part[part_id]
            if record.is_faulty():
                crashes.update(record.crashed_at)
        return crashes

    def _merge_record(self, part_id: str, other: PartRecord) -> bool:
        """Add evidence on a part."""
        known = self.record_by_part.pop(part_id, None)
        record = known if known is not None else PartRecord()
        self.record_by_part[part_id] = record
        return record.merge(other)

    def _limit(self) -> None:
        """Drop the parts that are unchanged for longest above the limit.

        Faulty ones stay for as long as there are others, then those with several
        crashes: an outage adds one crash to the content of each request it breaks off.
        """
        excess = len(self.record_by_part) - MAX_SUSPECTED_PARTS
        if excess <= 0:
            return
        records = self.record_by_part
        oldest = sorted(
            records,
            key=lambda p: (records[p].is_faulty(), len(records[p].crashed_at) > 1),
        )
        for part_id in oldest[:excess]:
            del self.record_by_part[part_id]


def _is_expired(record: PartRecord, now: float) -> bool:
    """Return whether nothing in a record counts any more."""
    kept_until = record.newest_at() + EVIDENCE_SECONDS
    if record.is_faulty():
        kept_until = max(kept_until, record.ends_at() + EVIDENCE_SECONDS)
    return kept_until < now or kept_until == -inf
