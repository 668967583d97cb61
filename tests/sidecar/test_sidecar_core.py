"""The sidecar core: admission of requests and resumption of answers."""

from random import Random
from unittest import TestCase

from nose2.tools import params

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Service, ServiceKind
from pistachiolever.settings.models import SidecarSettings
from pistachiolever.sidecar.const import TOMBSTONE_SECONDS
from pistachiolever.sidecar.core import SidecarCore
from pistachiolever.sidecar.models import (
    CancelRun,
    Drain,
    EndpointNotice,
    FromRouter,
    LeaveWithEndpoint,
    OutputReceived,
    RateNamed,
    RecordRate,
    ReportClaim,
    ResultReceived,
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
    Cancel,
    Chunks,
    Dispatch,
    Grant,
    Refused,
    Resume,
    RouterMessage,
    SidecarMessage,
)


def make_core(concurrency: int = 2) -> SidecarCore:
    """Return a sidecar with two connected routers."""
    settings = SidecarSettings("e1", "plan", "http://127.0.0.1:1")
    service = Service("plan", ServiceKind.PLAIN, False, max_concurrency=concurrency)
    core = SidecarCore(settings, Random(1), service)
    for router_id in ("r1", "r2"):
        core.handle(RouterConnected(router_id), 0.0)
    return core


def send(
    core: SidecarCore, message: RouterMessage, now: float = 1.0, router: str = "r1"
) -> list[SidecarAction]:
    """Handle a message of a router and return the actions."""
    return core.handle(FromRouter(router, message), now)


def sent_messages(
    actions: list[SidecarAction], kind: type[SidecarMessage]
) -> list[object]:
    """Return the messages of a type that are sent to routers."""
    return [
        action.message
        for action in actions
        if isinstance(action, SendToRouter) and isinstance(action.message, kind)
    ]


def count_starts(actions: list[SidecarAction]) -> int:
    """Return the number of runs that start."""
    return sum(isinstance(action, StartRun) for action in actions)


