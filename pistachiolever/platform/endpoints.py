"""Reads what engines say of themselves: announcements and reports."""

from typing import Any

from attrs import define
from orjson import JSONDecodeError, loads

from pistachiolever.admission.const import REPORT_TIMEOUT_SECONDS
from pistachiolever.admission.models import EngineReport, EngineRun
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerCaller
from pistachiolever.http1.models import RequestHead
from pistachiolever.platform.names import REPORT_PATH


class InvalidAnnouncementError(Exception):
    """An announcement names no endpoint that could be used."""


def decode_announcement(endpoint_id: str, body: bytes, inner_port: int) -> Announcement:
    """Return an announcement; raise InvalidAnnouncementError.

    Only model engines say which models they hold; beside these runs an agent.
    """
    fields = _table(body)
    state = fields.get("state")
    if state not in (EndpointState.READY.value, EndpointState.DRAINING.value):
        raise InvalidAnnouncementError("state: is not a state")
    address = _text(fields, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise InvalidAnnouncementError("address: is not IP:PORT")
    return Announcement(
        endpoint_id,
        _integer(fields, "born"),
        _integer(fields, "seq"),
        EndpointState(state),
        _text(fields, "service"),
        address,
        _text(fields, "zone"),
        max(1, _integer(fields, "slots")),
        _integer(fields, "coldLeftMs") / 1000,
        f"{host}:{inner_port}" if fields.get("models") else "",
    )


def decode_birth(body: bytes) -> int | None:
    """Return the birth that a leaving engine tells, if it does."""
    if not body:
        return None
    try:
        return _integer(_table(body), "born")
    except InvalidAnnouncementError:
        return None


def decode_report(body: bytes) -> EngineReport:
    """Return an engine's report; raise InvalidAnnouncementError."""
    fields = _table(body)
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
    """Asks the engine on this VM how it stands."""

    address: str
    caller: PeerCaller

    async def report(self) -> EngineReport:
        """Return the engine's report; raise PeerError."""
        request = RequestHead(
            b"GET", REPORT_PATH.encode(), [(b"host", self.address.encode())]
        )
        head, body = await self.caller.exchange(
            self.address, request, b"", REPORT_TIMEOUT_SECONDS
        )
        if head.status != 200:
            raise PeerError(f"report answered {head.status}", True, head.status)
        try:
            return decode_report(body)
        except (InvalidAnnouncementError, ValueError, TypeError, LookupError) as error:
            raise PeerError(f"report: {error}", True) from error


def _table(body: bytes) -> dict[str, Any]:
    """Return a JSON table."""
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise InvalidAnnouncementError(f"no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise InvalidAnnouncementError("must be a table")
    return fields


def _text(fields: dict[str, Any], name: str) -> str:
    """Return a text that must be there."""
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidAnnouncementError(f"{name}: must be a text")
    return value


def _integer(fields: dict[str, Any], name: str) -> int:
    """Return a whole number that must be there."""
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidAnnouncementError(f"{name}: must be a whole number")
    return value
