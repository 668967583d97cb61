"""Validates callers' requests before they reach the router core."""

from typing import Any

from attrs import frozen
from orjson import JSONDecodeError, loads

from pistachiolever.core.errors import Refusal
from pistachiolever.core.ids import NAME_PATTERN
from pistachiolever.declarations.models import Account, Revision, Service
from pistachiolever.edge.const import MAX_IDEMPOTENCY_KEY_CHARS
from pistachiolever.edge.server import not_run


@frozen
class Submission:
    """The validated body of a caller's request, its account and idempotency key."""

    account: Account
    service: Service
    input: str
    max_output_tokens: int
    stream: bool
    idempotency_key: str

    @property
    def size_bytes(self) -> int:
        """Return the size of the input."""
        return len(self.input.encode())


class InvalidRequestError(Exception):
    """A caller's request is invalid; the refusal gives the reason."""

    def __init__(self, refusal: Refusal, status: int) -> None:
        """Store the refusal and its HTTP status."""
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.status = status


_FIELDS = frozenset({"service", "input", "max_output_tokens", "stream"})


def parse_submission(
    body: bytes, account: Account, revision: Revision, idempotency_key: str
) -> Submission:
    """Return the validated request; raise InvalidRequestError naming the field."""
    document = _parse_document(body)
    service = _parse_service(document, account, revision)
    text = document.get("input")
    if not isinstance(text, str) or not text:
        raise _invalid("input", "expected a non-empty string")
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _invalid("input", "must not contain lone surrogates") from error
    tokens = document.get("max_output_tokens", service.max_output_tokens)
    if not isinstance(tokens, int) or isinstance(tokens, bool):
        raise _invalid("max_output_tokens", "expected an integer")
    if not 1 <= tokens <= service.max_output_tokens:
        allowed = f"expected 1 to {service.max_output_tokens}"
        raise _invalid("max_output_tokens", allowed)
    stream = document.get("stream", True)
    if not isinstance(stream, bool):
        raise _invalid("stream", "expected true or false")
    _check_idempotency_key(service, idempotency_key)
    return Submission(account, service, text, tokens, stream, idempotency_key)


def _parse_document(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a request body."""
    try:
        document = loads(body)
    except JSONDecodeError as error:
        raise _invalid("body", "expected a JSON object") from error
    if not isinstance(document, dict):
        raise _invalid("body", "expected a JSON object")
    unknown = sorted(set(document) - _FIELDS)
    if unknown:
        allowed = ", ".join(sorted(_FIELDS))
        raise _invalid(unknown[0][:64], f"unknown field; allowed: {allowed}")
    return document


def _parse_service(
    document: dict[str, Any], account: Account, revision: Revision
) -> Service:
    """Return the service that the request names and the account may use."""
    service_id = document.get("service")
    if not isinstance(service_id, str) or not NAME_PATTERN.match(service_id):
        raise _invalid("service", "expected the id of a service")
    service = revision.service_by_id.get(service_id)
    if service is None or service_id not in account.service_ids:
        allowed = ", ".join(account.service_ids) or "none"
        detail = f"service: not allowed for this account; allowed: {allowed}"
        raise InvalidRequestError(not_run("service-not-allowed", detail), 403)
    return service


def _check_idempotency_key(service: Service, key: str) -> None:
    """Check the idempotency key that a non-retryable service requires."""
    if service.repeatable:
        return
    if not key:
        detail = f"required by service {service.id}, which runs a request at most once"
        raise _invalid("Idempotency-Key", detail)
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not key.isprintable():
        allowed = f"expected 1 to {MAX_IDEMPOTENCY_KEY_CHARS} printable characters"
        raise _invalid("Idempotency-Key", allowed)


def _invalid(name: str, allowed: str) -> InvalidRequestError:
    """Return the error for an invalid field."""
    return InvalidRequestError(not_run("invalid-request", f"{name}: {allowed}"), 400)
