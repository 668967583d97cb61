"""The command that runs load shapes on an emulated platform."""

import sys
from pathlib import Path

from click import Path as ClickPath, argument, command, option

from pistachiolever.cli.const import EXIT_INVALID
from pistachiolever.cli.output import show
from pistachiolever.emulator.errors import InvalidExperimentError
from pistachiolever.emulator.experiment import (
    Policies,
    Trial,
    mean_score,
    read_shape,
    run_trials,
)


@command("experiment")
@argument(
    "shapes",
    nargs=-1,
    required=True,
    type=ClickPath(exists=True, dir_okay=False, path_type=Path),
)
@option("--seeds", default=4, show_default=True, help="Number of runs of each shape.")
@option("--first-seed", default=1, show_default=True, help="Seed of the first run.")
@option(
    "--set", "changes", multiple=True, help="NAME=VALUE: override a field of a policy."
)
@option("--jobs", default=1, show_default=True, help="Number of parallel runs.")
@option("--json", "as_json", is_flag=True, help="Print JSON.")
def experiment(
    shapes: tuple[Path, ...],
    seeds: int,
    first_seed: int,
    changes: tuple[str, ...],
    jobs: int,
    as_json: bool,
) -> None:
    """Run load shapes on an emulated platform and print the mean scores.

    Example: pistachiolever experiment benchmarks/shapes/bengal-heavy.json --seeds 8
    --set beyond_share_wait=0.2
    """
    try:
        policies = Policies()
        for change in changes:
            name, _, value = change.partition("=")
            policies = policies.changed(name, value)
        shape_by_name = {path.stem: read_shape(path.read_bytes()) for path in shapes}
    except InvalidExperimentError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    run_seeds = range(first_seed, first_seed + seeds)
    trials = [
        Trial(shape, seed, policies)
        for shape in shape_by_name.values()
        for seed in run_seeds
    ]
    scores = list(run_trials(trials, jobs))
    document: dict[str, object] = {}
    text = [f"{'shape':<18} {'figure':<16} mean of {seeds}"]
    for index, name in enumerate(shape_by_name):
        means = mean_score(scores[index * seeds : (index + 1) * seeds])
        document[name] = means
        text.extend(f"{name:<18} {key:<16} {value:.3f}" for key, value in means.items())
    show(document, text, as_json)
