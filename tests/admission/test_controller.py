"""Bids of tasks that are cancelled leave nothing behind."""

from random import Random

from anyio import (
    CancelScope,
    create_task_group,
    current_time,
    move_on_after,
    run,
    sleep,
)
from attrs import evolve

from pistachiolever.admission.controller import AdmissionController
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import EndedRun, Progress
from tests.admission.test_core import BID
from tests.support.cases import CaseTest


def make_controller() -> AdmissionController:
    """Return the controller of an idle engine with few slots."""
    core = AdmissionCore(Capacity(4, 500_000), Random(1))
    return AdmissionController(core, current_time)


class CancelledBidTest(CaseTest):
    """A cancelled bid holds no slot, whether it was granted or not."""

    # A bid granted at once and cancelled before its task ran again kept its slot.
    def test_granted_and_cancelled_at_once(self) -> None:
        async def cancel() -> AdmissionController:
            controller = make_controller()
            with CancelScope() as scope:
                scope.cancel()
                await controller.acquire(BID)
            return controller

        controller = run(cancel)
        self.assertEqual(controller.core.run_by_id, {})
        self.assertEqual(controller.core.reserved_tokens, 0)
        self.assertEqual(controller.pending_by_bid, {})

    def test_random_runs_leave_nothing(self) -> None:
        async def random_runs(seed: int) -> AdmissionController:
            rng = Random(seed)
            controller = make_controller()

            async def one(number: int) -> None:
                bid = evolve(BID, bid_id=f"b{number}", request_id=f"r{number}", slots=4)
                await sleep(rng.random() * 0.05)
                reply = None
                with move_on_after(rng.choice((0.0, 0.001, 0.01, 1.0))):
                    reply = await controller.acquire(bid)
                if reply is not None and reply.granted:
                    await sleep(rng.random() * 0.01)
                    controller.handle_progress(
                        Progress(ended=[EndedRun(bid.bid_id, 5)])
                    )

            async with create_task_group() as group:
                for number in range(200):
                    group.start_soon(one, number)
            return controller

        for seed in range(3):
            with self.subTest(seed):
                controller = run(random_runs, seed)
                self.assertEqual(controller.core.run_by_id, {})
                self.assertEqual(controller.core.queued_by_id, {})
                self.assertEqual(controller.core.reserved_tokens, 0)
                self.assertEqual(controller.pending_by_bid, {})


class RepeatedBidTest(CaseTest):
    """A message that arrives twice must not corrupt the state."""

    # Two requests with one id made bids with one id. The second replaced the first, and
    # from its end on every look at the load raised KeyError.
    def test_repeated_bid_is_refused(self) -> None:
        async def submit() -> list[bool]:
            now = [0.0]
            controller = AdmissionController(
                AdmissionCore(Capacity(4), Random(1)), lambda: now[0]
            )
            first = await controller.acquire(BID)
            second = await controller.acquire(BID)
            controller.handle_progress(Progress(ended=[EndedRun(BID.bid_id, 5)]))
            controller.load()
            third = await controller.acquire(BID)
            return [first.granted, second.granted, third.granted]

        self.assertEqual(run(submit), [True, False, True])
