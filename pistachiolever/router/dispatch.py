"""Decides what a router sends where: dispatches, bids, requests for the rest."""

from attrs import define

from pistachiolever.router.account_queues import WaitingRequest
from pistachiolever.router.const import BID_REFRESH_SECONDS
from pistachiolever.router.endpoints import EndpointState
from pistachiolever.router.flights import Flight
from pistachiolever.router.models import RequestSent
from pistachiolever.router.service_queue import ServiceQueue
from pistachiolever.router.state import RouterState
from pistachiolever.wire.models import Bid, Bids, Dispatch, Resume


@define
class DispatchLayer(RouterState):
    """Sending to sidecars."""

    def _pump(self, service_id: str) -> None:
        """Send what spare credits allow; bid for the rest."""
        queue = self.queue_by_service[service_id]
        while queue.account_queues.count:
            state = self.endpoints.with_credit(service_id, self.now)
            if state is None:
                break
            item = queue.next_request(self.now)
            if item is None:
                break
            state.credits -= 1
            self._dispatch(item, state, "")
        if queue.account_queues.count and not queue.has_bids_out:
            self._send_bids(queue)

    def _send_bids(self, queue: ServiceQueue) -> None:
        """Tell every usable endpoint who waits; take bids back from the others."""
        service_id = queue.service.id
        bids = queue.bids(self.now)
        usable = self.endpoints.usable(service_id, self.now)
        for state in self.endpoints.of_service(service_id):
            wanted = bids if state in usable else []
            if state.connected and _differ(wanted, state.bids_sent):
                state.bids_sent = wanted
                self._command(state.entry.endpoint_id, Bids(wanted))
        queue.has_bids_out = bool(bids)
        queue.bids_sent_at = self.now

    def _dispatch(
        self, item: WaitingRequest, state: EndpointState, grant_id: str
    ) -> None:
        """Send one request to an endpoint, with the bids of those that wait."""
        request = item.request
        queue = self.queue_by_service[request.service_id]
        flight = Flight(
            request,
            state.entry.endpoint_id,
            state.incarnation,
            self.revision.weight_of(request.account_id),
            queue.charge_dispatch(item, self.now),
            item.attempts + 1,
            item.deadline,
        )
        self._add_flight(flight, state)
        bids = queue.bids(self.now)
        state.bids_sent = bids
        self._command(
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
            RequestSent(
                request.request_id,
                request.account_id,
                state.entry.endpoint_id,
                flight.attempts,
            )
        )

    def _correct_bids(self, state: EndpointState) -> None:
        """Send one endpoint the bids as they stand now."""
        bids = self.queue_by_service[state.entry.service_id].bids(self.now)
        if _differ(bids, state.bids_sent):
            state.bids_sent = bids
            self._command(state.entry.endpoint_id, Bids(bids))

    def _ask_rest(self, flight: Flight) -> None:
        """Ask for the events after the last one passed on."""
        self._command(
            flight.endpoint_id,
            Resume(flight.request.request_id, flight.request.account_id, flight.last),
        )

    def _bids_are_due(self, queue: ServiceQueue) -> bool:
        """Tell whether bids are old, or stand although nothing waits."""
        if not queue.account_queues.count:
            return queue.has_bids_out
        return self.now - queue.bids_sent_at >= BID_REFRESH_SECONDS


def _differ(bids: list[Bid], others: list[Bid]) -> bool:
    """Tell whether the difference is worth a message: who, and how much served."""
    if len(bids) != len(others):
        return True
    return any(
        bid.account_id != other.account_id or bid.virtual != other.virtual
        for bid, other in zip(bids, others, strict=True)
    )
