"""Runs load shapes with given seeds and policies, in parallel."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from statistics import fmean

from attrs import evolve, fields, fields_dict, frozen

from pistachiolever.admission.policy import AdmissionPolicy
from pistachiolever.core.errors import ProtocolError
from pistachiolever.emulator.errors import InvalidExperimentError
from pistachiolever.emulator.fleet import EmulatedFleet
from pistachiolever.emulator.models import LoadShape
from pistachiolever.emulator.scoring import Score
from pistachiolever.gateway.policy import PlacementPolicy
from pistachiolever.wire.codec import decode


@frozen
class Policies:
    """The admission and placement policies of a run."""

    admission: AdmissionPolicy = AdmissionPolicy()
    placement: PlacementPolicy = PlacementPolicy()

    def changed(self, name: str, value: str) -> "Policies":
        """Return a copy with one field changed.

        Raises InvalidExperimentError for an unknown field or a value that is no number.
        """
        for part in ("admission", "placement"):
            policy = getattr(self, part)
            known = fields_dict(type(policy)).get(name)
            if known is None:
                continue
            kind = int if isinstance(known.default, int) else float
            try:
                changed = evolve(policy, **{name: kind(value)})
            except ValueError as error:
                raise InvalidExperimentError(
                    name, f"{value!r} is not a number"
                ) from error
            return evolve(self, **{part: changed})
        raise InvalidExperimentError(name, "is not a field of any policy")


@frozen
class Trial:
    """The shape, seed and policies of one run."""

    shape: LoadShape
    seed: int
    policies: Policies = Policies()


def read_shape(text: bytes) -> LoadShape:
    """Decode a load shape from JSON; raise InvalidExperimentError if it is invalid."""
    try:
        return decode(text, LoadShape)
    except ProtocolError as error:
        raise InvalidExperimentError("shape", str(error)) from error


def run_trial(trial: Trial) -> Score:
    """Run one trial to its end."""
    policies = trial.policies
    return EmulatedFleet(
        trial.shape, trial.seed, policies.admission, policies.placement
    ).run()


def run_trials(trials: list[Trial], jobs: int) -> Iterable[Score]:
    """Run trials in `jobs` processes; return the scores in the same order."""
    if jobs <= 1:
        return [run_trial(trial) for trial in trials]
    # Forked children would inherit the parent's event loop policy and locks.
    with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        return list(pool.map(run_trial, trials))


def mean_score(scores: list[Score]) -> dict[str, float]:
    """Return the mean of each figure over several runs.

    A run without requests of a kind, or of a domain, counts as 1 in its figure.
    """
    by_group = ("served_by_kind", "served_by_domain")
    names = [entry.name for entry in fields(Score) if entry.name not in by_group]
    means = {name: fmean(getattr(score, name) for score in scores) for name in names}
    kinds = {kind for score in scores for kind in score.served_by_kind}
    for kind in sorted(kinds):
        fractions = [score.served_by_kind.get(kind, 1.0) for score in scores]
        means[f"kind {kind}"] = fmean(fractions)
    domains = {domain for score in scores for domain in score.served_by_domain}
    for domain in sorted(domains):
        fractions = [score.served_by_domain.get(domain, 1.0) for score in scores]
        means[f"domain {domain}"] = fmean(fractions)
    return means
