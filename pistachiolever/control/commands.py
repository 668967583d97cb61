"""Commands of the replicated log, and their results."""

from typing import Any

from attrs import frozen
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union
from orjson import dumps, loads

from pistachiolever.control.const import MAX_OUTCOME_BYTES
from pistachiolever.core.verdict import Verdict
from pistachiolever.discovery.models import Announcement


@frozen
class ApplyDeclarations:
    """Put declarations in force if the base revision is still in force."""

    change_id: str
    base_revision: int
    document: str
    at_ms: int


@frozen
class OpenClaim:
    """Claim an idempotency key for one attempt."""

    account_id: str
    service_id: str
    key: str
    body_digest: str
    attempt_id: str
    at_ms: int


@frozen
class CloseClaim:
    """Store the outcome of an attempt; NOT_RUN releases its key."""

    attempt_id: str
    verdict: Verdict
    outcome_sse: str
    at_ms: int


def limit_outcome(sse: str) -> str:
    """Return an answer as it is stored; empty if it is too long."""
    return sse if len(sse.encode()) <= MAX_OUTCOME_BYTES else ""


@frozen
class StoreConfiguration:
    """Put a whole configuration in force if its version is the highest so far."""

    version: int
    document: str


@frozen
class RecordDeparture:
    """Remember that an incarnation of an endpoint drains or has ended."""

    announcement: Announcement


@frozen
class StartEvacuation:
    """Send nothing more to the endpoints of a failure domain."""

    domain: str


@frozen
class EndEvacuation:
    """Send requests to the endpoints of a failure domain again."""

    domain: str


Command = (
    ApplyDeclarations
    | OpenClaim
    | CloseClaim
    | StoreConfiguration
    | RecordDeparture
    | StartEvacuation
    | EndEvacuation
)


@frozen
class ConfigurationStored:
    """Result of StoreConfiguration; `version` is the one in force."""

    version: int
    changed: bool


@frozen
class DepartureRecorded:
    """Result of RecordDeparture."""


@frozen
class EvacuationStored:
    """Result of StartEvacuation and EndEvacuation: the revision then in force."""

    revision: int


@frozen
class ChangeResult:
    """Result of ApplyDeclarations.

    If accepted, `revision` is the new one. After a conflict, `revision` is the one in
    force and the `winner_...` fields hold the change that created it.
    """

    accepted: bool
    revision: int
    detail: str = ""
    winner_change_id: str = ""
    winner_document: str = ""


_converter = make_converter()
configure_tagged_union(Command, _converter, tag_name="kind")


def encode_command(command: Command) -> str:
    """Return the text of a command for the log."""
    as_type: Any = Command
    return dumps(_converter.unstructure(command, unstructure_as=as_type)).decode()


def decode_command(text: str) -> Command:
    """Return the command of a log entry's text."""
    as_type: Any = Command
    command: Command = _converter.structure(loads(text), as_type)
    return command
