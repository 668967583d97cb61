"""Decides in a router which parts of requests are sent to endpoints, without I/O."""

from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum
from itertools import pairwise
from math import inf
from zlib import crc32

from attrs import define, field, frozen

from pistachiolever.quarantine.const import (
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_STOP_REPEATS,
    MAX_SOUND_PARTS,
    OUTAGE_SECONDS,
    REPEAT_REPORT_SECONDS,
    SETTLE_SECONDS,
    SOUND_REPEAT_SECONDS,
    SOUND_SECONDS,
    TEST_SPREAD_SECONDS,
    TIME_TOLERANCE_SECONDS,
)
from pistachiolever.quarantine.evidence import EvidenceTable
from pistachiolever.quarantine.models import PartRecord, PartReport


class Change(Enum):
    """A change of what a router does with a part."""

    QUARANTINED = "quarantined"
    TESTED = "tested"
    RELEASED = "released"


@frozen
class PartChange:
    """A change, with the number of crashes known and the seconds it is to last."""

    part_id: str
    change: Change
    crashes: int
    seconds: float = 0.0


@define
class Quarantine:
    """The suspected parts, as this router and the others have seen them.

    A part is quarantined once enough endpoints have crashed under requests with it and
    none has run such a request for a while. Parts under which endpoints also run
    requests are never suspected, and a crash that a quarantined part explains counts
    against no other one. `unreported` are the parts with news for the other routers,
    `changes` those for the log. `router_count` is the number of routers in the fleet.
    """

    node_id: str
    router_count: int = 1
    table: EvidenceTable = field(factory=EvidenceTable)
    sound_at_by_part: OrderedDict[str, float] = field(factory=OrderedDict)
    enough_since_by_part: dict[str, float] = field(factory=dict)
    unreported: set[str] = field(factory=set)
    changes: list[PartChange] = field(factory=list)
    repeated_at: float = -inf

    # Evidence.

    def record_sound(self, part_ids: Sequence[str], now: float) -> None:
        """Record that an endpoint ran a request with these parts."""
        for part_id in part_ids:
            self.sound_at_by_part[part_id] = now
            self.sound_at_by_part.move_to_end(part_id)
            if part_id in self.table.record_by_part:
                self._tell_sound(part_id)
        while len(self.sound_at_by_part) > MAX_SOUND_PARTS:
            self.sound_at_by_part.popitem(last=False)

    def suspects(self, part_ids: Sequence[str], now: float) -> list[str]:
        """Return the parts that have had no sound run recently."""
        return [
            part_id for part_id in part_ids if not self._is_known_sound(part_id, now)
        ]

    def record_crash(
        self, incarnation: str, part_ids: Sequence[str], now: float
    ) -> list[str]:
        """Record that an endpoint crashed before it had run a request for long.

        Return the suspected parts.
        """
        suspected = self.suspects(part_ids, now)
        for depth, part_id in enumerate(part_ids):
            if part_id not in suspected:
                continue
            if self.table.add_crash(part_id, depth, incarnation, now):
                self.unreported.add(part_id)
        self._find_enough(now)
        return suspected

    def apply(self, reports: dict[str, PartReport], now: float) -> None:
        """Add the evidence of other routers."""
        faulty = self._faulty_parts()
        for part_id in self.table.merge(reports, now):
            self._tell_sound(part_id)
        if reports:
            self._find_enough(now)
            self._record_faulty(faulty, now)

    # Decisions.

    def quarantined_part(self, part_ids: Sequence[str], now: float) -> str:
        """Return a part that must not be sent now; empty if there is none."""
        if not self.table.record_by_part:
            return ""
        self._quarantine_faulty(part_ids, now)
        for part_id in part_ids:
            record = self.table.record_by_part.get(part_id)
            if record is None or not record.is_faulty():
                continue
            if now < self._tested_at(part_id, record):
                return part_id
        return ""

    def try_send(self, part_ids: Sequence[str], now: float) -> bool:
        """Return whether a request with these parts may be sent to an endpoint now.

        After a quarantine the first one may, and a longer quarantine begins until the
        run turns out to be sound.
        """
        if self.quarantined_part(part_ids, now):
            return False
        for part_id in part_ids:
            record = self.table.record_by_part.get(part_id)
            if record is not None and record.is_faulty():
                self._begin(part_id, record, Change.TESTED, now)
        return True

    def may_repeat(self, part_ids: Sequence[str], now: float) -> bool:
        """Return whether a request may be sent again after a failed attempt."""
        if not self.table.record_by_part:
            return True
        return not any(
            self._count(part_id, part_ids) >= CRASHES_TO_STOP_REPEATS
            for part_id in self.suspects(part_ids, now)
        )

    def remaining_seconds(self, part_id: str, now: float) -> float:
        """Return the seconds until a part may be sent again."""
        record = self.table.record_by_part.get(part_id)
        if record is None:
            return 0.0
        return max(0.0, self._tested_at(part_id, record) - now)

    def quarantined_count(self, now: float) -> int:
        """Return the number of quarantined parts."""
        records = self.table.record_by_part.values()
        return sum(r.is_faulty() and now < r.ends_at() for r in records)

    # Reports.

    def has_reports(self, now: float) -> bool:
        """Return whether there is something to tell the other routers."""
        if self.unreported:
            return True
        if now - self.repeated_at < REPEAT_REPORT_SECONDS:
            return False
        self.repeated_at = now
        self.unreported.update(self._faulty_parts())
        return bool(self.unreported)

    def pop_reports(self, now: float) -> dict[str, PartReport]:
        """Return the evidence that is news."""
        self.table.expire(now)
        records = self.table.record_by_part
        reports = {
            part_id: records[part_id].pack(now)
            for part_id in self.unreported
            if part_id in records
        }
        self.unreported.clear()
        return reports

    def pop_changes(self) -> list[PartChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    # Rules.

    def _is_known_sound(self, part_id: str, now: float) -> bool:
        """Return whether a part has had a sound run recently, at any router."""
        sound_at = self.sound_at_by_part.get(part_id, -inf)
        record = self.table.record_by_part.get(part_id)
        if record is not None:
            sound_at = max(sound_at, record.sound_at)
        return now - sound_at < SOUND_SECONDS

    def _count(self, part_id: str, part_ids: Sequence[str]) -> int:
        """Return the number of crashes that count against a part of a request."""
        record = self.table.record_by_part.get(part_id)
        if record is None:
            return 0
        crashes = record.counted_crashes()
        if len(crashes) < min(CRASHES_TO_STOP_REPEATS, CRASHES_TO_QUARANTINE):
            return len(crashes)
        return len(crashes - self.table.explained(part_ids))

    def _find_enough(self, now: float) -> None:
        """Note which parts have enough crashes against them, and since when."""
        explained = self.table.explanations()
        enough_since: dict[str, float] = {}
        for part_id, record in self.table.record_by_part.items():
            own = int(record.is_faulty())
            crashes = sum(explained[key] <= own for key in record.counted_crashes())
            if crashes >= CRASHES_TO_QUARANTINE:
                enough_since[part_id] = self.enough_since_by_part.get(part_id, now)
        self.enough_since_by_part = enough_since

    def _quarantine_faulty(self, part_ids: Sequence[str], now: float) -> None:
        """Quarantine the last part of a request that has enough evidence against it."""
        for part_id in reversed(part_ids):
            since = self.enough_since_by_part.get(part_id)
            record = self.table.record_by_part.get(part_id)
            if since is None or record is None or record.is_faulty():
                continue
            if now - since < SETTLE_SECONDS or self._is_known_sound(part_id, now):
                continue
            if self._has_better_suspect(part_id, record, now):
                continue
            if not self._is_more_than_an_outage(part_id, record):
                continue
            # Some of the crashes may have become too old.
            self.table.expire(now)
            self._find_enough(now)
            if part_id in self.enough_since_by_part:
                self._begin(part_id, record, Change.QUARANTINED, now)
                self._find_enough(now)

    def _has_better_suspect(self, part_id: str, record: PartRecord, now: float) -> bool:
        """Return whether another part explains the same crashes better.

        That is one with more crashes, or with the same ones and deeper in requests:
        what comes before it is common to more requests.
        """
        crashes = record.counted_crashes()
        for other_id, other in self.table.record_by_part.items():
            if other_id == part_id or self._is_known_sound(other_id, now):
                continue
            others = other.counted_crashes()
            if others > crashes or (others == crashes and other.depth > record.depth):
                return True
        return False

    def _is_more_than_an_outage(self, part_id: str, record: PartRecord) -> bool:
        """Return whether an outage of many endpoints does not explain the crashes.

        In an outage some requests with a rare part are among those that the endpoints
        were running, but not in several outages. Otherwise at least half of the crashes
        around were under this part.
        """
        crashes = record.counted_crashes()
        times = sorted(record.crashed_at[key] for key in crashes)
        pauses = sum(b - a > OUTAGE_SECONDS for a, b in pairwise(times))
        if pauses + 1 >= CRASHES_TO_QUARANTINE:
            return True
        around = {
            key
            for other in self.table.record_by_part.values()
            for key, at in other.crashed_at.items()
            if any(abs(at - time) <= OUTAGE_SECONDS for time in times)
        }
        around -= self.table.explained([part_id])
        return 2 * len(crashes & around) >= len(around)

    def _begin(
        self, part_id: str, record: PartRecord, change: Change, now: float
    ) -> None:
        """Begin a quarantine."""
        record.quarantined_at = now
        record.quarantines += 1
        self.unreported.add(part_id)
        self._record_change(part_id, record, change, now)

    def _tested_at(self, part_id: str, record: PartRecord) -> float:
        """Return when this router would test a part after its quarantine."""
        share = crc32(f"{self.node_id}/{part_id}".encode()) / 2**32
        return record.ends_at() + share * TEST_SPREAD_SECONDS * self.router_count

    def _tell_sound(self, part_id: str) -> None:
        """Add a sound run of this router to the evidence, if the others lack it."""
        record = self.table.record_by_part[part_id]
        sound_at = self.sound_at_by_part.get(part_id, -inf)
        was_faulty = record.is_faulty()
        is_cleared = not was_faulty and not record.counted_crashes()
        interval = SOUND_REPEAT_SECONDS if is_cleared else TIME_TOLERANCE_SECONDS
        if sound_at <= record.sound_at + interval:
            return
        record.sound_at = sound_at
        self.unreported.add(part_id)
        self.enough_since_by_part.pop(part_id, None)
        if was_faulty and not record.is_faulty():
            self._record_change(part_id, record, Change.RELEASED, sound_at)

    def _faulty_parts(self) -> set[str]:
        """Return the parts that are or were quarantined without a sound run since."""
        records = self.table.record_by_part
        return {part_id for part_id in records if records[part_id].is_faulty()}

    def _record_faulty(self, known: set[str], now: float) -> None:
        """Record what other routers have quarantined or released."""
        faulty = self._faulty_parts()
        for part_id in faulty - known:
            record = self.table.record_by_part[part_id]
            self._record_change(part_id, record, Change.QUARANTINED, now)
        for part_id in known - faulty:
            released = self.table.record_by_part.get(part_id)
            if released is not None:
                self._record_change(part_id, released, Change.RELEASED, now)

    def _record_change(
        self, part_id: str, record: PartRecord, change: Change, now: float
    ) -> None:
        """Keep a change for the log."""
        is_released = change is Change.RELEASED
        seconds = 0.0 if is_released else round(record.ends_at() - now, 1)
        crashes = len(record.crashed_at)
        self.changes.append(PartChange(part_id, change, crashes, seconds))
