"""Messages that carry usage and loads between agents, members and routers.

All amounts are current values, not differences: a message that is lost, repeated or
late is replaced by the next one.
"""

from attrs import field, frozen

from pistachiolever.admission.models import Load

# Demand and service of accounts in decaying weighted tokens.
UsageByAccount = dict[str, tuple[int, int]]
# The numbers of a load, see `pack_load`.
PackedLoad = list[int]


@frozen
class AgentReport:
    """What has changed at an agent since its last report.

    `life` is the incarnation of the member that has the earlier reports; empty if the
    report is complete. `agent` is the agent's address.
    """

    agent: str
    life: str = ""
    load: PackedLoad = field(factory=list)
    uses: UsageByAccount = field(factory=dict)


@frozen
class MemberDigest:
    """What has changed at a member since the last digest that a peer accepted.

    `uses` are sums over the agents that report to this member. `loads` are by agent,
    each preceded by its age in milliseconds. `attached` are agents that began to report
    here, with the milliseconds since then. `routers` are the watching routers.
    """

    member: str
    life: str
    sequence: int
    domain: str = ""
    uses: UsageByAccount = field(factory=dict)
    loads: dict[str, PackedLoad] = field(factory=dict)
    attached: dict[str, int] = field(factory=dict)
    routers: list[str] = field(factory=list)


@frozen
class DigestReply:
    """The incarnation of the member that accepted a digest."""

    life: str


@frozen
class UsageUpdate:
    """What has changed in the fleet-wide sums; `number` identifies the state."""

    number: int = 0
    uses: UsageByAccount = field(factory=dict)
    loads: dict[str, PackedLoad] = field(factory=dict)


def pack_load(load: Load) -> PackedLoad:
    """Return the numbers of a load."""
    return [
        round(load.unread_tokens),
        round(load.queued_tokens),
        load.waiting,
        load.running,
        load.slots,
        round(load.free_memory_tokens),
        round(load.speed),
    ]


def unpack_load(numbers: PackedLoad) -> Load:
    """Return the load with these numbers; raise TypeError if there are too many."""
    return Load(*numbers)
