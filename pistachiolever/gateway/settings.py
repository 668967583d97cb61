"""Settings of a gateway process."""

from attrs import frozen

from pistachiolever.gateway.const import (
    DEFAULT_DRAIN_SECONDS,
    DEFAULT_MAX_DESCRIPTORS,
)


@frozen
class GatewaySettings:
    """Addresses and limits of a gateway process.

    `retry_ratio`, `retry_window_seconds` and `retry_slack` limit retries over all
    routers; `grace_seconds` is the time from the stop signal until the process must
    have ended. A leaving endpoint serves on for `drain_seconds`. The process may
    have `max_descriptors` sockets open. With `plans_returns`, Retry-After follows the
    estimated time at which engines have room again.
    """

    node_id: str
    failure_domain: str
    front_address: str
    ready_address: str
    ready_path: str
    grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    drain_seconds: float = DEFAULT_DRAIN_SECONDS
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    plans_returns: bool = False
