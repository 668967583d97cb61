"""The HTTP face of a router towards callers, the balancer and operators."""

import re
from collections.abc import Callable

from anyio import create_task_group
from attrs import define, frozen
from orjson import dumps, loads
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from pistachiolever.core.errors import ProtocolError, Refusal, RequestError
from pistachiolever.core.ids import is_id, new_id
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Account
from pistachiolever.edge.client import PeerError
from pistachiolever.edge.const import (
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    SSE_CONTENT_TYPE,
)
from pistachiolever.edge.keys import bearer_of, key_digest
from pistachiolever.edge.server import (
    BodyTooLargeError,
    is_fleet_call,
    json_response,
    not_run,
    read_body,
    refusal_response,
)
from pistachiolever.edge.sse import refusal_event
from pistachiolever.events.const import EventCode
from pistachiolever.router.const import (
    BUSY_RETRY_AFTER_SECONDS,
    MAX_EVENT_NUMBER,
    MAX_STREAMS,
)
from pistachiolever.router.models import (
    CallerRequest,
    CancelRequest,
    ReaderReady,
    ResumeRequest,
    Submit,
)
from pistachiolever.router.requests import (
    InvalidRequestError,
    Submission,
    parse_submission,
)
from pistachiolever.router.streams import CallerStream, StreamBatch
from pistachiolever.router.tasks import RouterProcess
from pistachiolever.wire.codec import encode
from pistachiolever.wire.const import STATUS_PATH
from pistachiolever.wire.models import ClaimAnswer, RunStatus, RunStatusQuery

_EVENT_ID = re.compile(r"^(\d{1,8})(?:@([a-z0-9][a-z0-9-]{0,62}))?$")


def make_router_app(process: RouterProcess) -> Starlette:
    """Return the application that callers use."""
    face = RouterFace(process)
    request_path = "/v1/requests/{request_id}"
    return Starlette(
        routes=[
            Route("/v1/requests", SubmitEndpoint(process), methods=["POST"]),
            Route(f"{request_path}/events", ResumeEndpoint(process), methods=["GET"]),
            Route(request_path, face.outcome, methods=["GET"]),
            Route(request_path, face.cancel, methods=["DELETE"]),
            Route("/health", face.health),
            Route("/ready", face.ready),
            Route("/ops/events", face.events),
            Route("/ops/sessions", face.sessions),
        ]
    )


def account_of(request: Request, process: RouterProcess) -> Account | None:
    """Return the account whose key the request carries."""
    key = bearer_of(request.headers.get("authorization", ""))
    if not key:
        return None
    return process.revision.account_by_key.get(key_digest(key))


def unauthorized() -> Response:
    """Return the answer to a caller without a valid key."""
    detail = "Authorization: give 'Bearer' and the key of an account"
    response = refusal_response(not_run("unauthorized", detail), 401)
    response.headers["www-authenticate"] = "Bearer"
    return response


