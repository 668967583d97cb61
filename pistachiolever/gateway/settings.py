"""Settings of a gateway process."""

from attrs import frozen

from pistachiolever.gateway.const import (
    DEFAULT_COLD_OVERAGE,
    DEFAULT_COLD_SLACK,
    DEFAULT_DRAIN_SECONDS,
    DEFAULT_MAX_DESCRIPTORS,
)
from pistachiolever.spillover.const import (
    DEFAULT_LATENCY_SECONDS,
    DEFAULT_SECONDS_PER_MEGABYTE,
    DEFAULT_SHORT_WAIT_SECONDS,
)


@frozen
class GatewaySettings:
    """Addresses and limits of a gateway process.

    `retry_ratio`, `retry_window_seconds` and `retry_slack` limit retries over all
    routers; `grace_seconds` is the time from the stop signal until the process must
    have ended. A leaving endpoint serves on for `drain_seconds`. The process may
    have `max_descriptors` sockets open. In any second a cold engine may get the
    requests of its rate times `cold_overage`, and `cold_slack` more.

    With `spillover_enabled` the price of leaving the failure domain follows the loads.
    A round trip between failure domains takes `spillover_latency_seconds`; a megabyte
    moved between them counts as `spillover_seconds_per_megabyte`. An endpoint at which
    requests wait for `spillover_short_wait_seconds` has no room for more.

    At `forward_address` siblings forward connections to this router, and this one then
    forwards to them; empty to do neither, as without an address for internal calls.

    With `plans_returns`, Retry-After follows the estimated time at which engines have
    room again.
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
    cold_overage: float = DEFAULT_COLD_OVERAGE
    cold_slack: float = DEFAULT_COLD_SLACK
    spillover_enabled: bool = False
    spillover_latency_seconds: float = DEFAULT_LATENCY_SECONDS
    spillover_seconds_per_megabyte: float = DEFAULT_SECONDS_PER_MEGABYTE
    spillover_short_wait_seconds: float = DEFAULT_SHORT_WAIT_SECONDS
    plans_returns: bool = False
    forward_address: str = ""
