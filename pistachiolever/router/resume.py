"""Finds the endpoint that holds an answer, and streams the rest of it."""

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
    """The last event a caller has, and the endpoint that wrote it, if known."""

    number: int
    endpoint_id: str


def parse_event_id(text: str) -> ResumePoint | None:
    """Return the meaning of a Last-Event-ID header."""
    if not text:
        return ResumePoint(0, "")
    match = _EVENT_ID.match(text)
    if match is None or int(match[1]) > MAX_EVENT_NUMBER:
        return None
    return ResumePoint(int(match[1]), match[2] or "")


@define
class ResumeEndpoint:
    """Streams the rest of an answer that some endpoint holds."""

    process: RouterProcess

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Find the endpoint and stream from the event after the last."""
        request = Request(scope, receive)
        account = account_of(request, self.process)
        if account is None:
            await unauthorized()(scope, receive, send)
            return
        request_id = request.path_params["request_id"]
        point = parse_event_id(request.headers.get("last-event-id", ""))
        if point is None or not is_id(request_id):
            detail = "Last-Event-ID: give the id of an event of this answer"
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
    process: RouterProcess, request_id: str, account_id: str, hint: str
) -> RunStatus | None:
    """Ask the endpoint that is named, else all, who holds a request."""
    sessions = process.session_by_endpoint
    asked = [sessions[hint]] if hint in sessions else list(sessions.values())
    query = RunStatusQuery(request_id, account_id)
    found: list[RunStatus] = []

    async def ask(address: str) -> None:
        """Ask one sidecar."""
        try:
            status = await process.client.call(address, STATUS_PATH, query, RunStatus)
        except PeerError:
            return
        if status.found:
            found.append(status)

    async with create_task_group() as group:
        for session in asked:
            group.start_soon(ask, session.entry.address)
    return found[0] if found else None
