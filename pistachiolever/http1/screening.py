"""Refuses new connections of an overloaded server before they are set up."""

from collections import deque
from collections.abc import Callable
from contextlib import suppress
from math import inf
from select import POLLIN, poll
from socket import SHUT_WR, socket
from typing import Protocol

from anyio import Event, current_time, sleep
from attrs import define, field, frozen

from pistachiolever.http1.const import (
    FIRST_REQUEST_SECONDS,
    LINGER_SECONDS,
    READ_BYTES,
    SCREENING_SECONDS,
)

END_OF_HEAD = b"\r\n\r\n"


class ConnectionScreen(Protocol):
    """Decides which requests on new connections are refused."""

    def is_active(self) -> bool:
        """Return whether some requests are refused now."""

    def refusal(self, head: bytes) -> bytes:
        """Return the whole response to a request that is refused; empty to serve it."""


class ConnectionForwarder(Protocol):
    """Passes on connections to other servers."""

    def takes(self, head: bytes) -> bool:
        """Return whether a new connection is passed on, by its request."""

    def forward(self, raw: socket, head: bytes, received: bytes) -> None:
        """Take over an accepted socket, and its input so far."""

    def count(self) -> int:
        """Return the number of connections that are passed on now."""


def greet_nobody(head: bytes) -> bytes:
    """Take each head for that of a request."""
    return b""


@frozen(eq=False)
class HeldSocket:
    """An accepted socket, held until a time; `received` is its input so far."""

    raw: socket
    until: float
    received: bytes = b""


@define
class Screening:
    """Answers the first request of a connection with a few system calls.

    While the screen is active, new connections wait here for the head of their request,
    without a task each. Those that are not refused go on to `serve` with their input,
    unless a `forwarder` takes them. A head to which `greet` returns a reply is that of
    a greeting, which a request follows. `waiting` is by descriptor.
    """

    screen: ConnectionScreen
    serve: Callable[[socket, bytes], None]
    forwarder: ConnectionForwarder | None = None
    greet: Callable[[bytes], bytes] = greet_nobody
    waiting: dict[int, HeldSocket] = field(factory=dict)
    refused: deque[HeldSocket] = field(factory=deque)
    _poller: poll = field(factory=poll)
    _wake: Event = field(factory=Event)

    def count(self) -> int:
        """Return the number of sockets that are held."""
        return len(self.waiting) + len(self.refused)

    def offer(self, raw: socket) -> None:
        """Decide on a new connection, at once if its request is there."""
        if not self.screen.is_active():
            self.serve(raw, b"")
            return
        raw.setblocking(False)
        self._decide(HeldSocket(raw, current_time() + FIRST_REQUEST_SECONDS))

    async def run(self) -> None:
        """Decide on waiting connections and close refused ones until cancelled."""
        while True:
            if not self.count():
                self._wake = Event()
                await self._wake.wait()
            await sleep(SCREENING_SECONDS)
            self._review_waiting()
            self._close_refused(current_time())

    def close(self) -> None:
        """Serve the waiting connections; close the refused ones."""
        for descriptor in list(self.waiting):
            held = self._stop_waiting(descriptor)
            self.serve(held.raw, held.received)
        self._close_refused(inf)

    def _review_waiting(self) -> None:
        """Decide on waiting connections that have input or whose time is over.

        One system call finds them: under a flood there are hundreds without input.
        """
        now, is_active = current_time(), self.screen.is_active()
        due = [descriptor for descriptor, _ in self._poller.poll(0)]
        for descriptor, held in self.waiting.items():
            if now >= held.until or not is_active:
                due.append(descriptor)
        for descriptor in dict.fromkeys(due):
            self._decide(self._stop_waiting(descriptor))

    def _wait(self, held: HeldSocket) -> None:
        """Let a connection wait for input."""
        self.waiting[held.raw.fileno()] = held
        self._poller.register(held.raw, POLLIN)
        self._wake.set()

    def _stop_waiting(self, descriptor: int) -> HeldSocket:
        """Return a connection that has waited."""
        self._poller.unregister(descriptor)
        return self.waiting.pop(descriptor)

    def _decide(self, held: HeldSocket) -> None:
        """Refuse a connection, serve it, or let it wait for its head."""
        received = held.received
        try:
            data = held.raw.recv(READ_BYTES)
            has_left = not data
            received += data
        except BlockingIOError:
            has_left = False
        except OSError:
            has_left = True
        if has_left:
            held.raw.close()
            return
        head, end, _ = received.partition(END_OF_HEAD)
        if not end:
            is_over = current_time() >= held.until or len(received) > READ_BYTES
            if is_over or not self.screen.is_active():
                self.serve(held.raw, received)
                return
            self._wait(HeldSocket(held.raw, held.until, received))
            return
        if reply := self.greet(head):
            self._greet(held.raw, reply)
            return
        if self.forwarder is not None and self.forwarder.takes(head):
            self.forwarder.forward(held.raw, head, received)
            return
        response = self.screen.refusal(head)
        if not response:
            self.serve(held.raw, received)
            return
        self._refuse(held.raw, response)

    def _greet(self, raw: socket, reply: bytes) -> None:
        """Reply to a greeting, and wait for the request that follows it."""
        try:
            raw.send(reply)
        except OSError:
            # The client has left.
            raw.close()
            return
        self._wait(HeldSocket(raw, current_time() + FIRST_REQUEST_SECONDS))

    def _refuse(self, raw: socket, response: bytes) -> None:
        """Send a response; the connection is closed once its client could read it."""
        try:
            raw.send(response)
            raw.shutdown(SHUT_WR)
        except OSError:
            # The client has left.
            raw.close()
            return
        self.refused.append(HeldSocket(raw, current_time() + LINGER_SECONDS))
        self._wake.set()

    def _close_refused(self, now: float) -> None:
        """Close the refused connections whose time is over."""
        while self.refused and self.refused[0].until <= now:
            raw = self.refused.popleft().raw
            # Closing with unread input would reset the connection.
            with suppress(OSError):
                raw.recv(READ_BYTES)
            raw.close()
