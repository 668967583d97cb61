"""Tells the story of one request from the log lines of all processes."""

from collections.abc import Iterable
from typing import Any

from attrs import define, field, frozen
from orjson import JSONDecodeError, loads

# Fields that every line has; the rest are the inputs of the decision.
COMMON_FIELDS = frozenset({"ms", "n", "event", "name", "process", "request"})
# Events that tell how a request ended at its router.
END_EVENTS = ("REQUEST_FINISHED", "REQUEST_REFUSED", "REQUEST_CANCELLED")


@frozen
class LogLine:
    """One line of a process's log, decoded."""

    ms: int
    number: int
    name: str
    process: str
    request: str
    inputs: dict[str, Any] = field(factory=dict)

    @property
    def order(self) -> tuple[int, str, int]:
        """Return what sorts lines: by time, and as each process wrote them."""
        return (self.ms, self.process, self.number)

    @property
    def text(self) -> str:
        """Return the inputs as text."""
        known = {key: value for key, value in self.inputs.items() if value != ""}
        return " ".join(f"{key}={value}" for key, value in known.items())


@frozen
class RequestTrace:
    """What is known of a request: its lines in order, its cause, what is missing."""

    request_id: str
    lines: list[LogLine]
    cause: str
    missing: list[str]


@define
class LogReader:
    """Reads log lines, also where others stand between them or before them."""

    malformed: int = 0

    def read(self, lines: Iterable[str]) -> list[LogLine]:
        """Return the event lines; count what looks like one but can't be read."""
        found: list[LogLine] = []
        for line in lines:
            start = line.find('{"ms":')
            if start < 0:
                continue
            try:
                fields = loads(line[start:].strip())
                found.append(_line_of(fields))
            except (JSONDecodeError, KeyError, TypeError):
                self.malformed += 1
        return found


def explain(request_id: str, lines: list[LogLine], unread: int = 0) -> RequestTrace:
    """Return the story of a request.

    Lines of one process keep their order; those of several go by their time, which
    may differ by the skew of the VMs' clocks.
    """
    own = [line for line in lines if line.request == request_id]
    own.sort(key=lambda line: line.order)
    return RequestTrace(request_id, own, _cause(own), _missing(own, lines, unread))


def _line_of(fields: dict[str, Any]) -> LogLine:
    """Return the line of decoded fields."""
    inputs = {key: v for key, v in fields.items() if key not in COMMON_FIELDS}
    return LogLine(
        fields["ms"],
        fields["n"],
        fields["name"],
        fields["process"],
        fields.get("request", ""),
        inputs,
    )


def _cause(own: list[LogLine]) -> str:
    """Return in one line how the request ended and why."""
    ends = [line for line in own if line.name in END_EVENTS]
    if not ends:
        return "no line tells how it ended"
    end = ends[-1].inputs
    if ends[-1].name == "REQUEST_FINISHED":
        return (
            f"answered {end.get('status')} by {end.get('endpoint')}, first part after "
            f"{end.get('first')} s, of which {end.get('queued')} s in the queue"
        )
    if ends[-1].name == "REQUEST_CANCELLED":
        return f"its caller left after {end.get('total')} s, {end.get('sends')} sends"
    failed = [line for line in own if line.name == "ATTEMPT_FAILED"]
    if failed:
        last = failed[-1].inputs
        return (
            f"answered {end.get('status')}: {last.get('reason')} at "
            f"{last.get('endpoint')} on attempt {last.get('attempt')} "
            f"({last.get('verdict')})"
        )
    refusals = [line for line in own if line.name == "GRANT_REFUSED"]
    if refusals:
        last = refusals[-1].inputs
        return (
            f"refused {end.get('status')} as {last.get('reason')}: "
            f"{last.get('unread')} tokens unread and {last.get('queued')} queued at "
            f"{last.get('speed')} a second; account {last.get('account')} had "
            f"{last.get('service')} here and {last.get('elsewhere')} elsewhere"
            f"{_share_text(last.get('fair'))}"
        )
    return f"answered {end.get('status')}: {end.get('reason')}"


def _share_text(share: object) -> str:
    """Return the account's share of the endpoints, if accounts were short of them."""
    return "" if share is None else f", its share was {share}"


def count_dropped_lines(lines: Iterable[LogLine]) -> int:
    """Return how many lines the processes say they left out."""
    return sum(
        int(line.inputs.get("lines", 0))
        for line in lines
        if line.name == "LINES_LEFT_OUT"
    )


def _missing(own: list[LogLine], lines: list[LogLine], unread: int) -> list[str]:
    """Return what the logs at hand do not tell."""
    missing: list[str] = []
    if not own:
        missing.append("no line names this request")
    if unread:
        missing.append(f"{unread} lines are cut short and were not read")
    left_out = count_dropped_lines(lines)
    if left_out:
        missing.append(f"{left_out} lines were left out under load, by whole requests")
    granted = {line.process for line in own if line.name == "REQUEST_GRANTED"}
    agents = [line for line in own if line.name.startswith("GRANT_")]
    if granted and not agents:
        missing.append("no log of the process beside the endpoint is here")
    return missing
