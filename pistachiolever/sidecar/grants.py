"""Grants capacity of the endpoint to the lowest bid of all routers."""

from attrs import define, evolve, field

from pistachiolever.fairness.const import STARVATION_GRANT_INTERVAL, STARVATION_SECONDS
from pistachiolever.wire.models import Bid, Grant


@define
class RouterBids:
    """The bids of one router, advanced by the grants issued since it sent them."""

    bid_by_account: dict[str, Bid] = field(factory=dict)
    received_at: float = 0.0


@define
class OpenGrant:
    """A grant that its router has not used yet; `expires_at` is in seconds."""

    grant: Grant
    router_id: str
    expires_at: float


@define
class GrantTable:
    """Bids by router, and the grants that are still open."""

    grant_seconds: float
    bids_by_router: dict[str, RouterBids] = field(factory=dict)
    open_by_id: dict[str, OpenGrant] = field(factory=dict)
    issued_count: int = 0

    def replace_bids(self, router_id: str, bids: list[Bid], now: float) -> None:
        """Replace a router's bids.

        The router's counters don't include grants that are still open, so the new
        bids are advanced by them.
        """
        by_account = {bid.account_id: bid for bid in bids}
        self.bids_by_router[router_id] = RouterBids(by_account, now)
        for open_grant in self.open_by_id.values():
            if open_grant.router_id == router_id:
                self._advance_bid(router_id, open_grant.grant.account_id)

    def remove_router(self, router_id: str) -> None:
        """Remove the bids and open grants of a disconnected router."""
        self.bids_by_router.pop(router_id, None)
        for grant_id, open_grant in list(self.open_by_id.items()):
            if open_grant.router_id == router_id:
                del self.open_by_id[grant_id]

    def has_bids(self) -> bool:
        """Return whether any bid is unserved."""
        return any(bids.bid_by_account for bids in self.bids_by_router.values())

    def issue(self, grant_id: str, now: float) -> OpenGrant | None:
        """Issue a grant for the bid to serve next; return None if there is no bid."""
        candidate = self._select_candidate(now)
        if candidate is None:
            return None
        router_id, bid = candidate.router_id, candidate.bid
        self.issued_count += 1
        grant = Grant(grant_id, bid.account_id, self._lowest_other_bid(router_id))
        open_grant = OpenGrant(grant, router_id, now + self.grant_seconds)
        self.open_by_id[grant_id] = open_grant
        self._advance_bid(router_id, bid.account_id)
        return open_grant

    def close(self, grant_id: str) -> bool:
        """Close a grant; return whether it was still open."""
        return self.open_by_id.pop(grant_id, None) is not None

    def close_oldest(self, router_id: str) -> bool:
        """Close the router's oldest open grant; return whether there was one.

        A dispatch on a spare credit may cross with a grant to the same router. If
        it were refused because that grant takes the last slot, the dispatch and the
        grant could go back and forth forever.
        """
        for grant_id, open_grant in self.open_by_id.items():
            if open_grant.router_id == router_id:
                return self.close(grant_id)
        return False

    def expire(self, now: float) -> None:
        """Close grants that were not used in time."""
        for grant_id, open_grant in list(self.open_by_id.items()):
            if open_grant.expires_at <= now:
                del self.open_by_id[grant_id]

    def _select_candidate(self, now: float) -> "Candidate | None":
        """Return the lowest bid; every few grants, a starving one takes precedence."""
        if (
            self.issued_count % STARVATION_GRANT_INTERVAL
            == STARVATION_GRANT_INTERVAL - 1
        ):
            starving = self._longest_unserved(now)
            if starving is not None:
                return starving
        lowest_by_router = self._lowest_by_router()
        return min(lowest_by_router, key=lambda c: c.bid.virtual, default=None)

    def _lowest_by_router(self) -> "list[Candidate]":
        """Return each router's lowest bid."""
        return [
            Candidate(
                router_id, min(bids.bid_by_account.values(), key=_virtual_counter)
            )
            for router_id, bids in self.bids_by_router.items()
            if bids.bid_by_account
        ]

    def _lowest_other_bid(self, router_id: str) -> float | None:
        """Return the lowest virtual counter bid by other routers; None without bids."""
        others = [
            candidate.bid.virtual
            for candidate in self._lowest_by_router()
            if candidate.router_id != router_id
        ]
        return min(others, default=None)

    def _longest_unserved(self, now: float) -> "Candidate | None":
        """Return the bid unserved for longest, if it exceeds the starvation time."""
        best: Candidate | None = None
        longest = STARVATION_SECONDS
        for router_id, bids in self.bids_by_router.items():
            age = now - bids.received_at
            for bid in bids.bid_by_account.values():
                if bid.unserved_seconds + age > longest:
                    longest = bid.unserved_seconds + age
                    best = Candidate(router_id, bid)
        return best

    def _advance_bid(self, router_id: str, account_id: str) -> None:
        """Count one request of a bid as served."""
        by_account = self.bids_by_router[router_id].bid_by_account
        bid = by_account.get(account_id)
        if bid is None:
            return
        if bid.count <= 1:
            del by_account[account_id]
            return
        by_account[account_id] = evolve(
            bid,
            virtual=bid.virtual + bid.step,
            count=bid.count - 1,
            unserved_seconds=0.0,
        )


@define
class Candidate:
    """A bid and the router that sent it."""

    router_id: str
    bid: Bid


def _virtual_counter(bid: Bid) -> float:
    """Return the virtual counter, the sort key of bids."""
    return bid.virtual
