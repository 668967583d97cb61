"""Heads of requests and responses, and the limits of a server."""

from enum import Enum

from attrs import field, frozen

from pistachiolever.http1.const import (
    HEAD_SECONDS,
    IDLE_SECONDS,
    MAX_BODY_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
)

Header = tuple[bytes, bytes]


@frozen
class HttpLimits:
    """Size limits of a request, and timeouts for its head and idle connections."""

    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    head_seconds: float = HEAD_SECONDS
    idle_seconds: float = IDLE_SECONDS
    max_fields: int = MAX_FIELDS


def first_value(headers: list[Header], name: bytes) -> bytes | None:
    """Return the first value of a header (lowercase name), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


@frozen
class RequestHead:
    """Method, target and headers (lowercase names) of a request."""

    method: bytes
    target: bytes
    headers: list[Header] = field(factory=list)

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return first_value(self.headers, name)

    @property
    def path(self) -> str:
        """Return the path of the target, without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class Framing(Enum):
    """How the end of a response's body is determined."""

    NO_BODY = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@frozen
class ResponseHead:
    """Status, headers (lowercase names) and framing of a response."""

    status: int
    headers: list[Header] = field(factory=list)
    framing: Framing = Framing.LENGTH

    def value(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return first_value(self.headers, name)


def framing_of(method: bytes, status: int, headers: list[Header]) -> Framing:
    """Return the framing of the response to a request (RFC 9112, section 6.3)."""
    if method == b"HEAD" or status in (204, 304):
        return Framing.NO_BODY
    if first_value(headers, b"transfer-encoding") is not None:
        return Framing.CHUNKED
    if first_value(headers, b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CLOSE
