"""HTTP API of a control process, for the fleet and for operators."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from anyio import move_on_after
from attrs import define
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pistachiolever.const import OLDEST_PROTOCOL_VERSION
from pistachiolever.control.commands import CloseClaim, OpenClaim, limit_outcome
from pistachiolever.control.consensus import NotLeaderError, OutcomeUnknownError
from pistachiolever.control.operators import OperatorApi
from pistachiolever.control.process import ControlProcess
from pistachiolever.core.clock import wall_ms
from pistachiolever.core.errors import ProtocolError
from pistachiolever.edge.errors import CallRefusedError
from pistachiolever.edge.server import (
    BodyTooLargeError,
    is_fleet_call,
    json_response,
    read_inner_body,
)
from pistachiolever.events.const import EventCode
from pistachiolever.raft.models import RaftEnvelope
from pistachiolever.wire.codec import decode, encode
from pistachiolever.wire.const import (
    CLAIM_CLOSE_PATH,
    CLAIM_OPEN_PATH,
    RAFT_PATH,
    ROUTER_HEARTBEAT_PATH,
    SIDECAR_HEARTBEAT_PATH,
    WATCH_PATH,
)
from pistachiolever.wire.models import (
    ClaimAnswer,
    ClaimClose,
    ClaimOpen,
    RouterHeartbeat,
    Sender,
    SidecarHeartbeat,
    SidecarHeartbeatReply,
    WatchReply,
    WatchRequest,
)

T = TypeVar("T")


def make_control_app(process: ControlProcess) -> Starlette:
    """Return the ASGI application with the routes of the fleet and of operators."""
    fleet = FleetApi(process)
    operators = OperatorApi(process)
    return Starlette(
        routes=[
            Route(ROUTER_HEARTBEAT_PATH, fleet.router_heartbeat, methods=["POST"]),
            Route(SIDECAR_HEARTBEAT_PATH, fleet.sidecar_heartbeat, methods=["POST"]),
            Route(WATCH_PATH, fleet.watch, methods=["POST"]),
            Route(CLAIM_OPEN_PATH, fleet.open_claim, methods=["POST"]),
            Route(CLAIM_CLOSE_PATH, fleet.close_claim, methods=["POST"]),
            Route(RAFT_PATH, fleet.raft, methods=["POST"]),
            Route("/health", fleet.health),
            Route("/ops/events", fleet.events),
            *operators.routes(),
        ]
    )


@define
class FleetApi:
    """API for routers, sidecars and other control processes."""

    process: ControlProcess

    async def router_heartbeat(self, request: Request) -> Response:
        """Merge a router's counters; answer with totals and endpoints."""
        return await self._handle(request, RouterHeartbeat, self._router_heartbeat)

    async def sidecar_heartbeat(self, request: Request) -> Response:
        """Renew an endpoint's lease."""
        return await self._handle(request, SidecarHeartbeat, self._sidecar_heartbeat)

    async def watch(self, request: Request) -> Response:
        """Answer when a newer revision is in force, or after the requested wait."""
        return await self._handle(request, WatchRequest, self._watch)

    async def open_claim(self, request: Request) -> Response:
        """Claim an idempotency key."""
        return await self._handle(request, ClaimOpen, self._open_claim)

    async def close_claim(self, request: Request) -> Response:
        """Store the outcome of a claimed attempt."""
        return await self._handle(request, ClaimClose, self._close_claim)

    async def raft(self, request: Request) -> Response:
        """Handle Raft messages from another member."""
        return await self._handle(request, list[RaftEnvelope], self._raft)

    async def health(self, request: Request) -> Response:
        """Answer that the process is alive."""
        return json_response(b'{"healthy":true}')

    async def events(self, request: Request) -> Response:
        """Return the events that the recorder has kept."""
        if not is_fleet_call(request, self.process.context.settings):
            return Response(status_code=401)
        return json_response(encode(self.process.context.recorder.after(0)))

    async def _handle(
        self,
        request: Request,
        message_type: type[T],
        handle: Callable[[T], Awaitable[object]],
    ) -> Response:
        """Authenticate and decode one call, handle it and encode the reply."""
        if not is_fleet_call(request, self.process.context.settings):
            return Response(status_code=401)
        try:
            message = decode(await read_inner_body(request), message_type)
            reply = await handle(message)
        except (ProtocolError, BodyTooLargeError):
            return Response(status_code=400)
        except CallRefusedError as error:
            return Response(status_code=error.status)
        except NotLeaderError:
            return Response(status_code=409)
        except OutcomeUnknownError:
            return Response(status_code=504)
        return json_response(encode(reply))

    def _validate_sender(self, sender: Sender) -> None:
        """Reject a sender with an outdated protocol; merge its clock stamp."""
        context = self.process.context
        if sender.protocol_version < OLDEST_PROTOCOL_VERSION:
            context.recorder.record(
                EventCode.PEER_REFUSED,
                detail=f"peer={sender.process_id} version={sender.protocol_version}",
            )
            raise CallRefusedError(426)
        context.observe(sender.stamp)

    async def _router_heartbeat(self, message: RouterHeartbeat) -> object:
        """Pass a router's heartbeat to the coordinator."""
        self._validate_sender(message.sender)
        coordinator = self.process.coordinator
        if coordinator is None or not self.process.holds_lease():
            raise NotLeaderError
        context = self.process.context
        return coordinator.router_heartbeat(
            message, context.sender(), context.revision, context.now()
        )

    async def _sidecar_heartbeat(self, message: SidecarHeartbeat) -> object:
        """Pass a sidecar's heartbeat to the coordinator."""
        self._validate_sender(message.sender)
        coordinator = self.process.coordinator
        if coordinator is None or not self.process.holds_lease():
            raise NotLeaderError
        context = self.process.context
        if coordinator.sidecar_heartbeat(message, context.now()):
            context.recorder.record(
                EventCode.LEASE_STARTED, endpoint_id=message.entry.endpoint_id
            )
        lease = context.settings.lease_seconds
        return SidecarHeartbeatReply(context.sender(), context.revision, lease)

    async def _watch(self, message: WatchRequest) -> object:
        """Wait for a revision that the caller does not have."""
        self._validate_sender(message.sender)
        with move_on_after(message.wait_seconds):
            while self._revision() <= message.revision and not self.process.draining:
                await self.process.revision_changed.wait()
        current = self.process.state.current()
        if current is None or current.number <= message.revision:
            return WatchReply(self._revision(), "")
        return WatchReply(current.number, current.document)

    def _revision(self) -> int:
        """Return the number of the local revision in force, or 0."""
        current = self.process.state.current()
        return current.number if current else 0

    async def _open_claim(self, message: ClaimOpen) -> object:
        """Commit a claim."""
        self._validate_sender(message.sender)
        answer = await self.process.propose(
            OpenClaim(
                message.account_id,
                message.service_id,
                message.key,
                message.body_digest,
                message.request_id,
                wall_ms(),
            )
        )
        if isinstance(answer, ClaimAnswer):
            self.process.context.recorder.record(
                EventCode.CLAIM_OPENED if answer.granted else EventCode.CLAIM_REPEATED,
                request_id=message.request_id,
                account_id=message.account_id,
                detail=f"state={answer.state or 'granted'}",
            )
        return answer

    async def _close_claim(self, message: ClaimClose) -> object:
        """Commit an outcome."""
        self._validate_sender(message.sender)
        self.process.context.recorder.record(
            EventCode.CLAIM_CLOSED,
            request_id=message.attempt_id,
            detail=f"verdict={message.verdict.value}",
        )
        return await self.process.propose(
            CloseClaim(
                message.attempt_id,
                message.verdict,
                limit_outcome(message.outcome_sse),
                wall_ms(),
            )
        )

    async def _raft(self, message: list[RaftEnvelope]) -> object:
        """Pass Raft messages to the consensus node."""
        self.process.receive(message)
        return True
