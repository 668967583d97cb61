"""Sums of usage at the members of a registry, without network."""

from random import Random

from attrs import define, field
from nose2.tools import params

from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.const import AGENT_EXPIRY_SECONDS
from pistachiolever.usage.models import AgentReport, MemberDigest, pack_load
from pistachiolever.usage.reporter import UsageReporter, is_load_changed
from tests.admission.test_core import bid
from tests.support.cases import CaseTest

LOAD = Load(0.0, 0.0, 0, 1, 12, 1000.0, 50_000.0)
STEP_SECONDS = 0.25


def report(agent: str, **uses: tuple[int, int]) -> AgentReport:
    """Return a complete report of an agent."""
    return AgentReport(agent, "", pack_load(LOAD), uses)


class AggregateTest(CaseTest):
    """One member hears agents and another member."""

    def test_sums_agents_and_members(self) -> None:
        here = UsageAggregate("m1", "1")
        here.handle_report(report("a1", hot=(100, 40)), 1.0)
        here.handle_report(report("a2", hot=(10, 5)), 1.0)
        digest = MemberDigest("m2", "9", 1, uses={"hot": (1000, 500)})
        here.handle_digest(digest, 1.0)
        self.assertEqual(here.usage("hot", 1.0), (1110, 545))

    # A reply that got lost makes an agent send a report again.
    def test_repeated_report_counts_once(self) -> None:
        here = UsageAggregate("m1", "1")
        for _ in range(3):
            here.handle_report(report("a1", hot=(100, 40)), 1.0)
        self.assertEqual(here.usage("hot", 1.0), (100, 40))

    def test_late_digest_is_ignored(self) -> None:
        here = UsageAggregate("m1", "1")
        here.handle_digest(MemberDigest("m2", "9", 5, uses={"hot": (9, 9)}), 1.0)
        here.handle_digest(MemberDigest("m2", "9", 4, uses={"hot": (1, 1)}), 1.0)
        self.assertEqual(here.usage("hot", 1.0), (9, 9))

    def test_restarted_member_starts_anew(self) -> None:
        here = UsageAggregate("m1", "1")
        here.handle_digest(MemberDigest("m2", "9", 5, uses={"hot": (9, 9)}), 1.0)
        here.handle_digest(MemberDigest("m2", "10", 1), 1.0)
        self.assertEqual(here.usage("hot", 1.0), (0, 0))

    # An agent that goes to another member would be counted at both.
    def test_agent_that_moved_counts_once(self) -> None:
        first, second = UsageAggregate("m1", "1"), UsageAggregate("m2", "2")
        first.handle_report(report("a1", hot=(100, 40)), 1.0)
        second.handle_report(report("a1", hot=(100, 40)), 1.1)
        second.publish(1.2)
        first.handle_digest(second.digest_since(-1, 1.2), 1.2)
        asked, got = first.usage("hot", 1.2)
        self.assertLess(abs(asked - 100), 5)
        self.assertLess(abs(got - 40), 2)

    def test_update_has_only_changes(self) -> None:
        here = UsageAggregate("m1", "1")
        here.handle_report(report("a1", hot=(100, 40), small=(5, 5)), 1.0)
        self.assertTrue(here.publish(1.0))
        known = here.update_since(-1, 1.0, Random(1))
        self.assertEqual(set(known.uses), {"hot", "small"})
        self.assertEqual(set(known.loads), {"a1"})
        here.handle_report(report("a2", hot=(1, 1)), 1.1)
        here.publish(1.1)
        update = here.update_since(known.number, 1.1, Random(1))
        self.assertEqual((set(update.uses), set(update.loads)), ({"hot"}, {"a2"}))
        self.assertFalse(here.publish(1.2))

    def test_newer_load_wins(self) -> None:
        here = UsageAggregate("m1", "1")
        here.handle_report(report("a1"), 1.0)
        old = [500, *pack_load(Load(running=12))]
        here.handle_digest(MemberDigest("m2", "9", 1, loads={"a1": old}), 1.1)
        self.assertEqual(
            here.update_since(-1, 1.1, Random(1)).loads["a1"][1:], pack_load(LOAD)
        )

    def test_routers_of_all_members_are_counted(self) -> None:
        here, there = UsageAggregate("m1", "1"), UsageAggregate("m2", "2")
        here.record_router("r1", 1.0)
        there.record_router("r1", 1.0)
        there.record_router("r2", 1.0)
        there.publish(1.0)
        here.handle_digest(there.digest_since(-1, 1.0), 1.0)
        self.assertEqual(here.router_count(1.0), 2)
        # Out of touch for some seconds, a router still uses its part of the budget.
        self.assertEqual(here.router_count(20.0), 2)
        self.assertEqual(here.router_count(200.0), 0)

    def test_silent_agents_are_forgotten(self) -> None:
        here = UsageAggregate("m1", "1")
        for number in range(100):
            here.handle_report(report(f"a{number}", **{f"c{number}": (9, 9)}), 1.0)
        for second in range(200):
            # Another account changes all the time.
            here.handle_report(report("a", steady=(second, 1)), 2.0 + second)
            here.publish(2.0 + second)
        self.assertGreater(200, AGENT_EXPIRY_SECONDS)
        self.assertEqual(set(here.agent_by_address), {"a"})
        self.assertEqual(set(here.own_sums.entry_by_key), {"steady"})
        self.assertEqual(set(here.changed_accounts.entry_by_key), {"steady"})
        self.assertEqual(set(here.loads.entry_by_key), {"a"})


