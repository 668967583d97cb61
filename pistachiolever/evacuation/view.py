"""Decides which orders of evacuation are in force at a router, without I/O."""

from attrs import define

from pistachiolever.evacuation.models import EvacuationChange, EvacuationOrders


@define
class EvacuationView:
    """The newest orders that a router has received.

    Members of control may send them late or repeated, so only the revision decides.
    """

    orders: EvacuationOrders = EvacuationOrders(-1)
    domains: frozenset[str] = frozenset()

    def apply(self, orders: EvacuationOrders) -> EvacuationChange | None:
        """Put newer orders in force; return the change, None if they are not newer."""
        if orders.revision <= self.orders.revision:
            return None
        known, self.domains = self.domains, frozenset(orders.domains)
        self.orders = orders
        return EvacuationChange(self.domains - known, known - self.domains)

    def covers(self, domain: str) -> bool:
        """Return whether endpoints of a failure domain get no requests."""
        return domain in self.domains
