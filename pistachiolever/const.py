"""Versions of the program and of its internal protocol."""

from typing import Final

VERSION: Final = "0.1.0"
PROTOCOL_VERSION: Final = 1
OLDEST_PROTOCOL_VERSION: Final = 1
