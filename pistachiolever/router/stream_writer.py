"""Writes answers to callers, as server-sent events or as one JSON document."""

from collections.abc import Callable

from anyio import create_task_group
from attrs import define
from orjson import dumps, loads
from starlette.types import Receive, Send

from pistachiolever.core.errors import ProtocolError
from pistachiolever.edge.const import (
    REQUEST_ID_HEADER,
    SSE_CONTENT_TYPE,
)
from pistachiolever.edge.server import (
    json_response,
    refusal_response,
)
from pistachiolever.edge.sse import refusal_event
from pistachiolever.router.models import (
    CancelRequest,
    ReaderReady,
)
from pistachiolever.router.streams import CallerStream, StreamBatch
from pistachiolever.router.tasks import RouterProcess


@define
class StreamWriter:
    """Writes one caller's answer in the requested format."""

    process: RouterProcess
    stream: CallerStream
    as_stream: bool
    last_batch: StreamBatch | None = None

    async def write(self, receive: Receive, send: Send) -> None:
        """Write until the end, or stop when the caller disconnects."""
        async with create_task_group() as group:
            group.start_soon(self._watch_caller, receive, group.cancel_scope.cancel)
            if self.as_stream:
                await self._write_events(send)
            else:
                await self._write_json(send)
            group.cancel_scope.cancel()

    async def _watch_caller(
        self, receive: Receive, on_disconnect: Callable[[], None]
    ) -> None:
        """Call `on_disconnect` when the caller disconnects."""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                on_disconnect()
                return

    async def _write_events(self, send: Send) -> None:
        """Write events as they arrive; buffered ones are written together."""
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
        while self.last_batch is None:
            batch = await self.stream.read()
            text = batch.sse
            if batch.refusal is not None:
                text += refusal_event(batch.refusal)
            if batch.is_last():
                self.last_batch = batch
            await send(
                {
                    "type": "http.response.body",
                    "body": text.encode(),
                    "more_body": self.last_batch is None,
                }
            )
            self._resume_slow_stream()

    async def _write_json(self, send: Send) -> None:
        """Collect the answer and write it as one JSON document."""
        parts: list[str] = []
        while self.last_batch is None:
            batch = await self.stream.read()
            parts.append(batch.sse)
            if batch.is_last():
                self.last_batch = batch
            self._resume_slow_stream()
        if self.last_batch.refusal is not None:
            response = refusal_response(
                self.last_batch.refusal, 503, self.stream.request_id
            )
        else:
            document = answer_document("".join(parts))
            document["request_id"] = self.stream.request_id
            response = json_response(dumps(document))
        scope = {"type": "http", "method": "POST", "headers": []}
        await response(scope, _no_receive, send)

    def _resume_slow_stream(self) -> None:
        """Resume delivery if the caller's buffer was full."""
        if self.stream.slow:
            self.stream.slow = False
            self.process.actor.post(ReaderReady(self.stream.request_id))


async def _no_receive() -> dict[str, object]:
    """Placeholder for the receive channel, which the response never reads."""
    raise ProtocolError("nothing to receive")


def answer_document(sse: str) -> dict[str, object]:
    """Return the JSON document of an answer given as server-sent events."""
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


async def write_answer(
    process: RouterProcess,
    stream: CallerStream,
    as_stream: bool,
    receive: Receive,
    send: Send,
    claimed: bool = False,
) -> None:
    """Write an answer; cancel the request if the caller disconnects.

    A claimed request continues: its outcome is stored for retries with its key.
    """
    writer = StreamWriter(process, stream, as_stream)
    try:
        await writer.write(receive, send)
    finally:
        was_current = process.close_stream(stream)
        if writer.last_batch is None and was_current and not claimed:
            process.actor.post(
                CancelRequest(stream.request_id, caller_disconnected=True)
            )
