"""Chooses whose request runs next: the lowest bid of all routers."""

from attrs import define, evolve, field

from pistachiolever.fairness.const import STARVATION_GRANT_INTERVAL, STARVATION_SECONDS
from pistachiolever.wire.models import Bid, Grant


@define
class RouterBids:
    """The bids of one router, as they stand after the grants made since."""

    bid_by_account: dict[str, Bid] = field(factory=dict)
    received_at: float = 0.0


@define
class OpenGrant:
    """Room that was promised to a router until a time in seconds."""

    grant: Grant
    router_id: str
    expires_at: float


@define
class GrantBook:
    """Bids by router and the grants that are not used yet."""

    grant_seconds: float
    bids_by_router: dict[str, RouterBids] = field(factory=dict)
    open_by_id: dict[str, OpenGrant] = field(factory=dict)
    made: int = 0

    def replace_bids(self, router_id: str, bids: list[Bid], now: float) -> None:
        """Take in a router's bids in place of its former ones.

        Grants that are still open are not in the router's counters yet.
        """
        by_account = {bid.account_id: bid for bid in bids}
        self.bids_by_router[router_id] = RouterBids(by_account, now)
        for open_grant in self.open_by_id.values():
            if open_grant.router_id == router_id:
                self._advance(router_id, open_grant.grant.account_id)

    def forget_router(self, router_id: str) -> None:
        """Drop the bids and grants of a router that is gone."""
        self.bids_by_router.pop(router_id, None)
        for grant_id, open_grant in list(self.open_by_id.items()):
            if open_grant.router_id == router_id:
                del self.open_by_id[grant_id]

    def has_bids(self) -> bool:
        """Tell whether anyone waits."""
        return any(bids.bid_by_account for bids in self.bids_by_router.values())

    def grant(self, grant_id: str, now: float) -> OpenGrant | None:
        """Promise room to the bid that should be served next, if there is one."""
        chosen = self._choose(now)
        if chosen is None:
            return None
        router_id, bid = chosen.router_id, chosen.bid
        self.made += 1
        grant = Grant(grant_id, bid.account_id, self._limit_for(router_id))
        open_grant = OpenGrant(grant, router_id, now + self.grant_seconds)
        self.open_by_id[grant_id] = open_grant
        self._advance(router_id, bid.account_id)
        return open_grant

    def use(self, grant_id: str) -> bool:
        """Close a grant; tell whether it was still open."""
        return self.open_by_id.pop(grant_id, None) is not None

    def use_any(self, router_id: str) -> bool:
        """Close the router's oldest grant, if it has one open.

        A dispatch on a spare credit may cross a grant on its way; refusing it for
        the room that the grant holds would send both back and forth for ever.
        """
        for grant_id, open_grant in self.open_by_id.items():
            if open_grant.router_id == router_id:
                return self.use(grant_id)
        return False

    def expire(self, now: float) -> None:
        """Take back grants that were not used in time."""
        for grant_id, open_grant in list(self.open_by_id.items()):
            if open_grant.expires_at <= now:
                del self.open_by_id[grant_id]

    def _choose(self, now: float) -> "Choice | None":
        """Return the lowest bid, or now and then one that starves."""
        if self.made % STARVATION_GRANT_INTERVAL == STARVATION_GRANT_INTERVAL - 1:
            starving = self._longest_unserved(now)
            if starving is not None:
                return starving
        lowest_by_router = self._lowest_by_router()
        return min(lowest_by_router, key=lambda c: c.bid.virtual, default=None)

    def _lowest_by_router(self) -> "list[Choice]":
        """Return each router's lowest bid."""
        return [
            Choice(router_id, min(bids.bid_by_account.values(), key=_virtual_of))
            for router_id, bids in self.bids_by_router.items()
            if bids.bid_by_account
        ]

    def _limit_for(self, router_id: str) -> float | None:
        """Return the lowest bid of all other routers."""
        others = [
            choice.bid.virtual
            for choice in self._lowest_by_router()
            if choice.router_id != router_id
        ]
        return min(others, default=None)

    def _longest_unserved(self, now: float) -> "Choice | None":
        """Return the bid that was not served for longest, if too long."""
        best: Choice | None = None
        longest = STARVATION_SECONDS
        for router_id, bids in self.bids_by_router.items():
            age = now - bids.received_at
            for bid in bids.bid_by_account.values():
                if bid.unserved_seconds + age > longest:
                    longest = bid.unserved_seconds + age
                    best = Choice(router_id, bid)
        return best

    def _advance(self, router_id: str, account_id: str) -> None:
        """Move a bid on by one request."""
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
class Choice:
    """A bid and the router that made it."""

    router_id: str
    bid: Bid


def _virtual_of(bid: Bid) -> float:
    """Return what orders bids."""
    return bid.virtual
