"""Authenticates callers and builds the responses to rejected ones."""

from starlette.requests import Request
from starlette.responses import Response

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.models import Account
from pistachiolever.edge.keys import bearer_of, key_digest
from pistachiolever.edge.server import (
    not_run,
    refusal_response,
)
from pistachiolever.router.tasks import RouterProcess


def account_of(request: Request, process: RouterProcess) -> Account | None:
    """Return the account whose key the request carries, or None."""
    key = bearer_of(request.headers.get("authorization", ""))
    if not key:
        return None
    return process.revision.account_by_key.get(key_digest(key))


def unauthorized() -> Response:
    """Return the response to a caller without a valid key."""
    detail = "Authorization: expected 'Bearer' followed by the key of an account"
    response = refusal_response(not_run("unauthorized", detail), 401)
    response.headers["www-authenticate"] = "Bearer"
    return response


def unknown_request(request_id: str) -> Response:
    """Return the response if no reachable endpoint holds the request."""
    refusal = Refusal(
        Verdict.MAY_HAVE_RUN,
        "unknown-request",
        "no reachable endpoint holds this request of this account",
    )
    return refusal_response(refusal, 404, request_id)
