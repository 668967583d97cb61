"""Tunable parameters of placement, which experiments vary."""

from attrs import frozen


@frozen
class PlacementPolicy:
    """Weights and limits of placement: fractions of a target and numbers of bids."""

    # Cost of prefilling a shared prompt again, as a multiple of the time it takes and
    # added to that time: the calm value while no engine has queued requests, the busy
    # one while all have.
    calm_reread_weight: float = 1.0
    busy_reread_weight: float = 20.0
    # Endpoints that may refuse a request before it is refused to the caller.
    most_bids: int = 3
    # The same for a request of an account over its fair share.
    beyond_bids: int = 1
    # After a refusal, only endpoints with an expected wait below this fraction of the
    # target are tried.
    idle_share: float = 0.6
    # A bid that is undecided after this fraction of the target is withdrawn, and the
    # endpoints are ranked anew.
    rebid_share: float = 0.25
