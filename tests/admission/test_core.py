"""Admission before one engine: order of grants, refusals and ends of runs."""

from random import Random
from typing import Any

from attrs import evolve

from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.fair_queue import FairQueue, QueuedRequest
from pistachiolever.admission.models import (
    AdmissionAction,
    Bid,
    EngineReport,
    EngineRun,
    Granted,
    PromptPart,
    Refused,
)
from tests.support.cases import CaseTest

BID = Bid(
    "b",
    "r",
    "one",
    "plan",
    1,
    1.0,
    10.0,
    prompt_tokens=2000,
    output_tokens=100,
    slots=64,
    memory_tokens=500_000,
)


def make_core() -> AdmissionCore:
    """Return the core of an idle engine."""
    return AdmissionCore(Capacity(64, 500_000), Random(1))


def bid(name: str, account: str = "one", kind: str = "plan", **fields: Any) -> Bid:
    """Return a bid of an account."""
    return evolve(
        BID, bid_id=name, request_id=name, account_id=account, kind=kind, **fields
    )


def granted(actions: list[AdmissionAction]) -> list[str]:
    """Return the ids of the bids that were granted, in order."""
    return [action.bid_id for action in actions if isinstance(action, Granted)]


def refused(actions: list[AdmissionAction]) -> list[str]:
    """Return the ids of the bids that were refused, in order."""
    return [action.bid_id for action in actions if isinstance(action, Refused)]


class GrantTest(CaseTest):
    """Grants keep the engine busy, respect its limits and follow the fair order."""

    def test_idle_engine_takes_request_of_any_size(self) -> None:
        core = make_core()
        huge = bid("huge", prompt_tokens=60_000)
        self.assertEqual(granted(core.submit(huge, 1.0)), ["huge"])

    def test_requests_queue_while_prefill_is_pending(self) -> None:
        core = make_core()
        names = [f"n{n}" for n in range(6)]
        taken = [name for name in names if granted(core.submit(bid(name), 1.0))]
        self.assertLess(len(taken), len(names))
        self.assertGreaterEqual(len(taken), 2)
        self.assertEqual(granted(core.handle_start(taken[0], 1.05))[:1], ["n2"])

    def test_hot_account_does_not_delay_small_account(self) -> None:
        """Guards against first come, first served between accounts."""
        core = make_core()
        for number in range(10):
            core.submit(bid(f"hot{number}", "hot"), 1.0)
        grants = granted(core.submit(bid("small", "small"), 1.01))
        grants += granted(core.handle_start("hot0", 1.06))
        self.assertEqual(grants[:1], ["small"])

    def test_kind_with_small_prompts_gets_its_turn(self) -> None:
        """Guards against first come, first served between kinds of one account."""
        core = make_core()
        for number in range(8):
            core.submit(bid(f"plan{number}", prompt_tokens=6000), 1.0)
        core.submit(bid("query", kind="query", prompt_tokens=300), 1.01)
        self.assertEqual(granted(core.handle_start("plan0", 1.15))[:1], ["query"])

    def test_memory_is_not_reserved_twice(self) -> None:
        core = make_core()
        size = 5000
        now = 1.0
        taken = 0
        for number in range(200):
            name = f"n{number}"
            request = bid(
                name, prompt_tokens=size, memory_tokens=50_000, target_seconds=5.0
            )
            if granted(core.submit(request, now)):
                core.handle_start(name, now + 0.05)
                taken += 1
            now += 0.2
        self.assertLessEqual(taken * size, 50_000)

    def test_shared_parts_reserve_memory_once(self) -> None:
        core = make_core()
        shared = PromptPart("shared", 4000)
        for number in range(8):
            parts = [shared, PromptPart(f"own{number}", 100)]
            core.submit(
                bid(f"n{number}", prompt_tokens=4100, parts=parts, output_tokens=0),
                1.0 + number,
            )
            core.handle_start(f"n{number}", 1.5 + number)
        self.assertEqual(core.reserved_tokens, 4000 + 8 * 100)

    def test_slots_limit_a_plain_endpoint(self) -> None:
        core = make_core()
        plain: dict[str, Any] = {
            "prompt_tokens": 0,
            "output_tokens": 0,
            "memory_tokens": 0,
            "slots": 2,
        }
        taken = [granted(core.submit(bid(f"n{n}", **plain), 1.0)) for n in range(3)]
        self.assertEqual(taken, [["n0"], ["n1"], []])
        self.assertEqual(granted(core.handle_end("n0", 0, 1.1)), ["n2"])


