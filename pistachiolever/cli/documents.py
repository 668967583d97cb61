"""Commands about declarations: validate, plan, apply, preset, rollback, export."""

from pathlib import Path
from typing import Any
from uuid import uuid4

from attrs import evolve
from cattrs import unstructure
from click import Path as ClickPath, argument, command, echo, option
from orjson import loads

from pistachiolever.cli.const import EXIT_CONFLICT, EXIT_INVALID
from pistachiolever.cli.operator_client import (
    CONTROL_OPTION,
    JSON_OPTION,
    KEY_OPTION,
    OperatorClient,
)
from pistachiolever.cli.output import CommandFailedError, InvalidInputError, show
from pistachiolever.control.commands import ChangeResult
from pistachiolever.control.operators import ChangeRequest, RevisionText
from pistachiolever.declarations.codec import (
    from_text,
    to_document,
    to_pretty_text as pretty,
    to_text,
)
from pistachiolever.declarations.diff import Difference, diff_documents
from pistachiolever.declarations.loader import load_declarations
from pistachiolever.declarations.models import Declarations
from pistachiolever.settings.errors import InvalidDocumentError

FOLDER_ARGUMENT = argument("folder", type=ClickPath(exists=True, path_type=Path))
CHANGE_OPTION = option(
    "--change-id",
    default="",
    help="Names the change; give the same one to resend it after a lost answer.",
)


def read_declarations(folder: Path) -> Declarations:
    """Return checked declarations, or end with every fault."""
    try:
        return load_declarations(folder)
    except InvalidDocumentError as error:
        raise InvalidInputError.of(error) from error


@command()
@FOLDER_ARGUMENT
@JSON_OPTION
def validate(folder: Path, as_json: bool) -> None:
    """Check a folder of declarations; show every fault at once.

    Example: pistachiolever validate examples/bengal
    """
    declarations = read_declarations(folder)
    counts = {
        name: len(items)
        for name, items in to_document(declarations).items()
        if isinstance(items, list)
    }
    line = ", ".join(f"{count} {name}" for name, count in counts.items())
    show({"valid": True, "counts": counts}, [f"valid: {line}"], as_json)


@command()
@FOLDER_ARGUMENT
@CONTROL_OPTION
@KEY_OPTION
@JSON_OPTION
def plan(folder: Path, addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """Show what applying a folder would change; also how far they drifted.

    Example: pistachiolever plan examples/bengal --control 127.0.0.1:7100
    """
    declarations = read_declarations(folder)
    current = OperatorClient(addresses, key).current()
    differences = _differences(current, declarations)
    lines = [f"against revision {current.number}:"]
    lines.extend(str(entry) for entry in differences)
    if not differences:
        lines = [f"nothing to change; revision {current.number} is in force"]
    document = {"revision": current.number, "changes": unstructure(differences)}
    show(document, lines, as_json)


@command()
@FOLDER_ARGUMENT
@CONTROL_OPTION
@KEY_OPTION
@CHANGE_OPTION
@option(
    "--base",
    type=int,
    default=None,
    help="The revision that was planned against; default: the one in force.",
)
@JSON_OPTION
def apply(
    folder: Path,
    addresses: tuple[str, ...],
    key: str,
    change_id: str,
    base: int | None,
    as_json: bool,
) -> None:
    """Put a folder of declarations in force.

    Example: pistachiolever apply examples/bengal --control 127.0.0.1:7100
    """
    declarations = read_declarations(folder)
    client = OperatorClient(addresses, key)
    _submit(client, declarations, change_id, base, as_json)


@command()
@argument("name")
@CONTROL_OPTION
@KEY_OPTION
@CHANGE_OPTION
@JSON_OPTION
def preset(
    name: str, addresses: tuple[str, ...], key: str, change_id: str, as_json: bool
) -> None:
    """Switch the preset in force.

    Example: pistachiolever preset peak --control 127.0.0.1:7100
    """
    client = OperatorClient(addresses, key)
    current = client.current()
    declarations = from_text(current.document)
    known = [entry.id for entry in declarations.presets]
    if name not in known:
        allowed = ", ".join(known) or "none is declared"
        raise CommandFailedError(
            f"no preset {name!r}; declared: {allowed}", EXIT_INVALID
        )
    changed = evolve(declarations, preset_in_force=name)
    _submit(client, changed, change_id, current.number, as_json)


@command()
@argument("revision", type=int)
@CONTROL_OPTION
@KEY_OPTION
@CHANGE_OPTION
@JSON_OPTION
def rollback(
    revision: int, addresses: tuple[str, ...], key: str, change_id: str, as_json: bool
) -> None:
    """Put the content of an older revision in force, as a new revision.

    Example: pistachiolever rollback 12 --control 127.0.0.1:7100
    """
    client = OperatorClient(addresses, key)
    kept = {entry.number: entry for entry in _history(client)}
    if revision not in kept:
        allowed = f"{min(kept, default=0)} to {max(kept, default=0)}"
        detail = f"revision {revision} is not kept; kept: {allowed}"
        raise CommandFailedError(detail, EXIT_INVALID)
    current = client.current()
    declarations = from_text(kept[revision].document)
    _submit(client, declarations, change_id, current.number, as_json)


@command()
@CONTROL_OPTION
@KEY_OPTION
@JSON_OPTION
def history(addresses: tuple[str, ...], key: str, as_json: bool) -> None:
    """List the kept revisions.

    Example: pistachiolever history --control 127.0.0.1:7100
    """
    revisions = _history(OperatorClient(addresses, key))
    lines = [f"{kept.number} {kept.change_id} at_ms={kept.at_ms}" for kept in revisions]
    show([unstructure(kept) for kept in revisions], lines, as_json)


@command()
@CONTROL_OPTION
@KEY_OPTION
def export(addresses: tuple[str, ...], key: str) -> None:
    """Print the declarations in force as one JSON document.

    Example: pistachiolever export --control 127.0.0.1:7100 > fleet/fleet.json
    """
    echo(pretty(from_text(OperatorClient(addresses, key).current().document)))


def _history(client: OperatorClient) -> list[RevisionText]:
    """Return the kept revisions."""
    return client.get("/ops/history", list[RevisionText])


def _differences(current: RevisionText, declarations: Declarations) -> list[Difference]:
    """Return what declarations would change."""
    before: dict[str, Any] = loads(current.document)
    return diff_documents(before, to_document(declarations))


def _submit(
    client: OperatorClient,
    declarations: Declarations,
    change_id: str,
    base: int | None,
    as_json: bool,
) -> None:
    """Send a change and show what became of it."""
    if base is None:
        base = client.current().number
    change = ChangeRequest(change_id or uuid4().hex, base, to_text(declarations))
    result = client.apply(change)
    if result.accepted:
        document = {"accepted": True, "revision": result.revision}
        show(document, [f"revision {result.revision} is accepted"], as_json)
        return
    raise CommandFailedError(_conflict_text(result, declarations), EXIT_CONFLICT)


def _conflict_text(result: ChangeResult, declarations: Declarations) -> str:
    """Return who won, and how the winner differs from this change."""
    winner: dict[str, Any] = loads(result.winner_document or "{}")
    lines = [result.detail, f"the winner is change {result.winner_change_id}"]
    lines.append("from the winner to this change:")
    differences = diff_documents(winner, to_document(declarations))
    lines.extend(str(entry) for entry in differences)
    return "\n".join(lines)
