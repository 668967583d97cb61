"""Decodes announcements of endpoints and load reports of engines."""

from typing import Any

from attrs import define
from orjson import JSONDecodeError, loads

from pistachiolever.admission.const import REPORT_TIMEOUT_SECONDS
from pistachiolever.admission.models import EngineReport, EngineRun
from pistachiolever.discovery.check import MAX_BORN_MS, find_problem
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.http1.models import RequestHead
from pistachiolever.platform.names import REPORT_PATH


class InvalidAnnouncementError(Exception):
    """An announcement or report is malformed."""


def decode_announcement(endpoint_id: str, body: bytes, peer_port: int) -> Announcement:
    """Return an announcement; raise InvalidAnnouncementError.

    Only model engines list models; an agent process runs on their VMs.
    """
    fields = _object(body)
    state = fields.get("state")
    if state not in (EndpointState.READY.value, EndpointState.DRAINING.value):
        raise InvalidAnnouncementError("state: is not ready or draining")
    address = _string(fields, "address")
    host = address.rpartition(":")[0]
    announcement = Announcement(
        endpoint_id,
        _integer(fields, "born"),
        _integer(fields, "seq"),
        EndpointState(state),
        _string(fields, "service"),
        address,
        _string(fields, "zone"),
        max(1, _integer(fields, "slots")),
        _integer(fields, "coldLeftMs") / 1000,
        f"{host}:{peer_port}" if fields.get("models") else "",
        _string(fields, "version"),
    )
    if problem := find_problem(announcement):
        raise InvalidAnnouncementError(problem)
    return announcement


def decode_start_time(body: bytes) -> int | None:
    """Return the start time in milliseconds, or None if it is missing or unreadable.

    The body is that of a deregistration. Raise InvalidAnnouncementError if no
    endpoint can have started at that time.
    """
    if not body:
        return None
    try:
        born_ms = _integer(_object(body), "born")
    except InvalidAnnouncementError:
        return None
    if born_ms > MAX_BORN_MS:
        raise InvalidAnnouncementError("born: is out of range")
    return born_ms


def decode_report(body: bytes) -> EngineReport:
    """Return the load report of an engine.

    Raise InvalidAnnouncementError, or for malformed runs ValueError, TypeError or
    LookupError.
    """
    fields = _object(body)
    runs = [
        EngineRun(str(run[0]), int(run[1]), int(run[2]))
        for run in fields.get("runs") or []
    ]
    return EngineReport(
        _integer(fields, "born"),
        _integer(fields, "waiting"),
        _integer(fields, "running"),
        _integer(fields, "kvUsed"),
        _integer(fields, "kvTotal"),
        runs,
    )


@define
class EngineClient:
    """Requests load reports from the engine on this VM."""

    address: str
    client: PeerClient

    async def report(self) -> EngineReport:
        """Return the current load report; raise PeerError."""
        request = RequestHead(
            b"GET", REPORT_PATH.encode(), [(b"host", self.address.encode())]
        )
        head, body = await self.client.exchange(
            self.address, request, b"", REPORT_TIMEOUT_SECONDS
        )
        if head.status != 200:
            raise PeerError(f"report returned status {head.status}", True, head.status)
        try:
            return decode_report(body)
        except (InvalidAnnouncementError, ValueError, TypeError, LookupError) as error:
            raise PeerError(f"invalid report: {error}", True) from error


def _object(body: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object."""
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise InvalidAnnouncementError(f"invalid JSON: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidAnnouncementError("must be an object")
    return fields


def _string(fields: dict[str, Any], name: str) -> str:
    """Return a required, non-empty string."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidAnnouncementError(f"{name}: must be a non-empty string")
    return value


def _integer(fields: dict[str, Any], name: str) -> int:
    """Return a required integer that is not negative."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidAnnouncementError(f"{name}: must be an integer of 0 or more")
    return value
