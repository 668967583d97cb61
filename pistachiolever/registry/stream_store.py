"""Keeps the streams that a member knows in its data folder."""

from collections.abc import Callable, Iterable
from functools import partial

from anyio import Event, current_time, sleep, to_thread
from attrs import define, field

from pistachiolever.control.storage import Disk
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.streams.const import (
    JOURNAL_DISK_FACTOR,
    JOURNAL_FILES,
    JOURNAL_RETRY_SECONDS,
    JOURNAL_SECONDS,
)
from pistachiolever.streams.journal import JournalWrite, StreamJournal


@define
class StreamStore:
    """Writes the journal of streams, those of some time with one sync.

    Nobody waits for it: a stream that is not on disk is only unknown after a restart of
    all processes. A disk that fails or is slow delays it, and the log goes first.
    """

    journal: StreamJournal
    disk: Disk
    events: EventLogger
    now: Callable[[], float] = current_time
    added: Event = field(factory=Event)
    is_failing: bool = False

    def load(self) -> int:
        """Restore the streams of an earlier process; return how many are known."""
        for name in JOURNAL_FILES:
            try:
                data = self.disk.read(name) or b""
            except OSError as error:
                self.events.record(
                    EventCode.STREAMS_DAMAGED, file=name, error=str(error)
                )
                continue
            # A line that was being written must not run into the next one.
            whole = data[: data.rfind(b"\n") + 1]
            self.disk.truncate(name, len(whole))
            damaged = self.journal.restore(name, whole, self.now())
            if damaged:
                self.events.record(EventCode.STREAMS_DAMAGED, file=name, lines=damaged)
        return len(self.journal.table.record_by_key)

    def add(self, keys: Iterable[str]) -> None:
        """Save streams soon."""
        self.journal.add(keys)
        if self.journal.unsaved:
            self.added.set()

    async def run(self) -> None:
        """Save streams until cancelled."""
        while True:
            await self.added.wait()
            await sleep(JOURNAL_SECONDS)
            self.added = Event()
            write = self.journal.next_write(self.now())
            if write is not None:
                started_at = self.now()
                await self._save(write)
                await sleep(JOURNAL_DISK_FACTOR * (self.now() - started_at))

    async def _save(self, write: JournalWrite) -> None:
        """Write and sync a line; a failure is logged once and retried later."""
        save = self.disk.replace if write.is_first else self.disk.append
        try:
            await to_thread.run_sync(partial(save, write.file, write.data))
        except OSError as error:
            self.journal.handle_failure(write)
            self.added.set()
            if not self.is_failing:
                self.is_failing = True
                self.events.record(EventCode.STREAMS_UNSAVED, error=str(error))
            await sleep(JOURNAL_RETRY_SECONDS)
            return
        self.journal.handle_written(write)
        if self.is_failing:
            self.is_failing = False
            self.events.record(EventCode.STREAMS_SAVED)
