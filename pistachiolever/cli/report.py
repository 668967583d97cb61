"""The command that sums up what went wrong from the logs of all processes."""

from collections import Counter
from pathlib import Path

from click import FloatRange, Path as ClickPath, argument, command, option

from pistachiolever.cli.explain import read_lines
from pistachiolever.cli.output import show
from pistachiolever.events.explain import count_dropped_lines
from pistachiolever.events.report import (
    ANSWERED,
    FAILED,
    LATE,
    LEFT,
    MARK_BY_OUTCOME,
    REFUSED,
    RequestOutcome,
    Row,
    group_outcomes,
    plot,
    request_outcomes,
)

OUTCOMES = (ANSWERED, LATE, REFUSED, FAILED, LEFT)
# Rows of a table that are shown; the rest is summed up in one.
MOST_ROWS = 12
PLOT_WIDTH = 50


@command("report")
@argument(
    "files",
    nargs=-1,
    required=True,
    type=ClickPath(exists=True, dir_okay=False, path_type=Path),
)
@option(
    "--late",
    "late_seconds",
    type=FloatRange(min=0, min_open=True),
    default=1.0,
    show_default=True,
    help="Seconds to the first part after which an answer is late.",
)
@option(
    "--every",
    "plot_seconds",
    type=FloatRange(min=0, min_open=True),
    default=2.0,
    show_default=True,
    help="Seconds that a line of the plot stands for.",
)
@option("--json", "as_json", is_flag=True, help="Print JSON.")
def report(
    files: tuple[Path, ...], late_seconds: float, plot_seconds: float, as_json: bool
) -> None:
    """Sum up what was refused, late or failed: by cause, account, route, endpoint.

    Example: pistachiolever report --late 0.5 router-*.log engine-*.log
    """
    lines, unread = read_lines(files)
    ends = request_outcomes(lines, late_seconds)
    tables = {
        "cause": group_outcomes(
            [end for end in ends if end.outcome != ANSWERED],
            lambda end: f"{end.outcome}: {end.cause}",
        ),
        "account": group_outcomes(ends, lambda end: end.account),
        "route": group_outcomes(ends, lambda end: end.route),
        "endpoint": group_outcomes(ends, lambda end: end.endpoint),
    }
    left_out = count_dropped_lines(lines)
    document: dict[str, object] = {
        "requests": len(ends),
        "lines_left_out": left_out,
        "lines_unread": unread,
    }
    for name, rows in tables.items():
        document[name] = {row.group: dict(row.count_by_outcome) for row in rows}
    show(document, _text(ends, tables, plot_seconds, left_out, unread), as_json)


def _text(
    ends: list[RequestOutcome],
    tables: dict[str, list[Row]],
    plot_seconds: float,
    left_out: int,
    unread: int,
) -> list[str]:
    """Return the tables and the plot as lines of text."""
    text = [f"{len(ends)} requests ended"]
    if left_out:
        text.append(f"{left_out} lines were left out under load: counts are samples")
    if unread:
        text.append(f"{unread} lines are cut short and were not read")
    for name, rows in tables.items():
        text.append("")
        heads = "".join(f"{outcome:>12}" for outcome in OUTCOMES)
        text.append(f"{name:<32}{heads}")
        text.extend(_row_text(row) for row in _shortened(rows))
    marks = ", ".join(f"{mark} {outcome}" for outcome, mark in MARK_BY_OUTCOME.items())
    text.extend(["", f"over time: requests, and {marks}"])
    text.extend(plot(ends, plot_seconds, PLOT_WIDTH))
    return text


def _shortened(rows: list[Row]) -> list[Row]:
    """Return the first rows, and one for all others."""
    if len(rows) <= MOST_ROWS:
        return rows
    rest: Counter[str] = Counter()
    for row in rows[MOST_ROWS:]:
        rest += row.count_by_outcome
    return [*rows[:MOST_ROWS], Row(f"{len(rows) - MOST_ROWS} others", rest)]


def _row_text(row: Row) -> str:
    """Return a row of a table."""
    counts = "".join(f"{row.count_by_outcome[outcome]:>12}" for outcome in OUTCOMES)
    return f"{row.group[:31]:<32}{counts}"
