"""Settings of a pass-through router."""

from attrs import frozen


@frozen
class GatewaySettings:
    """What a router is told: its addresses and what the operators allow.

    `retry_ratio`, `retry_window_seconds` and `retry_slack` bound repeats over all
    routers; `grace_seconds` is the time between the order to stop and the end.
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
