"""Messages, bytes and processor time of the control traffic, by number of processes.

Runs the modules that decide, in memory: half of the processes are routers with a
constant number of requests a second each, half are agents; five members sum up. Usage:
`python -m benchmarks.scale [PROCESSES ...]`.
"""

import sys
from collections.abc import Callable
from random import Random
from time import perf_counter
from typing import Final, TypeVar

from attrs import define, evolve, field

from pistachiolever.admission.models import Bid, Load, PromptPart
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.routing.models import ProxyConfiguration
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.const import PUBLISH_SECONDS
from pistachiolever.usage.models import AgentReport, MemberDigest, UsageUpdate
from pistachiolever.usage.reporter import UsageReporter
from pistachiolever.wire.codec import decode, encode

SIZES: Final = (30, 100, 300, 1000)
SECONDS: Final = 5.0
MEMBERS: Final = 5
REQUESTS_PER_SECOND: Final = 6.0
ACCOUNTS: Final = 60
SERVICE: Final = "model"
# Head of a call and of its reply, counted from the codec.
CALL_BYTES: Final = 230

T = TypeVar("T")


@define
class Cost:
    """Messages, their bytes and the processor seconds of one kind."""

    messages: int = 0
    size: int = 0
    seconds: float = 0.0

    def send(self, message: object, as_type: type[T]) -> T:
        """Encode and decode a message; count it."""
        started_at = perf_counter()
        data = encode(message)
        received = decode(data, as_type)
        self.messages += 1
        self.size += len(data) + CALL_BYTES
        self.seconds += perf_counter() - started_at
        return received

    def run(self, function: Callable[[], T]) -> T:
        """Run a function; count its time."""
        started_at = perf_counter()
        result = function()
        self.seconds += perf_counter() - started_at
        return result


