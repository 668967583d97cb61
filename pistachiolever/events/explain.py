"""Reconstructs what happened to a request from the logs of all processes."""

from collections.abc import Iterable
from typing import Any, Final

from attrs import define, field, frozen
from orjson import JSONDecodeError, loads

from pistachiolever.quarantine.const import CONTENT_PREFIX

# Fields common to all events; the others are the inputs of the logged decision.
COMMON_FIELDS = frozenset({"ms", "n", "event", "name", "process", "request"})
# Events that a router logs when a request ends.
END_EVENTS = ("REQUEST_FINISHED", "REQUEST_REFUSED", "REQUEST_CANCELLED")
# What the endpoints named in an input of a refusal had asked of the router.
NOTICE_TEXTS: Final = {
    "paused": "endpoints asked for a pause",
    "left": "endpoints had left",
    "leaving": "endpoints were leaving",
}
# Reason of a refusal: endpoints crashed under the request, or a part of its prompt.
QUARANTINED: Final = "quarantined"


@frozen
class LogLine:
    """A decoded event line of a process's log.

    `ms` is in milliseconds since the epoch; `number` counts the lines of the process.
    """

    ms: int
    number: int
    name: str
    process: str
    request: str
    inputs: dict[str, Any] = field(factory=dict)

    @property
    def sort_key(self) -> tuple[int, str, int]:
        """Return the sort key: time, process, line number in the process."""
        return (self.ms, self.process, self.number)

    @property
    def text(self) -> str:
        """Return the inputs as `key=value` pairs, without empty ones."""
        known = {key: value for key, value in self.inputs.items() if value != ""}
        return " ".join(f"{key}={value}" for key, value in known.items())


@frozen
class RequestTrace:
    """The log lines of a request in order, why it ended, and gaps in the logs."""

    request_id: str
    lines: list[LogLine]
    cause: str
    missing: list[str]


@define
class LogReader:
    """Extracts event lines from logs that may contain other text.

    A line may have a prefix, and lines that are no events are skipped.
    `malformed` counts event lines that could not be decoded.
    """

    malformed: int = 0

    def read(self, lines: Iterable[str]) -> list[LogLine]:
        """Return the event lines; count those that cannot be decoded."""
        parsed: list[LogLine] = []
        for line in lines:
            start = line.find('{"ms":')
            if start < 0:
                continue
            try:
                fields = loads(line[start:].strip())
                parsed.append(_to_log_line(fields))
            except (JSONDecodeError, KeyError, TypeError):
                self.malformed += 1
        return parsed


def explain(request_id: str, lines: list[LogLine], malformed: int = 0) -> RequestTrace:
    """Return the trace of a request.

    Lines are sorted by time, so lines of different processes may be out of order by
    the clock skew between VMs. Lines of one process with equal times keep their
    order.
    """
    request_lines = [line for line in lines if line.request == request_id]
    request_lines.sort(key=lambda line: line.sort_key)
    return RequestTrace(
        request_id,
        request_lines,
        _cause(request_lines, lines),
        _missing(request_lines, lines, malformed),
    )


def _to_log_line(fields: dict[str, Any]) -> LogLine:
    """Return the log line with the given JSON fields."""
    inputs = {key: v for key, v in fields.items() if key not in COMMON_FIELDS}
    return LogLine(
        fields["ms"],
        fields["n"],
        fields["name"],
        fields["process"],
        fields.get("request", ""),
        inputs,
    )


def _find_end(request_lines: list[LogLine]) -> LogLine | None:
    """Return the line that a router logged at the end of the request."""
    ends = [line for line in request_lines if line.name in END_EVENTS]
    return ends[-1] if ends else None


def _is_quarantined(end: LogLine) -> bool:
    """Return whether a request ended since it, or a part of it, is quarantined."""
    return str(end.inputs.get("reason")).endswith(QUARANTINED)


def _cause(request_lines: list[LogLine], lines: list[LogLine]) -> str:
    """Return in one line how the request ended and why."""
    end_line = _find_end(request_lines)
    if end_line is None:
        return "the logs do not contain the end of the request"
    end = end_line.inputs
    if end_line.name == "REQUEST_FINISHED":
        return (
            f"answered {end.get('status')} by {end.get('endpoint')}, first chunk after "
            f"{end.get('first')} s, of which {end.get('queued')} s in the queue"
        )
    if end_line.name == "REQUEST_CANCELLED":
        return f"caller left after {end.get('total')} s, {end.get('sends')} attempts"
    if _is_quarantined(end_line):
        return _quarantine_cause(end_line, request_lines, lines)
    return _refusal_cause(request_lines, end)


def _quarantine_cause(
    end: LogLine, request_lines: list[LogLine], lines: list[LogLine]
) -> str:
    """Return under which part of a request endpoints crashed, as the logs tell it."""
    failed = [line for line in request_lines if line.name == "ATTEMPT_FAILED"]
    if failed:
        cause = f"{_failure_cause(request_lines, end.inputs)}; not sent again"
    else:
        cause = f"refused {end.inputs.get('status')}"
    if str(end.inputs.get("part")).startswith(CONTENT_PREFIX):
        cause += ": endpoints crashed under requests with the same content"
    else:
        cause += ": endpoints crashed under requests with a part of this prompt"
    texts: list[str] = []
    for part_id, crashes in _quarantined_parts(end, request_lines, lines).items():
        crashed = sorted(_crashed_endpoints(part_id, end.ms, lines))
        names = f": {', '.join(crashed)}" if crashed else ""
        texts.append(f"{part_id} ({crashes} crashes{names})")
    if not texts:
        return cause
    one_of = "one of " if len(texts) > 1 else ""
    return f"{cause}; {end.process} had quarantined {one_of}{', '.join(texts)}"


