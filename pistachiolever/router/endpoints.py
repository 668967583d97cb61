"""What a router knows of its endpoints: sessions, credits and failures."""

from attrs import define, field

from pistachiolever.router.const import EJECT_MOST_SECONDS, EJECT_SECONDS
from pistachiolever.wire.models import Bid, EndpointEntry


@define
class EndpointState:
    """One endpoint as this router sees it; times are in seconds."""

    entry: EndpointEntry
    incarnation: str = ""
    connected: bool = False
    leased: bool = True
    draining: bool = False
    credits: int = 0
    in_flight: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    lost_at: float = 0.0
    bids_sent: list[Bid] = field(factory=list)

    def open(self) -> bool:
        """Tell whether the endpoint takes new work."""
        return self.connected and self.leased and not self.draining

    def note_failure(self, now: float) -> None:
        """Keep away from the endpoint, longer after each failure in a row."""
        self.failures += 1
        wait = EJECT_SECONDS * 2.0 ** (self.failures - 1)
        self.ejected_until = now + min(EJECT_MOST_SECONDS, wait)
        self.credits = 0

    def note_success(self) -> None:
        """Trust the endpoint again."""
        self.failures = 0


@define
class EndpointBook:
    """All endpoints of a router, by id and by service."""

    state_by_id: dict[str, EndpointState] = field(factory=dict)
    states_by_service: dict[str, dict[str, EndpointState]] = field(factory=dict)
    credited_by_service: dict[str, dict[str, EndpointState]] = field(factory=dict)

    def ensure(self, entry: EndpointEntry) -> EndpointState:
        """Return the endpoint's state, made when it is new."""
        state = self.state_by_id.get(entry.endpoint_id)
        if state is None:
            state = EndpointState(entry)
            self.state_by_id[entry.endpoint_id] = state
        state.entry = entry
        by_id = self.states_by_service.setdefault(entry.service_id, {})
        by_id[entry.endpoint_id] = state
        return state

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint whose lease ended."""
        state = self.state_by_id.pop(endpoint_id, None)
        if state is not None:
            del self.states_by_service[state.entry.service_id][endpoint_id]
            credited = self.credited_by_service.get(state.entry.service_id, {})
            credited.pop(endpoint_id, None)

    def of_service(self, service_id: str) -> list[EndpointState]:
        """Return the endpoints of a service."""
        return list(self.states_by_service.get(service_id, {}).values())

    def usable(self, service_id: str, now: float) -> list[EndpointState]:
        """Return where new work may go.

        Endpoints that failed are kept out for a while, unless no other is open:
        then trying them is better than leaving work to wait.
        """
        open_states = [state for state in self.of_service(service_id) if state.open()]
        trusted = [state for state in open_states if now >= state.ejected_until]
        return trusted or open_states

    def give_credit(self, state: EndpointState, count: int) -> None:
        """Note how many requests an endpoint takes without a grant."""
        state.credits = count
        if count > 0:
            by_id = self.credited_by_service.setdefault(state.entry.service_id, {})
            by_id[state.entry.endpoint_id] = state

    def with_credit(self, service_id: str, now: float) -> EndpointState | None:
        """Return the usable endpoint with the most spare credits for its load."""
        credited = self.credited_by_service.get(service_id)
        if not credited:
            return None
        for endpoint_id in [name for name, s in credited.items() if s.credits <= 0]:
            del credited[endpoint_id]
        candidates = [state for state in credited.values() if state.open()]
        trusted = [state for state in candidates if now >= state.ejected_until]
        if not trusted and candidates:
            usable = self.usable(service_id, now)
            trusted = [state for state in candidates if state in usable]
        return max(trusted, key=_preference, default=None)


def _preference(state: EndpointState) -> tuple[int, int]:
    """Order endpoints: most credits first, then least in flight."""
    return state.credits, -state.in_flight
