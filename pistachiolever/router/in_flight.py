"""Requests that this router has sent to endpoints and that have not ended."""

from attrs import define, field

from pistachiolever.router.models import CallerRequest


@define
class InFlightRequest:
    """A dispatched request.

    `weight` is the account's weight at dispatch, `pending_estimate` the part of the
    weighted cost estimate that is still charged, `charged_cost` the measured cost
    charged so far and `last_event` the number of the last event sent to the caller.
    If the request is queued again, it must be dispatched by `deadline`.
    `disconnected_at` is set while the session with the endpoint is lost.
    """

    request: CallerRequest
    endpoint_id: str
    incarnation: str
    weight: float
    pending_estimate: float
    attempts: int
    deadline: float
    charged_cost: float = 0.0
    last_event: int = 0
    detached: bool = False
    resumed: bool = False
    disconnected_at: float | None = None

    def has_delivered(self) -> bool:
        """Return whether the caller has received part of the answer."""
        return self.last_event > 0 or self.resumed


@define
class InFlightTable:
    """All in-flight requests, by request id and by endpoint."""

    request_by_id: dict[str, InFlightRequest] = field(factory=dict)
    ids_by_endpoint: dict[str, set[str]] = field(factory=dict)

    def add(self, in_flight: InFlightRequest) -> None:
        """Add a dispatched request."""
        request_id = in_flight.request.request_id
        self.request_by_id[request_id] = in_flight
        self.ids_by_endpoint.setdefault(in_flight.endpoint_id, set()).add(request_id)

    def get(self, request_id: str) -> InFlightRequest | None:
        """Return the in-flight request with this id, or None."""
        return self.request_by_id.get(request_id)

    def remove(self, request_id: str) -> InFlightRequest | None:
        """Remove and return a request that ended or is queued again."""
        in_flight = self.request_by_id.pop(request_id, None)
        if in_flight is not None:
            self.ids_by_endpoint[in_flight.endpoint_id].discard(request_id)
        return in_flight

    def at_endpoint(self, endpoint_id: str) -> list[InFlightRequest]:
        """Return the requests at an endpoint in a deterministic order."""
        ids = sorted(self.ids_by_endpoint.get(endpoint_id, ()))
        return [self.request_by_id[request_id] for request_id in ids]
