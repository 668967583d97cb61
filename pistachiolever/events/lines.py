"""Structured log lines: one JSON object each, bounded in number, never blocking."""

import os
from collections import deque
from collections.abc import Callable
from logging import Formatter, LogRecord, StreamHandler
from typing import Any, Final
from zlib import crc32

from absl import logging
from anyio import sleep
from attrs import define, field
from orjson import dumps

from pistachiolever.events.const import EventCode

# Lines that a process writes in a second before it leaves out whole requests.
LINES_PER_SECOND: Final = 400
# Lines that wait for a reader that is too slow, in bytes; later ones are left out.
MAX_WAITING_BYTES: Final = 1024 * 1024
FLUSH_SECONDS: Final = 0.05
# Writes to a pipe up to this size are never torn.
PIECE_BYTES: Final = 4096
STDOUT: Final = 1
# Each level of sampling keeps half of the requests of the one before.
MAX_SAMPLING_LEVEL: Final = 8


@define
class LogBuffer:
    """A stream for a log handler whose writes wait in memory until the pipe takes them.

    `write_out` writes bytes and returns how many, or raises BlockingIOError.
    """

    write_out: Callable[[bytes], int]
    waiting: deque[bytes] = field(factory=deque)
    waiting_bytes: int = 0
    left_out: int = 0

    def write(self, text: str) -> int:
        """Add a line, unless too much waits already."""
        data = text.encode()
        if self.waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.left_out += 1
            return len(text)
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: a handler flushes after each line, the pipe is written later."""

    def close(self) -> None:
        """Do nothing: standard output stays open."""

    def drain(self) -> None:
        """Write what the pipe takes now, in pieces that it takes whole or not."""
        while self.waiting:
            piece = self._next_piece()
            try:
                done = self.write_out(piece)
            except OSError:
                # The pipe is full or its reader is gone; the lines wait or are counted.
                done = 0
            self.waiting_bytes -= done
            if done < len(piece):
                self.waiting.appendleft(piece[done:])
                return

    def _next_piece(self) -> bytes:
        """Take lines from the front up to what a pipe writes as one."""
        parts = [self.waiting.popleft()]
        size = len(parts[0])
        while self.waiting and size + len(self.waiting[0]) <= PIECE_BYTES:
            parts.append(self.waiting.popleft())
            size += len(parts[-1])
        return b"".join(parts)


class JsonFormatter(Formatter):
    """Passes JSON lines through and wraps what libraries log."""

    def format(self, record: LogRecord) -> str:
        """Return the line of a record."""
        message = record.getMessage()
        if message.startswith("{"):
            return message
        if record.exc_info:
            message += " " + self.formatException(record.exc_info)
        return dumps({"level": record.levelname, "text": message}).decode()


def write_to_stdout(data: bytes) -> int:
    """Write to standard output without waiting for its reader."""
    os.set_blocking(STDOUT, False)
    return os.write(STDOUT, data)


@define
class EventLogger:
    """Records numbered events of one process as log lines.

    `wall_ms` returns milliseconds since the epoch, `emit` takes a line. Lines of
    requests are left out by whole requests when there are too many: the choice
    depends on the id alone, so that all processes keep the same ones.
    """

    process_id: str
    wall_ms: Callable[[], int]
    emit: Callable[[str], None]
    sequence: int = 0
    second: int = 0
    lines: int = 0
    level: int = 0
    left_out: int = 0

    def record(self, code: EventCode, request: str = "", **fields: Any) -> None:
        """Write one line."""
        now_ms = self.wall_ms()
        self._count(now_ms // 1000)
        if request and not self._keeps(request):
            self.left_out += 1
            return
        self.sequence += 1
        line: dict[str, Any] = {
            "ms": now_ms,
            "n": self.sequence,
            "event": int(code),
            "name": code.name,
            "process": self.process_id,
        }
        if request:
            line["request"] = request
        line.update(fields)
        self.emit(dumps(line, default=str).decode())

    def _keeps(self, request: str) -> bool:
        """Tell whether the lines of a request are kept at the present level."""
        if self.level == 0:
            return True
        return crc32(request.encode()) % (1 << self.level) == 0

    def _count(self, second: int) -> None:
        """Adapt the level once a second; say how many lines were left out."""
        self.lines += 1
        if second == self.second:
            if self.lines > LINES_PER_SECOND and self.level < MAX_SAMPLING_LEVEL:
                self.level += 1
                self.lines = 0
            return
        was_calm = self.lines < LINES_PER_SECOND // 4
        self.second, self.lines = second, 0
        if was_calm and self.level:
            self.level -= 1
        if self.left_out:
            left_out, self.left_out = self.left_out, 0
            self.record(EventCode.LINES_LEFT_OUT, lines=left_out, level=self.level)


def make_event_logger(process_id: str, wall_ms: Callable[[], int]) -> "LogWriter":
    """Return event lines that go to standard output through the log library."""
    buffer = LogBuffer(write_to_stdout)
    handler = StreamHandler(buffer)
    handler.setFormatter(JsonFormatter())
    logging.set_verbosity(logging.INFO)
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    return LogWriter(EventLogger(process_id, wall_ms, logger.info), buffer)


@define
class LogWriter:
    """The lines of a process and the task that writes them out."""

    lines: EventLogger
    buffer: LogBuffer

    async def run(self) -> None:
        """Write out what waits, again and again."""
        while True:
            await sleep(FLUSH_SECONDS)
            if self.buffer.waiting:
                self.buffer.drain()
            if self.buffer.left_out:
                left_out, self.buffer.left_out = self.buffer.left_out, 0
                self.lines.record(
                    EventCode.LINES_LEFT_OUT, lines=left_out, reason="slow reader"
                )
