"""Decodes announcements of endpoints and load reports of engines."""

from typing import Any, Final

from attrs import define, evolve

from pistachiolever.admission.const import (
    HEALTH_TIMEOUT_SECONDS,
    REPORT_TIMEOUT_SECONDS,
)
from pistachiolever.admission.models import EngineReport, EngineRun
from pistachiolever.core.numbers import parse_whole_number
from pistachiolever.discovery.check import MAX_BORN_MS, find_problem
from pistachiolever.discovery.fields import (
    InvalidAnnouncementError,
    check_integer,
    read_integer,
    read_object,
    read_string,
)
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.header_format import parse_load
from pistachiolever.http1.models import Header, RequestHead, ResponseHead
from pistachiolever.platform.names import COLD_HEADER, HEADER_FORMAT, REPORT_PATH

# The leading fields of a running request in a report.
RUN_FIELDS: Final = 3


def decode_announcement(endpoint_id: str, body: bytes, peer_port: int) -> Announcement:
    """Return an announcement; raise InvalidAnnouncementError.

    Only model engines list models; an agent process runs on their VMs.
    """
    fields = read_object(body)
    state = fields.get("state")
    if state not in (EndpointState.READY.value, EndpointState.DRAINING.value):
        raise InvalidAnnouncementError("state: is not ready or draining")
    address = read_string(fields, "address")
    host = address.rpartition(":")[0]
    announcement = Announcement(
        endpoint_id,
        read_integer(fields, "born"),
        read_integer(fields, "seq"),
        EndpointState(state),
        read_string(fields, "service"),
        address,
        read_string(fields, "zone"),
        max(1, read_integer(fields, "slots")),
        read_integer(fields, "coldLeftMs") / 1000,
        f"{host}:{peer_port}" if fields.get("models") else "",
        read_string(fields, "version"),
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
        born_ms = read_object(body).get("born")
    except InvalidAnnouncementError:
        return None
    if isinstance(born_ms, bool) or not isinstance(born_ms, int) or born_ms < 0:
        return None
    return check_integer(born_ms, "born", MAX_BORN_MS)


def decode_report(body: bytes) -> EngineReport:
    """Return the load report of an engine; raise InvalidAnnouncementError."""
    fields = read_object(body)
    entries = fields.get("runs") or []
    if not isinstance(entries, list):
        raise InvalidAnnouncementError("runs: must be a list")
    runs = [_run(entry) for entry in entries]
    return EngineReport(
        read_integer(fields, "born", MAX_BORN_MS),
        read_integer(fields, "waiting"),
        read_integer(fields, "running"),
        read_integer(fields, "kvUsed"),
        read_integer(fields, "kvTotal"),
        runs,
    )


@define
class EngineClient:
    """Requests load reports and health checks from the engine on this VM."""

    address: str
    client: PeerClient

    async def report(self) -> EngineReport:
        """Return the current load report; raise PeerError."""
        head, body = await self._get(REPORT_PATH, REPORT_TIMEOUT_SECONDS)
        try:
            report = decode_report(body)
        except InvalidAnnouncementError as error:
            raise PeerError(f"invalid report: {error}", True) from error
        load = parse_load(head.value(HEADER_FORMAT.load))
        if load is None or not load.tells_slowdown:
            return report
        return evolve(report, slowdown=load.slowdown)

    async def cold_seconds(self, health_path: str) -> float:
        """Return how long the engine stays cold, 0 if it is warm; raise PeerError."""
        head, _ = await self._get(health_path, HEALTH_TIMEOUT_SECONDS)
        cold_ms = parse_whole_number(head.value(COLD_HEADER) or b"0")
        if cold_ms is None:
            raise PeerError("invalid time of the cold start", True)
        return cold_ms / 1000

    async def _get(self, path: str, seconds: float) -> tuple[ResponseHead, bytes]:
        """Return the head and body of a response of the engine; raise PeerError."""
        headers: list[Header] = [(b"host", self.address.encode())]
        request = RequestHead(b"GET", path.encode(), headers)
        head, body = await self.client.exchange(self.address, request, b"", seconds)
        if head.status != 200:
            detail = f"{path} returned status {head.status}"
            raise PeerError(detail, True, head.status)
        return head, body


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
    return EngineRun(
        request_id, check_integer(tokens, "runs"), check_integer(events, "runs")
    )