def _quarantined_parts(
    end: LogLine, request_lines: list[LogLine], lines: list[LogLine]
) -> dict[str, int]:
    """Return the known crashes of each part that may have prevented a request.

    These are the parts that its router had quarantined at its end; of them, the one
    that the end names, or the ones in its prompt if its attempts tell the prompt.
    """
    earlier = [
        line
        for line in lines
        if line.process == end.process and line.sort_key <= end.sort_key
    ]
    crashes_by_part: dict[str, int] = {}
    for line in sorted(earlier, key=lambda line: line.sort_key):
        if line.name in ("PART_QUARANTINED", "PART_TESTED"):
            crashes_by_part[line.inputs["part"]] = line.inputs["crashes"]
        elif line.name == "PART_RELEASED":
            crashes_by_part.pop(line.inputs["part"], None)
        elif line.name == "PROCESS_STARTED":
            crashes_by_part.clear()
    own = {part for line in request_lines for part in line.inputs.get("parts", [])}
    if end.inputs.get("part"):
        own = {end.inputs["part"]}
    in_prompt = {part: n for part, n in crashes_by_part.items() if part in own}
    return in_prompt or crashes_by_part


def _crashed_endpoints(part_id: str, until_ms: int, lines: list[LogLine]) -> set[str]:
    """Return the endpoints that crashed under a part up to a time."""
    return {
        line.inputs["endpoint"]
        for line in lines
        if line.name == "PARTS_SUSPECTED"
        and line.ms <= until_ms
        and part_id in line.inputs["parts"]
    }


def _refusal_cause(request_lines: list[LogLine], end: dict[str, Any]) -> str:
    """Return why a request got no complete answer.

    Endpoints that were leaving or paused are the cause if no endpoint refused the
    request or failed; otherwise they are named after the cause.
    """
    if end.get("reason") == "paused":
        notices = _notices_text(end, ": ") or ": endpoints asked for a pause"
        return f"refused {end.get('status')}{notices}"
    tried = ("ATTEMPT_FAILED", "BID_REFUSED", "GRANT_REFUSED")
    is_untried = not any(line.name in tried for line in request_lines)
    if is_untried and end.get("reason") == "no-room":
        notices = _notices_text(end, ": ")
        if notices:
            return f"refused {end.get('status')}{notices}"
    return _failure_cause(request_lines, end) + _notices_text(end, "; ")


def _notices_text(end: dict[str, Any], prefix: str) -> str:
    """Return which endpoints had asked what, after a prefix; empty if none had."""
    texts = [
        f"{NOTICE_TEXTS[kind]}: {', '.join(end[kind])}"
        for kind in NOTICE_TEXTS
        if end.get(kind)
    ]
    return prefix + "; ".join(texts) if texts else ""


def _failure_cause(request_lines: list[LogLine], end: dict[str, Any]) -> str:
    """Return which endpoint failed on a request or refused it last."""
    failed = [line for line in request_lines if line.name == "ATTEMPT_FAILED"]
    if failed:
        last = failed[-1].inputs
        return (
            f"answered {end.get('status')}: {last.get('reason')} at "
            f"{last.get('endpoint')} on attempt {last.get('attempt')} "
            f"({last.get('verdict')})"
        )
    refusals = [line for line in request_lines if line.name == "GRANT_REFUSED"]
    if refusals:
        last = refusals[-1].inputs
        return (
            f"refused {end.get('status')} as {last.get('reason')}: "
            f"{last.get('unread')} tokens pending prefill, {last.get('queued')} queued "
            f"at {last.get('speed')} tokens/s; account {last.get('account')} recently "
            f"received {last.get('service')} weighted tokens here and "
            f"{last.get('elsewhere')} elsewhere"
            f"{_fair_share_text(last.get('fair'))}"
        )
    return f"answered {end.get('status')}: {end.get('reason')}"


def _fair_share_text(share: object) -> str:
    """Return the account's fair share as text, empty if capacity was not contended."""
    return "" if share is None else f", its fair share was {share}"


def count_dropped_lines(lines: Iterable[LogLine]) -> int:
    """Return how many lines the processes reported as dropped."""
    return sum(
        int(line.inputs.get("lines", 0))
        for line in lines
        if line.name == "LINES_LEFT_OUT"
    )


def _missing(
    request_lines: list[LogLine], lines: list[LogLine], malformed: int
) -> list[str]:
    """Return which information about the request the logs lack, and why."""
    missing: list[str] = []
    if not request_lines:
        missing.append("no log line belongs to this request")
    if malformed:
        missing.append(f"{malformed} lines are cut short and were not read")
    dropped = count_dropped_lines(lines)
    if dropped:
        missing.append(f"{dropped} lines were left out: high load or a slow log reader")
    granted = {line.process for line in request_lines if line.name == "REQUEST_GRANTED"}
    agents = [line for line in request_lines if line.name.startswith("GRANT_")]
    end = _find_end(request_lines)
    if (
        end is not None
        and _is_quarantined(end)
        and not _quarantined_parts(end, request_lines, lines)
    ):
        missing.append(f"the log of {end.process} does not contain the quarantine")
    if granted and not agents:
        missing.append("the log of the agent that granted the request is not included")
    return missing
