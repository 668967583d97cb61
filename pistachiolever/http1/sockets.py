"""Options of the sockets that the HTTP layer opens or accepts."""

from select import POLLIN, POLLRDHUP, poll
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from struct import pack
from typing import Any, Protocol

from anyio.abc import SocketAttribute

from pistachiolever.http1.const import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_SECONDS,
)


class SocketProvider(Protocol):
    """A connection that has a socket."""

    def extra(self, attribute: Any, /) -> Any:
        """Return the socket."""


def tune_socket(
    stream: SocketProvider, user_timeout_seconds: float = USER_TIMEOUT_SECONDS
) -> None:
    """Disable Nagle's algorithm and detect unresponsive peers.

    A peer that acknowledges or reads nothing for `user_timeout_seconds` counts as gone.
    """
    raw = _raw_socket(stream)
    if raw is None:
        return
    try:
        raw.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        raw.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, int(user_timeout_seconds * 1000))
        raw.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        raw.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        raw.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        raw.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        # The peer has already disconnected; the next read reports it.
        return


def set_reset_on_close(stream: SocketProvider, enabled: bool) -> None:
    """Set whether closing the socket resets the connection.

    The kernel also closes the socket that way if the process is killed.
    """
    raw = _raw_socket(stream)
    if raw is None:
        return
    try:
        raw.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", enabled, 0))
    except OSError:
        # The peer has already disconnected; the next read reports it.
        return


def has_left(stream: SocketProvider) -> bool:
    """Return whether the peer has closed the connection, also behind unread data."""
    return _has_event(stream, POLLRDHUP)


def has_input(stream: SocketProvider) -> bool:
    """Return whether an idle socket has unread data, an end of file or an error."""
    return _has_event(stream, POLLIN)


def _has_event(stream: SocketProvider, mask: int) -> bool:
    """Return whether an event, an error or the end of the connection is pending."""
    raw = _raw_socket(stream)
    if raw is None:
        return True
    poller = poll()
    poller.register(raw.fileno(), mask)
    return bool(poller.poll(0))


def _raw_socket(stream: SocketProvider) -> socket | None:
    """Return the socket of a connection; None if it is closed already."""
    try:
        raw: socket | None = stream.extra(SocketAttribute.raw_socket)
    except (AttributeError, ValueError):
        # A closed connection of uvloop has none, or one without a descriptor.
        return None
    return raw if raw is not None and raw.fileno() >= 0 else None
