"""Serving ASGI applications with hypercorn, and request handling shared by roles."""

from typing import Any, cast

from absl.logging import get_absl_logger
from anyio import Event
from hypercorn.asyncio import serve
from hypercorn.config import Config
from orjson import dumps
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive

from pistachiolever.core.errors import ProtocolError, Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.edge.const import (
    JSON_CONTENT_TYPE,
    KEEP_ALIVE_SECONDS,
    MAX_HEADER_BYTES,
    SHUTDOWN_SECONDS,
)
from pistachiolever.edge.keys import bearer_key, same_key
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.wire.const import MAX_INNER_BODY_BYTES


async def serve_app(app: ASGIApp, settings: ProcessSettings, stop: Event) -> None:
    """Serve until `stop` is set, then finish open responses within SHUTDOWN_SECONDS."""
    config = Config()
    config.bind = [settings.address]
    config.accesslog = None
    config.errorlog = get_absl_logger()
    config.loglevel = "WARNING"
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.graceful_timeout = SHUTDOWN_SECONDS
    config.shutdown_timeout = SHUTDOWN_SECONDS
    if settings.tls.certificate_file:
        config.certfile = settings.tls.certificate_file
        config.keyfile = settings.tls.key_file
    await serve(cast(Any, app), config, shutdown_trigger=stop.wait)


class BodyTooLargeError(Exception):
    """A request body exceeds the size limit."""


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return the whole body of a request; raise BodyTooLargeError."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            raise ProtocolError("the client disconnected while sending its request")
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def read_inner_body(request: Request) -> bytes:
    """Return the body of an internal call; raise BodyTooLargeError."""
    return await read_body(request.receive, MAX_INNER_BODY_BYTES)


def is_fleet_call(request: Request, settings: ProcessSettings) -> bool:
    """Return whether a request carries the secret of the fleet."""
    key = bearer_key(request.headers.get("authorization", ""))
    return same_key(key, settings.fleet_secret)


def json_response(body: bytes, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(body, status, media_type=JSON_CONTENT_TYPE)


def refusal_body(refusal: Refusal, request_id: str = "") -> bytes:
    """Return a refusal as JSON."""
    return dumps(
        {
            "verdict": refusal.verdict.value,
            "reason": refusal.reason,
            "detail": refusal.detail,
            "retry_after_seconds": refusal.retry_after_seconds,
            "request_id": request_id,
        }
    )


def refusal_response(refusal: Refusal, status: int, request_id: str = "") -> Response:
    """Return a refusal as an HTTP response, with `retry-after` if a retry may help."""
    response = json_response(refusal_body(refusal, request_id), status)
    if refusal.retry_after_seconds > 0:
        seconds = max(1, round(refusal.retry_after_seconds))
        response.headers["retry-after"] = str(seconds)
    return response


def not_run(reason: str, detail: str) -> Refusal:
    """Return a refusal of a request that was not run; a retry would not help."""
    return Refusal(Verdict.NOT_RUN, reason, detail)
