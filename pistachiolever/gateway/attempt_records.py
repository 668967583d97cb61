"""Records the results of attempts in health, affinity, metrics and the event log."""

from pistachiolever.events.const import EventCode
from pistachiolever.gateway.attempt import Attempt, AttemptResult
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.spillover_records import record_first_chunk
from pistachiolever.metrics.instruments import (
    ATTEMPTS,
    ENGINE_FIRST_CHUNK,
    FIRST_CHUNK,
    QUEUED,
    REQUESTS,
    STREAM_ENDS,
)
from pistachiolever.routing.models import RequestKind


def output_tokens(request: ProxyRequest, attempt: Attempt) -> int:
    """Return the approximate number of generated tokens."""
    engine = request.service.engine
    return attempt.boundary.event_count * engine.event_tokens if engine else 0


def record_attempt(
    fleet: FleetView,
    request: ProxyRequest,
    handle: EndpointHandle,
    attempt: Attempt,
    result: AttemptResult,
    sent_at: float,
    tokens: int,
    queued_seconds: float,
) -> None:
    """Record a result in health, affinity, metrics and the event log."""
    now = fleet.now()
    if attempt.has_run() or (result.answered and not result.connection_ended):
        fleet.parts.record_sound_run(request.suspect_ids)
    if result.answered:
        handle.health.record_success(now)
        fleet.placement.prefix_affinity.record_use(
            handle.endpoint.endpoint_id,
            request.metadata.model,
            request.metadata.parts[:-1],
            now,
        )
    elif result.sent and result.endpoint_at_fault and result.reason != "cancelled":
        handle.health.record_failure(now)
    first = attempt.first_chunk_at
    kind = request.route.kind.value
    instruments = fleet.instruments
    if attempt.framing is not None and request.route.kind is RequestKind.STREAM:
        place = "within" if attempt.boundary.unfinished_bytes else "between"
        instruments.count(STREAM_ENDS, attempt.framing.value, place)
    instruments.count(ATTEMPTS, handle.endpoint.endpoint_id, result.verdict.value)
    if first is not None:
        instruments.observe(FIRST_CHUNK, first - request.arrived_at, kind)
        instruments.observe(
            ENGINE_FIRST_CHUNK, first - sent_at, handle.endpoint.endpoint_id
        )
        record_first_chunk(instruments, request, handle.endpoint, first)
    if result.answered:
        instruments.count(REQUESTS, kind, request.account_id, "answered")
        instruments.observe(QUEUED, queued_seconds, kind)
    fleet.events.record(
        EventCode.REQUEST_FINISHED if result.answered else EventCode.ATTEMPT_FAILED,
        request.request_id,
        endpoint=handle.endpoint.endpoint_id,
        version=handle.endpoint.version,
        route=request.route.route_id,
        account=request.account_id,
        attempt=request.attempt_count,
        verdict=result.verdict.value,
        reason=result.reason,
        status=result.status,
        framing=attempt.framing.value if attempt.framing else "",
        unfinished=attempt.boundary.unfinished_bytes,
        queued=round(queued_seconds, 4),
        first=round(first - request.arrived_at, 4) if first is not None else None,
        engine=round(first - sent_at, 4) if first is not None else None,
        total=round(now - request.arrived_at, 4),
        prompt=request.metadata.prompt_tokens,
        tokens=tokens,
        left=round(request.remaining_seconds(now), 3),
        parts=[] if result.answered else request.shared_part_ids,
        content="" if result.answered else request.content_id,
    )
