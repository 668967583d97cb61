"""Requests that an endpoint holds for this router."""

from attrs import define, field

from pistachiolever.router.models import CallerRequest


@define
class Flight:
    """One dispatched request.

    `pending` is what is left of the estimate, `weight` the account's weight when
    it was sent, `cost` the measured cost that was charged, `last` the number of
    the last event passed on, `deadline` when it
    must have been sent for good. `lost_at` is set while the session is broken.
    """

    request: CallerRequest
    endpoint_id: str
    incarnation: str
    weight: float
    pending: float
    attempts: int
    deadline: float
    cost: float = 0.0
    last: int = 0
    detached: bool = False
    resumed: bool = False
    lost_at: float | None = None

    def has_delivered(self) -> bool:
        """Tell whether the caller has had a part of the answer."""
        return self.last > 0 or self.resumed


@define
class FlightBook:
    """All flights, by request and by endpoint."""

    flight_by_id: dict[str, Flight] = field(factory=dict)
    ids_by_endpoint: dict[str, set[str]] = field(factory=dict)

    def add(self, flight: Flight) -> None:
        """Keep a new flight."""
        request_id = flight.request.request_id
        self.flight_by_id[request_id] = flight
        self.ids_by_endpoint.setdefault(flight.endpoint_id, set()).add(request_id)

    def get(self, request_id: str) -> Flight | None:
        """Return the flight of a request."""
        return self.flight_by_id.get(request_id)

    def remove(self, request_id: str) -> Flight | None:
        """Drop the flight of a request that ended or goes elsewhere."""
        flight = self.flight_by_id.pop(request_id, None)
        if flight is not None:
            self.ids_by_endpoint[flight.endpoint_id].discard(request_id)
        return flight

    def at_endpoint(self, endpoint_id: str) -> list[Flight]:
        """Return the flights that an endpoint holds, in a stable order."""
        ids = sorted(self.ids_by_endpoint.get(endpoint_id, ()))
        return [self.flight_by_id[request_id] for request_id in ids]
