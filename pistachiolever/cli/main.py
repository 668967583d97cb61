"""Entry point of the `pistachiolever` command line."""

from collections.abc import Sequence

from absl import logging
from click import Choice, group, option

from pistachiolever.cli.caller import cancel, resume, send
from pistachiolever.cli.declarations import (
    apply,
    export,
    history,
    plan,
    preset,
    rollback,
    validate,
)
from pistachiolever.cli.experiment import experiment
from pistachiolever.cli.explain import explain_request
from pistachiolever.cli.fleet import claims, status, timeline
from pistachiolever.cli.report import report
from pistachiolever.cli.roles import control, init, router, sidecar, standalone, version


@group()
@option(
    "--log-level",
    type=Choice(["debug", "info", "warning", "error"]),
    default="warning",
    help="Least severe level that is logged to standard error.",
)
def cli(log_level: str) -> None:
    """Share model engines and services fairly between client accounts.

    Exit codes: 0 success, 1 failed or unreachable, 2 usage error, 3 invalid
    settings or declarations, 4 conflict with another change, 5 the request was
    not run, 6 the request may have run.
    """
    logging.set_verbosity(log_level)
    logging.set_stderrthreshold(log_level)


for command in (
    apply,
    cancel,
    claims,
    control,
    experiment,
    explain_request,
    export,
    history,
    init,
    plan,
    preset,
    report,
    resume,
    rollback,
    router,
    send,
    sidecar,
    standalone,
    status,
    timeline,
    validate,
    version,
):
    cli.add_command(command)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line with these arguments, by default those of the process."""
    cli(args=list(arguments) if arguments is not None else None)
