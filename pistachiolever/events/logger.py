"""Structured logging: one JSON object per line, rate-limited and non-blocking.

Used by the processes of the platform; router, sidecar and control use
`events.recorder`.
"""

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

# Above this rate a process samples: it drops all lines of some requests.
LINES_PER_SECOND: Final = 400
# Buffered output for a reader that is too slow; further lines are dropped.
MAX_BUFFERED_BYTES: Final = 1024 * 1024
FLUSH_SECONDS: Final = 0.05
# Writes to a pipe are atomic up to this size (PIPE_BUF).
ATOMIC_WRITE_BYTES: Final = 4096
STDOUT: Final = 1
# Each sampling level keeps half of the requests of the level below.
MAX_SAMPLING_LEVEL: Final = 8


@define
class LogBuffer:
    """A stream for a log handler that buffers lines until the pipe accepts them.

    `write_out` writes bytes and returns how many it wrote, or raises BlockingIOError.
    """

    write_out: Callable[[bytes], int]
    lines: deque[bytes] = field(factory=deque)
    buffered_bytes: int = 0
    dropped: int = 0

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        data = text.encode()
        if self.buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return len(text)
        self.lines.append(data)
        self.buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the handler flushes after each line; `drain` writes later."""

    def close(self) -> None:
        """Do nothing: standard output stays open."""

    def drain(self) -> None:
        """Write what the pipe accepts now, in blocks of whole lines."""
        while self.lines:
            block = self._next_block()
            try:
                written = self.write_out(block)
            except OSError:
                # The pipe is full or closed by its reader. The lines stay buffered;
                # once the buffer is full, `write` drops further ones.
                written = 0
            self.buffered_bytes -= written
            if written < len(block):
                self.lines.appendleft(block[written:])
                return

    def _next_block(self) -> bytes:
        """Remove as many lines from the front as one atomic write can hold."""
        parts = [self.lines.popleft()]
        size = len(parts[0])
        while self.lines and size + len(self.lines[0]) <= ATOMIC_WRITE_BYTES:
            parts.append(self.lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)


class JsonFormatter(Formatter):
    """Passes event lines through and formats other log records as JSON."""

    def format(self, record: LogRecord) -> str:
        """Return the record as one line of JSON."""
        message = record.getMessage()
        if message.startswith("{"):
            return message
        if record.exc_info:
            message += " " + self.formatException(record.exc_info)
        return dumps({"level": record.levelname, "text": message}).decode()


def write_to_stdout(data: bytes) -> int:
    """Write to standard output without blocking."""
    os.set_blocking(STDOUT, False)
    return os.write(STDOUT, data)


@define
class EventLogger:
    """Logs the numbered events of a process as JSON lines.

    `wall_ms` returns the milliseconds since the epoch; `emit` writes a line. At high
    rates all lines of some requests are dropped. The choice depends only on the
    request id, so that all processes keep the lines of the same requests. `line_count`
    is the number of lines written in the current second.
    """

    process_id: str
    wall_ms: Callable[[], int]
    emit: Callable[[str], None]
    sequence: int = 0
    current_second: int = 0
    line_count: int = 0
    sampling_level: int = 0
    dropped: int = 0

    def record(self, code: EventCode, request: str = "", **fields: Any) -> None:
        """Log an event, unless its request is not sampled."""
        now_ms = self.wall_ms()
        self._start_second(now_ms // 1000)
        if request and not self._is_sampled(request):
            self.dropped += 1
            return
        self._count_line()
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

    def _is_sampled(self, request: str) -> bool:
        """Return whether a request is sampled at the current level."""
        if self.sampling_level == 0:
            return True
        return crc32(request.encode()) % (1 << self.sampling_level) == 0

    def _count_line(self) -> None:
        """Count a written line; raise the sampling level if there are too many.

        In one second it rises again with each further LINES_PER_SECOND.
        """
        self.line_count += 1
        if (
            self.line_count % LINES_PER_SECOND == 0
            and self.sampling_level < MAX_SAMPLING_LEVEL
        ):
            self.sampling_level += 1

    def _start_second(self, second: int) -> None:
        """Lower the sampling level after a second with few written lines.

        Also report dropped lines.
        """
        if second == self.current_second:
            return
        was_quiet = self.line_count < LINES_PER_SECOND // 4
        self.current_second, self.line_count = second, 0
        if was_quiet and self.sampling_level:
            self.sampling_level -= 1
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.record(
                EventCode.LINES_LEFT_OUT, lines=dropped, level=self.sampling_level
            )


def make_log_writer(process_id: str, wall_ms: Callable[[], int]) -> "LogWriter":
    """Return the log writer of a process and send the log library's records to it."""
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
    """The event logger of a process and the task that writes its buffer out."""

    logger: EventLogger
    buffer: LogBuffer

    async def run(self) -> None:
        """Write the buffered lines periodically; report how many were dropped."""
        while True:
            await sleep(FLUSH_SECONDS)
            if self.buffer.lines:
                self.buffer.drain()
            if self.buffer.dropped:
                dropped, self.buffer.dropped = self.buffer.dropped, 0
                self.logger.record(
                    EventCode.LINES_LEFT_OUT, lines=dropped, reason="slow reader"
                )
