"""Summarizes from the logs of all processes how requests ended, and why."""

from collections import Counter
from collections.abc import Callable, Iterable

from attrs import frozen

from pistachiolever.events.explain import END_EVENTS, LogLine

ANSWERED = "answered"
LATE = "late"
REFUSED = "refused"
FAILED = "failed"
LEFT = "caller left"
# Outcomes that count as unsuccessful, with their marks in the plot.
MARK_BY_OUTCOME = {REFUSED: "r", FAILED: "F", LATE: "l", LEFT: "c"}
UNKNOWN = "-"


@frozen
class RequestOutcome:
    """How a request ended at a router; `at_ms` is in milliseconds since the epoch."""

    at_ms: int
    outcome: str
    cause: str
    account: str
    route: str
    endpoint: str


@frozen
class Row:
    """Number of requests of a group by outcome."""

    group: str
    count_by_outcome: Counter[str]

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.count_by_outcome.total()

    @property
    def unsuccessful(self) -> int:
        """Return the number of requests that were not answered in time."""
        return self.total - self.count_by_outcome[ANSWERED]


def request_outcomes(
    lines: Iterable[LogLine], late_seconds: float
) -> list[RequestOutcome]:
    """Return how requests ended.

    An answer is late if its first chunk took longer than `late_seconds`.
    """
    refusal_by_request: dict[str, LogLine] = {}
    failure_by_request: dict[str, LogLine] = {}
    outcomes: list[RequestOutcome] = []
    for line in sorted(lines, key=lambda line: line.sort_key):
        if line.name in ("GRANT_REFUSED", "BID_REFUSED"):
            refusal_by_request[line.request] = line
        elif line.name == "ATTEMPT_FAILED":
            failure_by_request[line.request] = line
        elif line.name in END_EVENTS and line.request:
            refusal = refusal_by_request.pop(line.request, None)
            failure = failure_by_request.pop(line.request, None)
            outcomes.append(_request_outcome(line, refusal, failure, late_seconds))
    return outcomes


def _request_outcome(
    end: LogLine, refusal: LogLine | None, failure: LogLine | None, late_seconds: float
) -> RequestOutcome:
    """Return the outcome of a request and its cause.

    `refusal` and `failure` are the last refused grant and the last failed attempt.
    """
    outcome, cause = _classify(end, late_seconds)
    cause_line = {REFUSED: refusal, FAILED: failure}.get(outcome)
    if cause_line is not None:
        cause = str(cause_line.inputs.get("reason") or cause)
    found = [line.inputs for line in (end, failure, refusal) if line is not None]

    def first_value(name: str) -> str:
        """Return a field from the first of the lines that has it."""
        return next(
            (str(inputs[name]) for inputs in found if inputs.get(name)), UNKNOWN
        )

    return RequestOutcome(
        end.ms,
        outcome,
        cause,
        first_value("account"),
        first_value("route"),
        first_value("endpoint"),
    )


def _classify(end: LogLine, late_seconds: float) -> tuple[str, str]:
    """Return the outcome of a request, and the cause that its end event states."""
    inputs = end.inputs
    reason = str(inputs.get("reason") or UNKNOWN)
    if end.name == "REQUEST_CANCELLED":
        return (LEFT, "queued" if not inputs.get("sends") else "running")
    if end.name == "REQUEST_REFUSED":
        # Drop what was requested, such as the host, so that equal causes are grouped.
        reason = reason.partition(" for ")[0]
        return (REFUSED if inputs.get("status") == 503 else FAILED, reason)
    first = inputs.get("first") or 0.0
    if first <= late_seconds:
        return (ANSWERED, UNKNOWN)
    queued = inputs.get("queued") or 0.0
    return (LATE, "queued" if queued > first / 2 else "endpoint")


def group_outcomes(
    outcomes: Iterable[RequestOutcome], group_key: Callable[[RequestOutcome], str]
) -> list[Row]:
    """Return a row per group, those with the most unsuccessful requests first."""
    row_by_group: dict[str, Row] = {}
    for request in outcomes:
        group = group_key(request)
        row = row_by_group.setdefault(group, Row(group, Counter()))
        row.count_by_outcome[request.outcome] += 1
    return sorted(row_by_group.values(), key=lambda row: (-row.unsuccessful, row.group))


def plot(outcomes: list[RequestOutcome], seconds: float, width: int) -> list[str]:
    """Return a line per `seconds` with a bar of the unsuccessful requests.

    The longest bar has about `width` characters.
    """
    if not outcomes:
        return []
    start_ms = min(request.at_ms for request in outcomes)
    rows = group_outcomes(
        outcomes, lambda request: str(int((request.at_ms - start_ms) / 1000 // seconds))
    )
    row_by_interval = {int(row.group): row for row in rows}
    max_unsuccessful = max(1, *(row.unsuccessful for row in rows))
    lines = []
    for interval in range(max(row_by_interval) + 1):
        row = row_by_interval.get(interval, Row(str(interval), Counter()))
        bar = "".join(
            mark * round(row.count_by_outcome[outcome] * width / max_unsuccessful)
            for outcome, mark in MARK_BY_OUTCOME.items()
        )
        lines.append(f"{interval * seconds:>8.1f} s {row.total:>6} {bar}".rstrip())
    return lines
