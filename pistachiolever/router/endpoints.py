"""State of a router's endpoints: sessions, credits and failures."""

from attrs import define, field

from pistachiolever.router.const import INITIAL_EJECTION_SECONDS, MAX_EJECTION_SECONDS
from pistachiolever.wire.models import Bid, EndpointEntry


@define
class RouterEndpointState:
    """One endpoint as this router sees it; times are in seconds.

    `leased` tells whether control lists the endpoint, `credits` how many requests
    it accepts without a grant.
    """

    entry: EndpointEntry
    incarnation: str = ""
    connected: bool = False
    leased: bool = True
    draining: bool = False
    credits: int = 0
    in_flight_count: int = 0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    bids_sent: list[Bid] = field(factory=list)

    def is_available(self) -> bool:
        """Return whether the endpoint accepts new requests."""
        return self.connected and self.leased and not self.draining

    def record_failure(self, now: float) -> None:
        """Eject the endpoint, for longer after each consecutive failure."""
        self.consecutive_failures += 1
        duration = INITIAL_EJECTION_SECONDS * 2.0 ** (self.consecutive_failures - 1)
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, duration)
        self.credits = 0

    def record_success(self) -> None:
        """Reset the number of consecutive failures."""
        self.consecutive_failures = 0


@define
class EndpointTable:
    """All endpoints of a router, by id and by service.

    `credited_by_service` may still hold endpoints that have used their credits.
    """

    state_by_id: dict[str, RouterEndpointState] = field(factory=dict)
    states_by_service: dict[str, dict[str, RouterEndpointState]] = field(factory=dict)
    credited_by_service: dict[str, dict[str, RouterEndpointState]] = field(factory=dict)

    def add_or_update(self, entry: EndpointEntry) -> RouterEndpointState:
        """Store the entry and return the endpoint's state, creating it if needed."""
        state = self.state_by_id.get(entry.endpoint_id)
        if state is None:
            state = RouterEndpointState(entry)
            self.state_by_id[entry.endpoint_id] = state
        state.entry = entry
        by_id = self.states_by_service.setdefault(entry.service_id, {})
        by_id[entry.endpoint_id] = state
        return state

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint whose lease ended."""
        state = self.state_by_id.pop(endpoint_id, None)
        if state is not None:
            del self.states_by_service[state.entry.service_id][endpoint_id]
            credited = self.credited_by_service.get(state.entry.service_id, {})
            credited.pop(endpoint_id, None)

    def of_service(self, service_id: str) -> list[RouterEndpointState]:
        """Return the endpoints of a service."""
        return list(self.states_by_service.get(service_id, {}).values())

    def usable(self, service_id: str, now: float) -> list[RouterEndpointState]:
        """Return the endpoints to which new requests may be sent.

        Ejected endpoints are left out unless no other is available: trying them is
        then better than leaving requests in the queue.
        """
        available = [
            state for state in self.of_service(service_id) if state.is_available()
        ]
        not_ejected = [state for state in available if now >= state.ejected_until]
        return not_ejected or available

    def set_credits(self, state: RouterEndpointState, count: int) -> None:
        """Set how many requests an endpoint accepts without a grant."""
        state.credits = count
        if count > 0:
            by_id = self.credited_by_service.setdefault(state.entry.service_id, {})
            by_id[state.entry.endpoint_id] = state

    def select_with_credit(
        self, service_id: str, now: float
    ) -> RouterEndpointState | None:
        """Return the usable endpoint with the most credits, or None."""
        credited = self.credited_by_service.get(service_id)
        if not credited:
            return None
        for endpoint_id in [name for name, s in credited.items() if s.credits <= 0]:
            del credited[endpoint_id]
        candidates = [state for state in credited.values() if state.is_available()]
        not_ejected = [state for state in candidates if now >= state.ejected_until]
        if not not_ejected and candidates:
            usable = self.usable(service_id, now)
            not_ejected = [state for state in candidates if state in usable]
        return max(not_ejected, key=_credit_sort_key, default=None)


def _credit_sort_key(state: RouterEndpointState) -> tuple[int, int]:
    """Return the sort key: most credits, then fewest requests in flight."""
    return state.credits, -state.in_flight_count
