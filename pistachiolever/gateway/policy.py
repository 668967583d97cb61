"""What the choice of an endpoint weighs, as settings that experiments vary."""

from attrs import frozen


@frozen
class PlacementPolicy:
    """Weights and bounds of the choice; parts of a target, numbers of bids.

    The values were found by experiments on the emulator and by days on the users'
    bench; docs/MEASUREMENTS.md has the figures.
    """

    # What reading a shared prompt again weighs against the wait it makes, while no
    # engine has work that waits and while all have.
    calm_reread_weight: float = 1.0
    busy_reread_weight: float = 20.0
    # Endpoints that are asked for room before a request is refused.
    most_bids: int = 3
    # The same for a request of an account that had its fair share.
    beyond_bids: int = 1
    # After a refusal only endpoints are asked whose work is done within this part of
    # the target.
    idle_share: float = 0.6
    # A bid is asked again elsewhere once so much of its target has passed.
    rebid_share: float = 0.25
