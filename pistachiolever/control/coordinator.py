"""Handles heartbeats: totals and floors for routers, leases for sidecars."""

from attrs import define, field

from pistachiolever.control.const import WARM_UP_LEASE_PERIODS
from pistachiolever.control.directory import Directory, EndedLease
from pistachiolever.fairness.totals import FleetTotals
from pistachiolever.wire.models import (
    AccountService,
    EndpointSet,
    RouterHeartbeat,
    RouterHeartbeatReply,
    Sender,
    SidecarHeartbeat,
)


@define
class FleetCoordinator:
    """The state of the fleet at the leading control process.

    All of it is rebuilt from heartbeats after a change of leader: the coordinator asks
    routers for their full counters, and sends no changed endpoint sets to routers that
    have one until sidecars had time to renew their leases.
    """

    directory: Directory
    started_at: float
    totals: FleetTotals = field(factory=FleetTotals)

    def expire(self, now: float) -> list[EndedLease]:
        """End expired leases and router incarnations; return the ended leases."""
        self.totals.expire(now)
        return self.directory.expire(now)

    def router_heartbeat(
        self, heartbeat: RouterHeartbeat, sender: Sender, revision: int, now: float
    ) -> RouterHeartbeatReply:
        """Merge a router's counters; return totals, floors and changed endpoints."""
        self.directory.renew_router(heartbeat, now)
        incarnation = heartbeat.sender.incarnation
        if self.totals.is_expired(incarnation):
            closed = self.totals.closed_counters(incarnation)
            return RouterHeartbeatReply(
                sender, revision, [], [], None, True, True, closed
            )
        is_known = self.totals.is_known(incarnation)
        self.totals.restore_lifts(heartbeat.lifts)
        self.totals.merge_counters(
            heartbeat.sender.process_id, incarnation, heartbeat.accounts, now
        )
        need_full = not is_known and not heartbeat.full
        return RouterHeartbeatReply(
            sender,
            revision,
            self.totals.floors(_service_ids(heartbeat.accounts), now),
            self.totals.account_totals(incarnation, heartbeat.accounts),
            self._changed_endpoint_set(heartbeat, now),
            need_full,
        )

    def sidecar_heartbeat(self, heartbeat: SidecarHeartbeat, now: float) -> bool:
        """Renew an endpoint's lease; return whether it is new."""
        return self.directory.renew_endpoint(heartbeat, now)

    def _changed_endpoint_set(
        self, heartbeat: RouterHeartbeat, now: float
    ) -> EndpointSet | None:
        """Return the router's endpoint set if it differs from the one it has."""
        endpoint_set = self.directory.endpoint_set_for(heartbeat.sender.process_id, now)
        if endpoint_set.version == heartbeat.known_set:
            return None
        warm_up = WARM_UP_LEASE_PERIODS * self.directory.lease_seconds
        if heartbeat.known_set and now - self.started_at < warm_up:
            return None
        return endpoint_set


def _service_ids(accounts: list[AccountService]) -> list[str]:
    """Return the service ids of a heartbeat's counters."""
    return [account.service_id for account in accounts]
