"""Calls to control, with failover between its processes."""

from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from anyio import sleep
from attrs import define, field

from pistachiolever.declarations.codec import from_text
from pistachiolever.declarations.models import Revision
from pistachiolever.edge.client import FleetClient
from pistachiolever.edge.const import CALL_SECONDS
from pistachiolever.edge.context import ProcessContext
from pistachiolever.edge.errors import PeerError
from pistachiolever.events.const import EventCode
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.wire.const import WATCH_PATH
from pistachiolever.wire.models import WatchReply, WatchRequest

T = TypeVar("T")

WATCH_POLL_SECONDS: Final = 20.0
RETRY_SECONDS: Final = 0.5
HEARTBEAT_ATTEMPTS_PER_LEASE: Final = 4.0


@define
class ControlClient:
    """Calls control, preferring the process that answered last.

    `current` counts failovers and selects the process to call next.
    """

    context: ProcessContext
    client: FleetClient
    current: int = 0
    reachable: bool = field(default=True)

    async def call(
        self,
        path: str,
        message: object,
        reply_type: type[T],
        seconds: float = CALL_SECONDS,
    ) -> T:
        """Call each control process in turn; raise PeerError if none answers.

        `may_have_arrived` of the error is false only if certainly none had an effect.
        """
        addresses = self.context.settings.control_addresses
        may_have_arrived = False
        last_error = ""
        for _ in addresses:
            address = addresses[self.current % len(addresses)]
            try:
                reply = await self.client.call(
                    address, path, message, reply_type, seconds
                )
                self._set_reachable(True, address)
                return reply
            except PeerError as error:
                may_have_arrived = may_have_arrived or error.may_have_arrived
                last_error = str(error)
                self.current += 1
        self._set_reachable(False, last_error)
        raise PeerError(last_error, may_have_arrived)

    async def watch(self, apply: Callable[[Revision], Awaitable[None]]) -> None:
        """Apply each new revision of the declarations; ignore older revisions."""
        while True:
            try:
                reply = await self.call(
                    WATCH_PATH,
                    WatchRequest(
                        self.context.sender(),
                        self.context.revision,
                        WATCH_POLL_SECONDS,
                    ),
                    WatchReply,
                    WATCH_POLL_SECONDS + CALL_SECONDS,
                )
            except PeerError:
                await sleep(RETRY_SECONDS * (0.5 + self.context.rng.random()))
                continue
            if reply.revision <= self.context.revision:
                continue
            revision = Revision.of(reply.revision, from_text(reply.document))
            self.context.revision = reply.revision
            self.context.recorder.record(
                EventCode.REVISION_IN_FORCE,
                detail=f"revision={revision.number} preset={revision.preset.id}",
            )
            await apply(revision)

    def _set_reachable(self, reachable: bool, detail: str) -> None:
        """Update `reachable`; record an event when it changes."""
        if self.reachable == reachable:
            return
        self.reachable = reachable
        code = EventCode.CONTROL_FOUND if reachable else EventCode.CONTROL_UNREACHABLE
        self.context.recorder.record(code, detail=detail)


def heartbeat_timeout(settings: ProcessSettings) -> float:
    """Return the seconds for one heartbeat, so that a lease allows several attempts."""
    return settings.lease_seconds / HEARTBEAT_ATTEMPTS_PER_LEASE
