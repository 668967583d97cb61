"""Commands that check, change and show the fleet's declarations."""

from pathlib import Path
from typing import Any
from uuid import uuid4

from attrs import evolve
from cattrs import unstructure
from click import Path as ClickPath, argument, command, echo, option
from orjson import loads

from pistachiolever.cli.const import EXIT_CONFLICT, EXIT_INVALID
from pistachiolever.cli.operator_client import (
    JSON_OPTION,
    OperatorClient,
    with_operator_client,
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
    help="Id of the change; use the same id to retry when the reply was lost.",
)


def read_declarations(folder: Path) -> Declarations:
    """Load and validate declarations; fail with a list of all problems."""
    try:
        return load_declarations(folder)
    except InvalidDocumentError as error:
        raise InvalidInputError.from_error(error) from error


@command()
@FOLDER_ARGUMENT
@JSON_OPTION
def validate(folder: Path, as_json: bool) -> None:
    """Validate a folder of declarations and list all problems.

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
@with_operator_client
@JSON_OPTION
def plan(folder: Path, client: OperatorClient, as_json: bool) -> None:
    """Show how a folder of declarations differs from the revision in force.

    Example: pistachiolever plan examples/bengal --control 127.0.0.1:7100
    """
    declarations = read_declarations(folder)
    current = client.current()
    differences = _differences(current, declarations)
    lines = [f"changes to revision {current.number}:"]
    lines.extend(str(entry) for entry in differences)
    if not differences:
        lines = [f"no changes; revision {current.number} is in force"]
    document = {"revision": current.number, "changes": unstructure(differences)}
    show(document, lines, as_json)


@command()
@FOLDER_ARGUMENT
@with_operator_client
@CHANGE_OPTION
@option(
    "--base",
    type=int,
    default=None,
    help="Revision that the change is based on; default: the one in force.",
)
@JSON_OPTION
def apply(
    folder: Path,
    client: OperatorClient,
    change_id: str,
    base: int | None,
    as_json: bool,
) -> None:
    """Put a folder of declarations in force.

    Example: pistachiolever apply examples/bengal --control 127.0.0.1:7100
    """
    declarations = read_declarations(folder)
    _submit(client, declarations, change_id, base, as_json)


@command()
@argument("name")
@with_operator_client
@CHANGE_OPTION
@JSON_OPTION
def preset(name: str, client: OperatorClient, change_id: str, as_json: bool) -> None:
    """Switch to another preset.

    Example: pistachiolever preset peak --control 127.0.0.1:7100
    """
    current = client.current()
    declarations = from_text(current.document)
    known = [entry.id for entry in declarations.presets]
    if name not in known:
        allowed = ", ".join(known) or "none"
        raise CommandFailedError(
            f"preset {name!r} is not declared; declared: {allowed}", EXIT_INVALID
        )
    changed = evolve(declarations, preset_in_force=name)
    _submit(client, changed, change_id, current.number, as_json)


@command()
@argument("revision", type=int)
@with_operator_client
@CHANGE_OPTION
@JSON_OPTION
def rollback(
    revision: int, client: OperatorClient, change_id: str, as_json: bool
) -> None:
    """Apply the declarations of an older revision again, as a new revision.

    Example: pistachiolever rollback 12 --control 127.0.0.1:7100
    """
    retained = {entry.number: entry for entry in _history(client)}
    if revision not in retained:
        allowed = f"{min(retained, default=0)} to {max(retained, default=0)}"
        detail = f"revision {revision} is not retained; retained: {allowed}"
        raise CommandFailedError(detail, EXIT_INVALID)
    current = client.current()
    declarations = from_text(retained[revision].document)
    _submit(client, declarations, change_id, current.number, as_json)


@command()
@with_operator_client
@JSON_OPTION
def history(client: OperatorClient, as_json: bool) -> None:
    """List the retained revisions.

    Example: pistachiolever history --control 127.0.0.1:7100
    """
    revisions = _history(client)
    lines = [
        f"{entry.number} {entry.change_id} at_ms={entry.at_ms}" for entry in revisions
    ]
    show([unstructure(entry) for entry in revisions], lines, as_json)


@command()
@with_operator_client
def export(client: OperatorClient) -> None:
    """Print the declarations in force as one JSON document.

    Example: pistachiolever export --control 127.0.0.1:7100 > fleet/fleet.json
    """
    echo(pretty(from_text(client.current().document)))


def _history(client: OperatorClient) -> list[RevisionText]:
    """Return the retained revisions."""
    return client.get("/ops/history", list[RevisionText])


def _differences(current: RevisionText, declarations: Declarations) -> list[Difference]:
    """Return how the declarations differ from the current revision."""
    before: dict[str, Any] = loads(current.document)
    return diff_documents(before, to_document(declarations))


def _submit(
    client: OperatorClient,
    declarations: Declarations,
    change_id: str,
    base: int | None,
    as_json: bool,
) -> None:
    """Submit a change and print the result; fail if it conflicts with another."""
    if base is None:
        base = client.current().number
    change = ChangeRequest(change_id or uuid4().hex, base, to_text(declarations))
    try:
        result = client.apply(change)
    except CommandFailedError as error:
        hint = f"to submit the same change again: --change-id {change.change_id}"
        raise CommandFailedError(f"{error.message}\n{hint}", error.code) from error
    if result.accepted:
        document = {"accepted": True, "revision": result.revision}
        show(document, [f"accepted as revision {result.revision}"], as_json)
        return
    raise CommandFailedError(_conflict_text(result, declarations), EXIT_CONFLICT)


def _conflict_text(result: ChangeResult, declarations: Declarations) -> str:
    """Return which change won the conflict and how this change differs from it."""
    winner: dict[str, Any] = loads(result.winner_document or "{}")
    lines = [result.detail, f"the winner is change {result.winner_change_id}"]
    lines.append("differences from the winner to this change:")
    differences = diff_documents(winner, to_document(declarations))
    lines.extend(str(entry) for entry in differences)
    return "\n".join(lines)
