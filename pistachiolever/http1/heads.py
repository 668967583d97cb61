"""Heads of HTTP/1.1 messages: their grammar, and the headers that frame a body.

What is accepted is the same as with h11, down to bare line feeds and folded lines.
"""

from collections.abc import Iterator
from re import compile as compile_pattern
from typing import Final

from attrs import frozen

from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.models import Header, RequestHead

TOKEN: Final = rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+"
VALUE: Final = rb"(?:[^\x00\s]+(?:[ \t]+[^\x00\s]+)*)?"
VERSION: Final = rb"HTTP/([0-9]\.[0-9])"
FIELD: Final = compile_pattern(rb"(%s):[ \t]*(%s)[ \t]*" % (TOKEN, VALUE))
WRITTEN_FIELDS: Final = compile_pattern(rb"(?:%s: %s\r\n)*" % (TOKEN, VALUE))
METHOD: Final = compile_pattern(TOKEN)
TARGET: Final = compile_pattern(rb"[\x21-\x7e]+")
REQUEST_LINE: Final = compile_pattern(
    rb"(%s) ([\x21-\x7e]+) %s" % (TOKEN, VERSION),
)
STATUS_LINE: Final = compile_pattern(
    rb"%s ([0-9]{3})(?: (?:[ \t]|[^\x00\s])*)?" % VERSION
)
MAX_LENGTH_DIGITS: Final = 20
# Headers that say more than what the handler of a request makes of them.
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})


@frozen
class ParsedRequest:
    """The head of a request, and its version."""

    head: RequestHead
    version: bytes


@frozen
class ParsedResponse:
    """The head of a response, also of an interim one."""

    status: int
    headers: list[Header]
    version: bytes


def parse_request(lines: list[bytes]) -> ParsedRequest:
    """Return the request of the lines of a head; raise MalformedMessageError."""
    match = REQUEST_LINE.fullmatch(lines[0])
    if match is None:
        raise MalformedMessageError("illegal request line")
    method, target, version = match.groups()
    headers = parse_fields(lines[1:])
    check_hosts(headers, version)
    return ParsedRequest(RequestHead(method, target, headers), version)


def parse_response(lines: list[bytes]) -> ParsedResponse:
    """Return the response of the lines of a head; raise MalformedMessageError."""
    match = STATUS_LINE.fullmatch(lines[0])
    if match is None:
        raise MalformedMessageError("illegal status line")
    version, status = match.groups()
    if status < b"100":
        raise MalformedMessageError("illegal status")
    return ParsedResponse(int(status), parse_fields(lines[1:]), version)


def parse_fields(lines: list[bytes]) -> list[Header]:
    """Return the headers of some lines, with lowercase names."""
    headers: list[Header] = []
    has_framing = False
    for line in _unfolded(lines):
        match = FIELD.fullmatch(line)
        if match is None:
            raise MalformedMessageError("illegal header line")
        name, value = match.groups()
        name = name.lower()
        has_framing = has_framing or name in FRAMING_HEADERS
        headers.append((name, value))
    return checked_framing(headers) if has_framing else headers


def _unfolded(lines: list[bytes]) -> Iterator[bytes] | list[bytes]:
    """Return lines with their continuations joined to them."""
    if any(line.startswith((b" ", b"\t")) for line in lines):
        return _joined_continuations(lines)
    return lines


def _joined_continuations(lines: list[bytes]) -> Iterator[bytes]:
    """Yield lines with their continuations joined to them."""
    parts: list[bytes] = []
    for line in lines:
        if not line.startswith((b" ", b"\t")):
            if parts:
                yield b" ".join(parts)
            parts = [line]
        elif parts:
            parts.append(line.lstrip(b" \t"))
        else:
            raise MalformedMessageError("a continuation before the first header")
    yield b" ".join(parts)


def checked_framing(headers: list[Header]) -> list[Header]:
    """Return headers with one plain length or transfer coding at most.

    Raise MalformedMessageError if they could be understood in more than one way.
    """
    checked: list[Header] = []
    length: bytes | None = None
    has_coding = False
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"content-length":
            stated = _checked_length(value)
            if length is None:
                checked.append((name, stated))
            elif length != stated:
                raise MalformedMessageError("conflicting lengths")
            length = stated
            continue
        if lowered == b"transfer-encoding":
            value = value.lower()
            if has_coding or value != b"chunked":
                raise MalformedMessageError("an unknown transfer coding", 501)
            has_coding = True
        checked.append((name, value))
    return checked


def _checked_length(value: bytes) -> bytes:
    """Return the length that a header states, also several times."""
    lengths = {length.strip() for length in value.split(b",")}
    length = lengths.pop()
    if lengths or not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
        raise MalformedMessageError("illegal length")
    return length


def check_hosts(headers: list[Header], version: bytes) -> None:
    """Raise MalformedMessageError unless a request names one host."""
    hosts = sum(name.lower() == b"host" for name, _ in headers)
    if hosts > 1 or (hosts == 0 and version == b"1.1"):
        raise MalformedMessageError("not one host")


def has_item(headers: list[Header], name: bytes, item: bytes) -> bool:
    """Return whether a comma-separated header has an item (both lowercase)."""
    return any(key == name and item in _items(value) for key, value in headers)


def _items(value: bytes) -> list[bytes]:
    """Return the items of a comma-separated value."""
    return [part.strip() for part in value.lower().split(b",")]


def keeps_alive(headers: list[Header], version: bytes) -> bool:
    """Return whether a message lets its connection take another one."""
    return version >= b"1.1" and not has_item(headers, b"connection", b"close")


def encode_head(first_line: bytes, headers: list[Header]) -> bytes:
    """Return a serialized head; raise MalformedMessageError if it is illegal."""
    fields = b"".join([b"%s: %s\r\n" % header for header in headers])
    if fields.count(b"\n") != len(headers) or not WRITTEN_FIELDS.fullmatch(fields):
        raise MalformedMessageError("illegal header")
    return b"%s\r\n%s\r\n" % (first_line, fields)


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; nothing without data, which would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