class RefuseTest(CaseTest):
    """Requests that can't meet their targets are refused at once."""

    def test_flood_is_refused_early_with_spread_retry_times(self) -> None:
        core = make_core()
        actions: list[AdmissionAction] = []
        for number in range(60):
            actions.extend(core.submit(bid(f"n{number}", prompt_tokens=6000), 1.0))
        waits = [a.retry_after_seconds for a in actions if isinstance(a, Refused)]
        self.assertGreater(len(waits), 40)
        self.assertGreater(max(waits) - min(waits), 0.2)
        self.assertLess(len(core.queued_by_id), 12)

    def test_only_the_flooding_account_is_refused(self) -> None:
        core = make_core()
        actions: list[AdmissionAction] = []
        for number in range(40):
            actions.extend(
                core.submit(bid(f"hot{number}", "hot", prompt_tokens=6000), 1.0)
            )
            if number % 8 == 0:
                actions.extend(core.submit(bid(f"small{number}", f"a{number}"), 1.0))
        self.assertTrue(refused(actions))
        self.assertFalse([name for name in refused(actions) if name[0] == "s"])

    def test_largest_prompts_are_accepted_by_a_nearly_idle_engine(self) -> None:
        core = make_core()
        core.submit(bid("first", prompt_tokens=300), 1.0)
        actions = core.submit(bid("large", prompt_tokens=54_000), 1.0)
        self.assertEqual(refused(actions), [])
        busy = make_core()
        for number in range(30):
            busy.submit(bid(f"n{number}", f"a{number}"), 1.0)
        actions = busy.submit(bid("large", "a0", prompt_tokens=54_000), 1.0)
        self.assertIn("large", refused(actions))

    def test_burst_is_queued_and_overload_is_refused(self) -> None:
        """The same requests are queued after a calm period, refused after a flood."""
        calm, flooded = make_core(), make_core()
        for number in range(200):
            now = 1.0 + number * 0.01
            flooded.submit(bid(f"old{number}", "flood", target_seconds=0.1), now)
        counts = []
        for core in (calm, flooded):
            actions: list[AdmissionAction] = []
            for number in range(16):
                actions.extend(core.submit(bid(f"n{number}", f"a{number}"), 3.5))
            counts.append(len(refused(actions)))
        self.assertLess(counts[0], counts[1])


