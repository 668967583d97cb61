"""Passes the bytes of a caller's connection to a sibling, and back."""

from asyncio import Protocol, Transport, get_running_loop
from collections.abc import Callable
from contextlib import suppress
from socket import socket
from typing import Any

from absl import logging
from anyio import Event, current_time, fail_after, move_on_after
from attrs import define, field

from pistachiolever.core.addresses import split_address
from pistachiolever.core.timeouts import move_on_after_peer
from pistachiolever.forwarding.const import (
    CONNECT_SECONDS,
    GREETING,
    GREETING_REPLY,
    GREETING_SECONDS,
    PREFACE,
    REFUSAL,
)
from pistachiolever.forwarding.models import ForwardOutcome
from pistachiolever.http1.const import (
    CLIENT_USER_TIMEOUT_SECONDS,
    LINGER_SECONDS,
    READ_BYTES,
)
from pistachiolever.http1.sockets import tune_socket


def ignore_data(data: bytes) -> None:
    """Ignore bytes of a connection that is being closed."""


class SpliceEnd(Protocol):
    """One end of a splice.

    While the peer of this end does not read, the `other` end is not read, either.
    """

    transport: Transport

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[Exception | None], None],
    ) -> None:
        """Create an end, which its transport completes."""
        self._on_data = on_data
        self._on_end = on_end
        self.other: SpliceEnd | None = None
        self.has_ended = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(0)

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes."""
        self._on_data(data)

    def eof_received(self) -> bool:
        """Note that the peer sends no more; it may still receive."""
        self._end(None)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed, with an error if it was reset."""
        self._end(error)

    def pause_writing(self) -> None:
        """Leave further bytes of the other end to the system."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read the other end on."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def detach(self) -> None:
        """Close the connection; what comes of it from now on is ignored."""
        self._on_data, self.has_ended = ignore_data, True
        self.transport.abort()

    def _end(self, error: Exception | None) -> None:
        """Tell that the peer has ended, once."""
        if not self.has_ended:
            self.has_ended = True
            self._on_end(error)

    def extra(self, attribute: Any) -> Any:
        """Return the socket, None if the connection is closed."""
        if self.transport.is_closing():
            return None
        return self.transport.get_extra_info("socket")


@define(eq=False)
class Splice:
    """A caller's connection that is passed on to a sibling.

    `request` are the bytes of the caller until its response begins, so that another
    sibling can get them if one refuses. Those of a long request are not kept. At
    `ends_at`, in absolute seconds, the response must be complete.
    """

    request: bytes
    ends_at: float
    now: Callable[[], float] = current_time
    caller: SpliceEnd = field(init=False)
    sibling: SpliceEnd | None = None
    outcome: ForwardOutcome | None = None
    has_response: bool = False
    is_long: bool = False
    is_passed_on: bool = False
    _response_start: bytes = b""
    _greeted: Event = field(factory=Event)
    _ended: Event = field(factory=Event)
    _caller_ended: Event = field(factory=Event)

    async def accept(self, raw: socket) -> None:
        """Take over a caller's socket; raise OSError or ValueError if it is gone."""
        raw.setblocking(False)
        self.caller = SpliceEnd(self._take_request, self._end_caller)
        await get_running_loop().connect_accepted_socket(lambda: self.caller, raw)
        tune_socket(self.caller, CLIENT_USER_TIMEOUT_SECONDS)

    def may_repeat(self) -> bool:
        """Return whether there is time and data to try another sibling."""
        return not self.is_long and self.now() < self.ends_at

    async def forward(self, address: str, version: int) -> ForwardOutcome:
        """Pass the connection on to one sibling; return once it has ended there.

        The sibling gets the request only after its reply to a greeting: connections to
        a process that stands still are accepted by the system.
        """
        if self.caller.has_ended:
            return ForwardOutcome.CALLER_LEFT
        self.outcome, self._ended, self._response_start = None, Event(), b""
        self._greeted, self.is_passed_on = Event(), False
        self.caller.transport.pause_reading()
        sibling = SpliceEnd(self._take_response, self._end_sibling)
        host, port = split_address(address)
        try:
            with fail_after(min(CONNECT_SECONDS, self._left_seconds())):
                await get_running_loop().create_connection(lambda: sibling, host, port)
        except (OSError, TimeoutError) as error:
            logging.debug("sibling %s is unreachable: %s", address, error)
            return ForwardOutcome.UNREACHABLE
        try:
            tune_socket(sibling)
            return await self._greet(sibling, version) or await self._pass_on(
                sibling, version
            )
        finally:
            self.sibling = self.caller.other = None
            sibling.detach()
            if not self.caller.transport.is_closing():
                self.caller.transport.resume_reading()

    async def _greet(self, sibling: SpliceEnd, version: int) -> ForwardOutcome | None:
        """Wait for the reply to a greeting; return an outcome if there is none."""
        sibling.write(GREETING % version)
        seconds = min(GREETING_SECONDS, self._left_seconds())
        with move_on_after_peer(seconds) as scope:
            await self._greeted.wait()
        if scope.cancelled_caught:
            return ForwardOutcome.SILENT
        if self.caller.has_ended:
            return ForwardOutcome.CALLER_LEFT
        return self.outcome

    async def _pass_on(self, sibling: SpliceEnd, version: int) -> ForwardOutcome:
        """Pass bytes in both directions until an end, or until the time is over."""
        self.sibling, self.is_passed_on = sibling, True
        self.caller.other, sibling.other = sibling, self.caller
        sibling.write(PREFACE % version + self.request)
        self.caller.transport.resume_reading()
        with move_on_after(self._left_seconds()):
            await self._ended.wait()
        return self.outcome or ForwardOutcome.TIMED_OUT

    def _left_seconds(self) -> float:
        """Return the time until the response must be complete."""
        return max(0.0, self.ends_at - self.now())

    async def respond(self, response: bytes) -> None:
        """Send a whole response to the caller, and close."""
        self.caller.write(response)
        await self.finish()

    async def finish(self) -> None:
        """Close the caller's connection once the caller could read the response.

        Closing with unread input would reset the connection.
        """
        if not self.caller.has_ended:
            with suppress(OSError, RuntimeError):
                self.caller.transport.write_eof()
            with move_on_after(LINGER_SECONDS):
                await self._caller_ended.wait()
        self.caller.transport.close()

    def close(self) -> None:
        """Close the caller's connection at once, without its unsent bytes."""
        self.caller.transport.abort()

    def abandon(self) -> None:
        """End the connection: this process stops."""
        self._finish(ForwardOutcome.BROKEN_OFF)

    def _finish(self, outcome: ForwardOutcome) -> None:
        """Let `forward` return."""
        if self.outcome is None:
            self.outcome = outcome
            self._greeted.set()
            self._ended.set()

    def _take_request(self, data: bytes) -> None:
        """Pass on bytes of the caller."""
        if self.sibling is None:
            self.request += data
            return
        self.sibling.write(data)
        if self.has_response or self.is_long:
            return
        self.request += data
        if len(self.request) > READ_BYTES:
            self.is_long, self.request = True, b""

    def _end_caller(self, error: Exception | None) -> None:
        """Note that the caller has left."""
        self._caller_ended.set()
        self._finish(ForwardOutcome.CALLER_LEFT)

    def _take_response(self, data: bytes) -> None:
        """Pass on bytes of the sibling, unless it refuses or replies to a greeting."""
        if not self.has_response:
            data = self._response_start + data
            if not self.is_passed_on and not REFUSAL.startswith(data):
                self._take_greeting_reply(data)
                return
            if REFUSAL.startswith(data):
                self._response_start = data
                if len(data) == len(REFUSAL):
                    self._finish(ForwardOutcome.REFUSED)
                return
            self.has_response, self.request = True, b""
        self.caller.write(data)

    def _take_greeting_reply(self, data: bytes) -> None:
        """Note that the sibling replies to a greeting."""
        self._response_start = data
        if data == GREETING_REPLY:
            self._response_start = b""
            self._greeted.set()
        elif not GREETING_REPLY.startswith(data):
            self._finish(ForwardOutcome.UNREACHABLE)

    def _end_sibling(self, error: Exception | None) -> None:
        """Note that the sibling has closed its connection."""
        if not self.is_passed_on:
            self._finish(ForwardOutcome.UNREACHABLE)
        elif self.has_response and error is None:
            self._finish(ForwardOutcome.ANSWERED)
        else:
            self._finish(ForwardOutcome.BROKEN_OFF)


async def end_unfinished(splice: Splice, response: bytes) -> None:
    """End a connection without a whole response; send one if none has begun."""
    if splice.has_response:
        # The caller must not take what it has for whole.
        splice.close()
    else:
        await splice.respond(response)
