"""Notices of endpoints that leave or ask for a pause, without network."""

from collections import Counter
from random import Random

from attrs import define, evolve, field

from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.gateway.const import MAX_NOTICES
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ResponseMetadata
from pistachiolever.gateway.notices import EndpointNotices, Incarnation, Restriction
from pistachiolever.gateway.settings import GatewaySettings
from tests.gateway.test_relay import CONFIGURATION
from tests.registry.test_process import make_discarding_logger
from tests.support.cases import CaseTest

DRAIN_SECONDS = 2.0
ENDPOINT = Announcement(
    "e0", 5, 1, EndpointState.READY, "s", "10.0.0.1:80", "north", slots=8
)


def make_fleet(endpoints: list[Announcement], clock: list[float]) -> FleetView:
    """Return a router's view of the endpoints; `clock` holds its time."""
    settings = GatewaySettings("r", "north", "", "", "", 2, 1, 10, 99, DRAIN_SECONDS)
    fleet = FleetView(
        settings,
        lambda _: CONFIGURATION,
        PeerClient(),
        make_discarding_logger("r"),
        Random(1),
        lambda: clock[0],
    )
    fleet.apply_announcements(endpoints)
    return fleet


def endpoints_of(count: int) -> list[Announcement]:
    """Return endpoints with addresses of their own."""
    return [
        evolve(ENDPOINT, endpoint_id=f"e{n}", address=f"10.0.0.{n}:80")
        for n in range(count)
    ]


def notify(
    fleet: FleetView,
    endpoint_id: str,
    leaving: bool = False,
    retry_after: str | None = None,
) -> None:
    """Record the notices of one response."""
    metadata = ResponseMetadata("r1", True, True, 0.0, leaving, retry_after)
    fleet.notice_recorder.record(
        fleet.handle_by_id[endpoint_id], "r1", metadata, fleet.now()
    )


def usable(fleet: FleetView) -> set[str]:
    """Return the endpoints that may get a request."""
    return {h.endpoint.endpoint_id for h in fleet.selection.usable("s", set())}


