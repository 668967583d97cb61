"""Estimates pressure and spare capacity of domains from the loads of endpoints."""

from attrs import define, field

from pistachiolever.admission.const import INITIAL_PREFILL_TOKENS_PER_SECOND
from pistachiolever.admission.models import Load
from pistachiolever.spillover.const import (
    ESTIMATE_SECONDS,
    MAX_ENDPOINT_PRESSURE,
    MAX_LOAD_AGE_SECONDS,
    SHORT_PRESSURE,
)
from pistachiolever.spillover.models import DomainEstimate, KnownLoad

# A service and a failure domain.
DomainKey = tuple[str, str]


def endpoint_pressure(load: Load, short_wait_seconds: float) -> float:
    """Return the used part of an endpoint, by slots or by the wait for prefill."""
    used = (load.running + load.waiting) / max(1, load.slots)
    speed = load.speed or INITIAL_PREFILL_TOKENS_PER_SECOND
    wait = (load.unread_tokens + load.queued_tokens) / speed + load.limit_seconds
    return min(MAX_ENDPOINT_PRESSURE, max(used, wait / short_wait_seconds))


@define
class DomainEstimator:
    """Keeps the recent loads of endpoints, in order of arrival."""

    short_wait_seconds: float
    known_by_endpoint: dict[str, KnownLoad] = field(factory=dict)

    def record(self, endpoint_id: str, known: KnownLoad) -> None:
        """Record a load unless a newer one is known."""
        previous = self.known_by_endpoint.get(endpoint_id)
        if previous is None or known.at >= previous.at:
            self.known_by_endpoint[endpoint_id] = known

    def estimate(self, now: float) -> dict[DomainKey, DomainEstimate]:
        """Return the estimates by service and domain; forget old loads.

        No load may become too old before the next estimate.
        """
        max_age = MAX_LOAD_AGE_SECONDS - ESTIMATE_SECONDS
        self.known_by_endpoint = {
            endpoint_id: known
            for endpoint_id, known in self.known_by_endpoint.items()
            if now - known.at <= max_age
        }
        known_by_key: dict[DomainKey, list[KnownLoad]] = {}
        for known in self.known_by_endpoint.values():
            key = (known.service_id, known.domain)
            known_by_key.setdefault(key, []).append(known)
        return {
            key: self._estimate_domain(loads, now)
            for key, loads in known_by_key.items()
        }

    def _estimate_domain(self, loads: list[KnownLoad], now: float) -> DomainEstimate:
        """Return the estimate from the recent loads of one domain."""
        pressures = [
            endpoint_pressure(known.load, self.short_wait_seconds) for known in loads
        ]
        return DomainEstimate(
            sum(pressures) / len(pressures),
            sum(max(0.0, SHORT_PRESSURE - pressure) for pressure in pressures),
            len(pressures),
            sum(now - known.at for known in loads) / len(loads),
        )
