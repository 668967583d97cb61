"""The HTTP API of a router for callers, the load balancer and operators."""

from attrs import define
from orjson import dumps
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pistachiolever.core.errors import Refusal
from pistachiolever.core.ids import is_id
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Account
from pistachiolever.edge.server import (
    is_fleet_call,
    json_response,
    refusal_response,
)
from pistachiolever.events.const import EventCode
from pistachiolever.router.access import account_of, unauthorized, unknown_request
from pistachiolever.router.models import (
    CancelRequest,
)
from pistachiolever.router.resume import ResumeHandler, find_run
from pistachiolever.router.submit import SubmitHandler
from pistachiolever.router.tasks import RouterProcess
from pistachiolever.wire.codec import encode
from pistachiolever.wire.models import RunStatus


def make_router_app(process: RouterProcess) -> Starlette:
    """Return the ASGI application of a router."""
    api = RouterApi(process)
    request_path = "/v1/requests/{request_id}"
    return Starlette(
        routes=[
            Route("/v1/requests", SubmitHandler(process), methods=["POST"]),
            Route(f"{request_path}/events", ResumeHandler(process), methods=["GET"]),
            Route(request_path, api.request_status, methods=["GET"]),
            Route(request_path, api.cancel, methods=["DELETE"]),
            Route("/health", api.health),
            Route("/ready", api.ready),
            Route("/ops/events", api.events),
            Route("/ops/sessions", api.sessions),
        ]
    )


@define
class RouterApi:
    """Handlers of all routes that do not stream."""

    process: RouterProcess

    async def request_status(self, request: Request) -> Response:
        """Return the status of a request."""
        account = account_of(request, self.process)
        if account is None:
            return unauthorized()
        request_id = request.path_params["request_id"]
        if not is_id(request_id):
            return unknown_request("")
        if self._is_queued(request_id, account):
            return json_response(dumps({"request_id": request_id, "state": "queued"}))
        status = await find_run(self.process, request_id, account.id, "")
        if status is None:
            return unknown_request(request_id)
        return json_response(dumps(_status_document(request_id, status)))

    async def cancel(self, request: Request) -> Response:
        """Cancel a request of this account at this router."""
        account = account_of(request, self.process)
        if account is None:
            return unauthorized()
        request_id = request.path_params["request_id"]
        if self.process.account_by_request.get(request_id) != account.id:
            return unknown_request(request_id if is_id(request_id) else "")
        self.process.context.recorder.record(
            EventCode.REQUEST_CANCELLED, request_id=request_id, account_id=account.id
        )
        stream = self.process.stream_by_request[request_id]
        self.process.actor.post(CancelRequest(request_id))
        await stream.ended.wait()
        if stream.refusal is None:
            detail = "the answer was complete before it could be cancelled"
            refusal = Refusal(Verdict.RAN, "already-complete", detail)
            return refusal_response(refusal, 200, request_id)
        return refusal_response(stream.refusal, 200, request_id)

    def _is_queued(self, request_id: str, account: Account) -> bool:
        """Return whether a request of the account is queued in this router."""
        core = self.process.core
        request = core.request_by_id.get(request_id)
        if request is None or request.account_id != account.id:
            return False
        return core.in_flight_requests.get(request_id) is None

    async def health(self, request: Request) -> Response:
        """Liveness check: the process responds."""
        return json_response(b'{"healthy":true}')

    async def ready(self, request: Request) -> Response:
        """Readiness check: whether the load balancer should send callers here."""
        ready = self.process.is_ready()
        return json_response(dumps({"ready": ready}), 200 if ready else 503)

    async def events(self, request: Request) -> Response:
        """Return the retained events of the event log."""
        if not is_fleet_call(request, self.process.context.settings):
            return unauthorized()
        return json_response(encode(self.process.context.recorder.after(0)))

    async def sessions(self, request: Request) -> Response:
        """Return the number of sidecars to which the router is connected."""
        if not is_fleet_call(request, self.process.context.settings):
            return unauthorized()
        states = self.process.core.endpoints.state_by_id.values()
        return json_response(dumps(sum(state.connected for state in states)))


def _status_document(request_id: str, status: RunStatus) -> dict[str, object]:
    """Return the status document of a request that was dispatched."""
    document: dict[str, object] = {
        "request_id": request_id,
        "endpoint": status.endpoint_id,
        "events": status.events,
        "state": "running",
    }
    if status.outcome is not None:
        document["state"] = "ended"
        document["verdict"] = status.outcome.verdict.value
        document["complete"] = status.outcome.complete
        document["reason"] = status.outcome.reason
        document["digest"] = status.outcome.digest
    return document
