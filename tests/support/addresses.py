"""Addresses for the servers of tests."""

from random import SystemRandom
from socket import socket
from typing import Final

from anyio import connect_tcp, sleep

# Below the range from which the system takes the ports of outgoing connections, which
# could use an address between its choice and the start of its server.
PORTS: Final = range(12_000, 32_000)
_used_ports: set[int] = set()


def free_address() -> str:
    """Return an unused loopback address, a different one at each call."""
    while True:
        port = SystemRandom().choice(PORTS)
        if port in _used_ports:
            continue
        with socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return f"127.0.0.1:{port}"


async def wait_until_listening(address: str) -> None:
    """Wait until a server accepts connections at an address."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            stream = await connect_tcp(host, int(port))
        except OSError:
            await sleep(0.01)
            continue
        await stream.aclose()
        return
