"""Header names that callers and endpoints use, and the parsing of their values."""

from typing import Final

from attrs import evolve, field, frozen

from pistachiolever.admission.models import Load, PromptPart
from pistachiolever.core.numbers import parse_whole_number
from pistachiolever.edge.keys import bearer_key
from pistachiolever.gateway.const import (
    DEFAULT_KEEP_ALIVE_SECONDS,
    KEEP_ALIVE_MARGIN_SECONDS,
    MAX_KEEP_ALIVE_SECONDS,
)
from pistachiolever.gateway.models import (
    ProxyRequest,
    RequestMetadata,
    ResponseMetadata,
)
from pistachiolever.http1.errors import BadRequestError
from pistachiolever.http1.models import Header, RequestHead, ResponseHead

# Headers of one connection (hop-by-hop), and those that the router sets anew.
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
# Numbers of running requests, of waiting ones and of slots.
LOAD_NUMBERS: Final = 3
# Some endpoints add their slowdown in percent.
MAX_LOAD_NUMBERS: Final = 4
# Further parts of a prompt are ignored.
MAX_PROMPT_PARTS: Final = 256


@frozen
class HeaderFormat:
    """Header names in lowercase; the defaults are those of this project.

    `internal_request_headers` may only be set by the system: they are removed from
    callers' requests. `internal_response_headers` are removed from responses.
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
    leaving: bytes = b"x-leaving"
    rate_limit: bytes = b"x-rate-limit"
    resumes: bytes = b"x-resumes"
    internal_request_headers: frozenset[bytes] = field(factory=frozenset)
    internal_response_headers: frozenset[bytes] = field(factory=frozenset)

    def parse_request(self, head: RequestHead) -> RequestMetadata:
        """Return the metadata of a caller's request; raise BadRequestError."""
        request_id = (head.value(self.request_id) or b"").decode("latin-1")
        deadline = _parse_number(head.value(self.deadline_ms), "deadline")
        prompt, max_output = _parse_token_counts(head.value(self.token_counts))
        return RequestMetadata(
            request_id,
            None if deadline is None else deadline / 1000,
            bearer_key((head.value(b"authorization") or b"").decode("latin-1")),
            (head.value(self.model) or b"").decode("latin-1"),
            prompt,
            max_output,
            _parse_number(head.value(self.length_hint), "length hint") or 0,
            _parse_parts(head.value(self.prompt_parts)),
            _parse_number(head.value(b"last-event-id"), "event id") or 0,
            (head.value(self.resumes) or b"").decode("latin-1"),
        )

    def endpoint_request_head(
        self,
        request: ProxyRequest,
        endpoint_id: str,
        remaining_seconds: float,
        last_event_id: int,
    ) -> RequestHead:
        """Return the request head for an endpoint.

        `remaining_seconds` are left until the deadline; a `last_event_id` other than 0
        resumes a stream after that event.
        """
        dropped = self._dropped(request.head)
        headers: list[Header] = [
            header for header in request.head.headers if header[0] not in dropped
        ]
        headers.append(
            (self.deadline_ms, b"%d" % max(1, int(remaining_seconds * 1000)))
        )
        headers.append((self.instance, endpoint_id.encode()))
        if request.account_id:
            headers.append((self.account, request.account_id.encode()))
        if last_event_id:
            headers.append((b"last-event-id", b"%d" % last_event_id))
        if request.body or request.head.value(b"content-length") is not None:
            headers.append((b"content-length", b"%d" % len(request.body)))
        elif request.head.value(b"transfer-encoding") is not None:
            headers.append((b"content-length", b"0"))
        return RequestHead(request.head.method, request.head.target, headers)

    def _dropped(self, head: RequestHead) -> set[bytes]:
        """Return the names of a caller's headers that are not forwarded."""
        dropped = set(HOP_HEADERS) | self.internal_request_headers
        dropped |= {self.deadline_ms, self.instance, self.account}
        dropped |= {b"authorization", b"last-event-id"}
        for name, value in head.headers:
            if name == b"connection":
                dropped |= {part.strip().lower() for part in value.split(b",")}
        # Naming these in a Connection header must not get them dropped.
        kept = {b"host", self.request_id, self.model, self.token_counts}
        return dropped - kept - {self.prompt_parts}

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of an endpoint's response."""
        return ResponseMetadata(
            (head.value(self.request_id) or b"").decode("latin-1"),
            head.value(self.signature) is not None,
            head.value(self.not_run) is not None,
            keep_alive_seconds(head),
            (head.value(self.leaving) or b"0").strip() != b"0",
            _retry_after(head),
            parse_load(head.value(self.load)),
            _text(head.value(self.rate_limit)),
        )

    def response_headers(self, head: ResponseHead, whole: bool) -> list[Header]:
        """Return the headers of a response to forward to the caller.

        The length of a `whole` response is set anew, so the endpoint's one is dropped.
        """
        dropped = HOP_HEADERS | self.internal_response_headers
        dropped |= {self.load, self.not_run, self.leaving, self.rate_limit}
        if not whole:
            dropped = dropped - {b"content-length"}
        return [header for header in head.headers if header[0] not in dropped]


