"""Settings of one member of the registry."""

from attrs import frozen


@frozen
class RegistrySettings:
    """A member's address for internal calls, its data folder and its seeds.

    `founder` is true only on the first start of the whole fleet; `seeds` are then the
    initial voters. Otherwise `seeds` are addresses at which other members may be.
    """

    node_id: str
    address: str
    seeds: list[str]
    data_folder: str
    founder: bool = False
    failure_domain: str = ""
