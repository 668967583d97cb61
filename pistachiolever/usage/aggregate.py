"""Sums of usage, and loads, at one member of the registry, without I/O."""

from random import Random

from attrs import define, field

from pistachiolever.admission.recent_service import DecayingSum
from pistachiolever.quarantine.evidence import EvidenceTable
from pistachiolever.quarantine.models import PartReport
from pistachiolever.streams.table import StreamTable
from pistachiolever.usage.change_log import ChangeLog
from pistachiolever.usage.const import (
    AGENT_EXPIRY_SECONDS,
    ATTACHED_SECONDS,
    EXPIRY_CHECK_SECONDS,
    KEPT_STATES,
    LOAD_EXPIRY_SECONDS,
    MAX_UPDATE_LOADS,
    MIN_AMOUNT,
    ROUTER_EXPIRY_SECONDS,
    ROUTER_REPEAT_SECONDS,
)
from pistachiolever.usage.models import (
    AgentReport,
    MeasuredLoad,
    MemberDigest,
    PackedLoad,
    PackedPace,
    UsageByAccount,
    UsageUpdate,
    pack_pace,
    unpack_load,
    unpack_measured,
)


@define
class AccountSums:
    """Demand and service of an account, in decaying weighted tokens."""

    asked: DecayingSum = field(factory=DecayingSum)
    got: DecayingSum = field(factory=DecayingSum)

    def add(self, asked: float, got: float, now: float) -> None:
        """Add amounts, which may be negative."""
        self.asked.add(asked, now)
        self.got.add(got, now)

    def values(self, now: float) -> tuple[float, float]:
        """Return the decayed sums."""
        return (self.asked.value_at(now), self.got.value_at(now))

    def is_negligible(self, now: float) -> bool:
        """Return whether both sums have decayed to almost nothing."""
        return max(self.values(now)) < MIN_AMOUNT


@define
class AttachedAgent:
    """An agent that reports to this member, since `attached_at`."""

    attached_at: float
    seen_at: float
    sums_by_account: dict[str, AccountSums] = field(factory=dict)


@define
class RemoteMember:
    """What the digests of another member have told; `sequence` is the newest one."""

    life: str
    domain: str = ""
    sequence: int = -1
    sums_by_account: dict[str, AccountSums] = field(factory=dict)