def _retry_after(head: ResponseHead) -> str | None:
    """Return the Retry-After of a busy endpoint's response."""
    return _text(head.value(b"retry-after")) if head.status == 503 else None


def _text(value: bytes | None) -> str | None:
    """Return the text of a header, None if it is absent."""
    return None if value is None else value.decode("latin-1")


def parse_load(value: bytes | None) -> Load | None:
    """Return the load that an endpoint told; None if it is absent or malformed."""
    texts = (value or b"").split(b",")
    if not LOAD_NUMBERS <= len(texts) <= MAX_LOAD_NUMBERS:
        return None
    counts = texts[:LOAD_NUMBERS]
    numbers = [n for text in counts if (n := parse_whole_number(text)) is not None]
    if len(numbers) != LOAD_NUMBERS:
        return None
    running, waiting, slots = numbers
    load = Load(running=running, waiting=waiting, slots=max(1, slots))
    # A malformed slowdown does not make the counts useless; no work takes no time.
    percent = parse_whole_number(b",".join(texts[LOAD_NUMBERS:]))
    if not percent:
        return load
    return evolve(load, slowdown=percent / 100, tells_slowdown=True)


def keep_alive_seconds(head: ResponseHead) -> float:
    """Return how long to keep a connection after a response; 0 to close it."""
    for name, value in head.headers:
        if name == b"connection" and b"close" in value.lower():
            return 0.0
    value = head.value(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        timeout = parse_whole_number(number)
        if name.strip().lower() == b"timeout" and timeout is not None:
            seconds = timeout - KEEP_ALIVE_MARGIN_SECONDS
            return min(MAX_KEEP_ALIVE_SECONDS, max(0.0, seconds))
    return DEFAULT_KEEP_ALIVE_SECONDS


def _parse_number(value: bytes | None, what: str) -> int | None:
    """Return a non-negative integer; raise BadRequestError."""
    if value is None:
        return None
    number = parse_whole_number(value)
    if number is None:
        raise BadRequestError(400, f"the {what} is not a whole number")
    return number


def _parse_token_counts(value: bytes | None) -> tuple[int, int]:
    """Return the tokens of a prompt and the maximum output tokens."""
    if value is None:
        return (0, 0)
    first, _, second = value.partition(b",")
    prompt = _parse_number(first, "number of prompt tokens") or 0
    return (prompt, _parse_number(second, "number of output tokens") or 0)


def _parse_parts(value: bytes | None) -> list[PromptPart]:
    """Return the parts of a prompt, in order."""
    if not value:
        return []
    parts: list[PromptPart] = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = entry.strip().partition(b":")
        number = _parse_number(tokens, "size of a prompt part") or 0
        parts.append(PromptPart(name.decode("latin-1"), number))
    return parts