class AdmissionTest(TestCase):
    """Which requests start, and with which verdict others are refused."""

    def test_dispatch_after_resume_of_unknown_request_never_starts(self) -> None:
        core = make_core()
        unknown = sent_messages(send(core, Resume("q", "a", 0)), Refused)
        self.assertEqual(unknown, [Refused("q", Verdict.NOT_RUN, "unknown-request")])
        late = send(core, Dispatch("q", "a", "x", 1))
        self.assertEqual(count_starts(late), 0)
        self.assertEqual(
            sent_messages(late, Refused), [Refused("q", Verdict.NOT_RUN, "withdrawn")]
        )

    def test_attempt_starts_once(self) -> None:
        core = make_core()
        self.assertEqual(
            count_starts(send(core, Dispatch("q", "a", "x", 1, "", "q"))), 1
        )
        core.handle(RunEnded("q", Verdict.MAY_HAVE_RUN, False, "cut"), 2.0)
        again = send(core, Dispatch("q", "a", "x", 1, "", "q"), 3.0)
        self.assertEqual(count_starts(again), 0)
        self.assertEqual(
            sent_messages(again, Refused),
            [Refused("q", Verdict.MAY_HAVE_RUN, "attempt-seen")],
        )

    def test_attempt_that_did_not_run_may_start_again(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1, "", "q"))
        core.handle(RunEnded("q", Verdict.NOT_RUN, False, "endpoint-overloaded"), 2.0)
        self.assertEqual(
            count_starts(send(core, Dispatch("q", "a", "x", 1, "", "q"), 3.0)), 1
        )

    def test_refuses_at_the_limit_without_a_grant(self) -> None:
        core = make_core(concurrency=1)
        send(core, Dispatch("q1", "a", "x", 1))
        full = send(core, Dispatch("q2", "a", "x", 1))
        self.assertEqual(
            sent_messages(full, Refused), [Refused("q2", Verdict.NOT_RUN, "no-room")]
        )

    def test_draining_refuses_at_once_and_finishes(self) -> None:
        core = make_core()
        send(core, Dispatch("q1", "a", "x", 1))
        core.handle(Drain(), 1.0)
        refused = sent_messages(send(core, Dispatch("q2", "a", "x", 1)), Refused)
        self.assertEqual(refused, [Refused("q2", Verdict.NOT_RUN, "endpoint-draining")])
        self.assertFalse(core.is_idle())
        core.handle(RunEnded("q1", Verdict.RAN, True), 2.0)
        self.assertTrue(core.is_idle())

    # Another account's dispatch with the id of a run was attached to that run.
    def test_dispatch_of_another_account_is_not_attached(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1))
        core.handle(ResultReceived("q", '{"of": "a"}'), 1.5)
        actions = send(core, Dispatch("q", "b", "x", 1), 2.0, "r2")
        self.assertEqual(sent_messages(actions, Chunks), [])
        self.assertEqual(
            sent_messages(actions, Refused),
            [Refused("q", Verdict.NOT_RUN, "id-in-use")],
        )

    # A run's cost was charged again by the router that its request moved to.
    def test_reattached_run_reports_only_later_cost(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1))
        core.handle(ResultReceived("q", "1"), 1.5)
        run = core.runs.run_by_id["q"]
        run.reported_cost = 0.75
        send(core, Dispatch("q", "a", "x", 1), 2.0, "r2")
        self.assertEqual(run.base_cost, 0.75)

    # Answers in scripts with several bytes a character kept up to four times the limit.
    @params(("latin", "a", 1), ("devanagari", "\u0939", 3), ("emoji", "\U0001f600", 4))
    def test_size_of_an_answer_is_in_bytes(
        self, name: str, character: str, size: int
    ) -> None:
        core = make_core()
        limit = core.settings.max_answer_bytes
        send(core, Dispatch("q", "a", "x", 1))
        text = character * (limit // size // 2)
        core.handle(OutputReceived("q", text, 1), 1.5)
        self.assertGreaterEqual(
            core.runs.run_by_id["q"].buffer.size_bytes, len(text.encode()), name
        )
        second = core.handle(OutputReceived("q", text, 1), 1.6)
        self.assertIn(CancelRun("q"), second, name)

    # A tombstone that was set again kept its place and held up the expiry of others.
    def test_tombstones_expire_in_order(self) -> None:
        core = make_core()
        send(core, Cancel("old"), 1.0)
        send(core, Cancel("other"), 2.0)
        send(core, Cancel("old"), 1.0 + TOMBSTONE_SECONDS)
        core.handle(Tick(), 2.5 + TOMBSTONE_SECONDS)
        self.assertEqual(list(core.tombstone_by_request), ["old"])

    def test_pause_starts_and_grants_nothing(self) -> None:
        core = make_core(concurrency=4)
        send(core, Bids([Bid("a", 1.0, 1.0, 9)]), router="r1")
        grants = list(core.grants.open_by_id)
        core.handle(EndpointNotice(False, 2.0), 1.0)
        with_grant = send(core, Dispatch("q1", "a", "x", 1, grants[0]))
        without = send(core, Dispatch("q2", "a", "x", 1), router="r2")
        cases = ((with_grant, "q1", grants[0]), (without, "q2", ""))
        for actions, request_id, grant_id in cases:
            refused = Refused(request_id, Verdict.NOT_RUN, "no-room", grant_id)
            self.assertEqual(sent_messages(actions, Refused), [refused])
            self.assertEqual(count_starts(actions), 0)
        for now in (1.5, 2.9):
            self.assertEqual(sent_messages(core.handle(Tick(), now), Grant), [])
        # Afterwards the number of runs rises gradually.
        for now, allowed in ((3.0, 1), (3.3, 2), (3.6, 4)):
            core.handle(Tick(), now)
            self.assertEqual(core._allowed_runs(), allowed)

    # The endpoint got all that its concurrency allowed, whatever rate it had named.
    def test_runs_exceeded_the_rate_of_the_endpoint(self) -> None:
        core = make_core(concurrency=8)
        starts = 0
        for step in range(500):
            now = 1.0 + step / 50
            request_id = f"q{step}"
            actions = send(core, Dispatch(request_id, "a", "x", 1), now)
            starts += count_starts(actions)
            core.handle(RateNamed(request_id, 3.0), now)
            core.handle(RunEnded(request_id, Verdict.RAN, True), now)
            core.handle(Tick(), now)
        self.assertLessEqual(starts, 1.5 * 3.0 * 10 + 5)
        self.assertGreaterEqual(starts, 0.8 * 3.0 * 10)
        # A response to a later request that names none lifts the limit.
        core.handle(FromRouter("r1", Dispatch("last", "a", "x", 1)), 12.0)
        self.assertEqual(
            core.handle(RateNamed("last", None), 12.1)[0], RecordRate(None)
        )
        self.assertEqual(core.free_slots(), 7)

    def test_leaving_endpoint_ends_the_sidecar_once(self) -> None:
        core = make_core()
        first = core.handle(EndpointNotice(True), 1.0)
        again = core.handle(EndpointNotice(True), 1.1)
        self.assertEqual((first, again), ([LeaveWithEndpoint()], []))

    def test_lowest_bid_of_all_routers_gets_the_grant(self) -> None:
        core = make_core(concurrency=1)
        send(core, Dispatch("q1", "a", "x", 1))
        send(core, Bids([Bid("rich", 9.0, 1.0, 5)]), router="r1")
        send(core, Bids([Bid("poor", 2.0, 1.0, 5)]), router="r2")
        actions = core.handle(RunEnded("q1", Verdict.RAN, True), 2.0)
        grants = [
            (action.router_id, action.message.account_id, action.message.limit)
            for action in actions
            if isinstance(action, SendToRouter) and isinstance(action.message, Grant)
        ]
        self.assertEqual(grants, [("r2", "poor", 9.0)])

    def test_unused_grant_expires_and_is_issued_again(self) -> None:
        core = make_core(concurrency=1)
        send(core, Bids([Bid("a", 1.0, 1.0, 9)]), router="r1")
        self.assertEqual(core.free_slots(), 0)
        expired = core.handle(Tick(), 1.0 + core.settings.grant_seconds)
        self.assertEqual(len(sent_messages(expired, Grant)), 1)


class ReplayTest(TestCase):
    """Another router can resume an answer, for the same account only."""

    def test_other_router_gets_the_rest(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1))
        for number in range(3):
            core.handle(OutputReceived("q", f"{number}", 1), 1.0)
        core.handle(RouterDisconnected("r1"), 2.0)
        core.handle(OutputReceived("q", "3", 1), 2.1)
        rest = sent_messages(send(core, Resume("q", "a", 1), 2.2, "r2"), Chunks)
        assert isinstance(rest[0], Chunks)
        chunk = rest[0].chunks[0]
        self.assertEqual((chunk.first, chunk.last), (2, 4))
        self.assertEqual(chunk.base_cost, 1.0)

    def test_other_account_cannot_resume(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1))
        core.handle(OutputReceived("q", "secret", 1), 1.0)
        actions = send(core, Resume("q", "other", 0), 2.0, "r2")
        self.assertEqual(sent_messages(actions, Chunks), [])
        self.assertFalse(core.status("q", "other").found)

    @params(("", 1), ("q", 0))
    def test_run_without_a_receiver_is_cancelled_unless_claimed(
        self, attempt_id: str, cancelled: int
    ) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1, "", attempt_id))
        core.handle(RouterDisconnected("r1"), 2.0)
        actions = core.handle(Tick(), 2.0 + core.settings.orphan_seconds)
        count = sum(isinstance(action, CancelRun) for action in actions)
        self.assertEqual(count, cancelled)

    def test_claim_outcome_is_reported_after_its_router_disconnected(self) -> None:
        core = make_core()
        send(core, Dispatch("q", "a", "x", 1, "", "q"))
        core.handle(RouterDisconnected("r1"), 2.0)
        actions = core.handle(RunEnded("q", Verdict.RAN, True), 3.0)
        reports = [a.verdict for a in actions if isinstance(a, ReportClaim)]
        self.assertEqual(reports, [Verdict.RAN])
