"""Keeps the streams that a member knows in its data folder."""

from collections.abc import Callable, Iterable
from functools import partial

from anyio import Event, current_time, move_on_after, sleep, to_thread
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


@define(eq=False)
class SaveBatch:
    """What is saved with the next write, and its outcome."""

    is_saved: bool = False
    done: Event = field(factory=Event)

    def finish(self, is_saved: bool) -> None:
        """Wake those who wait for the write."""
        self.is_saved = is_saved
        self.done.set()


@define
class StreamStore:
    """Writes the journal of streams, those of some time with one sync.

    Nobody waits for streams that are added: one that is not on disk is only unknown
    after a restart of all processes. A disk that fails or is slow delays them, and the
    log goes first. `is_damaged` is true if streams of an earlier process were lost.
    """

    journal: StreamJournal
    disk: Disk
    events: EventLogger
    now: Callable[[], float] = current_time
    added: Event = field(factory=Event)
    awaited: Event = field(factory=Event)
    batch: SaveBatch = field(factory=SaveBatch)
    is_failing: bool = False
    is_damaged: bool = False

    def load(self) -> int:
        """Restore the streams of an earlier process; return how many are known."""
        for name in JOURNAL_FILES:
            try:
                data = self.disk.read(name) or b""
            except OSError as error:
                self.is_damaged = True
                self.events.record(
                    EventCode.STREAMS_DAMAGED, file=name, error=str(error)
                )
                continue
            # A line that was being written must not run into the next one.
            whole = data[: data.rfind(b"\n") + 1]
            self.disk.truncate(name, len(whole))
            damaged = self.journal.restore(name, whole, self.now())
            if damaged:
                self.is_damaged = True
                self.events.record(EventCode.STREAMS_DAMAGED, file=name, lines=damaged)
        return len(self.journal.table.record_by_key)

    def add(self, keys: Iterable[str]) -> None:
        """Save streams soon."""
        self.journal.add(keys)
        if self.journal.unsaved:
            self.added.set()

    async def save(self, keys: Iterable[str]) -> bool:
        """Save streams now; return whether they are on disk."""
        self.add(keys)
        batch = self.batch
        self.awaited.set()
        await batch.done.wait()
        return batch.is_saved

    async def run(self) -> None:
        """Save streams until cancelled."""
        while True:
            await self.added.wait()
            await self._wait_until_due(JOURNAL_SECONDS)
            self.added, self.awaited = Event(), Event()
            batch, self.batch = self.batch, SaveBatch()
            write = self.journal.next_write(self.now())
            if write is None:
                batch.finish(True)
                continue
            started_at = self.now()
            is_saved = await self._save(write)
            batch.finish(is_saved)
            seconds = self.now() - started_at
            if not is_saved:
                await sleep(JOURNAL_RETRY_SECONDS)
            else:
                await sleep(seconds)
                await self._wait_until_due((JOURNAL_DISK_FACTOR - 1) * seconds)

    async def _wait_until_due(self, seconds: float) -> None:
        """Wait for a time, or until somebody waits for a write."""
        with move_on_after(seconds):
            await self.awaited.wait()

    async def _save(self, write: JournalWrite) -> bool:
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
            return False
        self.journal.handle_written(write)
        if self.is_failing:
            self.is_failing = False
            self.events.record(EventCode.STREAMS_SAVED)
        return True
