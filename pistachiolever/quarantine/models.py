"""What is known of parts of requests under which endpoints have crashed."""

from math import inf

from attrs import define, field, frozen

from pistachiolever.quarantine.const import (
    MAX_CRASHES,
    MAX_QUARANTINE_SECONDS,
    QUARANTINE_FACTOR,
    QUARANTINE_SECONDS,
    SOUND_SECONDS,
    TIME_TOLERANCE_SECONDS,
)


@frozen
class PartReport:
    """The evidence on one part as it is sent; ages are in milliseconds.

    `crashes` are the ages by endpoint incarnation, `depth` its place in requests.
    `sound` is the age of the last sound run, `quarantined` that of the last quarantine,
    -1 for none; `quarantines` is their number.
    """

    crashes: dict[str, int] = field(factory=dict)
    depth: int = 0
    sound: int = -1
    quarantined: int = -1
    quarantines: int = 0


@define
class PartRecord:
    """The evidence on one part of requests; times are of this process's clock.

    Records of different processes can be merged in any order and more than once.
    """

    crashed_at: dict[str, float] = field(factory=dict)
    depth: int = 0
    sound_at: float = -inf
    quarantined_at: float = -inf
    quarantines: int = 0

    def merge(self, other: "PartRecord") -> bool:
        """Add the evidence of another record; return whether that is news."""
        changed = other.depth > self.depth
        self.depth = max(self.depth, other.depth)
        changed |= self._merge_crashes(other.crashed_at)
        if other.sound_at > self.sound_at + TIME_TOLERANCE_SECONDS:
            self.sound_at = other.sound_at
            changed = True
        if other.quarantines > self.quarantines:
            self.quarantines = other.quarantines
            self.quarantined_at = other.quarantined_at
            changed = True
        return changed

    def _merge_crashes(self, crashed_at: dict[str, float]) -> bool:
        """Add crashes, of which the newest are kept; return whether one is new."""
        known = self.crashed_at
        merged = crashed_at | known
        newest = sorted(merged, key=lambda key: merged[key])[-MAX_CRASHES:]
        self.crashed_at = {key: merged[key] for key in newest}
        return not known.keys() >= self.crashed_at.keys()

    def forget_crashes(self, before: float) -> None:
        """Forget old crashes."""
        for incarnation, at in list(self.crashed_at.items()):
            if at < before:
                del self.crashed_at[incarnation]

    def counted_crashes(self) -> set[str]:
        """Return the endpoint incarnations that crashed long after a sound run.

        Whoever saw another crash would not have suspected the part, had it known.
        """
        counted_from = self.sound_at + SOUND_SECONDS
        return {key for key, at in self.crashed_at.items() if at >= counted_from}

    def is_faulty(self) -> bool:
        """Return whether the part was quarantined, without a sound run since.

        Nor shortly before: news of that may come only after the quarantine has begun.
        """
        suspected_from = self.sound_at + SOUND_SECONDS
        return self.quarantines > 0 and self.quarantined_at >= suspected_from

    def ends_at(self) -> float:
        """Return when the last quarantine ends."""
        seconds = QUARANTINE_SECONDS * QUARANTINE_FACTOR ** (self.quarantines - 1)
        return self.quarantined_at + min(seconds, MAX_QUARANTINE_SECONDS)

    def newest_at(self) -> float:
        """Return the time of the newest crash or quarantine."""
        return max(self.quarantined_at, *self.crashed_at.values(), -inf)

    def pack(self, now: float) -> PartReport:
        """Return the evidence in the form in which it is sent."""
        return PartReport(
            {key: _age_ms(at, now) for key, at in self.crashed_at.items()},
            self.depth,
            _age_ms(self.sound_at, now),
            _age_ms(self.quarantined_at, now),
            self.quarantines,
        )


def unpack_report(report: PartReport, now: float) -> PartRecord:
    """Return the record that was sent; a negative age means never."""
    return PartRecord(
        {key: now - age / 1000 for key, age in report.crashes.items()},
        report.depth,
        now - report.sound / 1000 if report.sound >= 0 else -inf,
        now - report.quarantined / 1000 if report.quarantined >= 0 else -inf,
        report.quarantines,
    )


def _age_ms(at: float, now: float) -> int:
    """Return the age of a time in milliseconds, -1 for never."""
    return -1 if at == -inf else max(0, round((now - at) * 1000))