class ReporterTest(CaseTest):
    """An agent reports what has changed."""

    def setUp(self) -> None:
        """Create an agent's reporter."""
        self.service = RecentService()
        self.reporter = UsageReporter("a1", self.service, lambda now: LOAD)

    def test_only_changes_are_reported(self) -> None:
        self.service.record_demand(bid("b1", "hot"), 10.0, 1.0)
        first = self.reporter.next_report(1.0)
        assert first is not None
        self.assertEqual((first.life, first.uses), ("", {"hot": (10, 0)}))
        self.reporter.handle_reply(first, "m", 1.0)
        self.assertIsNone(self.reporter.next_report(1.1))
        self.assertIsNone(self.reporter.next_report(1.5))
        self.service.record_demand(bid("b2", "small"), 5.0, 1.6)
        second = self.reporter.next_report(1.6)
        assert second is not None
        self.assertEqual((second.life, second.uses), ("m", {"small": (5, 0)}))
        idle = self.reporter.next_report(4.0)
        assert idle is not None
        self.assertEqual(idle.uses, {})

    def test_everything_is_reported_to_a_restarted_member(self) -> None:
        self.service.record_demand(bid("b1", "hot"), 10.0, 1.0)
        first = self.reporter.next_report(1.0)
        assert first is not None
        self.reporter.handle_reply(first, "m", 1.0)
        second = self.reporter.next_report(4.0)
        assert second is not None
        self.reporter.handle_reply(second, "restarted", 4.0)
        third = self.reporter.next_report(4.3)
        assert third is not None
        self.assertEqual((third.life, set(third.uses)), ("", {"hot"}))

    def test_lost_report_is_repeated(self) -> None:
        self.service.record_demand(bid("b1", "hot"), 10.0, 1.0)
        first = self.reporter.next_report(1.0)
        assert first is not None
        self.reporter.handle_failure(first)
        second = self.reporter.next_report(1.3)
        assert second is not None
        self.assertEqual(set(second.uses), {"hot"})

    def test_service_here_is_not_counted_twice(self) -> None:
        granted = bid("b1", "hot")
        self.service.charge(granted, 100.0, 1.0)
        first = self.reporter.next_report(1.0)
        assert first is not None
        self.reporter.handle_reply(first, "m", 1.0)
        self.service.set_total("hot", 300.0, 1.0)
        self.assertEqual(self.service.total("hot", 1.0), 300)

    @params(
        (Load(running=11, slots=12), Load(running=12, slots=12), True),
        (Load(running=3, slots=12), Load(running=4, slots=12), False),
        (Load(running=3, slots=12), Load(running=5, slots=12), True),
        (Load(speed=1e5), Load(unread_tokens=1000, speed=1e5), False),
        (Load(speed=1e5), Load(unread_tokens=9000, speed=1e5), True),
        (Load(slots=9, waiting=0), Load(slots=9, waiting=1), True),
        (Load(free_memory_tokens=100), Load(free_memory_tokens=95), False),
        (Load(free_memory_tokens=100), Load(free_memory_tokens=60), True),
    )
    def test_changed_loads(self, old: Load, new: Load, changed: bool) -> None:
        self.assertIs(is_load_changed(old, new), changed)


