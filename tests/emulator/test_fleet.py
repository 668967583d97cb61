"""Scores of heavy loads on an emulated platform."""

import json
from functools import cache
from pathlib import Path

from attrs import evolve

from pistachiolever.emulator.errors import InvalidExperimentError
from pistachiolever.emulator.experiment import (
    Policies,
    Trial,
    mean_score,
    read_shape,
    run_trial,
)
from pistachiolever.emulator.models import Episode, LoadShape, Release
from pistachiolever.emulator.scoring import Score
from tests.support.cases import CaseTest

SHAPES = Path(__file__).parent.parent.parent / "benchmarks" / "shapes"


def short_shape(name: str = "nordeste-heavy", seconds: float = 18.0) -> LoadShape:
    """Return a shape with several hot accounts from the start."""
    shape = read_shape((SHAPES / f"{name}.json").read_bytes())
    hot = Episode(0.0, seconds, 6.0, accounts=3, first_rank=2)
    return evolve(shape, seconds=seconds, episodes=[hot])


@cache
def score_of(**changes: str) -> Score:
    """Return the score of a short run with a policy changed."""
    policies = Policies()
    for name, value in changes.items():
        policies = policies.changed(name, value)
    return run_trial(Trial(short_shape(), 2, policies))


class HotAccountsTest(CaseTest):
    """Several hot accounts hardly affect accounts below their fair share."""

    def test_callers_earn_most_of_the_entitled_credit(self) -> None:
        score = score_of()
        self.assertGreater(score.whole, 0.9)
        self.assertGreater(score.worst_accounts, 0.7)
        self.assertGreater(score.worst_kind, 0.5)

    def test_without_fair_shares_the_worst_accounts_earn_less(self) -> None:
        """First come, first served, which fair admission replaced, scores lower."""
        first_come_score = score_of(
            beyond_share_wait="1",
            beyond_unread_tokens="3000",
            beyond_most_unread="1000000",
        )
        self.assertLess(
            first_come_score.worst_accounts, score_of().worst_accounts - 0.2
        )
        self.assertLess(first_come_score.worst_windows, score_of().worst_windows - 0.1)
        self.assertLess(first_come_score.whole, score_of().whole - 0.1)

    def test_free_capacity_goes_to_accounts_over_their_share(self) -> None:
        """Capacity is not left idle: accounts get more than their fair shares."""
        self.assertGreater(score_of().in_time, 0.5)
        self.assertGreater(score_of().busy, 0.8)

    def test_planned_returns_are_in_time(self) -> None:
        """Callers that came back after their target got late responses."""
        planned = run_trial(Trial(evolve(short_shape(), plans_returns=True), 2))
        self.assertLess(planned.late, score_of().late / 2)
        self.assertGreater(planned.in_time, score_of().in_time)
        self.assertGreater(planned.worst_accounts, score_of().worst_accounts)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        again = run_trial(Trial(short_shape(), 2))
        self.assertEqual(again, score_of())


class RareKindTest(CaseTest):
    """A kind without requests in a run is left out of its figures.

    Its earned fraction would divide by a credit of zero.
    """

    def test_a_kind_without_requests(self) -> None:
        shape = short_shape(seconds=1.0)
        plan, *others = shape.kinds
        shape = evolve(shape, kinds=[evolve(plan, rate=0.0), *others])
        score = run_trial(Trial(shape, 1))
        self.assertNotIn("plan tenth", score.served_by_kind)
        self.assertIn("query tenth", score.served_by_kind)


class ShapeTest(CaseTest):
    """Invalid shapes and policy changes are rejected with a message."""

    def test_every_shape_can_be_decoded(self) -> None:
        for path in SHAPES.glob("*.json"):
            with self.subTest(path=path.name):
                self.assertEqual(read_shape(path.read_bytes()).name, path.stem)

    def test_errors_name_the_fault(self) -> None:
        document = json.loads((SHAPES / "bengal-heavy.json").read_text())
        del document["kinds"][0]["rate"]
        with self.assertRaisesRegex(InvalidExperimentError, "shape"):
            read_shape(json.dumps(document).encode())
        with self.assertRaisesRegex(InvalidExperimentError, "not a field"):
            Policies().changed("unknown", "1")
        with self.assertRaisesRegex(InvalidExperimentError, "not a number"):
            Policies().changed("size_part", "much")

    def test_figures_are_averaged(self) -> None:
        means = mean_score([score_of(), score_of()])
        self.assertAlmostEqual(means["whole"], score_of().whole)
        self.assertIn("kind plan tenth", means)


class ReleaseTest(CaseTest):
    """Engines are replaced while only their responses tell that they leave."""

    def score(self, notices: bool) -> Score:
        """Return the score of a run in which all engines are replaced."""
        shape = read_shape((SHAPES / "bengal-calm.json").read_bytes())
        release = Release(2.0, 1.0, notices=notices, linger_seconds=3.0)
        changed = evolve(shape, seconds=14.0, episodes=[], release=release)
        return run_trial(Trial(changed, 1))

    def test_no_request_after_the_drain_time(self) -> None:
        score = self.score(notices=True)
        self.assertEqual((score.late_requests, score.disregarding_requests), (0, 0))
        self.assertLess(score.failed, 0.005)

    def test_without_notices_requests_come_late(self) -> None:
        score = self.score(notices=False)
        self.assertGreater(score.late_requests, 0)


class BusyTest(CaseTest):
    """The busy fraction of the engines is a fraction of the whole run."""

    # Work after the last arrival counted, its time did not: engines seemed over-busy.
    def test_run_that_lasts_longer_than_its_arrivals(self) -> None:
        shape = read_shape((SHAPES / "bengal-calm.json").read_bytes())
        shape = evolve(shape, seconds=1.0, rate_factor=6.0, episodes=[])
        self.assertLessEqual(run_trial(Trial(shape, 1)).busy, 1.0)
