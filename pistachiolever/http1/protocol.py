"""The two sides of a connection: which message may come or be sent next."""

from typing import Final

from attrs import define, field

from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.heads import (
    METHOD,
    TARGET,
    ParsedResponse,
    check_fields,
    check_hosts,
    checked_framing,
    encode_chunk,
    encode_head,
    has_item,
    keeps_alive,
    parse_request,
    parse_response,
    proposes_upgrade,
)
from pistachiolever.http1.models import (
    Framing,
    Header,
    RequestHead,
    first_value,
    framing_of,
)
from pistachiolever.http1.reader import MessageReader

LAST_CHUNK: Final = b"0\r\n\r\n"
CONTINUE: Final = b"HTTP/1.1 100 \r\n\r\n"


def length_of(headers: list[Header]) -> int:
    """Return the length that checked headers state, 0 without one."""
    return int(first_value(headers, b"content-length") or b"0")


def is_switched(method: bytes, status: int) -> bool:
    """Return whether a response ends the use of HTTP on its connection."""
    return status == 101 or (method == b"CONNECT" and 200 <= status < 300)


@define(eq=False)
class ServerProtocol:
    """A server's side: it reads requests and serializes their responses."""

    reader: MessageReader
    version: bytes = b""
    awaits_continue: bool = False
    response_started: bool = False
    _is_finished: bool = False
    _keeps_alive: bool = True
    _method: bytes = b""
    _framing: Framing = Framing.CLOSE
    _left: int = 0

    def read_head(self) -> RequestHead | None:
        """Return the head of a request, None if more must come."""
        request = self.reader.read_head(parse_request)
        if request is None:
            return None
        head, self.version = request.head, request.version
        self._method = head.method
        values = dict(head.headers)
        # The other protocol that such a request proposes is never spoken.
        is_proposal = head.method == b"CONNECT" or (
            b"upgrade" in values and proposes_upgrade(head.headers)
        )
        self._keeps_alive = not is_proposal and keeps_alive(head.headers, self.version)
        self.awaits_continue = (
            b"expect" in values
            and self.version >= b"1.1"
            and has_item(head.headers, b"expect", b"100-continue")
        )
        if b"transfer-encoding" in values:
            self.reader.start_body(Framing.CHUNKED)
        else:
            length = int(values.get(b"content-length", b"0"))
            self.reader.start_body(Framing.LENGTH, length)
        return head

    def read_body(self) -> bytes:
        """Return what is there of the body, as the reader does."""
        data = self.reader.read_body()
        if data or self.reader.is_complete:
            self.awaits_continue = False
        return data

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether there can be one."""
        if not (self._is_finished and self.reader.is_complete and self._keeps_alive):
            return False
        self.response_started = self._is_finished = self.reader.is_complete = False
        self._method = b""
        return True

    def encode_continue(self) -> bytes:
        """Return the response that asks for the body."""
        self.awaits_continue = False
        return CONTINUE

    def encode_head(self, status: int, headers: list[Header]) -> bytes:
        """Return the serialized head of the response, with its framing."""
        if self.response_started:
            raise MalformedMessageError("a second response")
        check_fields(headers)
        headers = self._framed(status, checked_framing(headers))
        if not self._keeps_alive:
            headers = _with_close(headers)
        elif has_item(_lowered(headers), b"connection", b"close"):
            self._keeps_alive = False
        data = encode_head(b"HTTP/1.1 %d " % status, headers)
        self.response_started, self.awaits_continue = True, False
        return data

    def _framed(self, status: int, headers: list[Header]) -> list[Header]:
        """Return the headers of a response with those of its framing."""
        lowered = _lowered(headers)
        self._framing = framing_of(self._method, status, lowered)
        if is_switched(self._method, status):
            self._framing = Framing.NO_BODY
        self._left = length_of(lowered)
        # The headers of a response to HEAD are those of one to GET.
        stated = framing_of(b"GET", status, lowered)
        if stated not in (Framing.CHUNKED, Framing.CLOSE):
            return headers
        has_body = self._framing is not Framing.NO_BODY
        dropped = (b"content-length", b"transfer-encoding")
        headers = [header for header in headers if header[0].lower() not in dropped]
        if self.version >= b"1.1":
            self._framing = Framing.CHUNKED if has_body else Framing.NO_BODY
            return [*headers, (b"Transfer-Encoding", b"chunked")]
        if has_body:
            self._framing, self._keeps_alive = Framing.CLOSE, False
        return headers

    def encode_body(self, data: bytes) -> bytes:
        """Return a serialized part of the body; raise if it is longer than stated."""
        if self._framing is Framing.CHUNKED:
            return encode_chunk(data)
        if self._framing is Framing.CLOSE:
            return data
        if self._framing is Framing.NO_BODY:
            if data and self._method != b"HEAD":
                raise MalformedMessageError("a response that has no body")
            return b""
        self._left -= len(data)
        if self._left < 0:
            raise MalformedMessageError("a body longer than its length")
        return data

    def encode_end(self) -> bytes:
        """Return the serialized end of the body; raise if it is shorter than stated."""
        if self._framing is Framing.LENGTH and self._left:
            raise MalformedMessageError("a body shorter than its length")
        self._is_finished = True
        return LAST_CHUNK if self._framing is Framing.CHUNKED else b""


def _lowered(headers: list[Header]) -> list[Header]:
    """Return headers with lowercase names."""
    return [(name.lower(), value) for name, value in headers]


def _with_close(headers: list[Header]) -> list[Header]:
    """Return headers that say that the connection will be closed."""
    kept = [header for header in headers if header[0].lower() != b"connection"]
    items = {b"close"}
    for name, value in headers:
        if name.lower() == b"connection":
            items |= {item.strip() for item in value.lower().split(b",")}
    items -= {b"", b"keep-alive"}
    return [*kept, *((b"Connection", item) for item in sorted(items))]


@define(eq=False)
class ClientProtocol:
    """A client's side: it serializes requests and reads their responses."""

    reader: MessageReader
    is_idle: bool = True
    _keeps_alive: bool = True
    _is_answered: bool = False
    _method: bytes = b""
    _proposes_upgrade: bool = False
    _framing: Framing = field(default=Framing.NO_BODY)

    def encode_request(self, head: RequestHead, body: bytes) -> list[bytes]:
        """Return the serialized request in parts; raise MalformedMessageError."""
        if not self.is_idle:
            raise MalformedMessageError("a second request")
        if not METHOD.fullmatch(head.method) or not TARGET.fullmatch(head.target):
            raise MalformedMessageError("illegal request line")
        check_fields(head.headers)
        headers = checked_framing(head.headers)
        lowered = _lowered(headers)
        check_hosts(lowered, b"1.1")
        is_chunked = first_value(lowered, b"transfer-encoding") is not None
        if not is_chunked and length_of(lowered) != len(body):
            raise MalformedMessageError("a body of another length")
        # The host comes first.
        headers = sorted(headers, key=lambda header: header[0].lower() != b"host")
        first_line = b"%s %s HTTP/1.1" % (head.method, head.target)
        parts = [encode_head(first_line, headers)]
        if is_chunked:
            body = encode_chunk(body) + LAST_CHUNK
        if body:
            parts.append(body)
        self.is_idle, self._is_answered, self._method = False, False, head.method
        self._proposes_upgrade = proposes_upgrade(lowered)
        self._keeps_alive = keeps_alive(lowered, b"1.1")
        return parts

    def read_head(self) -> ParsedResponse | None:
        """Return the head of a response, also an interim one; None if it has not come.

        Raise MalformedMessageError if it would end the use of HTTP.
        """
        response = self.reader.read_head(parse_response)
        if response is None or 100 <= response.status < 200:
            if response is not None and is_switched(self._method, response.status):
                raise MalformedMessageError("another protocol")
            return response
        headers = response.headers
        framing = framing_of(self._method, response.status, headers)
        length = length_of(headers) if framing is Framing.LENGTH else 0
        self.reader.start_body(framing, length)
        self._is_answered = True
        is_last = framing is Framing.CLOSE or self._proposes_upgrade
        if is_last or not keeps_alive(headers, response.version):
            self._keeps_alive = False
        if is_switched(self._method, response.status):
            raise MalformedMessageError("another protocol")
        return response

    def expect_response(self) -> None:
        """Expect another response to the request that was sent."""
        self.reader.is_complete = self._is_answered = False
        self._keeps_alive = True

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return whether there can be one."""
        if self.reader.buffer or self.reader.has_ended:
            return False
        if self.is_idle:
            return True
        if not (self._is_answered and self.reader.is_complete and self._keeps_alive):
            return False
        self.is_idle, self.reader.is_complete = True, False
        return True
