"""Reads streamed answers in tests."""

from typing import Any

from attrs import define, field
from httpx import Client, RemoteProtocolError
from httpx_sse import connect_sse
from orjson import loads

from tests.system.fleet import HALDIA, Fleet


@define
class Answer:
    """What a caller has seen of an answer."""

    status: int = 0
    request_id: str = ""
    last_event_id: str = ""
    texts: list[str] = field(factory=list)
    final: dict[str, Any] = field(factory=dict)
    refusal: dict[str, Any] = field(factory=dict)
    broken: bool = False

    def text(self) -> str:
        """Return the parts joined."""
        return "".join(self.texts)

    def take(self, name: str, event_id: str, data: Any) -> None:
        """Take in one event."""
        self.last_event_id = event_id or self.last_event_id
        if name == "accepted":
            self.request_id = data["request_id"]
        elif name == "part":
            self.texts.append(data["text"])
        elif name == "final":
            self.final = data


def read_answer(
    fleet: Fleet,
    method: str,
    url: str,
    answer: Answer,
    headers: dict[str, str],
    document: dict[str, Any] | None,
    stop_after: int = 0,
) -> Answer:
    """Read a stream to its end, its break, or after so many parts."""
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
                answer.take(event.event, event.id, loads(event.data))
                if stop_after and len(answer.texts) >= stop_after:
                    return answer
    except RemoteProtocolError:
        answer.broken = True
    return answer


def send(
    fleet: Fleet,
    router: str,
    text: str,
    key: str = HALDIA,
    stop_after: int = 0,
    service: str = "planning",
) -> Answer:
    """Send a request to a model service and read the stream."""
    return read_answer(
        fleet,
        "POST",
        fleet.url(router, "/v1/requests"),
        Answer(),
        {"authorization": f"Bearer {key}"},
        {"service": service, "input": text},
        stop_after,
    )


def resume(fleet: Fleet, router: str, answer: Answer, key: str = HALDIA) -> Answer:
    """Read the rest of an answer through a router."""
    headers = {"authorization": f"Bearer {key}"}
    if answer.last_event_id:
        headers["last-event-id"] = answer.last_event_id
    url = fleet.url(router, f"/v1/requests/{answer.request_id}/events")
    answer.broken = False
    return read_answer(fleet, "GET", url, answer, headers, None)
