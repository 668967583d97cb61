"""Formatting of the server-sent events that callers receive."""

from orjson import dumps

from pistachiolever.core.errors import Refusal
from pistachiolever.wire.models import Outcome


def part_event(number: int, endpoint_id: str, text: str) -> str:
    """Return a `part` event, with a chunk of the generated text."""
    data = dumps({"text": text}).decode()
    return f"id: {number}@{endpoint_id}\nevent: part\ndata: {data}\n\n"


def result_event(number: int, endpoint_id: str, result_json: str) -> str:
    """Return a `result` event, with the complete result of a plain service."""
    return f"id: {number}@{endpoint_id}\nevent: result\ndata: {result_json}\n\n"


def final_event(number: int, endpoint_id: str, parts: int, outcome: Outcome) -> str:
    """Return the `final` event, with the outcome of a request."""
    data = dumps(
        {
            "verdict": outcome.verdict.value,
            "complete": outcome.complete,
            "parts": parts,
            "digest": outcome.digest,
            "reason": outcome.reason,
        }
    ).decode()
    return f"id: {number}@{endpoint_id}\nevent: final\ndata: {data}\n\n"


def refusal_event(refusal: Refusal) -> str:
    """Return the `final` event that a router sends if no endpoint has sent one."""
    data = dumps(
        {
            "verdict": refusal.verdict.value,
            "complete": False,
            "reason": refusal.reason,
            "detail": refusal.detail,
            "retry_after_seconds": refusal.retry_after_seconds,
        }
    ).decode()
    return f"event: final\ndata: {data}\n\n"
