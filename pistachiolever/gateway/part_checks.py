"""Checks requests for parts under which endpoints crash."""

from collections.abc import Callable
from typing import Final

from anyio import sleep
from attrs import define

from pistachiolever.edge.peers import ConnectionPool
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.const import (
    CRASH_CHECK_DELAY_SECONDS,
    CRASH_CHECK_KEEP_ALIVE_SECONDS,
    CRASH_CHECK_SECONDS,
)
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.quarantine.quarantine import Change, Quarantine

PART_EVENTS: Final = {
    Change.QUARANTINED: EventCode.PART_QUARANTINED,
    Change.TESTED: EventCode.PART_TESTED,
    Change.RELEASED: EventCode.PART_RELEASED,
}


@define
class PartChecks:
    """Applies the quarantine to requests, and gives it evidence."""

    quarantine: Quarantine
    get_pool: Callable[[], ConnectionPool]
    events: EventLogger
    now: Callable[[], float]
    record_unreachable: Callable[[EndpointHandle, str], None]

    def quarantined_part(self, part_ids: list[str]) -> str:
        """Return a part of a request that must not be sent now; empty if none."""
        part_id = self.quarantine.quarantined_part(part_ids, self.now())
        self.record_changes()
        return part_id

    def may_send_parts(self, part_ids: list[str]) -> bool:
        """Return whether a request with these parts may be sent to an endpoint now."""
        allowed = self.quarantine.try_send(part_ids, self.now())
        self.record_changes()
        return allowed

    def record_sound_run(self, part_ids: list[str]) -> None:
        """Record that an endpoint ran a request with these parts."""
        self.quarantine.record_sound(part_ids, self.now())
        self.record_changes()

    async def check_crash(
        self, handle: EndpointHandle, request_id: str, part_ids: list[str]
    ) -> bool:
        """Find out whether an endpoint that ended a new run's connection has crashed.

        It has if nobody listens at its address; a connection may end for other reasons.
        Return whether it is known to be there.
        """
        if not self.quarantine.suspects(part_ids, self.now()):
            return False
        endpoint, pool = handle.endpoint, self.get_pool()
        await sleep(CRASH_CHECK_DELAY_SECONDS)
        try:
            connection = await pool.open(endpoint.address, CRASH_CHECK_SECONDS)
        except PeerClosedError as error:
            if error.is_local:
                return False
            self.record_unreachable(handle, error.detail)
            if not error.refused:
                return False
        else:
            await pool.release(connection, CRASH_CHECK_KEEP_ALIVE_SECONDS)
            return True
        incarnation = f"{endpoint.endpoint_id}/{endpoint.born_ms}"
        suspected = self.quarantine.record_crash(incarnation, part_ids, self.now())
        self.events.record(
            EventCode.PARTS_SUSPECTED,
            request_id,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born_ms,
            parts=suspected,
        )
        return False

    def record_changes(self) -> None:
        """Log which parts were quarantined, tested or released."""
        for change in self.quarantine.pop_changes():
            self.events.record(
                PART_EVENTS[change.change],
                part=change.part_id,
                crashes=change.crashes,
                seconds=change.seconds,
            )
