"""The router core with late, duplicate and lost messages."""

from heapq import heappop, heappush
from random import Random
from unittest import TestCase

from nose2.tools import params

from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import (
    Account,
    Declarations,
    Preset,
    Revision,
    Service,
    ServiceKind,
)
from pistachiolever.router.account_queues import QueuedRequest
from pistachiolever.router.core import RouterCore
from pistachiolever.router.models import (
    CallerRequest,
    CancelRequest,
    CommandsFailed,
    Deliver,
    Drain,
    EndRequest,
    FromSidecar,
    ReaderReady,
    ReaderSlow,
    ReleaseClaim,
    RouterAction,
    SendCommand,
    SidecarConnected,
    SidecarDisconnected,
    Submit,
    Tick,
)
from pistachiolever.router.state import DelayedRetry
from pistachiolever.settings.models import RouterSettings
from pistachiolever.wire.models import (
    Chunk,
    Chunks,
    Detach,
    Dispatch,
    EndpointEntry,
    Outcome,
    Refused,
    Resume,
    SidecarMessage,
    SpareCredits,
)

DONE = Outcome(Verdict.RAN, True)
ENTRY = EndpointEntry("e1", "plan", "127.0.0.1:1", "fd")


def make_core(repeatable: bool = True) -> RouterCore:
    """Return a router with one endpoint that offers five credits."""
    declarations = Declarations(
        [Account("a", ["k"], ["plan"])],
        [Service("plan", ServiceKind.MODEL, repeatable)],
        presets=[Preset("ordinary-day")],
    )
    core = RouterCore(RouterSettings(), Random(1), Revision.of(1, declarations))
    core.handle(SidecarConnected(ENTRY, "i1"), 0.0)
    core.handle(FromSidecar("e1", SpareCredits(5)), 0.0)
    return core


def submit(core: RouterCore, request_id: str = "r1", attempt_id: str = "") -> None:
    """Submit a request that is dispatched at once."""
    request = CallerRequest(request_id, "a", "plan", "x", 10, 1, attempt_id)
    actions = core.handle(Submit(request), 1.0)
    assert any(isinstance(command, Dispatch) for command in commands(actions))


def commands(actions: list[RouterAction]) -> list[object]:
    """Return the messages of all SendCommand actions."""
    return [action.message for action in actions if isinstance(action, SendCommand)]


def from_sidecar(
    core: RouterCore, message: SidecarMessage, now: float = 2.0
) -> list[RouterAction]:
    """Pass the router a message from its endpoint."""
    return core.handle(FromSidecar("e1", message), now)


def delivered(actions: list[RouterAction]) -> list[str]:
    """Return the events delivered to callers."""
    return [action.sse for action in actions if isinstance(action, Deliver)]


def refusal_verdicts(actions: list[RouterAction]) -> list[Verdict]:
    """Return the verdicts of requests that ended with a refusal."""
    return [a.refusal.verdict for a in actions if isinstance(a, EndRequest)]


