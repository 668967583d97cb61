"""Chooses endpoints and sends them requests, bids and resume commands."""

from attrs import define

from pistachiolever.router.account_queues import QueuedRequest
from pistachiolever.router.const import BID_REFRESH_SECONDS
from pistachiolever.router.endpoints import RouterEndpointState
from pistachiolever.router.in_flight import InFlightRequest
from pistachiolever.router.models import RecordDispatch
from pistachiolever.router.service_queue import ServiceQueue
from pistachiolever.router.state import RouterState
from pistachiolever.wire.models import Bid, Bids, Dispatch, Resume


@define
class DispatchLayer(RouterState):
    """Dispatching of requests and bidding for grants."""

    def _dispatch_queued(self, service_id: str) -> None:
        """Dispatch queued requests on spare credits and bid for the others."""
        queue = self.queue_by_service[service_id]
        while queue.account_queues.count:
            state = self.endpoints.select_with_credit(service_id, self.now)
            if state is None:
                break
            item = queue.next_request(self.now)
            if item is None:
                break
            state.credits -= 1
            self._dispatch(item, state, "")
        if queue.account_queues.count and not queue.has_open_bids:
            self._send_bids(queue)

    def _send_bids(self, queue: ServiceQueue) -> None:
        """Send bids to the usable endpoints and withdraw them from the others."""
        service_id = queue.service.id
        bids = queue.bids(self.now)
        usable = self.endpoints.usable(service_id, self.now)
        for state in self.endpoints.of_service(service_id):
            new_bids = bids if state in usable else []
            if state.connected and _bids_differ(new_bids, state.bids_sent):
                state.bids_sent = new_bids
                self._send_command(state.entry.endpoint_id, Bids(new_bids))
        queue.has_open_bids = bool(bids)
        queue.bids_sent_at = self.now

    def _dispatch(
        self, item: QueuedRequest, state: RouterEndpointState, grant_id: str
    ) -> None:
        """Send one request to an endpoint, with bids for the queued ones."""
        request = item.request
        queue = self.queue_by_service[request.service_id]
        in_flight = InFlightRequest(
            request,
            state.entry.endpoint_id,
            state.incarnation,
            self.revision.weight_of(request.account_id),
            queue.charge_dispatch(item, self.now),
            item.attempts + 1,
            item.deadline,
        )
        self._add_in_flight(in_flight, state)
        bids = queue.bids(self.now)
        state.bids_sent = bids
        self._send_command(
            state.entry.endpoint_id,
            Dispatch(
                request.request_id,
                request.account_id,
                request.input,
                request.max_output_tokens,
                grant_id,
                request.attempt_id,
                Bids(bids),
            ),
        )
        self._actions.append(
            RecordDispatch(
                request.request_id,
                request.account_id,
                state.entry.endpoint_id,
                in_flight.attempts,
            )
        )

    def _update_bids(self, state: RouterEndpointState) -> None:
        """Send one endpoint the current bids if they changed."""
        bids = self.queue_by_service[state.entry.service_id].bids(self.now)
        if _bids_differ(bids, state.bids_sent):
            state.bids_sent = bids
            self._send_command(state.entry.endpoint_id, Bids(bids))

    def _request_missing_events(self, in_flight: InFlightRequest) -> None:
        """Request the events after the last one delivered to the caller."""
        self._send_command(
            in_flight.endpoint_id,
            Resume(
                in_flight.request.request_id,
                in_flight.request.account_id,
                in_flight.last_event,
            ),
        )

    def _bids_are_due(self, queue: ServiceQueue) -> bool:
        """Return whether bids need a refresh or, with an empty queue, withdrawal."""
        if not queue.account_queues.count:
            return queue.has_open_bids
        return self.now - queue.bids_sent_at >= BID_REFRESH_SECONDS


def _bids_differ(bids: list[Bid], others: list[Bid]) -> bool:
    """Return whether accounts or counters differ; other changes need no update."""
    if len(bids) != len(others):
        return True
    return any(
        bid.account_id != other.account_id or bid.virtual != other.virtual
        for bid, other in zip(bids, others, strict=True)
    )