@define
class StreamWriter:
    """Writes one caller's answer as server-sent events, or as one JSON text."""

    process: RouterProcess
    stream: CallerStream
    as_stream: bool
    last: StreamBatch | None = None

    async def write(self, receive: Receive, send: Send) -> None:
        """Write until the end, or stop when the caller leaves."""
        async with create_task_group() as group:
            group.start_soon(self._watch_caller, receive, group.cancel_scope.cancel)
            if self.as_stream:
                await self._write_events(send)
            else:
                await self._write_whole(send)
            group.cancel_scope.cancel()

    async def _watch_caller(self, receive: Receive, left: Callable[[], None]) -> None:
        """Stop the writing when the caller hangs up."""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                left()
                return

    async def _write_events(self, send: Send) -> None:
        """Pass events on as they come, all that is ready at once."""
        headers = [
            (b"content-type", SSE_CONTENT_TYPE.encode()),
            (b"cache-control", b"no-store"),
            (REQUEST_ID_HEADER.encode(), self.stream.request_id.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        data = dumps({"request_id": self.stream.request_id})
        accepted = b"event: accepted\ndata: " + data + b"\n\n"
        body = {"type": "http.response.body", "body": accepted, "more_body": True}
        await send(body)
        while self.last is None:
            batch = await self.stream.take()
            text = batch.sse
            if batch.refusal is not None:
                text += refusal_event(batch.refusal)
            if batch.is_last():
                self.last = batch
            await send(
                {
                    "type": "http.response.body",
                    "body": text.encode(),
                    "more_body": self.last is None,
                }
            )
            self._note_read()

    async def _write_whole(self, send: Send) -> None:
        """Collect the answer and write it as one JSON text."""
        parts: list[str] = []
        while self.last is None:
            batch = await self.stream.take()
            parts.append(batch.sse)
            if batch.is_last():
                self.last = batch
            self._note_read()
        if self.last.refusal is not None:
            response = refusal_response(self.last.refusal, 503, self.stream.request_id)
        else:
            document = whole_answer("".join(parts))
            document["request_id"] = self.stream.request_id
            response = json_response(dumps(document))
        scope = {"type": "http", "method": "POST", "headers": []}
        await response(scope, _no_receive, send)

    def _note_read(self) -> None:
        """Let a slow reader's events flow again."""
        if self.stream.slow:
            self.stream.slow = False
            self.process.actor.post(ReaderReady(self.stream.request_id))


async def _no_receive() -> dict[str, object]:
    """Stand in for a receive channel that is not read."""
    raise ProtocolError("nothing to receive")


def whole_answer(sse: str) -> dict[str, object]:
    """Return the answer that a text of server-sent events carries."""
    texts: list[str] = []
    document: dict[str, object] = {}
    for block in sse.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        data = loads(fields.get("data", "{}"))
        if fields.get("event") == "part":
            texts.append(data["text"])
        elif fields.get("event") == "result":
            document["result"] = data
        elif fields.get("event") == "final":
            document.update(data)
    if texts:
        document["text"] = "".join(texts)
    return document


@define
class SubmitEndpoint:
    """Takes a caller's request and streams the answer."""

    process: RouterProcess

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Check, claim if needed, submit, and write the answer."""
        request = Request(scope, receive)
        account = account_of(request, self.process)
        if account is None:
            await unauthorized()(scope, receive, send)
            return
        try:
            submission = await self._read(request, receive, account)
        except InvalidRequestError as error:
            response = refusal_response(error.refusal, error.status)
            await response(scope, receive, send)
            return
        request_id = new_id(self.process.context.rng)
        if submission.service.repeatable:
            await self._serve(submission, request_id, "", receive, send)
            return
        await self._serve_claimed(submission, request_id, scope, receive, send)

    async def _read(
        self, request: Request, receive: Receive, account: Account
    ) -> Submission:
        """Return the checked request; raise InvalidRequestError."""
        if len(self.process.stream_by_request) >= MAX_STREAMS:
            refusal = Refusal(
                Verdict.NOT_RUN,
                "router-full",
                "too many open answers",
                BUSY_RETRY_AFTER_SECONDS,
            )
            raise InvalidRequestError(refusal, 503)
        most = self.process.settings.max_request_bytes
        try:
            body = await read_body(receive, most)
        except BodyTooLargeError as error:
            refusal = not_run("invalid-request", f"body: give at most {most} bytes")
            raise InvalidRequestError(refusal, 413) from error
        except ProtocolError as error:
            raise InvalidRequestError(
                not_run("invalid-request", str(error)), 400
            ) from error
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        return parse_submission(body, account, self.process.revision, key)

    async def _serve_claimed(
        self,
        submission: Submission,
        request_id: str,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve a request that may run at most once."""
        try:
            answer = await self.process.claims.open(submission, request_id)
        except RequestError as error:
            # The claim may stand although its answer was lost.
            self.process.free_later(request_id)
            await refusal_response(error.refusal, 503)(scope, receive, send)
            return
        if not answer.granted:
            await self._answer_repeated(answer, submission, scope, receive, send)
            return
        await self._serve(submission, request_id, answer.attempt_id, receive, send)

    async def _answer_repeated(
        self,
        answer: ClaimAnswer,
        submission: Submission,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer a key that was claimed before: never a second run."""
        if answer.state == "done":
            if submission.stream:
                response = Response(answer.outcome_sse, media_type=SSE_CONTENT_TYPE)
            else:
                response = json_response(dumps(whole_answer(answer.outcome_sse)))
            response.headers[REQUEST_ID_HEADER] = answer.request_id
        else:
            refusal = Refusal(
                answer.verdict,
                f"key-{answer.state}",
                answer.detail,
                BUSY_RETRY_AFTER_SECONDS if answer.state == "running" else 0.0,
            )
            response = refusal_response(refusal, 409, answer.request_id)
        response.headers["x-idempotent-replay"] = "true"
        await response(scope, receive, send)

    async def _serve(
        self,
        submission: Submission,
        request_id: str,
        attempt_id: str,
        receive: Receive,
        send: Send,
    ) -> None:
        """Hand the request to the decisions and write what comes."""
        account_id = submission.account.id
        request = CallerRequest(
            request_id,
            account_id,
            submission.service.id,
            submission.input,
            submission.max_output_tokens,
            len(submission.input),
            attempt_id,
        )
        self.process.context.recorder.record(
            EventCode.REQUEST_ACCEPTED,
            request_id=request_id,
            account_id=account_id,
            detail=f"service={submission.service.id}",
        )
        self.process.context.metrics.incr("requests")
        stream = self.process.open_stream(request_id, account_id)
        self.process.actor.post(Submit(request))
        await write_answer(
            self.process, stream, submission.stream, receive, send, bool(attempt_id)
        )


async def write_answer(
    process: RouterProcess,
    stream: CallerStream,
    as_stream: bool,
    receive: Receive,
    send: Send,
    claimed: bool = False,
) -> None:
    """Write an answer; when the caller leaves, withdraw its request.

    A claimed request goes on: its outcome is what a resend will be told.
    """
    writer = StreamWriter(process, stream, as_stream)
    try:
        await writer.write(receive, send)
    finally:
        was_current = process.close_stream(stream)
        if writer.last is None and was_current and not claimed:
            process.actor.post(CancelRequest(stream.request_id, hung_up=True))


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


def unknown_request(request_id: str) -> Response:
    """Return the answer when no endpoint within reach holds a request."""
    refusal = Refusal(
        Verdict.MAY_HAVE_RUN,
        "unknown-request",
        "no endpoint within reach holds this request of this account",
    )
    return refusal_response(refusal, 404, request_id)


@define
class RouterFace:
    """Short calls of callers, the balancer and operators."""

    process: RouterProcess

    async def outcome(self, request: Request) -> Response:
        """Tell how a request stands."""
        account = account_of(request, self.process)
        if account is None:
            return unauthorized()
        request_id = request.path_params["request_id"]
        if not is_id(request_id):
            return unknown_request("")
        if self._is_waiting(request_id, account):
            return json_response(dumps({"request_id": request_id, "state": "queued"}))
        status = await find_run(self.process, request_id, account.id, "")
        if status is None:
            return unknown_request(request_id)
        return json_response(dumps(_status_document(request_id, status)))

    async def cancel(self, request: Request) -> Response:
        """Stop a request of this account that this router holds."""
        account = account_of(request, self.process)
        if account is None:
            return unauthorized()
        request_id = request.path_params["request_id"]
        if self.process.account_by_request.get(request_id) != account.id:
            return unknown_request(request_id if is_id(request_id) else "")
        self.process.context.recorder.record(
            EventCode.REQUEST_CANCELLED, request_id=request_id, account_id=account.id
        )
        stream = self.process.stream_by_request[request_id]
        self.process.actor.post(CancelRequest(request_id))
        await stream.ended.wait()
        if stream.refusal is None:
            detail = "the answer ended before it could be stopped"
            refusal = Refusal(Verdict.RAN, "already-complete", detail)
            return refusal_response(refusal, 200, request_id)
        return refusal_response(stream.refusal, 200, request_id)

    def _is_waiting(self, request_id: str, account: Account) -> bool:
        """Tell whether a request of the account waits in this router."""
        core = self.process.core
        request = core.request_by_id.get(request_id)
        if request is None or request.account_id != account.id:
            return False
        return core.flights.get(request_id) is None

    async def health(self, request: Request) -> Response:
        """Tell that the process lives."""
        return json_response(b'{"healthy":true}')

    async def ready(self, request: Request) -> Response:
        """Tell the balancer whether to send callers here."""
        ready = self.process.is_ready()
        return json_response(dumps({"ready": ready}), 200 if ready else 503)

    async def events(self, request: Request) -> Response:
        """Return the kept events of the time line."""
        if not is_fleet_call(request, self.process.context.settings):
            return unauthorized()
        return json_response(encode(self.process.context.recorder.after(0)))

    async def sessions(self, request: Request) -> Response:
        """Return to how many sidecars the router is connected."""
        if not is_fleet_call(request, self.process.context.settings):
            return unauthorized()
        states = self.process.core.endpoints.state_by_id.values()
        return json_response(dumps(sum(state.connected for state in states)))


def _status_document(request_id: str, status: RunStatus) -> dict[str, object]:
    """Return how a request stands, for callers."""
    document: dict[str, object] = {
        "request_id": request_id,
        "endpoint": status.endpoint_id,
        "events": status.events,
        "state": "running",
    }
    if status.outcome is not None:
        document["state"] = "ended"
        document["verdict"] = status.outcome.verdict.value
        document["complete"] = status.outcome.complete
        document["reason"] = status.outcome.reason
        document["digest"] = status.outcome.digest
    return document