@define
class FuzzedFleet:
    """Agents and members whose messages are lost, late, repeated and reordered.

    `true_by_agent` are the amounts that each agent granted, per account, decayed by the
    agents' own sums.
    """

    rng: Random
    services: list[RecentService] = field(factory=list)
    reporters: list[UsageReporter] = field(factory=list)
    members: list[UsageAggregate] = field(factory=list)
    member_of_agent: list[int] = field(factory=list)
    accepted: dict[tuple[int, int], tuple[int, str]] = field(factory=dict)
    late: list[tuple[int, MemberDigest]] = field(factory=list)
    life: int = 0

    def __attrs_post_init__(self) -> None:
        """Create eight agents and three members."""
        for number in range(8):
            service = RecentService()
            self.services.append(service)
            self.reporters.append(
                UsageReporter(f"a{number}", service, lambda now: LOAD)
            )
            self.member_of_agent.append(number % 3)
        for number in range(3):
            self.members.append(self._new_member(number))

    def _new_member(self, number: int) -> UsageAggregate:
        """Return a member that knows nothing."""
        self.life += 1
        return UsageAggregate(f"m{number}", str(self.life))

    def step(self, now: float, trouble: bool) -> None:
        """Let agents report and members exchange digests once."""
        if trouble and self.rng.random() < 0.1:
            number = self.rng.randrange(3)
            self.members[number] = self._new_member(number)
        for number, reporter in enumerate(self.reporters):
            if trouble and self.rng.random() < 0.1:
                self.member_of_agent[number] = self.rng.randrange(3)
                reporter.member_life = ""
            self._report(number, reporter, now, trouble)
        for member in self.members:
            member.publish(now)
        for sender in range(3):
            for receiver in range(3):
                if sender != receiver:
                    self._send_digest(sender, receiver, now, trouble)
        if trouble and self.late and self.rng.random() < 0.3:
            receiver, digest = self.rng.choice(self.late)
            self.members[receiver].handle_digest(digest, now)

    def _report(
        self, number: int, reporter: UsageReporter, now: float, trouble: bool
    ) -> None:
        """Send the report that is due; lose it, or its reply, at times."""
        message = reporter.next_report(now)
        if message is None:
            return
        member = self.members[self.member_of_agent[number]]
        if trouble and self.rng.random() < 0.2:
            reporter.handle_failure(message)
            return
        member.handle_report(message, now)
        if trouble and self.rng.random() < 0.2:
            reporter.handle_failure(message)
            return
        reporter.handle_reply(message, member.life, now)

    def _send_digest(
        self, sender: int, receiver: int, now: float, trouble: bool
    ) -> None:
        """Send a digest; lose it, or its reply, at times."""
        member, peer = self.members[sender], self.members[receiver]
        number, life = self.accepted.get((sender, receiver), (-1, ""))
        number = min(number, member.number) if number >= 0 else -1
        digest = member.digest_since(number, now)
        self.late = [*self.late[-20:], (receiver, digest)]
        if trouble and self.rng.random() < 0.2:
            return
        peer.handle_digest(digest, now)
        if trouble and self.rng.random() < 0.2:
            return
        is_complete = number < 0 or life == peer.life
        accepted = member.number if is_complete else -1
        self.accepted[(sender, receiver)] = (accepted, peer.life)

    def true_service(self, account_id: str, now: float) -> float:
        """Return what all agents together granted to an account."""
        return sum(service.local(account_id, now) for service in self.services)


class FuzzTest(CaseTest):
    """After trouble all members have the right sums again."""

    @params(*range(12))
    def test_sums_are_right_within_a_second_of_calm(self, seed: int) -> None:
        rng = Random(seed)
        fleet = FuzzedFleet(rng)
        now = 0.0
        for _ in range(120):
            now += STEP_SECONDS
            for _ in range(rng.randrange(4)):
                account = rng.choice(["hot", "small", "other"])
                service = rng.choice(fleet.services)
                service.charge(bid("b", account), rng.uniform(10, 1000), now)
            fleet.step(now, trouble=True)
        # A second of calm, in which every agent has something to report.
        for _ in range(4):
            now += STEP_SECONDS
            for service in fleet.services:
                service.charge(bid("b", "hot"), 1.0, now)
            fleet.step(now, trouble=False)
        for member in fleet.members:
            for account in ("hot", "small", "other"):
                with self.subTest(member=member.member, account=account):
                    expected = fleet.true_service(account, now)
                    difference = abs(member.usage(account, now)[1] - expected)
                    self.assertLess(difference, 0.02 * expected + 10)
