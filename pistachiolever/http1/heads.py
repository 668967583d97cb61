"""Heads of HTTP/1.1 messages: their grammar, and the headers that frame a body.

What is accepted is the same as with h11, down to bare line feeds and folded lines, but
for the statuses above 599.
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
# Spaces before a value are matched possessively (as are those in the extension of a
# chunk): giving them up one by one would take time quadratic in their number.
FIELD: Final = compile_pattern(rb"(%s):[ \t]*+(%s)[ \t]*" % (TOKEN, VALUE))
# All lines of a head as nearly all of them come: with CR LF, none folded.
PLAIN_FIELDS: Final = compile_pattern(
    rb"(?m)^(%s):[ \t]*+(%s)[ \t]*\r\n" % (TOKEN, VALUE)
)
WRITTEN_FIELDS: Final = compile_pattern(rb"(?:%s: %s\r\n)*" % (TOKEN, VALUE))
FIELD_VALUE: Final = compile_pattern(VALUE)
METHOD: Final = compile_pattern(TOKEN)
TARGET: Final = compile_pattern(rb"[\x21-\x7e]+")
REQUEST_LINE: Final = compile_pattern(
    rb"(%s) ([\x21-\x7e]+) %s" % (TOKEN, VERSION),
)
STATUS_LINE: Final = compile_pattern(
    rb"%s ([0-9]{3})(?: (?:[ \t]|[^\x00\s])*)?" % VERSION
)
# HTTP defines no class of statuses beyond these, so that they name no outcome.
MIN_STATUS: Final = 100
MAX_STATUS: Final = 599
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


def parse_request(block: bytes) -> ParsedRequest:
    """Return the request of the bytes of a head; raise MalformedMessageError."""
    line, _, fields = block.partition(b"\n")
    match = REQUEST_LINE.fullmatch(line.removesuffix(b"\r"))
    if match is None:
        raise MalformedMessageError("illegal request line")
    method, target, version = match.groups()
    headers = parse_fields(fields)
    check_hosts(headers, version)
    return ParsedRequest(RequestHead(method, target, headers), version)


def parse_response(block: bytes) -> ParsedResponse:
    """Return the response of the bytes of a head; raise MalformedMessageError."""
    line, _, fields = block.partition(b"\n")
    match = STATUS_LINE.fullmatch(line.removesuffix(b"\r"))
    if match is None:
        raise MalformedMessageError("illegal status line")
    version, status = match.groups()
    if not MIN_STATUS <= int(status) <= MAX_STATUS:
        raise MalformedMessageError("illegal status")
    return ParsedResponse(int(status), parse_fields(fields), version)


def parse_fields(block: bytes) -> list[Header]:
    """Return the headers of lines up to an empty one, with lowercase names."""
    found = PLAIN_FIELDS.findall(block)
    if len(found) + 1 != block.count(b"\n"):
        found = _parse_lines(block)
    headers = [(name.lower(), value) for name, value in found]
    if any(name in FRAMING_HEADERS for name, _ in headers):
        return checked_framing(headers)
    return headers


def _parse_lines(block: bytes) -> list[Header]:
    """Return the headers of lines that may be folded or end with LF."""
    headers: list[Header] = []
    lines = [line.removesuffix(b"\r") for line in block.split(b"\n")[:-2]]
    for line in _unfolded(lines):
        match = FIELD.fullmatch(line)
        if match is None:
            raise MalformedMessageError("illegal header line")
        headers.append((match[1], match[2]))
    return headers


def _unfolded(lines: list[bytes]) -> Iterator[bytes]:
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
    if parts:
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
    """Raise MalformedMessageError unless headers (lowercase names) name one host."""
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) > 1 or (not hosts and version == b"1.1"):
        raise MalformedMessageError("not one host")


def has_item(headers: list[Header], name: bytes, item: bytes) -> bool:
    """Return whether a comma-separated header has an item (both lowercase)."""
    return any(key == name and item in _items(value) for key, value in headers)


def proposes_upgrade(headers: list[Header]) -> bool:
    """Return whether a request names another protocol (lowercase names)."""
    return any(
        item for key, value in headers if key == b"upgrade" for item in _items(value)
    )


def _items(value: bytes) -> list[bytes]:
    """Return the items of a comma-separated value."""
    return [part.strip() for part in value.lower().split(b",")]


def keeps_alive(headers: list[Header], version: bytes) -> bool:
    """Return whether a message lets its connection take another one."""
    return version >= b"1.1" and not has_item(headers, b"connection", b"close")


def check_fields(headers: list[Header]) -> None:
    """Raise MalformedMessageError if headers to be sent break the grammar."""
    fields = encode_fields(headers)
    if fields.count(b"\n") != len(headers) or not WRITTEN_FIELDS.fullmatch(fields):
        raise MalformedMessageError("illegal header")


def is_field_value(value: bytes) -> bool:
    """Return whether a header may have this value, which must not be empty."""
    return bool(value) and FIELD_VALUE.fullmatch(value) is not None


def encode_fields(headers: list[Header]) -> bytes:
    """Return the serialized lines of checked headers."""
    return b"".join([b"%s: %s\r\n" % header for header in headers])


def encode_head(first_line: bytes, headers: list[Header]) -> bytes:
    """Return a serialized head with checked headers."""
    return b"%s\r\n%s\r\n" % (first_line, encode_fields(headers))


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk; nothing without data, which would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
