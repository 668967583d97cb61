"""Evidence on parts of prompts, spread over routers and members of the registry."""

from random import Random

from attrs import define, field

from pistachiolever.admission.models import Load
from pistachiolever.admission.recent_service import RecentService
from pistachiolever.quarantine.const import (
    MAX_CRASHES,
    MAX_SUSPECTED_PARTS,
    SOUND_SECONDS,
)
from pistachiolever.quarantine.models import PartRecord, unpack_report
from pistachiolever.quarantine.quarantine import Quarantine
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.models import MeasuredLoad, MemberDigest
from pistachiolever.usage.reporter import UsageReporter
from tests.support.cases import CaseTest

TICK_SECONDS = 0.25
# The shortest contact time of a deployment, within which all routers must know.
CONTACT_SECONDS = 3.0
BAD = ["system", "bad"]
SEEDS = range(40)


@define
class Router:
    """A router's quarantine, its reports, and what it has heard of its member."""

    quarantine: Quarantine
    reporter: UsageReporter
    heard_life: str = ""
    heard_number: int = -1


@define
class Network:
    """Routers and members that exchange messages, of which some are lost.

    While `busy`, routers have other news in each report.
    """

    rng: Random
    routers: list[Router] = field(factory=list)
    members: list[UsageAggregate] = field(factory=list)
    accepted: dict[tuple[str, str], int] = field(factory=dict)
    lost_fraction: float = 0.0
    busy: bool = False
    now: float = 100.0
    lives: int = 0

    def add_member(self, place: int) -> None:
        """Start a member, or start it anew without its state."""
        self.lives += 1
        member = UsageAggregate(f"m{place}", str(self.lives))
        self.members[place : place + 1] = [member]
        self.accepted = {
            pair: number
            for pair, number in self.accepted.items()
            if member.member not in pair
        }

    def add_router(self, place: int) -> None:
        """Start a router, or start it anew without its state."""
        quarantine = Quarantine(f"r{place}", 6)
        reporter = UsageReporter(f"r{place}", RecentService(), quarantine=quarantine)
        self.routers[place : place + 1] = [Router(quarantine, reporter)]

    def is_lost(self) -> bool:
        """Return whether the next message is lost."""
        return self.rng.random() < self.lost_fraction

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            for place, router in enumerate(self.routers):
                self.report(router, self.members[place % len(self.members)])
            for member in self.members:
                member.publish(self.now)
            self.exchange_digests()
            for place, router in enumerate(self.routers):
                self.watch(router, self.members[place % len(self.members)])

    def report(self, router: Router, member: UsageAggregate) -> None:
        """Send what a router has to tell; a reply may be lost, too."""
        if self.busy:
            load = MeasuredLoad(Load(), self.now)
            router.reporter.record_seen_load("agent", load)
        report = router.reporter.next_report(self.now)
        if report is None:
            return
        if not self.is_lost():
            member.handle_report(report, self.now)
        if self.is_lost():
            router.reporter.handle_failure(report)
        else:
            router.reporter.handle_reply(report, member.life, self.now)

    def exchange_digests(self) -> None:
        """Send a digest from each member to each other one, all at the same time."""
        sent: list[tuple[UsageAggregate, MemberDigest]] = []
        for sender in self.members:
            for receiver in self.members:
                if sender is receiver or self.is_lost():
                    continue
                pair = (sender.member, receiver.member)
                known = self.accepted.get(pair, -1)
                sent.append((receiver, sender.digest_since(known, self.now)))
                self.accepted[pair] = sender.number
        for receiver, digest in sent:
            receiver.handle_digest(digest, self.now)

    def watch(self, router: Router, member: UsageAggregate) -> None:
        """Tell a router what is new at its member."""
        if self.is_lost():
            return
        known = router.heard_number if router.heard_life == member.life else -1
        update = member.update_since(known, self.now, self.rng)
        router.quarantine.apply(update.parts, self.now)
        router.heard_life, router.heard_number = member.life, update.number

    def crash(self, router: int, incarnation: str) -> None:
        """Let an endpoint crash under a request of a router."""
        self.routers[router].quarantine.record_crash(incarnation, BAD, self.now)

    def refusing(self) -> list[bool]:
        """Return which routers refuse requests with the part."""
        return [not r.quarantine.try_send(BAD, self.now) for r in self.routers]


