"""Sums up from the logs of all processes what was refused, late or failed, and why."""

from collections import Counter
from collections.abc import Callable, Iterable

from attrs import frozen

from pistachiolever.events.explain import END_EVENTS, LogLine

ANSWERED = "answered"
LATE = "late"
REFUSED = "refused"
FAILED = "failed"
LEFT = "caller left"
# What a report counts as trouble, with the mark of each in the plot.
MARK_BY_OUTCOME = {REFUSED: "r", FAILED: "F", LATE: "l", LEFT: "c"}
UNKNOWN = "-"


@frozen
class RequestOutcome:
    """A request that ended at a router; `at_ms` is milliseconds since the epoch."""

    at_ms: int
    outcome: str
    cause: str
    account: str
    route: str
    endpoint: str


@frozen
class Row:
    """The outcomes of one group of requests."""

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
    """Return how requests ended; an answer is late after `late_seconds`."""
    refusal_by_request: dict[str, LogLine] = {}
    failure_by_request: dict[str, LogLine] = {}
    ends: list[RequestOutcome] = []
    for line in sorted(lines, key=lambda line: line.order):
        if line.name in ("GRANT_REFUSED", "BID_REFUSED"):
            refusal_by_request[line.request] = line
        elif line.name == "ATTEMPT_FAILED":
            failure_by_request[line.request] = line
        elif line.name in END_EVENTS and line.request:
            refusal = refusal_by_request.pop(line.request, None)
            failure = failure_by_request.pop(line.request, None)
            ends.append(_ended(line, refusal, failure, late_seconds))
    return ends


def _ended(
    end: LogLine, refusal: LogLine | None, failure: LogLine | None, late_seconds: float
) -> RequestOutcome:
    """Return the end of a request with the cause that the lines tell."""
    outcome, cause = _outcome(end, late_seconds)
    blamed = {REFUSED: refusal, FAILED: failure}.get(outcome)
    if blamed is not None:
        cause = str(blamed.inputs.get("reason") or cause)
    known = [line.inputs for line in (end, failure, refusal) if line is not None]

    def first_of(name: str) -> str:
        """Return a field of the first line that has it."""
        return next((str(i[name]) for i in known if i.get(name)), UNKNOWN)

    return RequestOutcome(
        end.ms,
        outcome,
        cause,
        first_of("account"),
        first_of("route"),
        first_of("endpoint"),
    )


def _outcome(end: LogLine, late_seconds: float) -> tuple[str, str]:
    """Return the outcome of a request and a cause, as far as its last line tells."""
    inputs = end.inputs
    reason = str(inputs.get("reason") or UNKNOWN)
    if end.name == "REQUEST_CANCELLED":
        return (LEFT, "queued" if not inputs.get("sends") else "running")
    if end.name == "REQUEST_REFUSED":
        # What no route or key allows is one cause, whatever was asked for.
        reason = reason.partition(" for ")[0]
        return (REFUSED if inputs.get("status") == 503 else FAILED, reason)
    first = inputs.get("first") or 0.0
    if first <= late_seconds:
        return (ANSWERED, UNKNOWN)
    queued = inputs.get("queued") or 0.0
    return (LATE, "queued" if queued > first / 2 else "endpoint")


def group_outcomes(
    ends: Iterable[RequestOutcome], group_of: Callable[[RequestOutcome], str]
) -> list[Row]:
    """Return the outcomes by group, the one with the most trouble first."""
    row_by_group: dict[str, Row] = {}
    for end in ends:
        group = group_of(end)
        row = row_by_group.setdefault(group, Row(group, Counter()))
        row.count_by_outcome[end.outcome] += 1
    return sorted(row_by_group.values(), key=lambda row: (-row.unsuccessful, row.group))


def plot(ends: list[RequestOutcome], seconds: float, width: int) -> list[str]:
    """Return a line for each stretch of time with a bar of what went wrong."""
    if not ends:
        return []
    begun = min(end.at_ms for end in ends)
    rows = group_outcomes(
        ends, lambda end: str(int((end.at_ms - begun) / 1000 // seconds))
    )
    row_by_number = {int(row.group): row for row in rows}
    most = max(1, *(row.unsuccessful for row in rows))
    lines = []
    for number in range(max(row_by_number) + 1):
        row = row_by_number.get(number, Row(str(number), Counter()))
        bar = "".join(
            mark * round(row.count_by_outcome[outcome] * width / most)
            for outcome, mark in MARK_BY_OUTCOME.items()
        )
        lines.append(f"{number * seconds:>8.1f} s {row.total:>6} {bar}".rstrip())
    return lines
