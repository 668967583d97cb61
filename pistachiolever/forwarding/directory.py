"""The routers that watch a member, by their failure domains, without I/O."""

from random import Random

from attrs import define, field

from pistachiolever.forwarding.const import MAX_SIBLINGS, SIBLING_EXPIRY_SECONDS


@define
class SiblingDirectory:
    """Where routers take forwarded connections, with the times of their last calls."""

    seen_at_by_domain: dict[str, dict[str, float]] = field(factory=dict)

    def record(self, domain: str, address: str, now: float) -> None:
        """Record that a router watches."""
        self.seen_at_by_domain.setdefault(domain, {})[address] = now

    def find(self, domain: str, now: float, rng: Random) -> list[str]:
        """Return the addresses of a failure domain, MAX_SIBLINGS random ones at most.

        Those that have not called for long are forgotten.
        """
        seen_at = self.seen_at_by_domain.get(domain, {})
        for address, at in list(seen_at.items()):
            if now - at > SIBLING_EXPIRY_SECONDS:
                del seen_at[address]
        addresses = list(seen_at)
        if len(addresses) > MAX_SIBLINGS:
            return rng.sample(addresses, MAX_SIBLINGS)
        return addresses
