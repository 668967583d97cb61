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
)
from struct import pack

from anyio.abc import SocketAttribute, SocketStream

from pistachiolever.http1.const import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    USER_TIMEOUT_SECONDS,
)


def tune_socket(stream: SocketStream) -> None:
    """Disable Nagle's algorithm and detect unresponsive peers."""
    socket = stream.extra(SocketAttribute.raw_socket)
    try:
        socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        socket.setsockopt(
            IPPROTO_TCP, TCP_USER_TIMEOUT, int(USER_TIMEOUT_SECONDS * 1000)
        )
        socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        # The peer has already disconnected; the next read reports it.
        return


def set_reset_on_close(stream: SocketStream, enabled: bool) -> None:
    """Set whether closing the socket resets the connection.

    The kernel also closes the socket that way if the process is killed.
    """
    socket = stream.extra(SocketAttribute.raw_socket)
    try:
        socket.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", enabled, 0))
    except OSError:
        # The peer has already disconnected; the next read reports it.
        return


def has_left(stream: SocketStream) -> bool:
    """Return whether the peer has closed the connection, also behind unread data."""
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return True
    poller = poll()
    poller.register(descriptor, POLLRDHUP)
    return bool(poller.poll(0))


def has_input(stream: SocketStream) -> bool:
    """Return whether an idle socket has unread data, an end of file or an error."""
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return True
    poller = poll()
    poller.register(descriptor, POLLIN)
    return bool(poller.poll(0))
