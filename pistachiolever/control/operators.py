"""HTTP API for operators: apply, history, status, claims of unknown outcome."""

from attrs import define, field, frozen
from orjson import JSONDecodeError, loads
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pistachiolever.control.commands import ApplyDeclarations, ChangeResult
from pistachiolever.control.consensus import NotLeaderError, OutcomeUnknownError
from pistachiolever.control.const import MAX_DECLARATIONS_BYTES
from pistachiolever.control.process import ControlProcess
from pistachiolever.core.clock import wall_ms
from pistachiolever.core.errors import ProtocolError
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.check import check_declarations
from pistachiolever.declarations.codec import from_document, to_text
from pistachiolever.edge.keys import bearer_of, key_digest, same_key
from pistachiolever.edge.server import (
    BodyTooLargeError,
    json_response,
    read_body,
)
from pistachiolever.events.const import EventCode
from pistachiolever.wire.codec import decode, encode


@frozen
class ChangeRequest:
    """A change of the declarations, made against `base_revision`."""

    change_id: str
    base_revision: int
    document: str


@frozen
class RevisionText:
    """One revision with its declarations."""

    number: int
    change_id: str
    at_ms: int
    document: str


@frozen
class ProcessStatus:
    """Status of one process."""

    process_id: str
    role: str
    revision: int
    detail: str


@frozen
class FleetStatus:
    """Status of the fleet at the leading control process.

    `laggards` are the processes that have not applied the revision in force.
    """

    leader: str
    revision: int
    preset: str
    processes: list[ProcessStatus] = field(factory=list)
    laggards: list[str] = field(factory=list)


@frozen
class ClaimStatus:
    """A claim that is open or whose attempt is not known to have succeeded."""

    key: str
    attempt_id: str
    opened_ms: int
    state: str


@define
class OperatorApi:
    """API that requires the operator key."""

    process: ControlProcess

    def routes(self) -> list[Route]:
        """Return the routes for operators."""
        return [
            Route("/ops/apply", self.apply, methods=["POST"]),
            Route("/ops/current", self.current),
            Route("/ops/history", self.history),
            Route("/ops/status", self.status),
            Route("/ops/claims", self.claims),
        ]

    async def apply(self, request: Request) -> Response:
        """Put a change in force, or answer with the change that it conflicts with."""
        if not self._is_operator(request):
            return Response(status_code=401)
        try:
            body = await read_body(request.receive, MAX_DECLARATIONS_BYTES)
            change = decode(body, ChangeRequest)
            document = loads(change.document)
        except BodyTooLargeError:
            return Response(status_code=413)
        except (ProtocolError, JSONDecodeError) as error:
            return json_response(encode([str(error)]), 400)
        problems = check_declarations(document, "declarations")
        if problems:
            return json_response(encode([str(problem) for problem in problems]), 400)
        command = ApplyDeclarations(
            change.change_id,
            change.base_revision,
            to_text(from_document(document)),
            wall_ms(),
        )
        try:
            result = await self.process.propose(command)
        except NotLeaderError:
            return Response(status_code=409)
        except OutcomeUnknownError:
            return Response(status_code=504)
        if isinstance(result, ChangeResult) and not result.accepted:
            self.process.context.recorder.record(
                EventCode.REVISION_CONFLICT, detail=f"change={change.change_id}"
            )
        return json_response(encode(result))

    async def current(self, request: Request) -> Response:
        """Return the revision in force."""
        if not self._is_operator(request):
            return Response(status_code=401)
        if not self.process.holds_lease():
            return Response(status_code=409)
        current = self.process.state.current()
        if current is None:
            return json_response(encode(RevisionText(0, "", 0, "{}")))
        return json_response(
            encode(
                RevisionText(
                    current.number, current.change_id, current.at_ms, current.document
                )
            )
        )

    async def history(self, request: Request) -> Response:
        """Return the stored revisions, oldest first."""
        if not self._is_operator(request):
            return Response(status_code=401)
        return json_response(
            encode(
                [
                    RevisionText(kept.number, kept.change_id, kept.at_ms, kept.document)
                    for kept in self.process.state.revisions
                ]
            )
        )

    async def status(self, request: Request) -> Response:
        """Return the processes with a lease and those behind the revision in force."""
        if not self._is_operator(request):
            return Response(status_code=401)
        coordinator = self.process.coordinator
        if coordinator is None or not self.process.holds_lease():
            return Response(status_code=409)
        processes = self._processes()
        revision = self.process.context.revision
        current = self.process.state.current()
        preset = ""
        if current is not None:
            preset = loads(current.document).get("preset_in_force", "")
        status = FleetStatus(
            self.process.context.settings.process_id,
            revision,
            preset,
            processes,
            [entry.process_id for entry in processes if entry.revision < revision],
        )
        return json_response(encode(status))

    def _processes(self) -> list[ProcessStatus]:
        """Return the processes with a lease."""
        coordinator = self.process.coordinator
        if coordinator is None:
            return []
        routers = [
            ProcessStatus(
                lease.process_id,
                "router",
                lease.revision,
                f"waiting={sum(lease.waiting_by_service.values())}",
            )
            for lease in coordinator.directory.router_by_id.values()
        ]
        sidecars = [
            ProcessStatus(
                lease.entry.endpoint_id,
                "sidecar",
                lease.revision,
                f"service={lease.entry.service_id} running={lease.running} "
                f"limit={lease.limit}",
            )
            for lease in coordinator.directory.endpoint_by_id.values()
        ]
        return routers + sidecars

    async def claims(self, request: Request) -> Response:
        """Return the claims that are open or have no stored successful outcome."""
        if not self._is_operator(request):
            return Response(status_code=401)
        open_claims = [
            ClaimStatus(
                claim.key,
                claim.attempt_id,
                claim.opened_ms,
                claim.verdict.value if claim.done else "open",
            )
            for claim in self.process.state.claim_by_key.values()
            if not claim.done or claim.verdict is not Verdict.RAN
        ]
        return json_response(encode(open_claims))

    def _is_operator(self, request: Request) -> bool:
        """Return whether the request carries the operator key."""
        digest = key_digest(bearer_of(request.headers.get("authorization", "")))
        return same_key(digest, self.process.settings.operator_key_sha256)
