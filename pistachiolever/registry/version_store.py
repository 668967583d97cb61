"""Keeps the versions of services that a member knows in its data folder."""

from collections.abc import Callable
from functools import partial

from anyio import Event, current_time, move_on_after, sleep, to_thread
from attrs import define, field

from pistachiolever.control.storage import Disk
from pistachiolever.discovery.const import VERSION_KEPT_SECONDS
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.registry.const import EXPIRY_CHECK_SECONDS
from pistachiolever.streams.const import JOURNAL_RETRY_SECONDS, VERSIONS_FILE
from pistachiolever.streams.version_history import (
    VersionHistory,
    VersionsByService,
    decode_versions,
    encode_versions,
)


@define
class VersionStore:
    """Saves the versions of services whenever they change.

    `read_versions` returns those that the member remembers.
    """

    history: VersionHistory
    disk: Disk
    events: EventLogger
    read_versions: Callable[[], VersionsByService]
    now: Callable[[], float] = current_time
    changed: Event = field(factory=Event)
    started_at: float = field(init=False)
    is_failing: bool = False

    def __attrs_post_init__(self) -> None:
        """Note the start, from which on nothing is missed."""
        self.started_at = self.now()

    def load(self, is_new_fleet: bool) -> None:
        """Restore what an earlier process saved; nothing was before a new fleet."""
        try:
            data = self.disk.read(VERSIONS_FILE)
        except OSError as error:
            self._record_damage(str(error))
            return
        if data is None:
            self.history.is_complete = is_new_fleet
            return
        saved = decode_versions(data)
        if saved is None:
            self._record_damage("can't be read")
        else:
            self.history.restore(saved)

    def notify(self) -> None:
        """Note that versions may have changed."""
        self.changed.set()

    async def run(self) -> None:
        """Save versions until cancelled."""
        while True:
            self.changed = Event()
            self.history.update(self.read_versions(), self.now())
            if self.now() - self.started_at > VERSION_KEPT_SECONDS:
                self.history.is_complete = True
            if self.history.is_unsaved():
                await self._save()
            with move_on_after(EXPIRY_CHECK_SECONDS):
                await self.changed.wait()

    async def _save(self) -> None:
        """Write and sync the file; a failure is logged once and retried."""
        content = self.history.pack()
        data = encode_versions(content)
        try:
            await to_thread.run_sync(partial(self.disk.replace, VERSIONS_FILE, data))
        except OSError as error:
            if not self.is_failing:
                self.is_failing = True
                self.events.record(EventCode.STREAMS_UNSAVED, error=str(error))
            await sleep(JOURNAL_RETRY_SECONDS)
            return
        self.history.saved = content
        if self.is_failing:
            self.is_failing = False
            self.events.record(EventCode.STREAMS_SAVED)

    def _record_damage(self, error: str) -> None:
        """Record that the file can't be used."""
        self.events.record(EventCode.STREAMS_DAMAGED, file=VERSIONS_FILE, error=error)
