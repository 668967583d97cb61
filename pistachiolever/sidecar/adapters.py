"""Clients of the endpoint: streaming completions of a model engine, or plain JSON."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Any, Protocol

from absl import logging
from anyio import fail_after
from attrs import define
from httpx import (
    AsyncClient,
    ConnectError,
    ConnectTimeout,
    HTTPError,
    Limits,
    Response,
    Timeout,
)
from httpx_sse import ServerSentEvent, SSEError, aconnect_sse
from orjson import JSONDecodeError, dumps, loads

from pistachiolever.admission.rate_limit import parse_rate
from pistachiolever.core.pause import pause_seconds
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service, ServiceKind
from pistachiolever.edge.const import (
    CONNECT_SECONDS,
    IDEMPOTENCY_HEADER,
    LEAVING_HEADER,
    RATE_LIMIT_HEADER,
    REQUEST_ID_HEADER,
)
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.const import LOAD_POLL_SECONDS
from pistachiolever.sidecar.models import (
    EndpointNotice,
    OutputReceived,
    RateNamed,
    ResultReceived,
    RunEnded,
    SidecarInput,
)
from pistachiolever.wire.const import OVERLOADED_REASON, REJECTED_REASON
from pistachiolever.wire.models import Dispatch

Post = Callable[[SidecarInput], None]


class EndpointAdapter(Protocol):
    """Runs requests at an endpoint and posts the results."""

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Run one request; post its output as it arrives and exactly one `RunEnded`."""


@define
class LoadReader:
    """Queries the load of a model engine; the report lags and is only a hint."""

    settings: SidecarSettings
    http: AsyncClient

    async def read_waiting(self) -> int:
        """Return the engine's number of waiting requests; 0 if it reports none."""
        try:
            response = await self.http.get(
                f"{self.settings.endpoint_url}/load", timeout=LOAD_POLL_SECONDS
            )
            return int(loads(response.content)["waiting"])
        except (HTTPError, JSONDecodeError, KeyError, TypeError, ValueError):
            return 0


class InvalidResponseError(Exception):
    """The endpoint's response violates its protocol."""


