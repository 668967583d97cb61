"""Focused cases of the sidecar's decisions."""

from random import Random
from unittest import TestCase

from nose2.tools import params

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service, ServiceKind
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.core import SidecarCore
from pistachiolever.sidecar.models import (
    CancelRun,
    Drain,
    FromRouter,
    OutputReceived,
    ReportClaim,
    RouterConnected,
    RouterDisconnected,
    RunEnded,
    SendToRouter,
    SidecarAction,
    StartRun,
    Tick,
)
from pistachiolever.wire.models import (
    Bid,
    Bids,
    Chunks,
    Dispatch,
    Grant,
    Refused,
    Resume,
    RouterMessage,
    SidecarMessage,
)


def make_core(concurrency: int = 2) -> SidecarCore:
    """Return a sidecar with two routers."""
    settings = SidecarSettings("e1", "plan", "http://127.0.0.1:1")
    service = Service("plan", ServiceKind.PLAIN, False, max_concurrency=concurrency)
    core = SidecarCore(settings, Random(1), service)
    for router_id in ("r1", "r2"):
        core.handle(RouterConnected(router_id), 0.0)
    return core


def say(
    core: SidecarCore, message: RouterMessage, now: float = 1.0, router: str = "r1"
) -> list[SidecarAction]:
    """Give the sidecar a message of a router."""
    return core.handle(FromRouter(router, message), now)


def told(actions: list[SidecarAction], kind: type[SidecarMessage]) -> list[object]:
    """Return the messages of a kind to routers."""
    return [
        action.message
        for action in actions
        if isinstance(action, SendToRouter) and isinstance(action.message, kind)
    ]


def starts(actions: list[SidecarAction]) -> int:
    """Return how many runs start."""
    return sum(isinstance(action, StartRun) for action in actions)


class AdmissionTest(TestCase):
    """What starts, and what is refused with which verdict."""

    def test_request_asked_for_before_it_came_never_starts(self) -> None:
        core = make_core()
        unknown = told(say(core, Resume("q", "a", 0)), Refused)
        self.assertEqual(unknown, [Refused("q", Verdict.NOT_RUN, "unknown-request")])
        late = say(core, Dispatch("q", "a", "x", 1))
        self.assertEqual(starts(late), 0)
        self.assertEqual(
            told(late, Refused), [Refused("q", Verdict.NOT_RUN, "withdrawn")]
        )

    def test_attempt_starts_once(self) -> None:
        core = make_core()
        self.assertEqual(starts(say(core, Dispatch("q", "a", "x", 1, "", "q"))), 1)
        core.handle(RunEnded("q", Verdict.MAY_HAVE_RUN, False, "cut"), 2.0)
        again = say(core, Dispatch("q", "a", "x", 1, "", "q"), 3.0)
        self.assertEqual(starts(again), 0)
        self.assertEqual(
            told(again, Refused), [Refused("q", Verdict.MAY_HAVE_RUN, "attempt-seen")]
        )

    def test_attempt_that_did_not_run_may_start_again(self) -> None:
        core = make_core()
        say(core, Dispatch("q", "a", "x", 1, "", "q"))
        core.handle(RunEnded("q", Verdict.NOT_RUN, False, "endpoint-overloaded"), 2.0)
        self.assertEqual(starts(say(core, Dispatch("q", "a", "x", 1, "", "q"), 3.0)), 1)

    def test_no_room_without_a_grant(self) -> None:
        core = make_core(concurrency=1)
        say(core, Dispatch("q1", "a", "x", 1))
        full = say(core, Dispatch("q2", "a", "x", 1))
        self.assertEqual(
            told(full, Refused), [Refused("q2", Verdict.NOT_RUN, "no-room")]
        )

    def test_draining_refuses_at_once_and_finishes(self) -> None:
        core = make_core()
        say(core, Dispatch("q1", "a", "x", 1))
        core.handle(Drain(), 1.0)
        refused = told(say(core, Dispatch("q2", "a", "x", 1)), Refused)
        self.assertEqual(refused, [Refused("q2", Verdict.NOT_RUN, "endpoint-draining")])
        self.assertFalse(core.is_idle())
        core.handle(RunEnded("q1", Verdict.RAN, True), 2.0)
        self.assertTrue(core.is_idle())

    def test_lowest_bid_of_all_routers_gets_the_room(self) -> None:
        core = make_core(concurrency=1)
        say(core, Dispatch("q1", "a", "x", 1))
        say(core, Bids([Bid("rich", 9.0, 1.0, 5)]), router="r1")
        say(core, Bids([Bid("poor", 2.0, 1.0, 5)]), router="r2")
        actions = core.handle(RunEnded("q1", Verdict.RAN, True), 2.0)
        grants = [
            (action.router_id, action.message.account_id, action.message.limit)
            for action in actions
            if isinstance(action, SendToRouter) and isinstance(action.message, Grant)
        ]
        self.assertEqual(grants, [("r2", "poor", 9.0)])

    def test_unused_grant_comes_back(self) -> None:
        core = make_core(concurrency=1)
        say(core, Bids([Bid("a", 1.0, 1.0, 9)]), router="r1")
        self.assertEqual(core.room(), 0)
        expired = core.handle(Tick(), 1.0 + core.settings.grant_seconds)
        self.assertEqual(len(told(expired, Grant)), 1)


class ReplayTest(TestCase):
    """Answers survive their router, for their own account."""

    def test_other_router_gets_the_rest(self) -> None:
        core = make_core()
        say(core, Dispatch("q", "a", "x", 1))
        for number in range(3):
            core.handle(OutputReceived("q", f"{number}", 1), 1.0)
        core.handle(RouterDisconnected("r1"), 2.0)
        core.handle(OutputReceived("q", "3", 1), 2.1)
        rest = told(say(core, Resume("q", "a", 1), 2.2, "r2"), Chunks)
        assert isinstance(rest[0], Chunks)
        chunk = rest[0].chunks[0]
        self.assertEqual((chunk.first, chunk.last), (2, 4))
        self.assertEqual(chunk.base_cost, 1.0)

    def test_other_account_gets_nothing(self) -> None:
        core = make_core()
        say(core, Dispatch("q", "a", "x", 1))
        core.handle(OutputReceived("q", "secret", 1), 1.0)
        actions = say(core, Resume("q", "thief", 0), 2.0, "r2")
        self.assertEqual(told(actions, Chunks), [])
        self.assertFalse(core.status("q", "thief").found)

    @params(("", 1), ("q", 0))
    def test_run_without_a_reader_is_cancelled_unless_claimed(
        self, attempt_id: str, cancelled: int
    ) -> None:
        core = make_core()
        say(core, Dispatch("q", "a", "x", 1, "", attempt_id))
        core.handle(RouterDisconnected("r1"), 2.0)
        actions = core.handle(Tick(), 2.0 + core.settings.orphan_seconds)
        count = sum(isinstance(action, CancelRun) for action in actions)
        self.assertEqual(count, cancelled)

    def test_outcome_of_a_claim_is_reported_without_its_router(self) -> None:
        core = make_core()
        say(core, Dispatch("q", "a", "x", 1, "", "q"))
        core.handle(RouterDisconnected("r1"), 2.0)
        actions = core.handle(RunEnded("q", Verdict.RAN, True), 3.0)
        reports = [a.verdict for a in actions if isinstance(a, ReportClaim)]
        self.assertEqual(reports, [Verdict.RAN])
