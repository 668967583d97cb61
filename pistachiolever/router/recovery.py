"""Decides about requests that did not run, or whose endpoint was lost."""

from heapq import heappush

from attrs import define

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.router.account_queues import WaitingRequest
from pistachiolever.router.const import MAX_ATTEMPTS
from pistachiolever.router.dispatch import DispatchLayer
from pistachiolever.router.flights import Flight
from pistachiolever.router.retry import retry_delay
from pistachiolever.router.state import DelayedRetry, draining_refusal


@define
class RecoveryLayer(DispatchLayer):
    """Retries, requeues and ends after failures."""

    def _flight_lost(self, flight: Flight, detail: str) -> None:
        """Decide about a request whose endpoint is gone."""
        refusal = Refusal(Verdict.MAY_HAVE_RUN, "endpoint-lost", detail)
        self._retry_or_end(flight, refusal)

    def _retry_or_end(self, flight: Flight, refusal: Refusal) -> None:
        """Send the request elsewhere if that is safe, else end it."""
        state = self.endpoints.state_by_id.get(flight.endpoint_id)
        if state is not None:
            state.note_failure(self.now)
        if self._may_retry(flight, refusal.verdict):
            self._retry(flight)
            return
        self._finish_flight(flight, learn=False)
        self._end(flight.request.request_id, refusal)

    def _may_retry(self, flight: Flight, verdict: Verdict) -> bool:
        """Tell whether another attempt is safe, useful and within the budget."""
        if flight.has_delivered() or self.draining or flight.attempts >= MAX_ATTEMPTS:
            return False
        service = self.revision.service_by_id.get(flight.request.service_id)
        if service is None or not verdict.allows_retry(service.repeatable):
            return False
        return self.budget.withdraw()

    def _retry(self, flight: Flight) -> None:
        """Queue the request again after a random delay."""
        item = self._take_back(flight)
        item.attempts = flight.attempts
        at = self.now + retry_delay(flight.attempts, self.rng)
        self.delayed_count += 1
        heappush(self.delayed, DelayedRetry(at, self.delayed_count, item))

    def _requeue(self, flight: Flight) -> None:
        """Queue again a request that the endpoint did not take."""
        if self.draining:
            self._finish_flight(flight, learn=False)
            self._end(flight.request.request_id, draining_refusal())
            return
        item = self._take_back(flight)
        item.attempts = flight.attempts - 1
        self.queue_by_service[flight.request.service_id].put_back(item, self.now)
        self._pump(flight.request.service_id)

    def _take_back(self, flight: Flight) -> WaitingRequest:
        """Turn a flight into a waiting request again; its deadline stays."""
        queue = self.queue_by_service[flight.request.service_id]
        self._remove_flight(flight)
        queue.settle(flight, learn=False)
        estimate = queue.estimator.estimate(
            flight.request.account_id, flight.request.max_output_tokens
        )
        return WaitingRequest(flight.request, estimate, flight.deadline)

    def _end_lost_flights(self) -> None:
        """Give up flights whose session did not come back."""
        limit = self.now - self.settings.reattach_seconds
        for flight in list(self.flights.flight_by_id.values()):
            if flight.lost_at is not None and flight.lost_at <= limit:
                self._flight_lost(flight, "the endpoint's sidecar did not come back")
