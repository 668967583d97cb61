"""Responds to a request that no endpoint has answered."""

from attrs import define

from pistachiolever.admission.const import INITIAL_PREFILL_TOKENS_PER_SECOND
from pistachiolever.capacity.estimate import estimate_room
from pistachiolever.capacity.models import KnownLoad, RequestSize, ReturnLimits
from pistachiolever.capacity.returns import return_seconds
from pistachiolever.core.pause import PAUSE_RAMP_SECONDS
from pistachiolever.evacuation.const import EVACUATED
from pistachiolever.events.const import EventCode
from pistachiolever.gateway.attempt import BufferedResponse, ResponseSink
from pistachiolever.gateway.bidding import Bidding
from pistachiolever.gateway.const import (
    DEFAULT_RETRY_AFTER_SECONDS,
    MIN_ATTEMPT_SECONDS,
    NO_ROOM,
    QUARANTINED,
    RATE_LIMITED,
    RETRY_AFTER_FRACTION,
    VERSION_GONE,
)
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest
from pistachiolever.http1.models import Header
from pistachiolever.metrics.instruments import REQUESTS


@define(eq=False)
class FailureResponder:
    """Ends a request with the status that fits what is known of it.

    `failure` is the last error response of an endpoint.
    """

    fleet: FleetView
    request: ProxyRequest
    sink: ResponseSink
    bidding: Bidding
    failure: BufferedResponse | None = None

    def no_grant_reason(self) -> str:
        """Return why no endpoint granted the request."""
        service_id = self.request.service.service_id
        version = self.request.version
        if self.fleet.selection.all_evacuated(service_id, version):
            return EVACUATED
        if self.fleet.selection.pause_remaining(service_id, version) is not None:
            return "paused"
        if version is None or self.fleet.index(service_id, version).ready.ids:
            return NO_ROOM
        is_served = self.fleet.selection.has_usable(service_id, set(), version)
        return NO_ROOM if is_served else VERSION_GONE

    async def respond(self, reason: str) -> None:
        """End an unsuccessful request with the status that fits what is known of it.

        A started response is broken off; otherwise the caller gets an endpoint's error,
        502 or 504 if the request may have run, and 503 if it has not.
        """
        request = self.request
        status = 0
        notes: dict[str, str | list[str]] = {}
        notes.update(self.fleet.selection.held_back(request.service.service_id))
        if reason == QUARANTINED:
            notes["part"] = self.fleet.parts.quarantined_part(request.suspect_ids)
        if self.sink.started:
            # The server closes the connection without completing the response.
            reason = f"broken off: {reason}"
        elif self.failure is not None:
            status = self.failure.status
            await self.sink.respond(status, self.failure.headers, self.failure.body)
        elif request.may_have_run:
            expired = request.remaining_seconds(self.fleet.now()) <= MIN_ATTEMPT_SECONDS
            status = 504 if expired else 502
            await self.sink.respond(status, [], b"")
        else:
            status = 503
            await self.sink.respond(status, [self._retry_after_header(reason)], b"")
        self.fleet.instruments.count(
            REQUESTS,
            request.route.kind.value,
            request.account_id,
            "refused" if status == 503 else "failed",
        )
        self.fleet.events.record(
            EventCode.REQUEST_REFUSED,
            request.request_id,
            route=request.route.route_id,
            account=request.account_id,
            status=status,
            reason=reason,
            bids=request.bid_count,
            queued=round(self.bidding.queued_seconds, 4),
            prompt=request.metadata.prompt_tokens,
            total=round(self.fleet.now() - request.arrived_at, 4),
            **notes,
        )

    def _retry_after_header(self, reason: str) -> Header:
        """Return a Retry-After header that the caller can still honour.

        While all endpoints pause, or the request is quarantined, it names the
        end of that, as an earlier retry would be refused again. If no endpoint can
        continue a stream, it names the caller's deadline.
        """
        part_id = self.fleet.parts.quarantined_part(self.request.suspect_ids)
        if part_id:
            seconds = self.fleet.quarantine.remaining_seconds(part_id, self.fleet.now())
            return (b"retry-after", b"%.2f" % seconds)
        paused_seconds = self.fleet.selection.pause_remaining(
            self.request.service.service_id, self.request.version
        )
        if paused_seconds is not None:
            # Spread, since callers would otherwise return at the same moment.
            spread = self.fleet.rng.random() * PAUSE_RAMP_SECONDS
            return (b"retry-after", b"%.2f" % (paused_seconds + spread))
        remaining = self.request.remaining_seconds(self.fleet.now())
        if reason == VERSION_GONE:
            return (b"retry-after", b"%.2f" % max(0.05, remaining))
        if reason == NO_ROOM and (planned := self._planned_return(remaining)):
            return (b"retry-after", b"%.2f" % planned)
        seconds = DEFAULT_RETRY_AFTER_SECONDS
        if (
            self.bidding.refusal is not None
            and self.bidding.refusal.retry_after_seconds
        ):
            seconds = self.bidding.refusal.retry_after_seconds
        seconds = max(0.05, min(seconds, RETRY_AFTER_FRACTION * remaining))
        return (b"retry-after", b"%.2f" % seconds)

    def _plans_returns(self) -> bool:
        """Return whether callers come back when the fleet has room again.

        Where engines differ in capacity, the one that refused says little of when the
        others have room.
        """
        service_id = self.request.service.service_id
        index = self.fleet.index(service_id, self.request.version)
        return self.fleet.settings.plans_returns or bool(index.classes.class_by_id)

    def _planned_return(self, remaining: float) -> float | None:
        """Return the seconds until the caller should come back.

        None if returns are not planned here, the loads are not known or the endpoint
        named a rate, whose limit its agent knows.
        """
        fleet, request = self.fleet, self.request
        if not request.service.engine or not self._plans_returns():
            return None
        refusal = self.bidding.refusal
        if refusal is not None and refusal.reason == RATE_LIMITED:
            return None
        now = fleet.now()
        handles = fleet.selection.usable(
            request.service.service_id, set(), request.version
        )
        known = [KnownLoad(handle.load(), now - handle.told_at) for handle in handles]
        size = RequestSize(request.metadata.prompt_tokens, request.output_tokens)
        room = estimate_room(known, size, fleet.runs.mean(now))
        if room.seconds is None:
            return None
        limits = ReturnLimits(
            request.target_at - now,
            RETRY_AFTER_FRACTION * remaining,
            size.prompt_tokens / INITIAL_PREFILL_TOKENS_PER_SECOND,
        )
        return return_seconds(room.seconds, limits, fleet.rng)
