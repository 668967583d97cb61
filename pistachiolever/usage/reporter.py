"""Decides what an agent reports to its registry member, without I/O."""

from collections.abc import Callable

from attrs import define

from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.usage.const import (
    CHANGED_MEMORY_FRACTION,
    CHANGED_SLOT_FRACTION,
    CHANGED_WAIT_SECONDS,
    IDLE_REPORT_SECONDS,
    REPORT_SECONDS,
)
from pistachiolever.usage.models import AgentReport, pack_load


@define
class UsageReporter:
    """Reports the accounts and the load that have changed, at most so often.

    `member_life` is the incarnation of the member that has all earlier reports.
    """

    agent: str
    service: RecentService
    read_load: Callable[[float], Load]
    member_life: str = ""
    reported_at: float = float("-inf")
    reported_load: Load | None = None

    def next_report(self, now: float) -> AgentReport | None:
        """Return the report that is due, or None."""
        elapsed = now - self.reported_at
        if elapsed < REPORT_SECONDS:
            return None
        load = self.read_load(now)
        has_news = (
            not self.member_life
            or bool(self.service.changed_accounts)
            or self.reported_load is None
            or is_load_changed(self.reported_load, load)
        )
        if not has_news and elapsed < IDLE_REPORT_SECONDS:
            return None
        self.reported_at, self.reported_load = now, load
        accounts = self.service.pop_changed(everything=not self.member_life)
        uses = {account: self.service.usage(account, now) for account in accounts}
        return AgentReport(self.agent, self.member_life, pack_load(load), uses)

    def handle_reply(self, report: AgentReport, life: str, now: float) -> None:
        """Handle the reply of a member with its incarnation."""
        is_complete = report.life in ("", life)
        self.member_life = life if is_complete else ""
        for account_id, (_, got) in report.uses.items():
            self.service.record_reported(account_id, got, now)

    def handle_failure(self, report: AgentReport) -> None:
        """Report again what a report without a reply contained."""
        self.service.changed_accounts.update(report.uses)


def is_load_changed(old: Load, new: Load) -> bool:
    """Return whether routers should hear of a change of the load."""
    if _is_full(old) != _is_full(new) or (old.waiting > 0) != (new.waiting > 0):
        return True
    if abs(_wait_seconds(new) - _wait_seconds(old)) > CHANGED_WAIT_SECONDS:
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
    """Return the time to prefill what is pending."""
    return (load.unread_tokens + load.queued_tokens) / max(1.0, load.speed)
