"""Commands that read the logs of a fleet after the fact."""

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
    """Tell the story of a request from the logs of all processes.

    Example: pistachiolever explain 9c41d07be2a35f68 router-1.log engine-3.log
    """
    lines, unread = read_lines(files)
    story = explain(request_id, lines, unread)
    show(_document(story), _text(story), as_json)


def read_lines(files: Iterable[Path]) -> tuple[list[LogLine], int]:
    """Return the event lines of log files, and how many could not be read."""
    reader = LogReader()
    lines: list[LogLine] = []
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines.extend(reader.read(file))
    return (lines, reader.malformed)


def _document(story: RequestTrace) -> dict[str, object]:
    """Return the story as a JSON table."""
    return {
        "request": story.request_id,
        "cause": story.cause,
        "missing": story.missing,
        "lines": [
            {"ms": line.ms, "process": line.process, "name": line.name, **line.inputs}
            for line in story.lines
        ],
    }


def _text(story: RequestTrace) -> list[str]:
    """Return the story as lines of text."""
    begun = story.lines[0].ms if story.lines else 0
    text = [
        f"{line.ms - begun:>7} ms  {line.process:<24} {line.name:<17} {line.text}"
        for line in story.lines
    ]
    text.append(f"cause: {story.cause}")
    text.extend(f"missing: {note}" for note in story.missing)
    return text
