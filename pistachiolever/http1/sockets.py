"""Options of the sockets that the HTTP layer opens or accepts."""

from select import POLLIN, poll
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)

from anyio.abc import SocketAttribute, SocketStream

from pistachiolever.http1.const import (
    PROBE_COUNT,
    PROBE_IDLE_SECONDS,
    PROBE_INTERVAL_SECONDS,
    USER_TIMEOUT_SECONDS,
)


def tune_socket(stream: SocketStream) -> None:
    """Send at once, and notice a peer that has gone silent."""
    socket = stream.extra(SocketAttribute.raw_socket)
    try:
        socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        socket.setsockopt(
            IPPROTO_TCP, TCP_USER_TIMEOUT, int(USER_TIMEOUT_SECONDS * 1000)
        )
        socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
        socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT)
    except OSError:
        # The peer left between accept and here; reading the socket will tell.
        return


def has_input(stream: SocketStream) -> bool:
    """Tell whether unread bytes, an end or an error wait on an idle socket."""
    descriptor = stream.extra(SocketAttribute.raw_socket).fileno()
    if descriptor < 0:
        return True
    poller = poll()
    poller.register(descriptor, POLLIN)
    return bool(poller.poll(0))