@define
class ScaledFleet:
    """Routers, agents and members that exchange usage and loads in memory."""

    processes: int
    rng: Random = field(factory=lambda: Random(1))
    now: float = 100.0
    cost_by_kind: dict[str, Cost] = field(factory=dict)
    services: list[RecentService] = field(factory=list)
    reporters: list[UsageReporter] = field(factory=list)
    members: list[UsageAggregate] = field(factory=list)
    routers: list[FleetView] = field(factory=list)
    told: dict[int, int] = field(factory=dict)
    accepted: dict[tuple[int, int], int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create all processes."""
        agents = self.processes // 2
        for number in range(agents):
            service = RecentService()
            self.services.append(service)
            self.reporters.append(
                UsageReporter(f"10.{number}:7000", service, self._random_load)
            )
        self.members = [UsageAggregate(f"m{n}", str(n)) for n in range(MEMBERS)]
        announcements = [
            Announcement(
                f"e{n}",
                1,
                1,
                EndpointState.READY,
                SERVICE,
                f"10.{n}:80",
                "z",
                12,
                agent=f"10.{n}:7000",
            )
            for n in range(agents)
        ]
        for number in range(self.processes - agents):
            self.routers.append(self._make_router(f"r{number}", announcements))

    def _make_router(self, name: str, announcements: list[Announcement]) -> FleetView:
        """Return a router that knows all endpoints."""
        router = FleetView(
            GatewaySettings(name, "z", "", "", "", 8.0, 0.2, 10.0, 50.0),
            _no_configuration,
            PeerClient(),
            EventLogger(name, lambda: 0, lambda _: None),
            Random(name),
            lambda: self.now,
        )
        router.apply_announcements(announcements)
        return router

    def _random_load(self, now: float) -> Load:
        """Return a load that changes all the time."""
        unread = self.rng.randrange(12_000)
        running = self.rng.randrange(13)
        return Load(unread, 0, 0, running, 12, 200_000, 50_000)

    def cost(self, kind: str) -> Cost:
        """Return the cost of a kind of message."""
        return self.cost_by_kind.setdefault(kind, Cost())

    def run(self) -> None:
        """Run for SECONDS."""
        ends_at = self.now + SECONDS
        while self.now < ends_at:
            self.now += PUBLISH_SECONDS
            self._place_requests()
            self._report()
            self._publish()

    def _place_requests(self) -> None:
        """Place the requests of a step, and charge them at the chosen endpoints."""
        for router in self.routers:
            for _ in range(round(REQUESTS_PER_SECOND * PUBLISH_SECONDS)):
                part = PromptPart(f"p{self.rng.randrange(500)}", 5000)
                parts = [part, PromptPart("own", 7000)]
                cost = self.cost("router: placement")
                cost.messages += 1
                chosen = cost.run(lambda r=router, p=parts: _place(r, p))  # type: ignore[misc]
                account = f"account{self.rng.randrange(ACCOUNTS)}"
                bid = evolve(BID, account_id=account, parts=parts)
                service = self.services[int(chosen[1:])]
                service.record_demand(bid, 12_000, self.now)
                service.charge(bid, 12_000, self.now)

    def _report(self) -> None:
        """Let the agents report."""
        for number, reporter in enumerate(self.reporters):
            cost = self.cost("agent: report")
            report = cost.run(lambda r=reporter: r.next_report(self.now))  # type: ignore[misc]
            if report is None:
                continue
            received = cost.send(report, AgentReport)
            member = self.members[number % MEMBERS]
            self.cost("member: reports of agents").run(
                lambda m=member, r=received: m.handle_report(r, self.now)  # type: ignore[misc]
            )
            reporter.handle_reply(report, member.life, self.now)

    def _publish(self) -> None:
        """Let the members publish to each other and to the routers."""
        for member in self.members:
            self.cost("member: digests").run(lambda m=member: m.publish(self.now))  # type: ignore[misc]
        for sender, member in enumerate(self.members):
            for receiver, peer in enumerate(self.members):
                if sender == receiver:
                    continue
                cost = self.cost("member: digests")
                known = self.accepted.get((sender, receiver), -1)
                digest = cost.run(
                    lambda m=member, k=known: m.digest_since(k, self.now)  # type: ignore[misc]
                )
                received = cost.send(digest, MemberDigest)
                cost.run(lambda p=peer, d=received: p.handle_digest(d, self.now))  # type: ignore[misc]
                self.accepted[(sender, receiver)] = member.number
        for number, router in enumerate(self.routers):
            member = self.members[number % MEMBERS]
            cost = self.cost("router: updates")
            update = self.cost("member: updates").run(
                lambda m=member, n=number: m.update_since(  # type: ignore[misc]
                    self.told.get(n, -1), self.now, self.rng
                )
            )
            self.told[number] = update.number
            told = cost.send(update, UsageUpdate)
            cost.run(lambda r=router, u=told: r.apply_usage(u))  # type: ignore[misc]

    def print_costs(self) -> None:
        """Print each kind per process of its role and second."""
        count_by_role = {
            "router": len(self.routers),
            "agent": len(self.reporters),
            "member": MEMBERS,
        }
        for kind, cost in sorted(self.cost_by_kind.items()):
            share = SECONDS * count_by_role[kind.split(":")[0]]
            print(
                f"| {self.processes} | {kind} | {cost.messages / share:.1f} | "
                f"{cost.size / share / 1000:.2f} | {100 * cost.seconds / share:.3f} |"
            )


BID: Final = Bid("b", "r", "account", "plan", 1, 1.0, 12.0, 12_000, 400)


def _place(router: FleetView, parts: list[PromptPart]) -> str:
    """Return the endpoint for a prompt."""
    index, now = router.index(SERVICE), router.now()
    plan = router.placement.plan("m", 12_000, parts, index, now)
    found = router.selection.candidates(SERVICE, set(), plan.shared_part_id)
    return router.placement.rank(plan, found, now)[0].endpoint.endpoint_id


def _no_configuration(document: bytes) -> ProxyConfiguration:
    """Raise an error: the benchmark has no configuration."""
    raise NotImplementedError


def main(sizes: list[int]) -> None:
    """Print a table for all sizes."""
    print("| processes | kind | messages/s | kB/s | % of a core |")
    print("| --- | --- | --- | --- | --- |")
    for size in sizes:
        fleet = ScaledFleet(size)
        fleet.run()
        fleet.print_costs()


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or list(SIZES))
