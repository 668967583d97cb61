"""Decodes announcements of endpoints and load reports of engines."""

from typing import Any, Final

from attrs import define
from orjson import JSONDecodeError, loads

from pistachiolever.admission.const import REPORT_TIMEOUT_SECONDS
from pistachiolever.admission.models import EngineReport, EngineRun
from pistachiolever.core.numbers import MAX_NUMBER
from pistachiolever.discovery.check import MAX_BORN_MS, find_problem
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.http1.models import RequestHead
from pistachiolever.platform.names import REPORT_PATH

# The leading fields of a running request in a report.
RUN_FIELDS: Final = 3


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
        born_ms = _object(body).get("born")
    except InvalidAnnouncementError:
        return None
    if isinstance(born_ms, bool) or not isinstance(born_ms, int) or born_ms < 0:
        return None
    return _checked(born_ms, "born", MAX_BORN_MS)


def decode_report(body: bytes) -> EngineReport:
    """Return the load report of an engine; raise InvalidAnnouncementError."""
    fields = _object(body)
    entries = fields.get("runs") or []
    if not isinstance(entries, list):
        raise InvalidAnnouncementError("runs: must be a list")
    runs = [_run(entry) for entry in entries]
    return EngineReport(
        _integer(fields, "born", MAX_BORN_MS),
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
        except InvalidAnnouncementError as error:
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


def _integer(fields: dict[str, Any], name: str, maximum: int = MAX_NUMBER) -> int:
    """Return a required integer from 0 to a maximum."""
    return _checked(fields.get(name), name, maximum)


def _run(entry: Any) -> EngineRun:
    """Return a running request of a report: its id, tokens in memory and events.

    The numbers may have fractions.
    """
    if not isinstance(entry, list) or len(entry) < RUN_FIELDS:
        raise InvalidAnnouncementError("runs: must have lists of an id and numbers")
    request_id, tokens, events = entry[:RUN_FIELDS]
    if not isinstance(request_id, str):
        raise InvalidAnnouncementError("runs: an id must be a string")
    if isinstance(tokens, float):
        tokens = int(tokens)
    if isinstance(events, float):
        events = int(events)
    return EngineRun(request_id, _checked(tokens, "runs"), _checked(events, "runs"))


def _checked(value: Any, name: str, maximum: int = MAX_NUMBER) -> int:
    """Return a value that must be an integer from 0 to a maximum."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidAnnouncementError(f"{name}: must be an integer")
    if not 0 <= value <= maximum:
        raise InvalidAnnouncementError(f"{name}: is out of range")
    return value
