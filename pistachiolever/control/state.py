"""The replicated state: revisions of declarations, and claimed idempotency keys."""

from attrs import define, evolve, field, frozen
from cattrs.preconf.orjson import make_converter
from orjson import dumps, loads

from pistachiolever.control.commands import (
    ApplyDeclarations,
    ChangeResult,
    CloseClaim,
    Command,
    ConfigurationStored,
    DepartureRecorded,
    EndEvacuation,
    EvacuationStored,
    OpenClaim,
    RecordDeparture,
    StartEvacuation,
    StoreConfiguration,
    decode_command,
)
from pistachiolever.control.const import (
    CLAIM_TIMEOUT_SECONDS,
    MAX_CHANGE_IDS,
    MAX_CLOSED_BEFORE_OPEN,
    MAX_DEPARTURES,
    MAX_HISTORY,
    MAX_OUTCOME_BYTES,
)
from pistachiolever.core.verdict import Verdict
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.wire.models import ClaimAnswer, ClaimClosed


@frozen
class StoredRevision:
    """Declarations that are or were in force."""

    number: int
    change_id: str
    document: str
    at_ms: int


@frozen
class Claim:
    """A claimed idempotency key; `done` is true once an outcome is stored."""

    key: str
    attempt_id: str
    body_digest: str
    opened_ms: int
    done: bool = False
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    outcome_sse: str = ""


@frozen
class StoredConfiguration:
    """The whole configuration in force, as it was received."""

    version: int = -1
    document: str = ""


Result = (
    ChangeResult
    | ClaimAnswer
    | ClaimClosed
    | ConfigurationStored
    | DepartureRecorded
    | EvacuationStored
)


