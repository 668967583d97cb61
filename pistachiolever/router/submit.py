"""Handles callers' requests: validates, claims, submits and answers them."""

from attrs import define
from orjson import dumps
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from pistachiolever.core.errors import ProtocolError, Refusal, RequestError
from pistachiolever.core.ids import new_id
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Account
from pistachiolever.edge.const import (
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    SSE_CONTENT_TYPE,
)
from pistachiolever.edge.server import (
    BodyTooLargeError,
    json_response,
    not_run,
    read_body,
    refusal_response,
)
from pistachiolever.events.const import EventCode
from pistachiolever.router.access import account_of, unauthorized
from pistachiolever.router.const import (
    BUSY_RETRY_AFTER_SECONDS,
    MAX_STREAMS,
)
from pistachiolever.router.models import (
    CallerRequest,
    Submit,
)
from pistachiolever.router.requests import (
    InvalidRequestError,
    Submission,
    parse_submission,
)
from pistachiolever.router.stream_writer import answer_document, write_answer
from pistachiolever.router.tasks import RouterProcess
from pistachiolever.wire.models import ClaimAnswer


@define
class SubmitHandler:
    """ASGI handler that accepts a request and writes its answer."""

    process: RouterProcess

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Validate the request, claim its key if needed, submit it and answer."""
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
        """Return the validated request; raise InvalidRequestError if it is invalid."""
        if len(self.process.stream_by_request) >= MAX_STREAMS:
            refusal = Refusal(
                Verdict.NOT_RUN,
                "router-full",
                "too many open streams",
                BUSY_RETRY_AFTER_SECONDS,
            )
            raise InvalidRequestError(refusal, 503)
        max_bytes = self.process.settings.max_request_bytes
        try:
            body = await read_body(receive, max_bytes)
        except BodyTooLargeError as error:
            refusal = not_run("invalid-request", f"body: larger than {max_bytes} bytes")
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
        """Serve a request that must run at most once."""
        try:
            answer = await self.process.claims.open(submission, request_id)
        except RequestError as error:
            # The claim may have been stored although the response was lost.
            self.process.release_claim_later(request_id)
            await refusal_response(error.refusal, 503)(scope, receive, send)
            return
        if not answer.granted:
            await self._answer_repeated_key(answer, submission, scope, receive, send)
            return
        await self._serve(submission, request_id, answer.attempt_id, receive, send)

    async def _answer_repeated_key(
        self,
        answer: ClaimAnswer,
        submission: Submission,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer a request whose key was claimed before, without running it again."""
        if answer.state == "done":
            if submission.stream:
                response = Response(answer.outcome_sse, media_type=SSE_CONTENT_TYPE)
            else:
                response = json_response(dumps(answer_document(answer.outcome_sse)))
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
        """Submit the request to the router core and write its answer."""
        account_id = submission.account.id
        request = CallerRequest(
            request_id,
            account_id,
            submission.service.id,
            submission.input,
            submission.max_output_tokens,
            submission.size_bytes,
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