def make_network(seed: int, lost_fraction: float = 0.0) -> Network:
    """Return six routers and three members."""
    network = Network(Random(seed), lost_fraction=lost_fraction)
    for place in range(3):
        network.add_member(place)
    for place in range(6):
        network.add_router(place)
    return network


class SpreadTest(CaseTest):
    """All routers decide alike, whoever saw what."""

    # Each router saw one crash only, so that none of them saw a reason to act.
    def test_crashes_seen_by_different_routers_add_up(self) -> None:
        network = make_network(1)
        for router in range(3):
            network.crash(router, f"e{router}")
        self.assertEqual(network.refusing(), [False] * 6)
        network.run(CONTACT_SECONDS)
        self.assertEqual(network.refusing(), [True] * 6)
        quarantine = network.routers[5].quarantine
        self.assertEqual(quarantine.quarantined_part(["system"], network.now), "")

    def test_sound_run_at_one_router_protects_the_part_at_all(self) -> None:
        network = make_network(1)
        for router in range(3):
            network.crash(router, f"e{router}")
        network.run(0.5)
        network.routers[4].quarantine.record_sound(BAD, network.now)
        network.run(20)
        self.assertEqual(network.refusing(), [False] * 6)

    # The part was quarantined everywhere at the end of an outage of 30 s, since the
    # router that saw the crashes had not run it itself.
    def test_crashes_soon_after_a_sound_run_elsewhere_never_count(self) -> None:
        network = make_network(1)
        network.routers[4].quarantine.record_sound(BAD, network.now)
        network.run(1.0)
        for number in range(3):
            network.crash(0, f"e{number}")
        network.run(SOUND_SECONDS + 5)
        self.assertEqual(network.refusing(), [False] * 6)

    # A router without contact quarantined a part that others were running, and all of
    # them took its word.
    def test_late_news_of_a_sound_run_ends_a_quarantine(self) -> None:
        network = make_network(1)
        network.routers[4].quarantine.record_sound(BAD, network.now)
        network.lost_fraction = 1.0
        for number in range(3):
            network.crash(0, f"e{number}")
        network.run(1.5)
        self.assertEqual(network.refusing(), [True] + [False] * 5)
        network.lost_fraction = 0.0
        network.run(CONTACT_SECONDS)
        self.assertEqual(network.refusing(), [False] * 6)

    def test_restarted_router_and_members_learn_of_a_quarantine(self) -> None:
        self.check_restarts(make_network(1))

    # Routers told of their quarantines again only if they had no other news.
    def test_restarted_router_learns_of_a_quarantine_from_a_busy_one(self) -> None:
        network = make_network(1)
        network.busy = True
        self.check_restarts(network)

    def check_restarts(self, network: Network) -> None:
        """Check that one router is enough to tell the others after a restart."""
        for router in range(3):
            network.crash(router, f"e{router}")
        network.run(CONTACT_SECONDS)
        self.assertEqual(network.refusing(), [True] * 6)
        # The quarantine is no news any more.
        network.run(CONTACT_SECONDS)
        for place in range(3):
            network.add_member(place)
        for place in range(5):
            network.add_router(place)
        network.run(CONTACT_SECONDS + 5)
        self.assertEqual(network.refusing(), [True] * 6)

    # Members without room for all parts told each other for ten minutes, four times a
    # second, of the parts that the other one had just dropped.
    def test_members_without_room_come_to_rest(self) -> None:
        network = make_network(1)
        for number in range(MAX_SUSPECTED_PARTS):
            for place in range(3):
                quarantine = network.routers[place].quarantine
                parts = [f"r{place}-{number}"]
                quarantine.record_crash(f"e{place}", parts, network.now)
        network.run(CONTACT_SECONDS)
        states = [member.number for member in network.members]
        network.run(CONTACT_SECONDS)
        self.assertEqual([member.number for member in network.members], states)

    # Each router and member heard of each part once a second for ten minutes.
    def test_sound_runs_of_a_suspected_part_are_told_now_and_then(self) -> None:
        network = make_network(1)
        network.crash(0, "e0")
        network.run(CONTACT_SECONDS)
        states = 0
        for tick in range(200):
            for router in network.routers:
                router.quarantine.record_sound(BAD, network.now)
            network.run(TICK_SECONDS)
            if tick == 20:
                states = network.members[0].number
        told = network.members[0].number - states
        self.assertLessEqual(told, 15)
        for router in network.routers:
            self.assertEqual(router.quarantine.suspects(BAD, network.now), [])
        network.add_router(0)
        network.run(CONTACT_SECONDS)
        suspects = network.routers[0].quarantine.suspects(BAD, network.now)
        self.assertEqual(suspects, [])

    def test_release_reaches_all(self) -> None:
        network = make_network(1)
        for router in range(3):
            network.crash(router, f"e{router}")
        network.run(CONTACT_SECONDS)
        self.assertEqual(network.refusing(), [True] * 6)
        network.run(1.5)
        network.routers[2].quarantine.record_sound(BAD, network.now)
        network.run(CONTACT_SECONDS)
        self.assertEqual(network.refusing(), [False] * 6)

    def test_lost_messages_and_restarts(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                network = make_network(seed, lost_fraction=0.3)
                for number in range(8):
                    network.crash(network.rng.randrange(6), f"e{number}")
                    network.run(network.rng.random())
                    if network.rng.random() < 0.3:
                        network.add_member(network.rng.randrange(3))
                    if network.rng.random() < 0.2:
                        network.add_router(network.rng.randrange(6))
                network.lost_fraction = 0.0
                network.run(CONTACT_SECONDS + 5)
                self.assertEqual(network.refusing(), [True] * 6)

    def test_few_requests_test_the_part_after_a_quarantine(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                network = make_network(seed)
                for router in range(3):
                    network.crash(router, f"e{router}")
                network.run(CONTACT_SECONDS)
                network.refusing()
                sent = 0
                for _ in range(200):
                    network.run(1.0)
                    sent += network.refusing().count(False)
                self.assertGreaterEqual(sent, 1)
                self.assertLessEqual(sent, 3)


class MergeTest(CaseTest):
    """Records can be merged in any order, and more than once."""

    def random_record(self, rng: Random) -> PartRecord:
        """Return a record with some crashes, and perhaps a quarantine."""
        crashes = {f"e{rng.randrange(6)}": 10.0 * rng.randrange(9) for _ in range(3)}
        count = rng.randrange(3)
        at = 100.0 * count if count else float("-inf")
        sound_at = 10.0 * rng.randrange(9)
        return PartRecord(crashes, rng.randrange(3), sound_at, at, count)

    def test_any_order(self) -> None:
        for seed in range(200):
            rng = Random(seed)
            records = [self.random_record(rng) for _ in range(5)]
            first, second = PartRecord(), PartRecord()
            for record in records:
                first.merge(record)
            for record in rng.sample(records * 2, 10):
                second.merge(record)
            self.assertEqual(first.crashed_at.keys(), second.crashed_at.keys())
            first.crashed_at = second.crashed_at
            self.assertEqual(first, second, f"seed {seed}")
            self.assertFalse(second.merge(first))

    # A message with all crashes of an outage was larger than a megabyte.
    def test_newest_crashes_are_kept(self) -> None:
        crashes = {f"e{number}": float(number) for number in range(3 * MAX_CRASHES)}
        for seed in range(50):
            first, second = PartRecord(), PartRecord()
            for key in Random(seed).sample(sorted(crashes), len(crashes)):
                first.merge(PartRecord({key: crashes[key]}))
            second.merge(PartRecord(crashes))
            self.assertEqual(len(second.crashed_at), MAX_CRASHES)
            self.assertEqual(min(second.crashed_at.values()), 2 * MAX_CRASHES)
            self.assertEqual(first.crashed_at, second.crashed_at)
            self.assertFalse(second.merge(PartRecord(crashes)))

    def test_packing_keeps_a_record(self) -> None:
        for seed in range(50):
            record = self.random_record(Random(seed))
            self.assertEqual(unpack_report(record.pack(400.0), 400.0), record)