@define
class ModelAdapter:
    """Client of the streaming completions API that model engines share."""

    settings: SidecarSettings
    service: Service
    http: AsyncClient

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Stream one completion."""
        request_id = dispatch.request_id
        try:
            post(await self._stream(dispatch, post))
        except (ConnectError, ConnectTimeout):
            post(_failed(request_id, Verdict.NOT_RUN, "endpoint-unreachable"))
        except TimeoutError:
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-stalled"))
        except (InvalidResponseError, SSEError):
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-garbled"))
        except HTTPError:
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-cut"))

    async def _stream(self, dispatch: Dispatch, post: Post) -> RunEnded:
        """Post the engine's output until its end marker; return how the run ended."""
        body = {
            "model": self.service.model,
            "prompt": dispatch.input,
            "max_tokens": dispatch.max_output_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = {REQUEST_ID_HEADER: dispatch.request_id}
        url = f"{self.settings.endpoint_url}/v1/completions"
        usage = Usage()
        async with AsyncExitStack() as stack:
            with fail_after(self.settings.stall_seconds):
                source = await stack.enter_async_context(
                    aconnect_sse(self.http, "POST", url, json=body, headers=headers)
                )
            _post_notices(dispatch.request_id, source.response, post)
            failed = _check_status(dispatch.request_id, source.response, True)
            if failed is not None:
                return failed
            events = source.aiter_sse()
            while True:
                with fail_after(self.settings.stall_seconds):
                    event = await anext(events, None)
                if event is None:
                    return _failed(
                        dispatch.request_id, Verdict.MAY_HAVE_RUN, "endpoint-cut"
                    )
                if event.data == "[DONE]":
                    return RunEnded(
                        dispatch.request_id,
                        Verdict.RAN,
                        True,
                        "",
                        usage.input_tokens,
                        usage.output_tokens,
                    )
                text = _parse_event(event, usage)
                if text:
                    post(OutputReceived(dispatch.request_id, text, 1))


@define
class PlainAdapter:
    """Client of a plain JSON service."""

    settings: SidecarSettings
    http: AsyncClient

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Make one call; without a response, NOT_RUN requires a failed connection."""
        request_id = dispatch.request_id
        try:
            post(await self._call(dispatch, post))
        except (ConnectError, ConnectTimeout):
            post(_failed(request_id, Verdict.NOT_RUN, "endpoint-unreachable"))
        except TimeoutError:
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-stalled"))
        except (InvalidResponseError, JSONDecodeError):
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-garbled"))
        except HTTPError:
            post(_failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-cut"))

    async def _call(self, dispatch: Dispatch, post: Post) -> RunEnded:
        """Post the result of a successful call; return how the call ended."""
        headers = {REQUEST_ID_HEADER: dispatch.request_id}
        if dispatch.attempt_id:
            headers[IDEMPOTENCY_HEADER] = dispatch.attempt_id
        with fail_after(self.settings.stall_seconds):
            response = await self.http.post(
                f"{self.settings.endpoint_url}/call",
                json={"input": dispatch.input},
                headers=headers,
            )
        _post_notices(dispatch.request_id, response, post)
        failed = _check_status(dispatch.request_id, response, False)
        if failed is not None:
            return failed
        result = loads(response.content)
        is_number = isinstance(result, int | float) and not isinstance(result, bool)
        if is_number and not _is_framed(response):
            raise InvalidResponseError("a number without a length may be cut short")
        result_json = dumps(result)
        if len(result_json) > self.settings.max_answer_bytes:
            return _failed(dispatch.request_id, Verdict.RAN, "answer-too-large")
        post(ResultReceived(dispatch.request_id, result_json.decode()))
        return RunEnded(dispatch.request_id, Verdict.RAN, True)


@define
class Usage:
    """Token counts that the engine reports at the end of a stream."""

    input_tokens: int = 0
    output_tokens: int = 0


def make_endpoint_client(settings: SidecarSettings) -> AsyncClient:
    """Return a client without read timeout: adapters enforce `stall_seconds`."""
    return AsyncClient(
        timeout=Timeout(None, connect=CONNECT_SECONDS),
        limits=Limits(max_connections=None),
        trust_env=False,
        verify=settings.endpoint_url.startswith("https"),
    )


def make_adapter(settings: SidecarSettings, service: Service) -> EndpointAdapter:
    """Return the adapter for the service's kind."""
    http = make_endpoint_client(settings)
    if service.kind is ServiceKind.MODEL:
        return ModelAdapter(settings, service, http)
    return PlainAdapter(settings, http)


def _failed(request_id: str, verdict: Verdict, reason: str) -> RunEnded:
    """Return the end of a run without a complete answer."""
    return RunEnded(request_id, verdict, False, reason)


def _post_notices(request_id: str, response: Response, post: Post) -> None:
    """Post what the endpoint asks for in a response, and the rate that it accepts."""
    leaving = response.headers.get(LEAVING_HEADER, "0").strip() != "0"
    seconds = None
    if response.status_code in (429, 503):
        seconds = pause_seconds(response.headers.get("retry-after", ""))
    if leaving or seconds:
        post(EndpointNotice(leaving, seconds or 0.0))
    try:
        rate = parse_rate(response.headers.get(RATE_LIMIT_HEADER))
    except ValueError as error:
        logging.warning("the endpoint names a rate that can't be read: %s", error)
        return
    post(RateNamed(request_id, rate))


def _check_status(
    request_id: str, response: Response, unavailable_is_refusal: bool
) -> RunEnded | None:
    """Return the end of a run for an error status, None for success.

    A 4xx status means that the endpoint rejected the call without running it. So
    does 503 from a model engine, while a plain service may have started the call
    before it failed.
    """
    status = response.status_code
    if status == 200:
        return None
    if status in (429, 503) and (status == 429 or unavailable_is_refusal):
        return _failed(request_id, Verdict.NOT_RUN, OVERLOADED_REASON)
    if 400 <= status < 500:
        return _failed(request_id, Verdict.NOT_RUN, REJECTED_REASON)
    return _failed(request_id, Verdict.MAY_HAVE_RUN, "endpoint-error")


def _is_framed(response: Response) -> bool:
    """Return whether the end of the body is known without the connection's end."""
    headers = response.headers
    return "content-length" in headers or "transfer-encoding" in headers


def _parse_event(event: ServerSentEvent, usage: Usage) -> str:
    """Return the text of one engine event; store the usage if it carries one."""
    try:
        data: Any = loads(event.data)
        reported = data.get("usage")
        if reported:
            usage.input_tokens = int(reported["prompt_tokens"])
            usage.output_tokens = int(reported["completion_tokens"])
        choices = data.get("choices", [])
        if not choices:
            return ""
        text = choices[0]["text"]
    except (JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as error:
        raise InvalidResponseError(str(error)) from error
    if not isinstance(text, str):
        raise InvalidResponseError("the text of an event is not a string")
    return text
