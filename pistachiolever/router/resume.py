"""Finds the endpoint that holds an answer and streams its remaining events."""

import re

from anyio import create_task_group
from attrs import define, frozen
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from pistachiolever.core.ids import is_id
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.server import (
    not_run,
    refusal_response,
)
from pistachiolever.events.const import EventCode
from pistachiolever.router.access import account_of, unauthorized, unknown_request
from pistachiolever.router.const import (
    MAX_EVENT_NUMBER,
)
from pistachiolever.router.models import (
    ResumeRequest,
)
from pistachiolever.router.stream_writer import write_answer
from pistachiolever.router.tasks import RouterProcess
from pistachiolever.wire.const import STATUS_PATH
from pistachiolever.wire.models import RunStatus, RunStatusQuery

_EVENT_ID = re.compile(r"^(\d{1,8})(?:@([a-z0-9][a-z0-9-]{0,62}))?$")


@frozen
class ResumePoint:
    """The last event a caller received and the endpoint that sent it, if known."""

    number: int
    endpoint_id: str


def parse_event_id(text: str) -> ResumePoint | None:
    """Parse a Last-Event-ID header; return None if it is invalid."""
    if not text:
        return ResumePoint(0, "")
    match = _EVENT_ID.match(text)
    if match is None or int(match[1]) > MAX_EVENT_NUMBER:
        return None
    return ResumePoint(int(match[1]), match[2] or "")


@define
class ResumeHandler:
    """ASGI handler that streams the remaining events of an answer."""

    process: RouterProcess

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Find the endpoint and stream the events after the last one received."""
        request = Request(scope, receive)
        account = account_of(request, self.process)
        if account is None:
            await unauthorized()(scope, receive, send)
            return
        request_id = request.path_params["request_id"]
        point = parse_event_id(request.headers.get("last-event-id", ""))
        if point is None or not is_id(request_id):
            detail = "Last-Event-ID: expected the id of an event of this answer"
            refusal = not_run("invalid-request", detail)
            await refusal_response(refusal, 400)(scope, receive, send)
            return
        status = await find_run(self.process, request_id, account.id, point.endpoint_id)
        if status is None:
            await unknown_request(request_id)(scope, receive, send)
            return
        self.process.context.recorder.record(
            EventCode.STREAM_RESUMED,
            request_id=request_id,
            account_id=account.id,
            endpoint_id=status.endpoint_id,
            detail=f"after={point.number}",
        )
        stream = self.process.open_stream(request_id, account.id)
        stream.endpoint_id = status.endpoint_id
        self.process.actor.post(
            ResumeRequest(request_id, account.id, status.endpoint_id, point.number)
        )
        await write_answer(self.process, stream, True, receive, send)


async def find_run(
    process: RouterProcess, request_id: str, account_id: str, endpoint_id: str
) -> RunStatus | None:
    """Return the status of a run, or None if no endpoint holds it.

    Queries the named endpoint if it is one of this router's endpoints, else all of
    them.
    """
    session_by_id = process.session_by_endpoint
    sessions = (
        [session_by_id[endpoint_id]]
        if endpoint_id in session_by_id
        else list(session_by_id.values())
    )
    query = RunStatusQuery(request_id, account_id)
    found: list[RunStatus] = []

    async def query_sidecar(address: str) -> None:
        """Query one sidecar; unreachable ones are skipped."""
        try:
            status = await process.client.call(address, STATUS_PATH, query, RunStatus)
        except PeerError:
            return
        if status.found:
            found.append(status)

    async with create_task_group() as group:
        for session in sessions:
            group.start_soon(query_sidecar, session.entry.address)
    return found[0] if found else None