class AnswerTest(TestCase):
    """Each caller receives every event of its own answer, once and in order."""

    def test_late_duplicate_and_skipped_chunks(self) -> None:
        core = make_core()
        submit(core)
        first = Chunks([Chunk("r1", 1, 2, 1.0, "12")])
        self.assertEqual(delivered(from_sidecar(core, first)), ["12"])
        self.assertEqual(delivered(from_sidecar(core, first)), [])
        skipped = from_sidecar(core, Chunks([Chunk("r1", 5, 5, 3.0, "5")]))
        self.assertEqual(delivered(skipped), [])
        self.assertEqual(commands(skipped), [Resume("r1", "a", 2)])
        rest = from_sidecar(core, Chunks([Chunk("r1", 3, 5, 3.0, "345", DONE)]))
        self.assertEqual(delivered(rest), ["345"])
        late = from_sidecar(core, Chunks([Chunk("r1", 5, 5, 3.0, "5", DONE)]))
        self.assertEqual(delivered(late), [])

    def test_late_answer_of_an_endpoint_that_was_lost(self) -> None:
        core = make_core()
        submit(core)
        core.handle(SidecarDisconnected("e1"), 3.0)
        core.handle(Tick(), 10.0)
        core.handle(SidecarConnected(ENTRY, "i1"), 10.1)
        late = from_sidecar(core, Chunks([Chunk("r1", 1, 1, 1.0, "late")]), 10.2)
        self.assertEqual(delivered(late), [])

    def test_slow_reader_is_detached_and_loses_nothing(self) -> None:
        core = make_core()
        submit(core)
        from_sidecar(core, Chunks([Chunk("r1", 1, 2, 1.0, "12")]))
        slow = commands(core.handle(ReaderSlow("r1"), 2.0))
        self.assertEqual([type(command) for command in slow], [Detach])
        in_transit = from_sidecar(core, Chunks([Chunk("r1", 3, 3, 2.0, "3")]))
        self.assertEqual(delivered(in_transit), [])
        ready = commands(core.handle(ReaderReady("r1"), 2.1))
        self.assertEqual(ready, [Resume("r1", "a", 2)])
        rest = from_sidecar(core, Chunks([Chunk("r1", 3, 4, 3.0, "34", DONE)]))
        self.assertEqual(delivered(rest), ["34"])


