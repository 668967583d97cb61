"""Messages that carry usage and loads between agents, members and routers.

All amounts are current values, not differences: a message that is lost, repeated or
late is replaced by the next one.
"""

from typing import Any, Final

from attrs import evolve, field, frozen

from pistachiolever.admission.models import Load
from pistachiolever.quarantine.models import PartReport
from pistachiolever.streams.models import StreamReport

# Demand and service of accounts in decaying weighted tokens.
UsageByAccount = dict[str, tuple[int, int]]
# The numbers of a load, see `pack_load`.
PackedLoad = list[int]
# Its lasting prefill rate and its slowdown in percent, 0 if unknown; see `pack_pace`.
PackedPace = list[int]
PACE_NUMBERS: Final = 2
_LOAD_FIELDS: Final = (
    "unread_tokens",
    "queued_tokens",
    "waiting",
    "running",
    "slots",
    "free_memory_tokens",
    "speed",
)


@frozen
class AgentReport:
    """What has changed at an agent, or at a router, since its last report.

    `life` is the incarnation of the member that has the earlier reports; empty if the
    report is complete. `agent` is the agent's address, or the router's id. A router
    reports what it decides itself for endpoints without an agent, and in `seen_loads`
    what these endpoints told of themselves, by the agent's address. `parts` is a
    router's evidence on parts of prompts, `streams` those that began under grants of
    the agent, or of the router. `pace` belongs to the `load`.
    """

    agent: str
    life: str = ""
    load: PackedLoad = field(factory=list)
    uses: UsageByAccount = field(factory=dict)
    seen_loads: dict[str, PackedLoad] = field(factory=dict)
    parts: dict[str, PartReport] = field(factory=dict)
    streams: dict[str, StreamReport] = field(factory=dict)
    pace: PackedPace = field(factory=list)


@frozen
class MemberDigest:
    """What has changed at a member since the last digest that a peer accepted.

    `uses` are sums over the agents that report to this member. `loads` are by agent,
    each preceded by its age in milliseconds, `seen_loads` likewise. `attached` are
    agents that began to report here, with the milliseconds since then. `routers` are
    the watching routers, `parts` the evidence on parts of prompts, of all routers.
    `paces` belong to the `loads`.
    """

    member: str
    life: str
    sequence: int
    domain: str = ""
    uses: UsageByAccount = field(factory=dict)
    loads: dict[str, PackedLoad] = field(factory=dict)
    seen_loads: dict[str, PackedLoad] = field(factory=dict)
    attached: dict[str, int] = field(factory=dict)
    routers: list[str] = field(factory=list)
    parts: dict[str, PartReport] = field(factory=dict)
    paces: dict[str, PackedPace] = field(factory=dict)


@frozen
class DigestReply:
    """The incarnation of the member that accepted a digest."""

    life: str


@frozen
class UsageUpdate:
    """What has changed in the fleet-wide sums; `number` identifies the state.

    If many loads have changed, it has a random part of them. `parts` is the evidence on
    parts of prompts. `paces` belong to the `loads`.
    """

    number: int = 0
    uses: UsageByAccount = field(factory=dict)
    loads: dict[str, PackedLoad] = field(factory=dict)
    seen_loads: dict[str, PackedLoad] = field(factory=dict)
    parts: dict[str, PartReport] = field(factory=dict)
    paces: dict[str, PackedPace] = field(factory=dict)


def pack_load(load: Load) -> PackedLoad:
    """Return the numbers of a load.

    The wait for the rate of an endpoint is added to its queue: processes of earlier
    versions read no further number.
    """
    return [
        round(load.unread_tokens),
        round(load.queued_tokens + load.limit_seconds * load.speed),
        load.waiting,
        load.running,
        load.slots,
        round(load.free_memory_tokens),
        round(load.speed),
    ]


def pack_pace(load: Load) -> PackedPace:
    """Return the lasting prefill rate and the slowdown; empty if neither is known.

    They travel beside the numbers of the load, since processes of earlier versions
    fail on a list with more numbers, and ignore unknown fields.
    """
    if not (load.prefill_rate or load.tells_slowdown):
        return []
    percent = max(1, round(load.slowdown * 100)) if load.tells_slowdown else 0
    return [round(load.prefill_rate), percent]


def unpack_load(numbers: PackedLoad, pace: PackedPace) -> Load:
    """Return the load with these numbers and this pace.

    Processes of earlier versions send no pace, and may send fewer numbers.
    """
    fields: dict[str, Any] = dict(zip(_LOAD_FIELDS, numbers, strict=False))
    load = Load(**fields)
    if len(pace) < PACE_NUMBERS:
        return load
    rate, percent = pace[:PACE_NUMBERS]
    load = evolve(load, prefill_rate=rate)
    if not percent:
        return load
    return evolve(load, slowdown=percent / 100, tells_slowdown=True)


@frozen
class MeasuredLoad:
    """The load of an endpoint at a time, in seconds."""

    load: Load
    at: float

    def pack(self, now: float) -> PackedLoad:
        """Return the age in milliseconds and the numbers of the load."""
        return [round((now - self.at) * 1000), *pack_load(self.load)]


def unpack_measured(
    numbers: PackedLoad, now: float, pace: PackedPace | None = None
) -> MeasuredLoad:
    """Return a load from its age in milliseconds, its numbers and its pace."""
    return MeasuredLoad(unpack_load(numbers[1:], pace or []), now - numbers[0] / 1000)
