"""Speaks to the endpoint: a model engine's streaming protocol, or plain JSON."""

from collections.abc import Callable
from typing import Any, Protocol

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

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service, ServiceKind
from pistachiolever.edge.const import (
    CONNECT_SECONDS,
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
)
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.const import LOAD_SECONDS
from pistachiolever.sidecar.models import (
    OutputReceived,
    ResultReceived,
    RunEnded,
    SidecarInput,
)
from pistachiolever.wire.const import OVERLOADED_REASON, REJECTED_REASON
from pistachiolever.wire.models import Dispatch

Post = Callable[[SidecarInput], None]


class EndpointAdapter(Protocol):
    """Runs one request at an endpoint and posts what comes of it."""

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Post parts as they come, and exactly one `RunEnded`."""


@define
class LoadReader:
    """Asks a model engine for its load; the report lags and is only a hint."""

    settings: SidecarSettings
    http: AsyncClient

    async def read_waiting(self) -> int:
        """Return how many requests the engine holds back; 0 when it does not say."""
        try:
            response = await self.http.get(
                f"{self.settings.endpoint_url}/load", timeout=LOAD_SECONDS
            )
            return int(loads(response.content)["waiting"])
        except (HTTPError, JSONDecodeError, KeyError, TypeError, ValueError):
            return 0


class GarbledAnswerError(Exception):
    """The endpoint wrote something that its protocol does not allow."""


@define
class ModelAdapter:
    """Speaks the streaming completions protocol that model engines share."""

    settings: SidecarSettings
    service: Service
    http: AsyncClient

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Stream one completion."""
        request_id = dispatch.request_id
        try:
            post(await self._stream(dispatch, post))
        except (ConnectError, ConnectTimeout):
            post(_ended(request_id, Verdict.NOT_RUN, "endpoint-unreachable"))
        except TimeoutError:
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-stalled"))
        except (GarbledAnswerError, SSEError):
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-garbled"))
        except HTTPError:
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-cut"))

    async def _stream(self, dispatch: Dispatch, post: Post) -> RunEnded:
        """Read the engine's events until its explicit end."""
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
        async with aconnect_sse(
            self.http, "POST", url, json=body, headers=headers
        ) as source:
            refused = _refused_status(dispatch.request_id, source.response, True)
            if refused is not None:
                return refused
            events = source.aiter_sse()
            while True:
                with fail_after(self.settings.stall_seconds):
                    event = await anext(events, None)
                if event is None:
                    return _ended(
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
                text = _text_of(event, usage)
                if text:
                    post(OutputReceived(dispatch.request_id, text, 1))


@define
class PlainAdapter:
    """Calls a plain JSON service once."""

    settings: SidecarSettings
    http: AsyncClient

    async def run(self, dispatch: Dispatch, post: Post) -> None:
        """Make the call; only a refused connection surely did not run it."""
        request_id = dispatch.request_id
        try:
            post(await self._call(dispatch, post))
        except (ConnectError, ConnectTimeout):
            post(_ended(request_id, Verdict.NOT_RUN, "endpoint-unreachable"))
        except TimeoutError:
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-stalled"))
        except (GarbledAnswerError, JSONDecodeError):
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-garbled"))
        except HTTPError:
            post(_ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-cut"))

    async def _call(self, dispatch: Dispatch, post: Post) -> RunEnded:
        """Return the end of the call; post its result before."""
        headers = {REQUEST_ID_HEADER: dispatch.request_id}
        if dispatch.attempt_id:
            headers[IDEMPOTENCY_HEADER] = dispatch.attempt_id
        with fail_after(self.settings.stall_seconds):
            response = await self.http.post(
                f"{self.settings.endpoint_url}/call",
                json={"input": dispatch.input},
                headers=headers,
            )
        refused = _refused_status(dispatch.request_id, response, False)
        if refused is not None:
            return refused
        result_json = dumps(loads(response.content)).decode()
        if len(result_json) > self.settings.max_answer_bytes:
            return _ended(dispatch.request_id, Verdict.RAN, "answer-too-large")
        post(ResultReceived(dispatch.request_id, result_json))
        return RunEnded(dispatch.request_id, Verdict.RAN, True)


@define
class Usage:
    """The token counts that an engine reports at the end."""

    input_tokens: int = 0
    output_tokens: int = 0


def endpoint_client(settings: SidecarSettings) -> AsyncClient:
    """Return a client for the endpoint; answers may take any time."""
    return AsyncClient(
        timeout=Timeout(None, connect=CONNECT_SECONDS),
        limits=Limits(max_connections=None),
        trust_env=False,
        verify=settings.endpoint_url.startswith("https"),
    )


def make_adapter(settings: SidecarSettings, service: Service) -> EndpointAdapter:
    """Return the adapter for the service's kind."""
    http = endpoint_client(settings)
    if service.kind is ServiceKind.MODEL:
        return ModelAdapter(settings, service, http)
    return PlainAdapter(settings, http)


def _ended(request_id: str, verdict: Verdict, reason: str) -> RunEnded:
    """Return the end of a run without a whole answer."""
    return RunEnded(request_id, verdict, False, reason)


def _refused_status(
    request_id: str, response: Response, overload_is_refusal: bool
) -> RunEnded | None:
    """Return the verdict of a status that is no success.

    A 4xx says that the endpoint did not take the call. A 503 is a refusal from a
    model engine; a plain service may have begun before it failed.
    """
    status = response.status_code
    if status == 200:
        return None
    if status in (429, 503) and (status == 429 or overload_is_refusal):
        return _ended(request_id, Verdict.NOT_RUN, OVERLOADED_REASON)
    if 400 <= status < 500:
        return _ended(request_id, Verdict.NOT_RUN, REJECTED_REASON)
    return _ended(request_id, Verdict.MAY_HAVE_RUN, "endpoint-error")


def _text_of(event: ServerSentEvent, usage: Usage) -> str:
    """Return the text of one engine event; note the usage it carries."""
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
        raise GarbledAnswerError(str(error)) from error
    if not isinstance(text, str):
        raise GarbledAnswerError("the text of an event is no text")
    return text
