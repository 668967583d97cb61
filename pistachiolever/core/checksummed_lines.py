"""Lines of a file that start with a checksum, so that torn writes are noticed."""

from typing import Final
from zlib import crc32

CHECKSUM_DIGITS: Final = 8


def encode_line(body: bytes) -> bytes:
    """Return a body, which must hold no newline, as a line with its checksum."""
    return b"%08x %s\n" % (crc32(body), body)


def verified_body(line: bytes) -> bytes | None:
    """Return the body of a line without its newline, None if it is damaged."""
    checksum, _, body = line.partition(b" ")
    if len(checksum) != CHECKSUM_DIGITS or b"%08x" % crc32(body) != checksum:
        return None
    return body
