"""Orders to evacuate failure domains."""

from attrs import field, frozen


@frozen
class EvacuationOrders:
    """The failure domains whose endpoints get no requests.

    `revision` increases with each change of the set; it is -1 if no set is known.
    """

    revision: int = 0
    domains: list[str] = field(factory=list)

    def with_domain(self, domain: str) -> "EvacuationOrders":
        """Return the orders with one domain more; the same ones if it is there."""
        if domain in self.domains:
            return self
        return EvacuationOrders(self.revision + 1, sorted([*self.domains, domain]))

    def without_domain(self, domain: str) -> "EvacuationOrders":
        """Return the orders without a domain; the same ones if it is not there."""
        if domain not in self.domains:
            return self
        rest = [known for known in self.domains if known != domain]
        return EvacuationOrders(self.revision + 1, rest)


@frozen
class EvacuationChange:
    """The domains whose evacuation started or ended with a set of orders."""

    started: frozenset[str]
    ended: frozenset[str]
