"""Retries, requeues or ends requests after failures."""

from heapq import heappush

from attrs import define

from pistachiolever.core.errors import Refusal
from pistachiolever.core.verdict import Verdict
from pistachiolever.router.account_queues import QueuedRequest
from pistachiolever.router.const import MAX_ATTEMPTS
from pistachiolever.router.dispatch import DispatchLayer
from pistachiolever.router.in_flight import InFlightRequest
from pistachiolever.router.retry import retry_delay
from pistachiolever.router.state import DelayedRetry, draining_refusal


@define
class RecoveryLayer(DispatchLayer):
    """Handling of requests that failed, were refused or lost their endpoint."""

    def _handle_lost_request(self, in_flight: InFlightRequest, detail: str) -> None:
        """Retry or end a request whose endpoint was lost."""
        refusal = Refusal(Verdict.MAY_HAVE_RUN, "endpoint-lost", detail)
        self._retry_or_end(in_flight, refusal)

    def _retry_or_end(self, in_flight: InFlightRequest, refusal: Refusal) -> None:
        """Retry the request if that is safe, else end it; record the failure."""
        state = self.endpoints.state_by_id.get(in_flight.endpoint_id)
        if state is not None:
            state.record_failure(self.now)
        if self._may_retry(in_flight, refusal.verdict):
            self._retry(in_flight)
            return
        self._finish_in_flight(in_flight, update_estimate=False)
        self._end_request(in_flight.request.request_id, refusal)

    def _may_retry(self, in_flight: InFlightRequest, verdict: Verdict) -> bool:
        """Return whether to retry the request; if so, take it from the retry budget."""
        if (
            in_flight.has_delivered()
            or self.draining
            or in_flight.attempts >= MAX_ATTEMPTS
        ):
            return False
        service = self.revision.service_by_id.get(in_flight.request.service_id)
        if service is None or not verdict.allows_retry(service.repeatable):
            return False
        return self.retry_budget.try_acquire()

    def _retry(self, in_flight: InFlightRequest) -> None:
        """Schedule another attempt after a random delay."""
        item = self._to_queued_request(in_flight)
        item.attempts = in_flight.attempts
        retry_at = self.now + retry_delay(in_flight.attempts, self.rng)
        self.retry_count += 1
        heappush(self.delayed_retries, DelayedRetry(retry_at, self.retry_count, item))

    def _requeue(self, in_flight: InFlightRequest) -> None:
        """Queue a request again that was not accepted; this attempt does not count."""
        if self.draining:
            self._finish_in_flight(in_flight, update_estimate=False)
            self._end_request(in_flight.request.request_id, draining_refusal())
            return
        item = self._to_queued_request(in_flight)
        item.attempts = in_flight.attempts - 1
        self.queue_by_service[in_flight.request.service_id].requeue(item, self.now)
        self._dispatch_queued(in_flight.request.service_id)

    def _to_queued_request(self, in_flight: InFlightRequest) -> QueuedRequest:
        """Convert an in-flight request back to a queued one with the same deadline."""
        queue = self.queue_by_service[in_flight.request.service_id]
        self._remove_in_flight(in_flight)
        queue.settle(in_flight, update_estimate=False)
        estimate = queue.estimator.estimate(
            in_flight.request.account_id, in_flight.request.max_output_tokens
        )
        return QueuedRequest(in_flight.request, estimate, in_flight.deadline)

    def _end_unreachable_requests(self) -> None:
        """Retry or end the requests whose session was not re-established in time."""
        limit = self.now - self.settings.reattach_seconds
        for in_flight in list(self.in_flight_requests.request_by_id.values()):
            if (
                in_flight.disconnected_at is not None
                and in_flight.disconnected_at <= limit
            ):
                self._handle_lost_request(
                    in_flight, "the endpoint's sidecar did not reconnect"
                )
