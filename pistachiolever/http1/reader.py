"""Reads messages from the bytes of a connection, whatever pieces they come in."""

from collections.abc import Callable
from re import compile as compile_pattern
from typing import Final, TypeVar

from attrs import define, field

from pistachiolever.http1.const import MAX_JOINED_CHUNKS, READ_BYTES
from pistachiolever.http1.errors import MalformedMessageError
from pistachiolever.http1.heads import parse_fields
from pistachiolever.http1.models import Framing

T = TypeVar("T")

HEAD_END: Final = compile_pattern(rb"\n\r?\n")
EMPTY_LINES: Final = (b"\n", b"\r\n")
PLAIN_CHUNK_SIZE: Final = compile_pattern(rb"([0-9A-Fa-f]{1,20})\r\n")
CHUNK_SIZE: Final = compile_pattern(rb"([0-9A-Fa-f]{1,20})(?:;.*+|[ \t]*+)")
FIRST_PRINTABLE: Final = 0x21


@define(eq=False)
class MessageReader:
    """Reads the messages of one side of a connection in turn.

    `buffer` has the bytes that were not read yet, `has_ended` tells that no more will
    come, and `is_complete` that the message was read to its end. An incomplete part
    other than the body may have up to `max_incomplete_bytes`.
    """

    max_incomplete_bytes: int
    buffer: bytearray = field(factory=bytearray)
    has_ended: bool = False
    is_complete: bool = False
    _framing: Framing = Framing.NO_BODY
    _left: int = 0
    _is_after_chunk: bool = False
    _is_in_trailer: bool = False
    _position: int = 0
    _searched: int = 0

    def feed(self, data: bytes) -> None:
        """Add received bytes; none mean the end of the input."""
        if data:
            self.buffer += data
        else:
            self.has_ended = True

    def read_head(self, parse: Callable[[bytes], T]) -> T | None:
        """Return the head that `parse` makes of its bytes, None if more must come."""
        block = self._take_lines()
        if block is None:
            if self.buffer and self.buffer[0] < FIRST_PRINTABLE:
                raise MalformedMessageError("illegal first line")
            self._check_incomplete()
            return None
        if block in EMPTY_LINES:
            raise MalformedMessageError("no first line")
        return parse(block)

    def start_body(self, framing: Framing, length: int = 0) -> None:
        """Read a body after the head."""
        self._framing, self._left = framing, length
        self._is_after_chunk = self._is_in_trailer = self.is_complete = False

    def read_body(self) -> bytes:
        """Return what is there of the body; nothing if more must come, or at its end.

        Chunks are joined, up to MAX_JOINED_CHUNKS and about READ_BYTES.
        """
        if self.is_complete:
            return b""
        if self._framing is Framing.CHUNKED:
            if not self.buffer and not self.has_ended:
                return b""
            data = b"" if self._is_in_trailer else self._read_chunks()
            self.is_complete = not data and self._is_in_trailer and self._read_trailer()
        elif self._framing is Framing.CLOSE:
            data = self._take(len(self.buffer))
            self.is_complete = not data and self.has_ended
        else:
            self.is_complete = not self._left
            data = self._take(self._left)
            self._left -= len(data)
        if not data and not self.is_complete:
            self._check_incomplete()
        return data

    def _read_chunks(self) -> bytes:
        """Return the data of the chunks that are there."""
        if not self._left and not self._is_after_chunk:
            data = self._take_only_chunk()
            if data:
                return data
        parts: list[bytes] = []
        size = 0
        try:
            while (
                size < READ_BYTES
                and len(parts) < MAX_JOINED_CHUNKS
                and self._enter_chunk()
            ):
                start = self._position
                data = self._copy(start, start + self._left)
                parts.append(data)
                size += len(data)
                self._position += len(data)
                self._left -= len(data)
                self._is_after_chunk = not self._left
        except MalformedMessageError:
            # Raised again when the reader is asked next.
            if not parts:
                raise
        finally:
            if self._position:
                del self.buffer[: self._position]
                self._position = 0
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _take_only_chunk(self) -> bytes:
        """Return the data of a chunk if the buffer has that one only."""
        buffer = self.buffer
        match = PLAIN_CHUNK_SIZE.match(buffer)
        if match is None:
            return b""
        start = match.end()
        size = len(buffer) - start - 2
        if size <= 0 or size != int(match[1], 16) or not buffer.endswith(b"\r\n"):
            return b""
        data = self._copy(start, start + size)
        buffer.clear()
        self._searched = 0
        return data

    def _enter_chunk(self) -> bool:
        """Read up to the data of a chunk; return whether some is there."""
        if not self._left:
            if self._is_after_chunk and not self._leave_chunk():
                return False
            size = self._take_chunk_size()
            if size is None:
                return False
            self._left, self._is_in_trailer = size, not size
        return not self._is_in_trailer and self._position < len(self.buffer)

    def _leave_chunk(self) -> bool:
        """Skip the end of a chunk; return whether it has come."""
        end = self.buffer[self._position : self._position + 2]
        if end != b"\r\n":
            if not b"\r\n".startswith(end):
                raise MalformedMessageError("illegal end of a chunk")
            return False
        self._position += 2
        self._is_after_chunk = False
        return True

    def _take_chunk_size(self) -> int | None:
        """Return the size of a chunk, None if it has not come."""
        match = PLAIN_CHUNK_SIZE.match(self.buffer, self._position)
        if match is None:
            searched = max(self._position, self._searched - 1)
            end = self.buffer.find(b"\r\n", searched)
            if end < 0:
                self._searched = len(self.buffer) - self._position
                return None
            match = CHUNK_SIZE.fullmatch(self.buffer, self._position, end)
            if match is None:
                raise MalformedMessageError("illegal size of a chunk")
            self._position = end + 2
        else:
            self._position = match.end()
        self._searched = 0
        return int(match[1], 16)

    def _read_trailer(self) -> bool:
        """Read the headers after the last chunk; return whether they have come."""
        block = self._take_lines()
        if block is None:
            return False
        parse_fields(block)
        return True

    def _take(self, size: int) -> bytes:
        """Return up to `size` bytes."""
        data = self._copy(0, size)
        del self.buffer[:size]
        return data

    def _copy(self, start: int, end: int) -> bytes:
        """Return a part of the buffer; a slice of it would be a copy to copy again."""
        with memoryview(self.buffer) as view:
            return bytes(view[start:end])

    def _take_lines(self) -> bytes | None:
        """Return the lines up to the first empty one, None if it has not come."""
        if self.buffer.startswith(EMPTY_LINES):
            return self._take(self.buffer.index(b"\n") + 1)
        match = HEAD_END.search(self.buffer, self._searched)
        if match is None:
            self._searched = max(0, len(self.buffer) - 2)
            return None
        self._searched = 0
        return self._take(match.end())

    def _check_incomplete(self) -> None:
        """Raise MalformedMessageError if what is missing can't or must not come."""
        if len(self.buffer) > self.max_incomplete_bytes:
            limit = self.max_incomplete_bytes
            raise MalformedMessageError(f"over {limit} bytes before the body", 431)
        if self.has_ended:
            raise MalformedMessageError("the input ended within a message")
