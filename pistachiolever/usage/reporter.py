"""Decides what an agent reports to its registry member, without I/O."""

from collections.abc import Callable

from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.quarantine.quarantine import Quarantine
from pistachiolever.streams.table import StreamLog
from pistachiolever.usage.const import (
    CHANGED_MEMORY_FRACTION,
    CHANGED_SLOT_FRACTION,
    CHANGED_SLOWDOWN,
    CHANGED_WAIT_SECONDS,
    IDLE_REPORT_SECONDS,
    REPORT_SECONDS,
)
from pistachiolever.usage.models import (
    AgentReport,
    MeasuredLoad,
    pack_load,
    pack_pace,
)


@define
class UsageReporter:
    """Reports the accounts and the load that have changed, at most so often.

    `member_life` is the incarnation of the member that has all earlier reports. A
    reporter without `read_load` is a router's: it reports only if there is news, also
    of its `quarantine` and of `streams` that began under its own grants.
    """

    agent: str
    service: RecentService
    read_load: Callable[[float], Load] | None = None
    quarantine: Quarantine | None = None
    streams: StreamLog = field(factory=StreamLog)
    member_life: str = ""
    reported_at: float = float("-inf")
    reported_load: Load | None = None
    seen_loads: dict[str, MeasuredLoad] = field(factory=dict)

    def record_seen_load(self, address: str, measured: MeasuredLoad) -> None:
        """Report what an endpoint without an agent told of its load."""
        self.seen_loads[address] = measured

    def next_report(self, now: float) -> AgentReport | None:
        """Return the report that is due, or None."""
        if now - self.reported_at < REPORT_SECONDS:
            return None
        load = self.read_load(now) if self.read_load else None
        if not self._has_news(load, now):
            return None
        self.reported_at, self.reported_load = now, load
        everything = not self.member_life
        accounts = self.service.pop_changed(everything)
        seen, self.seen_loads = self.seen_loads, {}
        return AgentReport(
            self.agent,
            self.member_life,
            pack_load(load) if load else [],
            {account: self.service.usage(account, now) for account in accounts},
            {address: measured.pack(now) for address, measured in seen.items()},
            self.quarantine.pop_reports(now) if self.quarantine else {},
            self.streams.pop_reports(everything, now),
            pack_pace(load) if load else [],
        )

    def _has_news(self, load: Load | None, now: float) -> bool:
        """Return whether there is something to report."""
        # Asked in any case, since it also repeats what others may have forgotten.
        if self.quarantine is not None and self.quarantine.has_reports(now):
            return True
        if self.service.changed_accounts or self.seen_loads:
            return True
        if self.streams.unreported:
            return True
        if not self.member_life and self.streams.table.record_by_key:
            return True
        if load is None:
            return False
        if not self.member_life or self.reported_load is None:
            return True
        is_overdue = now - self.reported_at >= IDLE_REPORT_SECONDS
        return is_overdue or is_load_changed(self.reported_load, load)

    def handle_reply(self, report: AgentReport, life: str, now: float) -> None:
        """Handle the reply of a member with its incarnation."""
        is_complete = report.life in ("", life)
        self.member_life = life if is_complete else ""
        for account_id, (_, got) in report.uses.items():
            self.service.record_reported(account_id, got, now)

    def handle_failure(self, report: AgentReport) -> None:
        """Report again what a report without a reply contained."""
        self.service.changed_accounts.update(report.uses)
        self.streams.unreported.update(report.streams)
        if self.quarantine is not None:
            self.quarantine.unreported.update(report.parts)


def is_load_changed(old: Load, new: Load) -> bool:
    """Return whether routers should hear of a change of the load."""
    if _is_full(old) != _is_full(new) or (old.waiting > 0) != (new.waiting > 0):
        return True
    if abs(_wait_seconds(new) - _wait_seconds(old)) > CHANGED_WAIT_SECONDS:
        return True
    if abs(new.slowdown - old.slowdown) > CHANGED_SLOWDOWN:
        return True
    if abs(new.running - old.running) > CHANGED_SLOT_FRACTION * new.slots:
        return True
    memory = max(old.free_memory_tokens, new.free_memory_tokens)
    change = abs(new.free_memory_tokens - old.free_memory_tokens)
    return change > CHANGED_MEMORY_FRACTION * memory


def _is_full(load: Load) -> bool:
    """Return whether all slots are in use."""
    return load.running + load.waiting >= load.slots


def _wait_seconds(load: Load) -> float:
    """Return the time to prefill what is pending, and until the rate allows more."""
    pending = load.unread_tokens + load.queued_tokens
    return pending / max(1.0, load.speed) + load.limit_seconds
