"""HTTP API of a sidecar for routers."""

from anyio import create_task_group, move_on_after, sleep_until
from attrs import define
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from pistachiolever.const import OLDEST_PROTOCOL_VERSION
from pistachiolever.core.errors import ProtocolError
from pistachiolever.edge.server import (
    BodyTooLargeError,
    is_fleet_call,
    json_response,
    read_body,
    read_inner_body,
)
from pistachiolever.events.const import EventCode
from pistachiolever.sidecar.const import KEEPALIVE_SECONDS, MIN_SEND_INTERVAL_SECONDS
from pistachiolever.sidecar.models import FromRouter
from pistachiolever.sidecar.sessions import RouterSession, merge_chunks
from pistachiolever.sidecar.tasks import SidecarProcess
from pistachiolever.wire.codec import decode, encode
from pistachiolever.wire.const import (
    COMMANDS_PATH,
    MAX_INNER_BODY_BYTES,
    SESSION_PATH,
    STATUS_PATH,
)
from pistachiolever.wire.models import (
    RouterCommands,
    RunStatusQuery,
    Sender,
    SidecarBatch,
    SidecarHello,
    SidecarMessage,
)


def make_sidecar_app(process: SidecarProcess) -> Starlette:
    """Return the ASGI application that routers call."""
    api = SidecarApi(process)
    return Starlette(
        routes=[
            Route(SESSION_PATH, SessionHandler(process), methods=["POST"]),
            Route(COMMANDS_PATH, api.commands, methods=["POST"]),
            Route(STATUS_PATH, api.status, methods=["POST"]),
            Route("/health", api.health),
            Route("/ops/events", api.events),
        ]
    )


@define
class SidecarApi:
    """Handlers of all routes except the session."""

    process: SidecarProcess

    async def commands(self, request: Request) -> Response:
        """Accept a batch of commands; with status 409 none of them was accepted."""
        if not is_fleet_call(request, self.process.context.settings):
            return Response(status_code=401)
        try:
            commands = decode(await read_inner_body(request), RouterCommands)
        except (ProtocolError, BodyTooLargeError):
            return Response(status_code=400)
        if not self._accepts(commands):
            return Response(status_code=409)
        self.process.context.observe(commands.sender.stamp)
        for message in commands.messages:
            self.process.actor.post(FromRouter(commands.sender.process_id, message))
        return json_response(b"true")

    def _accepts(self, commands: RouterCommands) -> bool:
        """Return whether this incarnation is addressed and the router has a session."""
        if commands.to_incarnation != self.process.context.incarnation:
            return False
        return commands.sender.process_id in self.process.session_by_router

    async def status(self, request: Request) -> Response:
        """Return the status of a request at this endpoint."""
        if not is_fleet_call(request, self.process.context.settings):
            return Response(status_code=401)
        try:
            query = decode(await read_inner_body(request), RunStatusQuery)
        except (ProtocolError, BodyTooLargeError):
            return Response(status_code=400)
        status = self.process.core.status(query.request_id, query.account_id)
        return json_response(encode(status))

    async def health(self, request: Request) -> Response:
        """Liveness check: the process responds."""
        return json_response(b'{"healthy":true}')

    async def events(self, request: Request) -> Response:
        """Return the retained events of the event log."""
        if not is_fleet_call(request, self.process.context.settings):
            return Response(status_code=401)
        return json_response(encode(self.process.context.recorder.after(0)))


@define
class SessionHandler:
    """Streams messages to a router in one long-lived response."""

    process: SidecarProcess

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send batches until the router disconnects or opens a newer session."""
        request = Request(scope, receive)
        if not is_fleet_call(request, self.process.context.settings):
            await Response(status_code=401)(scope, receive, send)
            return
        try:
            sender = decode(await read_body(receive, MAX_INNER_BODY_BYTES), Sender)
        except (ProtocolError, BodyTooLargeError):
            await Response(status_code=400)(scope, receive, send)
            return
        if sender.protocol_version < OLDEST_PROTOCOL_VERSION:
            self.process.context.recorder.record(
                EventCode.PEER_REFUSED,
                detail=f"peer={sender.process_id} version={sender.protocol_version}",
            )
            await Response(status_code=426)(scope, receive, send)
            return
        self.process.context.observe(sender.stamp)
        session = self.process.open_session(sender.process_id)
        try:
            async with create_task_group() as group:
                group.start_soon(self._write, session, send)
                await _wait_for_disconnect(receive)
                group.cancel_scope.cancel()
        finally:
            self.process.close_session(session)

    async def _write(self, session: RouterSession, send: Send) -> None:
        """Send the hello, then the messages of the outbox."""
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await self._send(send, [self._hello()])
        sent_at = float("-inf")
        while not session.outbox.is_closed():
            with move_on_after(KEEPALIVE_SECONDS):
                await session.outbox.wait()
            # Messages soon after a write are batched; others are sent at once.
            await sleep_until(sent_at + MIN_SEND_INTERVAL_SECONDS)
            sent_at = self.process.context.now()
            await self._send(send, merge_chunks(session.outbox.get_all_nowait()))
        await send({"type": "http.response.body", "body": b""})

    def _hello(self) -> SidecarHello:
        """Return the first message of a session, which identifies this sidecar."""
        settings = self.process.context.settings
        sidecar = self.process.settings
        return SidecarHello(
            self.process.context.sender(),
            sidecar.endpoint_id,
            sidecar.service_id,
            settings.failure_domain,
        )

    async def _send(self, send: Send, messages: list[SidecarMessage]) -> None:
        """Write a batch as one line of JSON."""
        stamp = self.process.context.recorder.stamp()
        body = encode(SidecarBatch(stamp, messages)) + b"\n"
        await send({"type": "http.response.body", "body": body, "more_body": True})


async def _wait_for_disconnect(receive: Receive) -> None:
    """Return once the peer has closed its connection."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