class LeavingTest(CaseTest):
    """A leaving endpoint gets requests only if no other one can serve them."""

    def test_another_endpoint_serves(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(2), clock)
        notify(fleet, "e0", leaving=True)
        self.assertEqual(usable(fleet), {"e1"})

    def test_only_endpoint_serves_until_it_has_left(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        notify(fleet, "e0", leaving=True)
        for seconds, expected in ((0.0, {"e0"}), (1.9, {"e0"}), (2.0, set())):
            clock[0] = 100.0 + seconds
            with self.subTest(seconds):
                self.assertEqual(usable(fleet), expected)
                self.assertEqual(
                    fleet.selection.may_send(fleet.handle_by_id["e0"]), bool(expected)
                )

    def test_notices_later_on_do_not_extend_the_time(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        notify(fleet, "e0", leaving=True)
        clock[0] = 101.5
        notify(fleet, "e0", leaving=True)
        clock[0] = 102.0
        self.assertEqual(usable(fleet), set())

    def test_older_and_newer_announcements_do_not_undo_it(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(2), clock)
        notify(fleet, "e0", leaving=True)
        first = endpoints_of(2)[0]
        for announcement in (first, evolve(first, sequence=9)):
            fleet.apply_announcements([announcement])
            self.assertEqual(usable(fleet), {"e1"})
        # Forgotten by discovery and announced again.
        fleet.directory.discard("e0")
        fleet.apply_announcements([])
        fleet.apply_announcements([evolve(first, sequence=10)])
        self.assertEqual(usable(fleet), {"e1"})

    # Once it drained or accepted no connection, refusals no longer named its notice.
    def test_refusals_name_an_endpoint_that_has_left(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(2), clock)
        notify(fleet, "e0", leaving=True)
        notify(fleet, "e1", leaving=True)
        self.assertEqual(fleet.selection.held_back("s"), {"leaving": ["e0", "e1"]})
        fleet.apply_announcements(
            [evolve(endpoints_of(2)[0], sequence=2, state=EndpointState.DRAINING)]
        )
        fleet.record_unreachable(fleet.handle_by_id["e1"], "refused")
        self.assertEqual(usable(fleet), set())
        self.assertEqual(fleet.selection.held_back("s"), {"leaving": ["e0", "e1"]})
        self.assertEqual(fleet.selection.held_back("other"), {})
        clock[0] += DRAIN_SECONDS
        self.assertEqual(fleet.selection.held_back("s"), {"left": ["e0", "e1"]})

    def test_restart_is_a_new_endpoint(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(2), clock)
        notify(fleet, "e0", leaving=True)
        fleet.apply_announcements([evolve(endpoints_of(2)[0], born_ms=6)])
        self.assertEqual(usable(fleet), {"e0", "e1"})

    def test_reused_address_is_a_new_endpoint(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(2), clock)
        notify(fleet, "e0", leaving=True)
        address = endpoints_of(2)[0].address
        fleet.apply_announcements(
            [evolve(ENDPOINT, endpoint_id="e9", born_ms=7, address=address)]
        )
        self.assertEqual(usable(fleet), {"e1", "e9"})

    def test_a_fifth_of_300_endpoints_leave_within_a_second(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(300), clock)
        left: set[str] = set()
        for number in range(60):
            clock[0] = 100.0 + number / 60
            notify(fleet, f"e{number * 5}", leaving=True)
            left.add(f"e{number * 5}")
            self.assertEqual(usable(fleet), set(fleet.handle_by_id) - left)


class PauseTest(CaseTest):
    """A paused endpoint gets no requests, then gradually more."""

    def test_ends_gradually(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        handle = fleet.handle_by_id["e0"]
        notify(fleet, "e0", retry_after="2")
        sends: list[float] = []
        for step in range(300):
            clock[0] = 100.0 + step / 100
            while (
                usable(fleet) and fleet.selection.may_send(handle) and len(sends) < 99
            ):
                fleet.notices.record_send(handle.endpoint, clock[0])
                sends.append(clock[0])
        self.assertEqual(sends[0], 102.0)
        self.assertLessEqual(sum(at < 102.25 for at in sends), 5)
        self.assertLessEqual(sum(at < 102.45 for at in sends), 8)
        # Afterwards requests are not limited.
        self.assertEqual(len(sends), 99)
        self.assertEqual(fleet.notices.paused, set())

    def test_overlapping_pauses(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        notify(fleet, "e0", retry_after="3")
        clock[0] = 100.2
        notify(fleet, "e0", retry_after="1")
        for at, expected in ((101.3, set()), (102.9, set()), (103.0, {"e0"})):
            clock[0] = at
            with self.subTest(at):
                self.assertEqual(usable(fleet), expected)

    def test_pause_anew_during_the_gradual_end(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        notify(fleet, "e0", retry_after="1")
        clock[0] = 101.1
        fleet.notices.record_send(fleet.handle_by_id["e0"].endpoint, clock[0])
        notify(fleet, "e0", retry_after="1")
        self.assertEqual(usable(fleet), set())
        clock[0] = 102.1
        self.assertEqual(usable(fleet), {"e0"})

    def test_all_endpoints_pause(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(3), clock)
        self.assertIsNone(fleet.selection.pause_remaining("s"))
        for number, value in enumerate(("4", "2", "9")):
            notify(fleet, f"e{number}", retry_after=value)
        self.assertEqual(usable(fleet), set())
        self.assertAlmostEqual(fleet.selection.pause_remaining("s") or 0.0, 2.0)
        self.assertEqual(fleet.selection.held_back("s"), {"paused": ["e0", "e1", "e2"]})
        # A leaving endpoint is not one to come back to.
        notify(fleet, "e1", leaving=True)
        self.assertAlmostEqual(fleet.selection.pause_remaining("s") or 0.0, 4.0)

    def test_health_and_other_routers_are_not_affected(self) -> None:
        clock = [100.0]
        fleet, other = (make_fleet(endpoints_of(2), clock) for _ in range(2))
        notify(fleet, "e0", retry_after="2")
        self.assertEqual(fleet.handle_by_id["e0"].health.failures, 0.0)
        self.assertEqual(usable(other), {"e0", "e1"})

    def test_invalid_value_pauses_nothing(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        for value in ("-1", "x", "nan"):
            notify(fleet, "e0", retry_after=value)
        self.assertEqual(usable(fleet), {"e0"})

    def test_shared_capacity_falls_meanwhile(self) -> None:
        clock = [100.0]
        engines = [evolve(e, agent=f"a{e.endpoint_id}:1") for e in endpoints_of(4)]
        fleet = make_fleet(engines, clock)
        self.assertEqual(fleet._unpaused_fraction(), 1.0)
        notify(fleet, "e0", retry_after="2")
        self.assertEqual(fleet._unpaused_fraction(), 0.75)


class RateLimitTest(CaseTest):
    """The request rate that an endpoint names goes into the next bids."""

    # A value that could not be read lifted the limit named before.
    def test_invalid_rate_lifted_the_limit(self) -> None:
        clock = [100.0]
        fleet = make_fleet(endpoints_of(1), clock)
        handle = fleet.handle_by_id["e0"]
        steps = [
            ("x", None),
            ("2.5", 2.5),
            ("", 2.5),
            ("nan", 2.5),
            ("-1", 2.5),
            ("inf", 2.5),
            ("0", 0.0),
            (None, None),
        ]
        for text, expected in steps:
            clock[0] += 1.0
            with self.subTest(text):
                metadata = ResponseMetadata("r1", True, True, 0.0, rate_limit=text)
                fleet.notice_recorder.record(handle, "r1", metadata, clock[0])
                self.assertEqual(handle.rate_notice.requests_per_second, expected)


class NoticesFuzzTest(CaseTest):
    """Random notices, restarts and requests never break either promise."""

    def test_random_runs(self) -> None:
        for seed in range(40):
            with self.subTest(seed):
                self._run(Random(seed))

    def _run(self, rng: Random) -> None:
        """Run one random sequence against a naive model."""
        clock = [100.0]
        fleet = make_fleet(endpoints_of(4), clock)
        born = dict.fromkeys(fleet.handle_by_id, 5)
        leaving: dict[tuple[str, int], float] = {}
        pause: dict[tuple[str, int], float] = {}
        for _ in range(400):
            clock[0] += rng.random() * 0.2
            endpoint_id = rng.choice(list(born))
            key = (endpoint_id, born[endpoint_id])
            action = rng.random()
            if action < 0.03:
                notify(fleet, endpoint_id, leaving=True)
                leaving.setdefault(key, clock[0])
            elif action < 0.15:
                seconds = rng.choice((0.1, 1.0, 3.0))
                notify(fleet, endpoint_id, retry_after=f"{seconds:.1f}")
                pause[key] = max(pause.get(key, 0.0), clock[0] + seconds)
            elif action < 0.2:
                born[endpoint_id] += 1
                base = endpoints_of(4)[int(endpoint_id[1:])]
                fleet.apply_announcements([evolve(base, born_ms=born[endpoint_id])])
            elif action < 0.3:
                number = int(endpoint_id[1:])
                fleet.apply_announcements([endpoints_of(4)[number]])
            for other in usable(fleet):
                key = (other, born[other])
                self.assertTrue(fleet.selection.may_send(fleet.handle_by_id[other]))
                self.assertLess(clock[0] - leaving.get(key, clock[0]), DRAIN_SECONDS)
                self.assertGreaterEqual(clock[0], pause.get(key, 0.0))
                fleet.notices.record_send(fleet.handle_by_id[other].endpoint, clock[0])


@define
class Platform:
    """A router, its endpoints, what control tells of them, and a naive model.

    While the router is cut off, announcements wait in `undelivered`. `newest_by_id` are
    the announcements that control has, `sent` all of them. `leaving_at` and
    `paused_until` hold the notices that the router was given, `ended` the incarnations
    that it was told are gone, by id and birth. `in_flight` are the handles of
    requests without a response yet, and their incarnations when they were sent.
    """

    rng: Random
    clock: list[float] = field(factory=lambda: [100.0])
    is_cut: bool = False
    born: int = 100
    newest_by_id: dict[str, Announcement] = field(factory=dict)
    crashed_ids: set[str] = field(factory=set)
    sent: list[Announcement] = field(factory=list)
    undelivered: list[Announcement] = field(factory=list)
    leaving_at: dict[Incarnation, float] = field(factory=dict)
    paused_until: dict[Incarnation, float] = field(factory=dict)
    ended: set[Incarnation] = field(factory=set)
    in_flight: list[tuple[EndpointHandle, Incarnation]] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    fleet: FleetView = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with four endpoints."""
        self.fleet = make_fleet([], self.clock)
        for _ in range(4):
            self.scale_out()

    def announce(self, announcement: Announcement) -> None:
        """Let control know an announcement, and the router once it is in touch."""
        self.newest_by_id[announcement.endpoint_id] = announcement
        self.sent.append(announcement)
        self.undelivered.append(announcement)
        self.deliver()

    def deliver(self) -> None:
        """Give the router what it has missed, in any order, unless it is cut off."""
        if self.is_cut:
            return
        self.rng.shuffle(self.undelivered)
        for announcement in self.undelivered:
            self.fleet.apply_announcements([announcement])
            if announcement.state is EndpointState.GONE:
                self.ended.add((announcement.endpoint_id, announcement.born_ms))
        self.undelivered.clear()

    def pick(self, *states: EndpointState) -> Announcement | None:
        """Return a random endpoint in one of some states, crashed or not."""
        known = [a for a in self.newest_by_id.values() if a.state in states]
        return self.rng.choice(known) if known else None

    # What happens to the endpoints and to the router.

    def scale_out(self) -> None:
        """Start an endpoint with an id and an address that were never used."""
        self.born += 1
        base = evolve(ENDPOINT, endpoint_id=f"e{self.born}", born_ms=self.born)
        self.announce(evolve(base, address=f"10.0.0.{self.born}:80"))

    def scale_in(self) -> None:
        """Let control drain an endpoint, or forget a drained one."""
        known = self.pick(EndpointState.READY, EndpointState.DRAINING)
        if known is None or len(self.newest_by_id) < 3:
            return
        is_ready = known.state is EndpointState.READY
        state = EndpointState.DRAINING if is_ready else EndpointState.GONE
        self.announce(evolve(known, state=state, sequence=known.sequence + 1))

    def crash(self) -> None:
        """End an endpoint; control may notice, or only a later incarnation tells."""
        known = self.pick(EndpointState.READY, EndpointState.DRAINING)
        if known is None:
            return
        self.crashed_ids.add(known.endpoint_id)
        if self.rng.random() < 0.3:
            self.announce(evolve(known, state=EndpointState.GONE))

    def restart(self) -> None:
        """Start a new incarnation at the id, the address or both of a crashed one."""
        if not self.crashed_ids:
            return
        known = self.newest_by_id[self.rng.choice(sorted(self.crashed_ids))]
        self.crashed_ids.discard(known.endpoint_id)
        self.born += 1
        started = evolve(
            known, born_ms=self.born, sequence=1, state=EndpointState.READY
        )
        kind = self.rng.choice(("both", "id", "address"))
        if kind == "id":
            started = evolve(started, address=f"10.0.0.{self.born}:80")
        elif kind == "address":
            del self.newest_by_id[known.endpoint_id]
            started = evolve(started, endpoint_id=f"e{self.born}")
        self.announce(started)

    def cut_or_heal(self) -> None:
        """Cut the router off from control, or end that."""
        self.is_cut = not self.is_cut
        self.deliver()

    def repeat_old(self) -> None:
        """Let the router get an old announcement again."""
        self.fleet.apply_announcements([self.rng.choice(self.sent)])

    def respond(self) -> None:
        """End a request with notices, even if its endpoint is gone since."""
        if not self.in_flight:
            return
        place = self.rng.randrange(len(self.in_flight))
        handle, key = self.in_flight.pop(place)
        leaving, seconds = self.rng.random() < 0.2, self.rng.choice((0.0, 0.4, 3.0))
        value = f"{seconds:.1f}" if seconds else None
        metadata = ResponseMetadata("r1", True, True, 0.0, leaving, value)
        self.fleet.notice_recorder.record(handle, "r1", metadata, self.fleet.now())
        now = self.clock[0]
        if leaving:
            self.leaving_at.setdefault(key, now)
        if seconds:
            self.paused_until[key] = max(self.paused_until.get(key, 0.0), now + seconds)

    # What the router does.

    def check(self, case: CaseTest) -> None:
        """Compare the endpoints that may get a request with the model; send some."""
        now = self.clock[0]
        chosen = self.fleet.selection.usable("s", set())
        free, leaving = self._expected()
        by_key = {_key(handle): handle for handle in chosen}
        # After a pause the router may hold requests back for a little longer.
        certain = {
            key
            for key in free
            if now >= self.paused_until.get(key, 0.0) + PAUSE_RAMP_SECONDS
        }
        case.assertLessEqual(certain, by_key.keys())
        if by_key.keys() & leaving:
            # Others that may get a request now do not exist.
            case.assertEqual(certain, set())
            case.assertLessEqual(by_key.keys(), leaving)
        else:
            case.assertLessEqual(by_key.keys(), free)
        case.assertEqual(self.ended & {_key(h) for h in chosen}, set())
        for handle in chosen:
            case.assertTrue(self.fleet.selection.may_send(handle))
        for candidate in self.fleet.selection.candidates("s", set()):
            case.assertIn(candidate.endpoint.endpoint_id, {key[0] for key in by_key})
        if not chosen:
            self.counts["none"] += 1
            return
        handle = self.rng.choice(chosen)
        if handle.endpoint.endpoint_id in self.crashed_ids:
            self.fleet.record_unreachable(handle, "refused")
            self.counts["unreachable"] += 1
            return
        self.fleet.notices.record_send(handle.endpoint, now)
        self.in_flight.append((handle, _key(handle)))
        self.counts["leaving" if _key(handle) in leaving else "free"] += 1

    def _expected(self) -> tuple[set[Incarnation], set[Incarnation]]:
        """Return the incarnations without a notice in force, and those leaving.

        These are ready and reachable ones of which the router knows. A pause also holds
        for a leaving endpoint, which gets nothing once its drain time has passed.
        """
        now = self.clock[0]
        free: set[Incarnation] = set()
        leaving: set[Incarnation] = set()
        for handle in self.fleet.handle_by_id.values():
            is_ready = handle.endpoint.state is EndpointState.READY
            if not is_ready or now < handle.health.ejected_until:
                continue
            key = _key(handle)
            if now < self.paused_until.get(key, 0.0):
                continue
            if key not in self.leaving_at:
                free.add(key)
            elif now < self.leaving_at[key] + DRAIN_SECONDS:
                leaving.add(key)
        return free, leaving


def _key(handle: EndpointHandle) -> Incarnation:
    """Return the incarnation of a handle."""
    return (handle.endpoint.endpoint_id, handle.endpoint.born_ms)


class PlatformFuzzTest(CaseTest):
    """Both notices hold through crashes, restarts, cuts and scale-in."""

    # A notice that was lost, undone or taken over by another incarnation would send
    # requests to an endpoint that wants none, or none to one that does.
    def test_notices_beside_crashes_cuts_and_scale_in(self) -> None:
        counts: Counter[str] = Counter()
        for seed in range(40):
            with self.subTest(seed):
                platform = Platform(Random(seed))
                self._run(platform)
                counts += platform.counts
        # No outcome is left untried.
        for outcome in ("none", "unreachable", "leaving", "free"):
            self.assertGreater(counts[outcome], 100)

    def _run(self, platform: Platform) -> None:
        """Run a random sequence of actions, with a check after each."""
        weights = {
            platform.respond: 40,
            platform.crash: 4,
            platform.restart: 6,
            platform.cut_or_heal: 3,
            platform.scale_in: 3,
            platform.scale_out: 4,
            platform.repeat_old: 10,
        }
        for _ in range(400):
            platform.clock[0] += platform.rng.random() * 0.2
            actions = list(weights)
            (action,) = platform.rng.choices(actions, list(weights.values()))
            action()
            platform.check(self)


class BoundTest(CaseTest):
    """Notices of endpoints that are gone do not accumulate."""

    def test_oldest_notices_are_dropped(self) -> None:
        notices = EndpointNotices(DRAIN_SECONDS)
        for number in range(MAX_NOTICES + 10):
            endpoint = evolve(ENDPOINT, born_ms=number)
            notices.record_pause(endpoint, 5.0, 100.0)
        self.assertEqual(len(notices.by_incarnation), MAX_NOTICES)
        self.assertEqual(len(notices.paused), MAX_NOTICES)
        newest = evolve(ENDPOINT, born_ms=MAX_NOTICES + 9)
        self.assertIs(notices.restriction(newest, 101.0), Restriction.PAUSED)