@define
class ControlState:
    """The deterministic state machine that every control process replicates.

    `departure_by_endpoint` holds the newest departures, `departure_count` their number
    since the first start.
    """

    claim_window_seconds: float
    revisions: list[StoredRevision] = field(factory=list)
    result_by_change: dict[str, ChangeResult] = field(factory=dict)
    claim_by_key: dict[str, Claim] = field(factory=dict)
    key_by_attempt: dict[str, str] = field(factory=dict)
    closed_before_open: dict[str, int] = field(factory=dict)
    configuration: StoredConfiguration = StoredConfiguration()
    departure_by_endpoint: dict[str, Announcement] = field(factory=dict)
    departure_count: int = 0
    evacuations: EvacuationOrders = EvacuationOrders()

    def apply(self, command: Command) -> Result:
        """Apply one committed command."""
        if isinstance(command, ApplyDeclarations):
            return self._apply_declarations(command)
        if isinstance(command, OpenClaim):
            return self._open_claim(command)
        if isinstance(command, StoreConfiguration):
            return self._store_configuration(command)
        if isinstance(command, RecordDeparture):
            return self._record_departure(command.announcement)
        if isinstance(command, StartEvacuation):
            return self._store_evacuations(self.evacuations.with_domain(command.domain))
        if isinstance(command, EndEvacuation):
            rest = self.evacuations.without_domain(command.domain)
            return self._store_evacuations(rest)
        return self._close_claim(command)

    def apply_text(self, text: str) -> Result:
        """Apply one committed command in its encoded form."""
        return self.apply(decode_command(text))

    def current(self) -> StoredRevision | None:
        """Return the revision in force, if any was accepted yet."""
        return self.revisions[-1] if self.revisions else None

    def dump(self) -> str:
        """Return the whole state as text, for a snapshot."""
        return dumps(_converter.unstructure(self)).decode()

    def load(self, text: str) -> None:
        """Replace the state by one that `dump` returned."""
        other = _converter.structure(loads(text), ControlState)
        self.revisions = other.revisions
        self.result_by_change = other.result_by_change
        self.claim_by_key = other.claim_by_key
        self.key_by_attempt = other.key_by_attempt
        self.closed_before_open = other.closed_before_open
        self.configuration = other.configuration
        self.departure_by_endpoint = other.departure_by_endpoint
        self.departure_count = other.departure_count
        self.evacuations = other.evacuations

    # Configurations.

    def _store_configuration(self, command: StoreConfiguration) -> ConfigurationStored:
        """Store a configuration of a higher version; of equal ones the first stays."""
        changed = command.version > self.configuration.version
        if changed:
            self.configuration = StoredConfiguration(command.version, command.document)
        return ConfigurationStored(self.configuration.version, changed)

    # Evacuations of failure domains.

    def _store_evacuations(self, orders: EvacuationOrders) -> EvacuationStored:
        """Store the orders; those of a repeated command are the ones in force."""
        self.evacuations = orders
        return EvacuationStored(orders.revision)

    # Departures of endpoints.

    def knows_departure(self, announcement: Announcement) -> bool:
        """Return whether the departure of an incarnation is recorded."""
        known = self.departure_by_endpoint.get(announcement.endpoint_id)
        if known is None or known.born_ms < announcement.born_ms:
            return False
        if known.born_ms > announcement.born_ms:
            return True
        return known.state in (EndpointState.GONE, announcement.state)

    def _record_departure(self, announcement: Announcement) -> DepartureRecorded:
        """Record a departure, unless a later one of the endpoint is known."""
        if not self.knows_departure(announcement):
            self.departure_by_endpoint.pop(announcement.endpoint_id, None)
            self.departure_by_endpoint[announcement.endpoint_id] = announcement
            self.departure_count += 1
            if len(self.departure_by_endpoint) > MAX_DEPARTURES:
                del self.departure_by_endpoint[next(iter(self.departure_by_endpoint))]
        return DepartureRecorded()

    # Declarations.

    def _apply_declarations(self, command: ApplyDeclarations) -> ChangeResult:
        """Accept a change against the revision in force; a conflict is not accepted.

        Of several changes against one revision, the first to be committed is accepted.
        A change that is sent again gets its stored result.
        """
        known = self.result_by_change.get(command.change_id)
        if known is not None:
            return known
        current = self.current()
        number = current.number if current else 0
        if command.base_revision != number:
            return self._conflict(command, current)
        revision = StoredRevision(
            number + 1, command.change_id, command.document, command.at_ms
        )
        self.revisions.append(revision)
        del self.revisions[:-MAX_HISTORY]
        result = ChangeResult(True, revision.number)
        self.result_by_change[command.change_id] = result
        if len(self.result_by_change) > MAX_CHANGE_IDS:
            del self.result_by_change[next(iter(self.result_by_change))]
        return result

    def _conflict(
        self, command: ApplyDeclarations, current: StoredRevision | None
    ) -> ChangeResult:
        """Return the conflict with the change that is in force."""
        number = current.number if current else 0
        return ChangeResult(
            False,
            number,
            f"the change was made against revision {command.base_revision}, "
            f"but {number} is in force; plan it again",
            current.change_id if current else "",
            current.document if current else "",
        )

    # Claims.

    def _open_claim(self, command: OpenClaim) -> ClaimAnswer:
        """Grant a key to its first attempt; return that one's state to others."""
        self._expire_claims(command.at_ms)
        if command.attempt_id in self.closed_before_open:
            return ClaimAnswer(False, command.attempt_id, state="withdrawn")
        key = f"{command.account_id}/{command.service_id}/{command.key}"
        claim = self.claim_by_key.get(key)
        if claim is None:
            self.claim_by_key[key] = Claim(
                key, command.attempt_id, command.body_digest, command.at_ms
            )
            self.key_by_attempt[command.attempt_id] = key
            return ClaimAnswer(True, command.attempt_id, command.attempt_id)
        if claim.attempt_id == command.attempt_id:
            return ClaimAnswer(True, command.attempt_id, command.attempt_id)
        return self._claim_answer(claim, command)

    def _claim_answer(self, claim: Claim, command: OpenClaim) -> ClaimAnswer:
        """Return the state of the first attempt of a key."""
        if claim.body_digest != command.body_digest:
            return ClaimAnswer(
                False,
                claim.attempt_id,
                state="reused",
                verdict=Verdict.NOT_RUN,
                detail="the key was used with another input; take a new key",
            )
        if claim.done and claim.outcome_sse:
            return ClaimAnswer(
                False,
                claim.attempt_id,
                state="done",
                verdict=claim.verdict,
                outcome_sse=claim.outcome_sse,
            )
        age_seconds = (command.at_ms - claim.opened_ms) / 1000
        if claim.done or age_seconds > CLAIM_TIMEOUT_SECONDS:
            return ClaimAnswer(
                False,
                claim.attempt_id,
                state="unknown",
                verdict=claim.verdict,
                detail="the outcome is not known; ask the service's owner",
            )
        return ClaimAnswer(
            False,
            claim.attempt_id,
            state="running",
            verdict=Verdict.MAY_HAVE_RUN,
            detail="the first attempt has not ended; ask again with the same key",
        )

    def _close_claim(self, command: CloseClaim) -> ClaimClosed:
        """Store an outcome, or release the key of an attempt that was not run."""
        key = self.key_by_attempt.get(command.attempt_id)
        if key is None:
            self._record_closed_before_open(command)
            return ClaimClosed(True)
        claim = self.claim_by_key[key]
        if command.verdict is Verdict.NOT_RUN:
            if not claim.done:
                del self.claim_by_key[key]
                del self.key_by_attempt[command.attempt_id]
                self._record_closed_before_open(command)
            return ClaimClosed(True)
        if claim.done and claim.verdict is Verdict.RAN:
            return ClaimClosed(True)
        sse = command.outcome_sse
        # The leader limits the bytes (`limit_outcome`). Here all members, of all
        # builds, must decide alike on what is in their logs.
        if len(sse) > MAX_OUTCOME_BYTES:
            sse = ""
        self.claim_by_key[key] = evolve(
            claim, done=True, verdict=command.verdict, outcome_sse=sse
        )
        return ClaimClosed(True)

    def _record_closed_before_open(self, command: CloseClaim) -> None:
        """Record an abandoned attempt, so that its claim is denied if it comes late."""
        self.closed_before_open[command.attempt_id] = command.at_ms
        if len(self.closed_before_open) > MAX_CLOSED_BEFORE_OPEN:
            del self.closed_before_open[next(iter(self.closed_before_open))]

    def _expire_claims(self, now_ms: int) -> None:
        """Remove claims that are older than the window; they are ordered by time."""
        limit = now_ms - self.claim_window_seconds * 1000
        while self.claim_by_key:
            key, claim = next(iter(self.claim_by_key.items()))
            if claim.opened_ms >= limit:
                return
            del self.claim_by_key[key]
            self.key_by_attempt.pop(claim.attempt_id, None)


_converter = make_converter()
