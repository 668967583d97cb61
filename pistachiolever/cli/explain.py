"""The command that traces one request through the log files of a fleet."""

from collections.abc import Iterable
from pathlib import Path

from click import Path as ClickPath, argument, command, option

from pistachiolever.cli.output import show
from pistachiolever.events.explain import LogLine, LogReader, RequestTrace, explain


@command("explain")
@argument("request_id")
@argument(
    "files",
    nargs=-1,
    required=True,
    type=ClickPath(exists=True, dir_okay=False, path_type=Path),
)
@option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain_request(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Trace a request through the logs of all processes and explain its outcome.

    Example: pistachiolever explain 9c41d07be2a35f68 router-1.log engine-3.log
    """
    lines, malformed = read_lines(files)
    trace = explain(request_id, lines, malformed)
    show(_to_document(trace), _format_lines(trace), as_json)


def read_lines(files: Iterable[Path]) -> tuple[list[LogLine], int]:
    """Return the event lines of log files and the number of malformed lines."""
    reader = LogReader()
    lines: list[LogLine] = []
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines.extend(reader.read(file))
    return (lines, reader.malformed)


def _to_document(trace: RequestTrace) -> dict[str, object]:
    """Return the trace as a document for JSON output."""
    return {
        "request": trace.request_id,
        "cause": trace.cause,
        "missing": trace.missing,
        "lines": [
            {"ms": line.ms, "process": line.process, "name": line.name, **line.inputs}
            for line in trace.lines
        ],
    }


def _format_lines(trace: RequestTrace) -> list[str]:
    """Return the trace as lines of text, with times relative to the first line."""
    start_ms = trace.lines[0].ms if trace.lines else 0
    text = [
        f"{line.ms - start_ms:>7} ms  {line.process:<24} {line.name:<17} {line.text}"
        for line in trace.lines
    ]
    text.append(f"cause: {trace.cause}")
    text.extend(f"missing: {note}" for note in trace.missing)
    return text