@define
class UsageAggregate:
    """The sums of one member: over its own agents, and over the whole fleet.

    `number` identifies the published state; what comes in belongs to the next one.
    `streams` are those that own agents reported; they are told only when asked for.
    """

    member: str
    life: str
    domain: str = ""
    number: int = 0
    agent_by_address: dict[str, AttachedAgent] = field(factory=dict)
    remote_by_member: dict[str, RemoteMember] = field(factory=dict)
    own_sums: ChangeLog[str, AccountSums] = field(factory=ChangeLog)
    own_loads: ChangeLog[str, MeasuredLoad] = field(factory=ChangeLog)
    own_seen_loads: ChangeLog[str, MeasuredLoad] = field(factory=ChangeLog)
    own_routers: ChangeLog[str, float] = field(factory=ChangeLog)
    changed_accounts: ChangeLog[str, None] = field(factory=ChangeLog)
    loads: ChangeLog[str, MeasuredLoad] = field(factory=ChangeLog)
    seen_loads: ChangeLog[str, MeasuredLoad] = field(factory=ChangeLog)
    router_seen_at: dict[str, float] = field(factory=dict)
    evidence: EvidenceTable = field(factory=EvidenceTable)
    streams: StreamTable = field(factory=StreamTable)
    changed_parts: ChangeLog[str, None] = field(factory=ChangeLog)
    passed_on_parts: ChangeLog[str, None] = field(factory=ChangeLog)
    has_changes: bool = False
    sequence: int = 0
    _update_by_number: dict[int, UsageUpdate] = field(factory=dict)
    _expired_at: float = float("-inf")

    # Input.

    def handle_report(self, report: AgentReport, now: float) -> list[str]:
        """Apply the report of an agent; return the keys of streams that are news."""
        agent = self.agent_by_address.get(report.agent)
        if agent is None:
            agent = self.agent_by_address[report.agent] = AttachedAgent(now, now)
        agent.seen_at = now
        for account_id, (asked, got) in report.uses.items():
            known = agent.sums_by_account.setdefault(account_id, AccountSums())
            known_asked, known_got = known.values(now)
            change = (asked - known_asked, got - known_got)
            known.add(*change, now)
            self._add_to_own(account_id, *change, now)
        if report.load:
            measured = MeasuredLoad(unpack_load(report.load, report.pace), now)
            self.own_loads.set(report.agent, measured, self.number + 1)
            self._set_load(self.loads, report.agent, measured)
        for address, numbers in report.seen_loads.items():
            measured = unpack_measured(numbers, now)
            self.own_seen_loads.set(address, measured, self.number + 1)
            self._set_load(self.seen_loads, address, measured)
        self._merge_parts(report.parts, now, pass_on=True)
        return self.streams.merge(report.streams, now)

    def handle_digest(self, digest: MemberDigest, now: float) -> None:
        """Apply the digest of another member, unless it has applied a newer one."""
        remote = self.remote_by_member.get(digest.member)
        if remote is None or remote.life != digest.life:
            for account_id in remote.sums_by_account if remote else ():
                self._mark_changed(account_id)
            remote = self.remote_by_member[digest.member] = RemoteMember(digest.life)
        if digest.sequence <= remote.sequence:
            return
        remote.sequence, remote.domain = digest.sequence, digest.domain
        for account_id, (asked, got) in digest.uses.items():
            sums = AccountSums(DecayingSum(asked, now), DecayingSum(got, now))
            remote.sums_by_account[account_id] = sums
            self._mark_changed(account_id)
        for address, numbers in digest.loads.items():
            measured = unpack_measured(numbers, now, digest.paces.get(address))
            self._set_load(self.loads, address, measured)
        for address, numbers in digest.seen_loads.items():
            self._set_load(self.seen_loads, address, unpack_measured(numbers, now))
        for address, age_ms in digest.attached.items():
            self._detach_if_older(address, now - age_ms / 1000, now)
        for router_id in digest.routers:
            self.router_seen_at[router_id] = now
        # Members without room for all parts would otherwise exchange them for ever.
        self._merge_parts(digest.parts, now, pass_on=not self.evidence.is_full())

    def record_router(self, router_id: str, now: float) -> None:
        """Record that a router watches this member."""
        self.router_seen_at[router_id] = now
        told_at = self.own_routers.get(router_id)
        if told_at is None or now - told_at > ROUTER_REPEAT_SECONDS:
            self.own_routers.set(router_id, now, self.number + 1)
            self.has_changes = True

    # Output.

    def publish(self, now: float) -> bool:
        """Close the current state; return whether it differs from the last one."""
        self._expire(now)
        if not self.has_changes:
            return False
        self.has_changes = False
        self._update_by_number.clear()
        self.number += 1
        return True

    def digest_since(self, number: int, now: float) -> MemberDigest:
        """Return what has changed here since a published state."""
        self.sequence += 1
        loads = self.own_loads.since(number)
        return MemberDigest(
            self.member,
            self.life,
            self.sequence,
            self.domain,
            {
                account_id: _rounded(sums.values(now))
                for account_id, sums in self.own_sums.since(number)
            },
            _pack_all(loads, now),
            _pack_all(self.own_seen_loads.since(number), now),
            {
                address: round((now - agent.attached_at) * 1000)
                for address, agent in self.agent_by_address.items()
                if now - agent.attached_at < ATTACHED_SECONDS
            },
            [router_id for router_id, _ in self.own_routers.since(number)],
            self._pack_parts(self.passed_on_parts.since(number), now),
            _pack_paces(loads),
        )

    def update_since(self, number: int, now: float, rng: Random) -> UsageUpdate:
        """Return what has changed in the whole fleet since a published state.

        At most MAX_UPDATE_LOADS of the changed loads, drawn at random. Routers that
        know the same state get the same update until the next state is published.
        """
        update = self._update_by_number.get(number)
        if update is None:
            update = self._make_update(number, now, rng)
            self._update_by_number[number] = update
        return update

    def _make_update(self, number: int, now: float, rng: Random) -> UsageUpdate:
        """Return a new update."""
        uses: UsageByAccount = {
            account_id: _rounded(self.usage(account_id, now))
            for account_id, _ in self.changed_accounts.since(number)
        }
        loads, seen_loads = self.loads.since(number), self.seen_loads.since(number)
        if len(loads) > MAX_UPDATE_LOADS:
            loads = rng.sample(loads, MAX_UPDATE_LOADS)
        if len(seen_loads) > MAX_UPDATE_LOADS:
            seen_loads = rng.sample(seen_loads, MAX_UPDATE_LOADS)
        return UsageUpdate(
            self.number,
            uses,
            _pack_all(loads, now),
            _pack_all(seen_loads, now),
            self._pack_parts(self.changed_parts.since(number), now),
            _pack_paces(loads),
        )

    def usage(self, account_id: str, now: float) -> tuple[float, float]:
        """Return demand and service of an account over the whole fleet."""
        own = self.own_sums.get(account_id)
        parts = [own.values(now)] if own is not None else []
        for remote in self.remote_by_member.values():
            sums = remote.sums_by_account.get(account_id)
            if sums is not None:
                parts.append(sums.values(now))
        return (sum(asked for asked, _ in parts), sum(got for _, got in parts))

    def router_count(self, now: float) -> int:
        """Return the number of routers that some member has heard of recently."""
        limit = now - ROUTER_EXPIRY_SECONDS
        return sum(seen_at >= limit for seen_at in self.router_seen_at.values())

    def domain_of(self, member: str) -> str:
        """Return the failure domain of a member; empty if unknown."""
        if member == self.member:
            return self.domain
        remote = self.remote_by_member.get(member)
        return remote.domain if remote else ""

    # Changes.

    def _merge_parts(
        self, reports: dict[str, PartReport], now: float, pass_on: bool
    ) -> None:
        """Add evidence on parts of prompts, and pass it on to the other members."""
        for part_id in self.evidence.merge(reports, now):
            self.changed_parts.set(part_id, None, self.number + 1)
            if pass_on:
                self.passed_on_parts.set(part_id, None, self.number + 1)
            self.has_changes = True

    def _pack_parts(
        self, changes: list[tuple[str, None]], now: float
    ) -> dict[str, PartReport]:
        """Return the evidence on parts that have changed."""
        records = self.evidence.record_by_part
        return {
            part_id: records[part_id].pack(now)
            for part_id, _ in changes
            if part_id in records
        }

    def _add_to_own(
        self, account_id: str, asked: float, got: float, now: float
    ) -> None:
        """Add to the sums over this member's agents."""
        sums = self.own_sums.get(account_id) or AccountSums()
        sums.add(asked, got, now)
        self.own_sums.set(account_id, sums, self.number + 1)
        self._mark_changed(account_id)

    def _mark_changed(self, account_id: str) -> None:
        """Record that the fleet-wide sums of an account have changed."""
        self.changed_accounts.set(account_id, None, self.number + 1)
        self.has_changes = True

    def _set_load(
        self, loads: ChangeLog[str, MeasuredLoad], address: str, measured: MeasuredLoad
    ) -> None:
        """Set the load of an endpoint, unless a newer one is known."""
        known = loads.get(address)
        if known is None or measured.at > known.at:
            loads.set(address, measured, self.number + 1)
            self.has_changes = True

    def _detach_if_older(self, address: str, attached_at: float, now: float) -> None:
        """Take back what an agent reported here before it went to another member."""
        agent = self.agent_by_address.get(address)
        if agent is None or agent.attached_at >= attached_at:
            return
        del self.agent_by_address[address]
        self.own_loads.remove(address)
        for account_id, sums in agent.sums_by_account.items():
            asked, got = sums.values(now)
            self._add_to_own(account_id, -asked, -got, now)

    def _expire(self, now: float) -> None:
        """Forget silent agents and routers, and amounts that have decayed."""
        if now - self._expired_at < EXPIRY_CHECK_SECONDS:
            return
        self._expired_at = now
        self._expire_agents(now)
        self._expire_amounts(now)
        self.evidence.expire(now)
        for parts in (self.changed_parts, self.passed_on_parts):
            for part_id in list(parts.entry_by_key):
                if part_id not in self.evidence.record_by_part:
                    parts.remove(part_id)
        for router_id, seen_at in list(self.router_seen_at.items()):
            if now - seen_at > ROUTER_EXPIRY_SECONDS:
                del self.router_seen_at[router_id]
                self.own_routers.remove(router_id)

    def _expire_agents(self, now: float) -> None:
        """Forget silent agents; what they reported decays in the sums."""
        for address, agent in list(self.agent_by_address.items()):
            if now - agent.seen_at > AGENT_EXPIRY_SECONDS:
                del self.agent_by_address[address]
                self.own_loads.remove(address)
            else:
                _drop_negligible(agent.sums_by_account, now)
        for loads in (self.loads, self.seen_loads, self.own_seen_loads):
            for address, (_, measured) in list(loads.entry_by_key.items()):
                if now - measured.at > LOAD_EXPIRY_SECONDS:
                    loads.remove(address)

    def _expire_amounts(self, now: float) -> None:
        """Forget amounts that have decayed, once everybody has been told of them."""
        for remote in self.remote_by_member.values():
            _drop_negligible(remote.sums_by_account, now)
        oldest = self.number - KEPT_STATES
        for account_id, (set_in, sums) in list(self.own_sums.entry_by_key.items()):
            if set_in < oldest and sums.is_negligible(now):
                self.own_sums.remove(account_id)
        for account_id, (set_in, _) in list(self.changed_accounts.entry_by_key.items()):
            if set_in < oldest and max(self.usage(account_id, now)) < MIN_AMOUNT:
                self.changed_accounts.remove(account_id)


def _drop_negligible(sums_by_account: dict[str, AccountSums], now: float) -> None:
    """Remove accounts whose sums have decayed."""
    for account_id, sums in list(sums_by_account.items()):
        if sums.is_negligible(now):
            del sums_by_account[account_id]


def _pack_all(
    loads: list[tuple[str, MeasuredLoad]], now: float
) -> dict[str, PackedLoad]:
    """Return loads in the form in which they are sent."""
    return {address: measured.pack(now) for address, measured in loads}


def _pack_paces(loads: list[tuple[str, MeasuredLoad]]) -> dict[str, PackedPace]:
    """Return the paces that are known of some loads, in the form that is sent."""
    paces = ((address, pack_pace(measured.load)) for address, measured in loads)
    return {address: pace for address, pace in paces if pace}


def _rounded(values: tuple[float, float]) -> tuple[int, int]:
    """Return two sums as whole weighted tokens."""
    return (round(values[0]), round(values[1]))
