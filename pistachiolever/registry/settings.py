"""Settings of one member of the registry."""

from attrs import frozen


@frozen
class RegistrySettings:
    """What a member is told: its address for the fleet, and where others may be.

    `founder` is true only when the whole fleet starts for the first time; `seeds`
    are then the members it starts with.
    """

    node_id: str
    address: str
    seeds: list[str]
    data_folder: str
    founder: bool = False