class VerdictTest(TestCase):
    """Only requests that certainly did not run get NOT_RUN or are retried."""

    @params((True, []), (False, [Verdict.MAY_HAVE_RUN]))
    def test_sidecar_restarted(self, repeatable: bool, expected: list[Verdict]) -> None:
        core = make_core(repeatable)
        submit(core, attempt_id="" if repeatable else "r1")
        core.handle(SidecarDisconnected("e1"), 3.0)
        actions = core.handle(SidecarConnected(ENTRY, "i2"), 3.5)
        self.assertEqual(refusal_verdicts(actions), expected)

    def test_reconnected_session_requests_missing_events(self) -> None:
        core = make_core(repeatable=False)
        submit(core, attempt_id="r1")
        core.handle(SidecarDisconnected("e1"), 3.0)
        actions = core.handle(SidecarConnected(ENTRY, "i1"), 3.5)
        self.assertIn(Resume("r1", "a", 0), commands(actions))

    @params((False, True), (True, False))
    def test_dispatch_that_failed(self, may_have_arrived: bool, requeued: bool) -> None:
        core = make_core(repeatable=False)
        submit(core, attempt_id="r1")
        dispatch = Dispatch("r1", "a", "x", 10, "", "r1")
        failed = CommandsFailed("e1", [dispatch], may_have_arrived)
        actions = core.handle(failed, 2.0)
        self.assertEqual(core.in_flight_requests.get("r1") is None, requeued)
        self.assertEqual(refusal_verdicts(actions), [])

    def test_partial_answer_is_never_continued_elsewhere(self) -> None:
        core = make_core()
        submit(core)
        from_sidecar(core, Chunks([Chunk("r1", 1, 1, 1.0, "part")]))
        core.handle(SidecarDisconnected("e1"), 3.0)
        actions = core.handle(SidecarConnected(ENTRY, "i2"), 3.5)
        self.assertEqual(refusal_verdicts(actions), [Verdict.MAY_HAVE_RUN])

    def test_refused_claim_is_released_once(self) -> None:
        core = make_core(repeatable=False)
        released = []
        submit(core, attempt_id="r1")
        now = 2.0
        for _ in range(200):
            now += 0.5
            if core.in_flight_requests.get("r1") is not None:
                refused = Refused("r1", Verdict.NOT_RUN, "endpoint-draining")
                actions = from_sidecar(core, refused, now)
            else:
                from_sidecar(core, SpareCredits(5), now)
                actions = core.handle(Tick(), now)
            released += [a for a in actions if isinstance(a, ReleaseClaim)]
        self.assertEqual(released, [ReleaseClaim("r1")])

    def test_cancel_returns_whether_it_may_have_run(self) -> None:
        core = make_core()
        submit(core)
        self.assertEqual(
            refusal_verdicts(core.handle(CancelRequest("r1"), 2.0)),
            [Verdict.MAY_HAVE_RUN],
        )
        from_sidecar(core, SpareCredits(0))
        core.handle(Submit(CallerRequest("r2", "a", "plan", "x", 10, 1)), 2.0)
        self.assertEqual(
            refusal_verdicts(core.handle(CancelRequest("r2"), 2.1)), [Verdict.NOT_RUN]
        )

    def test_timed_out_request_ends_with_retry_after(self) -> None:
        core = make_core()
        from_sidecar(core, SpareCredits(0))
        core.handle(Submit(CallerRequest("r2", "a", "plan", "x", 10, 1)), 2.0)
        actions = core.handle(Tick(), 2.0 + Preset("p").queue_seconds)
        self.assertEqual(refusal_verdicts(actions), [Verdict.NOT_RUN])
        refusal = next(a for a in actions if isinstance(a, EndRequest)).refusal
        self.assertGreater(refusal.retry_after_seconds, 0)

    @params(("endpoint-rejected", [Verdict.NOT_RUN]), ("endpoint-overloaded", [None]))
    def test_rejected_request_is_not_retried(
        self, reason: str, expected: list[Verdict | None]
    ) -> None:
        core = make_core()
        submit(core)
        outcome = Outcome(Verdict.NOT_RUN, False, reason)
        actions = from_sidecar(core, Chunks([Chunk("r1", 1, 1, 0.0, "end", outcome)]))
        seen = [
            action.outcome.verdict
            for action in actions
            if isinstance(action, Deliver) and action.outcome is not None
        ]
        self.assertEqual(seen or [None], expected)

    def test_requeued_request_keeps_its_deadline(self) -> None:
        # Each "no-room" refusal restarted the queue time, so a request that was
        # refused repeatedly never timed out.
        core = make_core()
        submit(core)
        now = 1.0
        ended: list[Verdict] = []
        while not ended and now < 3 * Preset("p").queue_seconds:
            now += 1.0
            if core.in_flight_requests.get("r1") is not None:
                from_sidecar(core, Refused("r1", Verdict.NOT_RUN, "no-room"), now)
            from_sidecar(core, SpareCredits(1), now)
            ended = refusal_verdicts(core.handle(Tick(), now))
            if core.in_flight_requests.get("r1") is not None:
                ended += refusal_verdicts(
                    from_sidecar(core, Refused("r1", Verdict.NOT_RUN, "no-room"), now)
                )
                ended += refusal_verdicts(core.handle(Tick(), now))
        self.assertEqual(ended, [Verdict.NOT_RUN])
        self.assertLessEqual(now, Preset("p").queue_seconds + 2.0)

    def test_refused_while_draining_ends_with_not_run(self) -> None:
        core = make_core()
        submit(core)
        core.handle(Drain(), 2.0)
        actions = from_sidecar(core, Refused("r1", Verdict.NOT_RUN, "no-room"), 2.1)
        self.assertEqual(refusal_verdicts(actions), [Verdict.NOT_RUN])
        self.assertTrue(core.is_idle())


class DelayedRetryTest(TestCase):
    """Delayed retries start in the order of their times."""

    # A cancelled retry left the others out of order: some started too late.
    def test_cancelled_retry_keeps_the_order_of_the_others(self) -> None:
        rng = Random(3)
        for _ in range(50):
            core = make_core()
            numbers = list(range(12))
            rng.shuffle(numbers)
            for number in numbers:
                request = CallerRequest(f"d{number}", "a", "plan", "x", 10, 1)
                core.request_by_id[request.request_id] = request
                item = QueuedRequest(request, 1.0, 99.0)
                entry = DelayedRetry(2.0 + number, number, item)
                heappush(core.delayed_retries, entry)
            cancelled = f"d{rng.choice(numbers)}"
            core.handle(CancelRequest(cancelled), 1.0)
            entries = core.delayed_retries
            times = [heappop(entries).retry_at for _ in range(len(entries))]
            self.assertEqual(times, sorted(times))
            self.assertEqual(len(times), 11)
