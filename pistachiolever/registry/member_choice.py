"""Chooses the registry members that a process talks to, without I/O."""

from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field

from pistachiolever.registry.const import (
    MAX_MEMBER_RETRY_SECONDS,
    MEMBER_RETRY_SECONDS,
)
from pistachiolever.registry.models import MemberInfo


@define
class MemberFailures:
    """The failures of a member since its last reply, and when to try it again."""

    count: int = 0
    retry_at: float = 0.0


@define
class MemberChoice:
    """The known members in the order in which this process prefers them.

    Members of the own failure domain come first; among equals the order depends on the
    process, so that processes spread evenly over the members. `behind` are members that
    reported no contact with a quorum.
    """

    process_id: str
    failure_domain: str
    seeds: Callable[[], list[str]]
    members: list[MemberInfo] = field(factory=list)
    behind: set[str] = field(factory=set)
    failures_by_address: dict[str, MemberFailures] = field(factory=dict)

    def addresses(self) -> list[str]:
        """Return the addresses of all members, of the seeds if none is known."""
        return [member.address for member in self.members] or list(self.seeds())

    def choose(self, count: int, now: float) -> list[str]:
        """Return the addresses of the preferred members, the best one first.

        The seeds are added if no member is known or none responds.
        """
        addresses = [member.address for member in self.members]
        if not any(self._is_usable(address, now) for address in addresses):
            addresses.extend(seed for seed in self.seeds() if seed not in addresses)
        domain_by_address = {member.address: member.domain for member in self.members}

        def preference(address: str) -> tuple[float, bool, bool, bytes]:
            failures = self.failures_by_address.get(address)
            retry_at = failures.retry_at if failures else 0.0
            return (
                retry_at if retry_at > now else 0.0,
                address in self.behind,
                domain_by_address.get(address) != self.failure_domain,
                self._score(address),
            )

        return sorted(addresses, key=preference)[:count]

    def record_reply(self, address: str, is_behind: bool) -> bool:
        """Record a reply of a member; return whether it had failed before."""
        (self.behind.add if is_behind else self.behind.discard)(address)
        return self.failures_by_address.pop(address, None) is not None

    def record_failure(self, address: str, now: float) -> bool:
        """Record that a member did not reply; return whether it is the first time."""
        failures = self.failures_by_address.setdefault(address, MemberFailures())
        pause = MEMBER_RETRY_SECONDS * 2**failures.count
        failures.retry_at = now + min(pause, MAX_MEMBER_RETRY_SECONDS)
        failures.count = min(failures.count + 1, 10)
        return failures.count == 1

    def update_members(self, members: list[MemberInfo]) -> None:
        """Apply the members that a reply names, and forget what is known of others."""
        self.members = members
        known = {member.address for member in members} | set(self.seeds())
        self.behind &= known
        for address in self.failures_by_address.keys() - known:
            del self.failures_by_address[address]

    def _is_usable(self, address: str, now: float) -> bool:
        """Return whether the last call to a member did not fail, or it is due again."""
        failures = self.failures_by_address.get(address)
        return failures is None or failures.retry_at <= now

    def _score(self, address: str) -> bytes:
        """Return the place of a member among equal ones for this process."""
        text = f"{self.process_id}/{address}"
        return blake2b(text.encode(), digest_size=8).digest()
