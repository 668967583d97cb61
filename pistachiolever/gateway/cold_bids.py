"""What bids tell of engines that may be cold."""

from math import inf

from attrs import evolve

from pistachiolever.admission.cold_start import ColdService
from pistachiolever.admission.models import Bid
from pistachiolever.discovery.models import Announcement
from pistachiolever.gateway.const import MIN_AGENTLESS_FRACTION
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.routing.models import ProxyService


def describe_cold(
    service: ProxyService,
    endpoint: Announcement,
    heard_at: float,
    suspected_at: float,
    settings: GatewaySettings,
    now: float,
) -> ColdService | None:
    """Return what a bid tells; None if the service has no rate for cold engines.

    `heard_at` is when this router heard the endpoint's announcement, `suspected_at`
    when it last had a reason to suppose that the endpoint is cold. The overage of the
    bound is a margin for requests that arrive later than they are granted.
    """
    rate = service.cold_requests_per_second * min(1.0, settings.cold_overage)
    if rate <= 0:
        return None
    age = max(0.0, now - heard_at)
    return ColdService(
        service.health_path,
        rate,
        service.cold_start_seconds,
        settings.cold_slack,
        max(0.0, endpoint.cold_seconds - age),
        age,
        None if suspected_at == -inf else max(0.0, now - suspected_at),
        rate * min(1.0, max(MIN_AGENTLESS_FRACTION, settings.cold_overage - 1.0)),
    )


def suspect_cold(bid: Bid, lost_at: float, now: float) -> Bid:
    """Return a bid that tells that the engine's agent has been lost at a time.

    The engine may have restarted with it. The agent may grant its whole rate to other
    routers, so that only the overage is left.
    """
    if bid.cold is None:
        return bid
    age = max(0.0, now - lost_at)
    if bid.cold.suspected_age is not None:
        age = min(age, bid.cold.suspected_age)
    rate = bid.cold.agentless_per_second
    cold = evolve(bid.cold, suspected_age=age, requests_per_second=rate)
    return evolve(bid, cold=cold)
