"""Sends the reports of an agent to one member of the registry."""

from collections.abc import Callable

from anyio import sleep
from attrs import define

from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import REPORT_PATH
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.models import ReportReply
from pistachiolever.usage.const import REPORT_SECONDS, REPORT_TIMEOUT_SECONDS
from pistachiolever.usage.models import AgentReport
from pistachiolever.usage.reporter import UsageReporter


@define
class UsageReporting:
    """Reports to the preferred member; to the next one if it does not reply."""

    reporter: UsageReporter
    choice: MemberChoice
    client: PeerClient
    events: EventLogger
    now: Callable[[], float]
    address: str = ""

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await sleep(REPORT_SECONDS)
            chosen = self.choice.choose(1, self.now())
            if not chosen:
                continue
            if chosen[0] != self.address:
                # The new member has none of the earlier reports.
                self.address, self.reporter.member_life = chosen[0], ""
            report = self.reporter.next_report(self.now())
            if report is not None:
                await self._send(report)

    async def _send(self, report: AgentReport) -> None:
        """Send one report."""
        try:
            reply = await self.client.call(
                self.address, REPORT_PATH, report, ReportReply, REPORT_TIMEOUT_SECONDS
            )
        except PeerError as error:
            self.reporter.handle_failure(report)
            if self.choice.record_failure(self.address, self.now()):
                self.events.record(
                    EventCode.MEMBER_LOST, member=self.address, error=str(error)
                )
            return
        self.reporter.handle_reply(report, reply.life, self.now())
        if self.choice.record_reply(self.address, reply.behind):
            self.events.record(EventCode.MEMBER_FOUND, member=self.address)
        if reply.members:
            self.choice.update_members(reply.members)
