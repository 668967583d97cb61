"""Obtains a grant for a request: chooses endpoints and bids at them in turn."""

from anyio import move_on_after
from attrs import define

from pistachiolever.admission.models import Bid, BidReply
from pistachiolever.core.timeouts import move_on_after_peer
from pistachiolever.events.const import EventCode
from pistachiolever.gateway.const import (
    BID_TURNS,
    CONTINUED_TARGET_FACTOR,
    INCARNATION_CHECK_SECONDS,
    INCARNATION_UNKNOWN,
    MIN_ATTEMPT_SECONDS,
)
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.fair_shares import OwnGrant
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.gateway.placement import RankedEndpoint
from pistachiolever.gateway.spillover_records import describe_leaving, record_choice
from pistachiolever.streams.models import StreamOrigin


@define(eq=False)
class Bidding:
    """The bids of one request.

    `refusal` is the last refused bid. `expected_prefill_seconds` is the prefill time
    that was pending at the endpoint when it granted the request, `transit_seconds` how
    long the last bid and its reply were under way.
    """

    fleet: FleetView
    request: ProxyRequest
    refusal: BidReply | None = None
    queued_seconds: float = 0.0
    expected_prefill_seconds: float = 0.0
    transit_seconds: float = 0.0

    async def acquire(self, elsewhere: bool = False) -> EndpointHandle | None:
        """Return an endpoint with a grant; None if the tried endpoints refused.

        `elsewhere` leaves out those to which the request was sent before.
        """
        refused: set[str] = set()
        undecided_count = 0
        request = self.request
        started_at = self.fleet.now()
        try:
            while len(refused) < self._max_bids():
                ranked = self._rank_choices(refused, elsewhere)
                if not ranked:
                    return None
                choice = ranked[0]
                bid_handle = self.fleet.handle_by_id[choice.endpoint.endpoint_id]
                may_withdraw = undecided_count < self.fleet.policy.most_bids
                timeout_seconds = self._bid_timeout_seconds(
                    may_withdraw and len(ranked) > 1
                )
                reply = await self._submit_bid(choice, timeout_seconds)
                undecided_count += reply is None
                handle = self.fleet.handle_by_id.get(choice.endpoint.endpoint_id)
                if reply is not None and reply.granted and handle is None:
                    # The endpoint is gone: release the grant.
                    bid_handle.admission.report_end(request.bid_id, 0)
                if reply is None or handle is None:
                    if (
                        request.remaining_seconds(self.fleet.now())
                        < MIN_ATTEMPT_SECONDS
                    ):
                        return None
                    continue
                if reply.granted and not self.fleet.selection.may_send(handle):
                    handle.admission.report_end(request.bid_id, 0)
                    continue
                if reply.granted and not await self._is_known_incarnation(handle):
                    handle.admission.report_end(request.bid_id, 0)
                    reply = BidReply(False, reply.load, INCARNATION_UNKNOWN)
                if reply.granted:
                    load = reply.load
                    self.expected_prefill_seconds = load.unread_tokens / max(
                        1.0, load.speed
                    )
                    return handle
                self.refusal = reply
                refused.add(choice.endpoint.endpoint_id)
            return None
        finally:
            if not elsewhere:
                self.queued_seconds += self.fleet.now() - started_at

    async def _is_known_incarnation(self, handle: EndpointHandle) -> bool:
        """Return whether an endpoint has the version that its announcement names.

        Only streams that can be resumed depend on it. An agent compares the start time
        of the bid with that of its engine itself, but the endpoint may have restarted
        while its reply was under way, or this process stood still. That is checked for
        the rest of a stream only: an overloaded router reads all replies late.
        """
        if not self.request.route.resumable or not handle.endpoint.agent:
            return True
        is_late = self.transit_seconds > INCARNATION_CHECK_SECONDS
        is_checked = handle.is_without_agent() or (
            is_late and self.request.version is not None
        )
        if not is_checked:
            return True
        is_current = False
        with move_on_after(self.request.remaining_seconds(self.fleet.now())):
            is_current = await self.fleet.incarnations.is_current(handle.endpoint)
        if not is_current:
            self.fleet.events.record(
                EventCode.BID_REFUSED,
                self.request.request_id,
                endpoint=handle.endpoint.endpoint_id,
                born=handle.endpoint.born_ms,
                reason=INCARNATION_UNKNOWN,
            )
        return is_current

    def _max_bids(self) -> int:
        """Return how many endpoints may refuse before the request is refused."""
        policy = self.fleet.policy
        return policy.beyond_bids if self._is_over_share() else policy.most_bids

    def _is_over_share(self) -> bool:
        """Return whether the account has received more than its fair share."""
        share = self._share()
        if share is None or not self.request.service.engine:
            return False
        return (
            self.fleet.shares.total(self.request.account_id, self.fleet.now()) > share
        )

    def _share(self) -> float | None:
        """Return the fair share that limits the request, None if none does.

        The rest of a stream was admitted with its beginning.
        """
        return None if self.request.is_continued else self.fleet.fair_share()

    def _rank_choices(self, refused: set[str], elsewhere: bool) -> list[RankedEndpoint]:
        """Return the endpoints to bid to next, the best first."""
        ranked = self._rank_endpoints(refused | self.request.tried_endpoint_ids)
        if not ranked and not refused and not elsewhere:
            # Retry an endpoint that failed before rather than none.
            ranked = self._rank_endpoints(refused)
        if not refused or self.request.is_continued:
            return ranked
        return self._filter_short_waits(ranked)

    def _rank_endpoints(self, avoid: set[str]) -> list[RankedEndpoint]:
        """Return the endpoints to consider for the request, the best first."""
        metadata, fleet = self.request.metadata, self.fleet
        service_id, now = self.request.service.service_id, fleet.now()
        plan = fleet.placement.plan(
            metadata.model,
            metadata.prompt_tokens,
            metadata.parts,
            fleet.index(service_id, self.request.version),
            now,
        )
        plan.leaving = describe_leaving(self.request, now)
        candidates = fleet.selection.candidates(
            service_id,
            avoid,
            plan.shared_part_id,
            list(plan.cached_by_endpoint),
            self.request.version,
        )
        if self.request.begins_resumable_stream:
            candidates = [
                candidate
                for candidate in candidates
                if fleet.versions.may_begin(service_id, candidate.endpoint.version)
            ]
        return fleet.placement.rank(plan, candidates, now)

    def _filter_short_waits(self, ranked: list[RankedEndpoint]) -> list[RankedEndpoint]:
        """Return the endpoints with a short expected wait.

        Moving a refused request to another busy endpoint would only repeat the prefill
        of its prompt there.
        """
        max_wait = self.fleet.policy.idle_share * self.request.route.target_seconds
        return [choice for choice in ranked if choice.wait < max_wait]

    def _bid_timeout_seconds(self, may_withdraw: bool) -> float:
        """Return how long to wait for a reply before trying another endpoint.

        An agent decides within the target, unless the bid is withdrawn before.
        The delay of this process says nothing about the endpoint's agent.
        """
        remaining = self.request.remaining_seconds(self.fleet.now())
        if not may_withdraw:
            return remaining
        fraction = self.fleet.policy.rebid_share
        seconds = fraction * self.request.route.target_seconds
        return min(remaining, seconds + BID_TURNS * self.fleet.loop_delay)

    async def _submit_bid(
        self, choice: RankedEndpoint, timeout_seconds: float
    ) -> BidReply | None:
        """Submit a bid to an endpoint; return None if it is undecided in time."""
        request, fleet = self.request, self.fleet
        endpoint_id = choice.endpoint.endpoint_id
        handle = fleet.handle_by_id[endpoint_id]
        tokens = request.metadata.prompt_tokens
        record_choice(fleet, request, choice)
        handle.bidding_tokens += tokens
        reply: BidReply | None = None
        submitted_at = fleet.now()
        try:
            rest = request.remaining_seconds(submitted_at) - timeout_seconds
            with move_on_after_peer(timeout_seconds, rest) as scope:
                handle.bid_scopes.add(scope)
                reply = await handle.admission.acquire(self._make_bid(endpoint_id))
        finally:
            handle.bid_scopes.discard(scope)
            handle.bidding_tokens -= tokens
        if reply is None:
            fleet.withdrawn_count += 1
            return None
        self.transit_seconds = reply.transit_seconds(fleet.now() - submitted_at)
        fleet.update_free(handle)
        if reply.granted and request.service.engine:
            fleet.shares.own.record_grant(
                OwnGrant(fleet.now(), request.account_id, endpoint_id, request.cost)
            )
        fleet.events.record(
            EventCode.REQUEST_GRANTED if reply.granted else EventCode.BID_REFUSED,
            request.request_id,
            endpoint=endpoint_id,
            waited=round(fleet.now() - submitted_at, 4),
            bids=request.bid_count,
            reason=reply.reason,
            cost=round(choice.cost, 4),
            wait=round(choice.wait, 4),
            reread=round(choice.prefill, 4),
            failures=round(choice.failures, 4),
            cached=reply.cached_tokens,
        )
        return reply

    def _make_bid(self, endpoint_id: str) -> Bid:
        """Return a new bid of this request for one endpoint."""
        request, now = self.request, self.fleet.now()
        engine = request.service.engine
        handle = self.fleet.handle_by_id[endpoint_id]
        endpoint = handle.endpoint
        is_resumable = request.route.resumable
        request.bid_count += 1
        request.bid_id = self.fleet.next_bid_id()
        return Bid(
            request.bid_id,
            request.request_id,
            request.account_id,
            request.route.route_id,
            request.priority,
            self._remaining_target_seconds(),
            request.remaining_seconds(now),
            request.metadata.prompt_tokens if engine else 0,
            request.output_tokens if engine else 0,
            request.metadata.model,
            request.metadata.parts if engine else [],
            self.fleet.shares.total(request.account_id, now, endpoint_id),
            self._share(),
            request.bid_count > 1,
            engine.slots if engine else handle.endpoint.slots,
            engine.memory_tokens if engine else 0,
            engine.event_tokens if engine else 1,
            handle.rate_notice.pack(now),
            request.stream_key if is_resumable else "",
            StreamOrigin(request.service.service_id, endpoint.version)
            if is_resumable
            else None,
            endpoint.born_ms if is_resumable else 0,
            self.fleet.cold_service(request.service, handle),
        )

    def _remaining_target_seconds(self) -> float:
        """Return the seconds until the first chunk is due.

        It is at least half of the target, as far as the deadline allows: a late request
        still deserves a response. Callers wait longer for the rest of a stream.
        """
        now = self.fleet.now()
        remaining = self.request.remaining_seconds(now)
        target = self.request.route.target_seconds
        if self.request.is_continued:
            return min(remaining, CONTINUED_TARGET_FACTOR * target)
        return min(remaining, max(self.request.target_at - now, target / 2))
