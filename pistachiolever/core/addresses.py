"""Addresses of the form HOST:PORT, whoever wrote them."""

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Final

MAX_PORT: Final = 65_535
PORT_DIGITS: Final = 5
MAX_HOST_NAME: Final = 253
# Labels of letters, digits, hyphens and underscores.
HOST_NAME: Final = compile_pattern(r"[0-9A-Za-z_-]{1,63}(?:\.[0-9A-Za-z_-]{1,63})*")


def split_address(address: str) -> tuple[str, int]:
    """Return host and port; raise ValueError if none can be reached by that name."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= PORT_DIGITS):
        raise ValueError("the port is not a number")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("the port is out of range")
    if not _is_host(host):
        raise ValueError("the host is not an IP address or a host name")
    return host, int(port)


def _is_host(host: str) -> bool:
    """Return whether a text is the IP address or the name of one host."""
    try:
        address = ip_address(host)
    except ValueError:
        return len(host) <= MAX_HOST_NAME and HOST_NAME.fullmatch(host) is not None
    return not address.is_unspecified and not address.is_multicast
