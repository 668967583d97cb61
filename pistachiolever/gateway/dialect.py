"""Names of the headers that callers and endpoints use, and what they hold."""

from typing import Final

from attrs import field, frozen

from pistachiolever.admission.models import PromptPart
from pistachiolever.edge.keys import bearer_key
from pistachiolever.gateway.const import (
    KEEP_MARGIN_SECONDS,
    MOST_KEEP_SECONDS,
    UNKNOWN_KEEP_SECONDS,
)
from pistachiolever.gateway.models import AnswerFacts, CallerFacts, PassRequest
from pistachiolever.http1.errors import BadRequestError
from pistachiolever.http1.models import Header, RequestHead, ResponseHead

# Headers that concern one connection only.
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Largest number taken from a header; more is a mistake or an attack.
MOST_NUMBER: Final = 2**53
MAX_PARTS: Final = 256


@frozen
class Dialect:
    """Header names in lowercase; the product's own are the defaults.

    `system_names` are those that only the system may set: a caller's are dropped.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    account: bytes = b"x-account"
    model: bytes = b"x-model"
    token_counts: bytes = b"x-token-counts"
    prompt_parts: bytes = b"x-prompt-parts"
    length_hint: bytes = b"x-length-hint"
    instance: bytes = b"x-expect-instance"
    signature: bytes = b"x-signature"
    not_run: bytes = b"x-not-run"
    load: bytes = b"x-load"
    system_names: frozenset[bytes] = field(factory=frozenset)
    answer_names: frozenset[bytes] = field(factory=frozenset)

    def caller_facts(self, head: RequestHead) -> CallerFacts:
        """Return what a caller says; raise BadRequestError where it can't be read."""
        request_id = (head.value(self.request_id) or b"").decode("latin-1")
        deadline = _number(head.value(self.deadline_ms), "deadline")
        prompt, most_output = _pair(head.value(self.token_counts))
        return CallerFacts(
            request_id,
            None if deadline is None else deadline / 1000,
            bearer_key((head.value(b"authorization") or b"").decode("latin-1")),
            (head.value(self.model) or b"").decode("latin-1"),
            prompt,
            most_output,
            _number(head.value(self.length_hint), "length hint") or 0,
            _parts(head.value(self.prompt_parts)),
            _number(head.value(b"last-event-id"), "event id") or 0,
        )

    def engine_head(
        self, request: PassRequest, endpoint_id: str, left: float, last_event: int
    ) -> RequestHead:
        """Return the head of a request as the endpoint gets it; `left` in seconds."""
        dropped = self._dropped(request.head)
        headers: list[Header] = [
            header for header in request.head.headers if header[0] not in dropped
        ]
        headers.append((self.deadline_ms, b"%d" % max(1, int(left * 1000))))
        headers.append((self.instance, endpoint_id.encode()))
        if request.account_id:
            headers.append((self.account, request.account_id.encode()))
        if last_event:
            headers.append((b"last-event-id", b"%d" % last_event))
        if request.body or request.head.value(b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(request.body)))
        elif request.head.value(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        return RequestHead(request.head.method, request.head.target, headers)

    def _dropped(self, head: RequestHead) -> set[bytes]:
        """Return the names of a caller's headers that do not go on."""
        dropped = set(HOP_HEADERS) | self.system_names
        dropped |= {self.deadline_ms, self.instance, self.account}
        dropped |= {b"authorization", b"last-event-id"}
        for name, value in head.headers:
            if name == b"connection":
                dropped |= {part.strip().lower() for part in value.split(b",")}
        # A caller may not have these dropped on the way by naming them hop by hop.
        kept = {b"host", self.request_id, self.model, self.token_counts}
        return dropped - kept - {self.prompt_parts}

    def answer_facts(self, head: ResponseHead) -> AnswerFacts:
        """Return what an endpoint says of its answer."""
        return AnswerFacts(
            (head.value(self.request_id) or b"").decode("latin-1"),
            head.value(self.signature) is not None,
            head.value(self.not_run) is not None,
            keep_seconds(head),
        )

    def caller_headers(self, head: ResponseHead, whole: bool) -> list[Header]:
        """Return the headers of an answer that go on to the caller.

        A `whole` answer gets its length anew.
        """
        dropped = HOP_HEADERS | self.answer_names | {self.load, self.not_run}
        if not whole:
            dropped = dropped - {b"content-length"}
        return [header for header in head.headers if header[0] not in dropped]


def keep_seconds(head: ResponseHead) -> float:
    """Return how long a connection may be kept after an answer, in seconds."""
    for name, value in head.headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
    value = head.value(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            seconds = int(number.strip()) - KEEP_MARGIN_SECONDS
            return min(MOST_KEEP_SECONDS, max(0.0, seconds))
    return UNKNOWN_KEEP_SECONDS


def _number(value: bytes | None, what: str) -> int | None:
    """Return a whole number that is not negative."""
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit() or int(text) > MOST_NUMBER:
        raise BadRequestError(400, f"the {what} is not a whole number")
    return int(text)


def _pair(value: bytes | None) -> tuple[int, int]:
    """Return the tokens of a prompt and the most tokens of its answer."""
    if value is None:
        return (0, 0)
    first, _, second = value.partition(b",")
    prompt = _number(first, "number of prompt tokens") or 0
    return (prompt, _number(second, "number of output tokens") or 0)


def _parts(value: bytes | None) -> list[PromptPart]:
    """Return the parts of a prompt, in order."""
    if not value:
        return []
    parts: list[PromptPart] = []
    for entry in value.split(b",")[:MAX_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        number = _number(tokens, "size of a prompt part") or 0
        parts.append(PromptPart(name.decode("latin-1"), number))
    return parts
