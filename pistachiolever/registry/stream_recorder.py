"""Has registry members keep streams on disk before their first event is forwarded."""

from collections.abc import Callable
from typing import Protocol

from anyio import Event, create_task_group, move_on_after, sleep
from attrs import define, field

from pistachiolever.core.mailbox import Mailbox
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.registry.const import RECORD_PATH
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.models import Accepted
from pistachiolever.streams.const import LOOKUP_BATCH_SECONDS, RECORD_SECONDS
from pistachiolever.streams.models import StreamRecords, StreamReport
from pistachiolever.streams.origins import record_copies


class StreamRecorder(Protocol):
    """Keeps streams where the loss of all processes does not reach."""

    async def record(self, key: str, report: StreamReport) -> bool:
        """Return whether enough members have a stream on disk."""


class NoRecorder:
    """Keeps nothing: there are no members."""

    async def record(self, key: str, report: StreamReport) -> bool:
        """Return false."""
        return False


@define(eq=False)
class PendingRecord:
    """A stream and how many members have it on disk."""

    key: str
    report: StreamReport
    copies: int = 0
    done: Event = field(factory=Event)


@define
class MemberRecorder:
    """Sends the streams of a moment together, to one member more than is needed.

    The members that a router prefers come first, so that records are spread.
    """

    client: PeerClient
    choice: MemberChoice
    now: Callable[[], float]
    pending: Mailbox[PendingRecord] = field(factory=Mailbox)

    async def run(self) -> None:
        """Send records until cancelled."""
        async with create_task_group() as group:
            while records := await self.pending.get_all():
                await sleep(LOOKUP_BATCH_SECONDS)
                records += self.pending.get_all_nowait()
                needed = record_copies(len(self.choice.addresses()))
                for address in self.choice.choose(needed + 1, self.now()):
                    group.start_soon(self._send, address, records, needed)

    async def record(self, key: str, report: StreamReport) -> bool:
        """Return whether enough members have a stream on disk, within a time."""
        record = PendingRecord(key, report)
        self.pending.put(record)
        with move_on_after(RECORD_SECONDS):
            await record.done.wait()
        return record.done.is_set()

    async def _send(
        self, address: str, records: list[PendingRecord], needed: int
    ) -> None:
        """Send records to one member."""
        message = StreamRecords({record.key: record.report for record in records})
        try:
            await self.client.call(
                address, RECORD_PATH, message, Accepted, RECORD_SECONDS
            )
        except PeerError:
            # The watch reports members that do not respond, the router an origin that
            # is not recorded.
            return
        for record in records:
            record.copies += 1
            if record.copies == needed:
                record.done.set()
