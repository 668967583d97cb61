"""The command that summarizes the outcomes of requests from log files."""

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
# Rows shown per table; the others are added up in one row.
MAX_ROWS = 12
PLOT_WIDTH = 50  # characters


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
    help="Time to first chunk in seconds above which an answer is late.",
)
@option(
    "--every",
    "plot_seconds",
    type=FloatRange(min=0, min_open=True),
    default=2.0,
    show_default=True,
    help="Seconds covered by each line of the plot.",
)
@option("--json", "as_json", is_flag=True, help="Print JSON.")
def report(
    files: tuple[Path, ...], late_seconds: float, plot_seconds: float, as_json: bool
) -> None:
    """Summarize request outcomes by cause, account, route and endpoint.

    Example: pistachiolever report --late 0.5 router-*.log engine-*.log
    """
    lines, malformed = read_lines(files)
    outcomes = request_outcomes(lines, late_seconds)
    tables = {
        "cause": group_outcomes(
            [request for request in outcomes if request.outcome != ANSWERED],
            lambda request: f"{request.outcome}: {request.cause}",
        ),
        "account": group_outcomes(outcomes, lambda request: request.account),
        "route": group_outcomes(outcomes, lambda request: request.route),
        "endpoint": group_outcomes(outcomes, lambda request: request.endpoint),
    }
    dropped = count_dropped_lines(lines)
    document: dict[str, object] = {
        "requests": len(outcomes),
        "lines_left_out": dropped,
        "lines_unread": malformed,
    }
    for name, rows in tables.items():
        document[name] = {row.group: dict(row.count_by_outcome) for row in rows}
    show(
        document,
        _format_lines(outcomes, tables, plot_seconds, dropped, malformed),
        as_json,
    )


def _format_lines(
    outcomes: list[RequestOutcome],
    tables: dict[str, list[Row]],
    plot_seconds: float,
    dropped: int,
    malformed: int,
) -> list[str]:
    """Format the tables and the plot as lines of text."""
    text = [f"{len(outcomes)} requests ended"]
    if dropped:
        text.append(f"{dropped} lines were left out under load: counts are samples")
    if malformed:
        text.append(f"{malformed} lines are cut short and were not read")
    for name, rows in tables.items():
        text.append("")
        headings = "".join(f"{outcome:>12}" for outcome in OUTCOMES)
        text.append(f"{name:<32}{headings}")
        text.extend(_format_row(row) for row in _limit_rows(rows))
    marks = ", ".join(f"{mark} {outcome}" for outcome, mark in MARK_BY_OUTCOME.items())
    text.extend(["", f"over time: requests, and {marks}"])
    text.extend(plot(outcomes, plot_seconds, PLOT_WIDTH))
    return text


def _limit_rows(rows: list[Row]) -> list[Row]:
    """Return at most `MAX_ROWS` rows, and one row with the sum of the others."""
    if len(rows) <= MAX_ROWS:
        return rows
    others: Counter[str] = Counter()
    for row in rows[MAX_ROWS:]:
        others += row.count_by_outcome
    return [*rows[:MAX_ROWS], Row(f"{len(rows) - MAX_ROWS} others", others)]


def _format_row(row: Row) -> str:
    """Format a row of a table."""
    counts = "".join(f"{row.count_by_outcome[outcome]:>12}" for outcome in OUTCOMES)
    return f"{row.group[:31]:<32}{counts}"
