"""Limits of the servers of all roles."""

from typing import Final

from pistachiolever.http1.models import HttpLimits

# Parts of the sockets for calls of other processes, and of operators and endpoints.
PEER_CONNECTION_FRACTION: Final = 0.5
CONTROL_CONNECTION_FRACTION: Final = 0.3
# Configurations of operators can have hundreds of routes.
CONTROL_LIMITS: Final = HttpLimits(max_body_bytes=16 * 1024 * 1024)
