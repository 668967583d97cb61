"""Client of streamed answers for the system tests."""

from typing import Any

from attrs import define, field
from httpx import Client, RemoteProtocolError
from httpx_sse import connect_sse
from orjson import loads

from tests.system.fleet import HALDIA, Fleet


@define
class StreamedAnswer:
    """The part of a streamed answer that a caller has received."""

    status: int = 0
    request_id: str = ""
    last_event_id: str = ""
    chunks: list[str] = field(factory=list)
    final: dict[str, Any] = field(factory=dict)
    refusal: dict[str, Any] = field(factory=dict)
    disconnected: bool = False

    def text(self) -> str:
        """Return the text of all chunks."""
        return "".join(self.chunks)

    def apply(self, name: str, event_id: str, data: Any) -> None:
        """Apply one server-sent event."""
        self.last_event_id = event_id or self.last_event_id
        if name == "accepted":
            self.request_id = data["request_id"]
        elif name == "part":
            self.chunks.append(data["text"])
        elif name == "final":
            self.final = data


def read_stream(
    fleet: Fleet,
    method: str,
    url: str,
    answer: StreamedAnswer,
    headers: dict[str, str],
    document: dict[str, Any] | None,
    stop_after: int = 0,
) -> StreamedAnswer:
    """Read a stream until its end, a disconnect or `stop_after` chunks."""
    try:
        with (
            Client(trust_env=False, timeout=20.0) as http,
            connect_sse(http, method, url, headers=headers, json=document) as source,
        ):
            answer.status = source.response.status_code
            if answer.status != 200:
                source.response.read()
                answer.refusal = loads(source.response.content)
                return answer
            for event in source.iter_sse():
                answer.apply(event.event, event.id, loads(event.data))
                if stop_after and len(answer.chunks) >= stop_after:
                    return answer
    except RemoteProtocolError:
        answer.disconnected = True
    return answer


def send(
    fleet: Fleet,
    router: str,
    text: str,
    key: str = HALDIA,
    stop_after: int = 0,
    service: str = "planning",
) -> StreamedAnswer:
    """Send a request to a model service and read the streamed answer."""
    return read_stream(
        fleet,
        "POST",
        fleet.url(router, "/v1/requests"),
        StreamedAnswer(),
        {"authorization": f"Bearer {key}"},
        {"service": service, "input": text},
        stop_after,
    )


def resume(
    fleet: Fleet, router: str, answer: StreamedAnswer, key: str = HALDIA
) -> StreamedAnswer:
    """Resume an answer through a router and read the rest of it."""
    headers = {"authorization": f"Bearer {key}"}
    if answer.last_event_id:
        headers["last-event-id"] = answer.last_event_id
    url = fleet.url(router, f"/v1/requests/{answer.request_id}/events")
    answer.disconnected = False
    return read_stream(fleet, "GET", url, answer, headers, None)