class FairShareTest(CaseTest):
    """With hot accounts, capacity is kept for those below their share."""

    def busy_core(self) -> AdmissionCore:
        """Return the core of an idle engine with recent demand above its capacity."""
        core = make_core()
        core.demand.add(1_000_000, 1.0)
        return core

    def hot_core(self) -> AdmissionCore:
        """Return such a core with one granted request of the hot account."""
        core = self.busy_core()
        core.submit(bid("first", "hot", **self.hot), 1.0)
        return core

    def setUp(self) -> None:
        """Set the service and share that routers report for two accounts."""
        self.hot: dict[str, Any] = {"total": 30_000.0, "share": 10_000.0}
        self.small: dict[str, Any] = {"total": 0.0, "share": 10_000.0}

    def test_shares_are_not_enforced_while_capacity_suffices(self) -> None:
        core = make_core()
        names = [f"n{number}" for number in range(2)]
        for name in names:
            request = bid(name, "hot", prompt_tokens=1000, **self.hot)
            self.assertEqual(granted(core.submit(request, 1.0)), [name])

    def test_idle_engine_serves_account_over_its_share(self) -> None:
        core = self.busy_core()
        self.assertEqual(granted(core.submit(bid("a", "hot", **self.hot), 1.0)), ["a"])

    def test_account_over_its_share_waits_for_pending_prefill(self) -> None:
        core = self.hot_core()
        self.assertEqual(core.submit(bid("second", "hot", **self.hot), 1.0), [])
        taken = granted(core.submit(bid("small", "small", **self.small), 1.0))
        self.assertEqual(taken, ["small"])

    def test_account_over_its_share_is_refused_early_with_reason(self) -> None:
        core = self.hot_core()
        actions: list[AdmissionAction] = []
        for number in range(12):
            actions.extend(core.submit(bid(f"hot{number}", "hot", **self.hot), 1.0))
        reasons = {a.reason for a in actions if isinstance(a, Refused)}
        self.assertEqual(reasons, {"beyond-share"})

    def test_account_below_its_share_may_wait_longer(self) -> None:
        """The same request is refused over the share and queued below it."""
        for fields, expected in ((self.hot, True), (self.small, False)):
            core = self.busy_core()
            core.submit(bid("long", "other", prompt_tokens=20_000), 1.0)
            actions = core.submit(bid("next", "one", **fields), 1.0)
            with self.subTest(fields=fields):
                self.assertEqual("next" in refused(actions), expected)

    def test_requests_below_a_share_precede_those_over_one(self) -> None:
        """Also if the account below its larger share has received more service."""
        core = self.busy_core()
        core.submit(bid("long", "other", prompt_tokens=6_000), 1.0)
        core.submit(bid("hot", "hot", total=3_000.0, share=2_000.0), 1.0)
        large = bid("large", "large", total=5_000.0, share=20_000.0)
        core.submit(large, 1.01)
        self.assertEqual(granted(core.handle_start("long", 1.2))[:1], ["large"])

    def test_large_prompt_over_a_share_does_not_block_the_engine(self) -> None:
        """It is refused while demand exceeds capacity, and granted otherwise."""
        large: dict[str, Any] = {"prompt_tokens": 30_000, **self.hot}
        request = bid("large", "hot", **large)
        self.assertEqual(granted(make_core().submit(request, 1.0)), ["large"])
        self.assertEqual(refused(self.busy_core().submit(request, 1.0)), ["large"])

    def test_underserved_prompt_size_is_not_over_the_share(self) -> None:
        """Guards against small prompts using up the whole share of their account."""
        core = make_core()
        fields: dict[str, Any] = {"total": 0.0, "share": 16_000.0}
        now = 1.0
        for number in range(10):
            name = f"small{number}"
            core.submit(bid(name, "hot", prompt_tokens=1500, **fields), now)
            core.handle_start(name, now + 0.04)
            core.handle_end(name, 100, now + 0.05)
            now += 0.06
        queue = FairQueue(core.service, core.policy, now)
        for tokens, over_share_expected in ((1500, True), (12_000, False)):
            request = bid("next", "hot", prompt_tokens=tokens, **fields)
            core.service.record_demand(request, 12_000, now)
            queued = QueuedRequest(request, now, now + 1, now + 9, tokens)
            with self.subTest(tokens=tokens):
                self.assertEqual(
                    queue.order([queued])[0].over_share, over_share_expected
                )


class EndTest(CaseTest):
    """Ends of runs are detected, also if no router reports them."""

    def test_withdrawn_bid_releases_its_resources(self) -> None:
        core = make_core()
        for name in ("a", "b", "c"):
            core.submit(bid(name), 1.0)
        core.withdraw("a", 1.0)
        core.withdraw("b", 1.0)
        core.withdraw("c", 1.0)
        self.assertEqual((core.run_by_id, core.queued_by_id), ({}, {}))
        self.assertEqual(core.reserved_tokens, 0.0)

    def test_run_missing_from_engine_reports_ends(self) -> None:
        """A router that fails never reports the ends of its requests."""
        core = make_core()
        core.submit(bid("lost"), 1.0)
        core.submit(bid("kept"), 1.0)
        listed = [EngineRun("kept", 2100, 3)]
        for step in range(20):
            core.handle_report(EngineReport(7, 0, 1, 0, 0, listed), 2.0 + step * 0.1)
        self.assertEqual(list(core.run_by_id), ["kept"])

    def test_run_without_output_is_refunded(self) -> None:
        core = make_core()
        core.submit(bid("a"), 1.0)
        core.handle_end("a", 0, 1.0)
        self.assertEqual(core.service.local("one", 1.0), 0.0)


class CapacityTest(CaseTest):
    """The capacity of an engine is known before the first bid for it."""

    # An engine without bids reported no memory and was placed behind all others.
    def test_memory_comes_from_reports_until_a_bid_names_it(self) -> None:
        core = AdmissionCore(Capacity(1), Random(1))
        core.handle_report(EngineReport(1, 0, 0, 0, 400_000), 1.0)
        share = core.policy.memory_share
        self.assertEqual(core.load(1.0).free_memory_tokens, 400_000 * share)
        core.submit(BID, 2.0)
        core.handle_report(EngineReport(1, 0, 0, 0, 400_000), 3.0)
        self.assertEqual(core.capacity.memory_tokens, BID.memory_tokens)
