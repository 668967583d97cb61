"""Counts a router's work, to tell what an overloaded one spends its time on."""

from typing import Any

from attrs import asdict, astuple, define, frozen

from pistachiolever.gateway.const import WORK_REPORT_SECONDS


@frozen
class WorkCounts:
    """Work of a router since its start, or between two moments.

    `accepted` are connections of callers, `requests` those whose heads were read, of
    which `shed` were refused at once. `withdrawn` are bids without a reply in time,
    `opened` new connections to endpoints and other processes, `forwarded` the callers'
    connections that were passed on to siblings.
    """

    processor: float = 0.0
    accepted: int = 0
    requests: int = 0
    shed: int = 0
    bids: int = 0
    withdrawn: int = 0
    opened: int = 0
    forwarded: int = 0

    def since(self, earlier: "WorkCounts") -> "WorkCounts":
        """Return the work done after an earlier moment."""
        pairs = zip(astuple(self), astuple(earlier), strict=True)
        return WorkCounts(*(value - before for value, before in pairs))


@define
class WorkReporter:
    """Divides a router's work into intervals."""

    counts: WorkCounts = WorkCounts()
    counted_at: float = float("-inf")

    def take(self, counts: WorkCounts, now: float) -> dict[str, Any] | None:
        """Return the work of an interval that has ended, with its length.

        None while it lasts, and for the first call.
        """
        seconds = now - self.counted_at
        if seconds < WORK_REPORT_SECONDS:
            return None
        work = counts.since(self.counts)
        is_first = self.counted_at < 0.0
        self.counts, self.counted_at = counts, now
        if is_first:
            return None
        values: dict[str, Any] = asdict(work)
        values["processor"] = round(work.processor, 3)
        return {"seconds": round(seconds, 2)} | values
