"""Connects requests to spillover: what the price depends on, and what came of it."""

from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.placement import RankedEndpoint
from pistachiolever.metrics.instruments import (
    DOMAIN_EXPECTED,
    DOMAIN_FIRST_CHUNK,
    SPILLOVER,
    Instruments,
)
from pistachiolever.spillover.const import EVENT_BYTES, TOKEN_BYTES
from pistachiolever.spillover.models import Expectation, LeavingRequest


def describe_leaving(request: ProxyRequest, now: float) -> LeavingRequest:
    """Return what the price of leaving the failure domain depends on.

    The body of a request is known; its response is estimated from the output tokens.
    """
    engine = request.service.engine
    events = request.output_tokens // max(1, engine.event_tokens) if engine else 1
    body_bytes = len(request.body) or TOKEN_BYTES * request.metadata.prompt_tokens
    return LeavingRequest(
        request.service.service_id,
        body_bytes + EVENT_BYTES * events,
        request.target_at - now,
    )


def record_choice(
    fleet: FleetView, request: ProxyRequest, choice: RankedEndpoint
) -> None:
    """Count the domain that a bid goes to and why; keep the expected time."""
    now, option, price = fleet.now(), choice.option, choice.price
    fleet.spillover.record_departure(request.service.service_id, option, price, now)
    fleet.instruments.count(
        SPILLOVER, fleet.settings.failure_domain, option.domain, price.reason.value
    )
    request.expectation = Expectation(
        choice.endpoint.endpoint_id, now, fleet.spillover.expected_seconds(option)
    )


def record_first_chunk(
    instruments: Instruments, request: ProxyRequest, endpoint: Announcement, at: float
) -> None:
    """Record the time from the bid to the first chunk, and what was expected.

    A bid for the rest of a stalled response may be newer than the first chunk.
    """
    expected = request.expectation
    if expected is None or expected.endpoint_id != endpoint.endpoint_id:
        return
    if at < expected.at:
        return
    instruments.observe(DOMAIN_EXPECTED, expected.seconds, endpoint.failure_domain)
    instruments.observe(DOMAIN_FIRST_CHUNK, at - expected.at, endpoint.failure_domain)
