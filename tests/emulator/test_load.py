"""Tests of the load generator."""

from pathlib import Path
from random import Random

from attrs import evolve

from pistachiolever.emulator.experiment import read_shape
from pistachiolever.emulator.load import LoadGenerator
from pistachiolever.emulator.models import Episode
from tests.support.cases import CaseTest

SHAPES = Path(__file__).parent.parent.parent / "benchmarks" / "shapes"


class EpisodeTest(CaseTest):
    """The rate follows the episodes that are in force at each moment."""

    # The highest rate was looked for at starts of episodes only: after a quiet episode
    # had ended within a hot one, no more requests came than during both.
    def test_rate_after_a_quiet_episode_within_a_hot_one(self) -> None:
        shape = read_shape((SHAPES / "bengal-calm.json").read_bytes())
        kind = shape.kinds[0].kind_id
        hot = Episode(0.0, 20.0, 4.0, kind_id=kind)
        quiet = Episode(0.0, 10.0, 0.1, kind_id=kind)
        changed = evolve(shape, seconds=20.0, swing=0.0, episodes=[hot, quiet])
        times = [
            arrival.at
            for arrival in LoadGenerator(changed, Random(5)).arrivals()
            if arrival.kind.kind_id == kind
        ]
        before = sum(at < 10.0 for at in times)
        after = sum(10.0 <= at < 20.0 for at in times)
        # The rate rises tenfold.
        self.assertGreater(after, 7 * before, (before, after))
