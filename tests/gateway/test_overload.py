"""A router without processor time: all callers at one router, without network."""

from anyio import run
from attrs import evolve

from pistachiolever.edge.peers import PeerClient
from pistachiolever.emulator.clock import EmulatedLoop
from pistachiolever.gateway.const import (
    DELAY_SAMPLE_SECONDS,
    MIN_BUSY_SECONDS,
)
from pistachiolever.gateway.overload import Overload, OverloadGuard
from pistachiolever.http1.models import RequestHead
from pistachiolever.metrics.instruments import SHED, UNREAD
from pistachiolever.routing.models import ProxyAccount
from pistachiolever.routing.table import RouteTable
from tests.gateway.test_rate_limits import make_router
from tests.gateway.test_relay import CONFIGURATION
from tests.support.cases import CaseTest
from tests.support.crowded_fleet import EmulatedExchange


def observe(guard: OverloadGuard, delay: float, seconds: float, now: float) -> float:
    """Let the delay last for some seconds; return the time then."""
    ends_at = now + seconds
    while now < ends_at:
        now += DELAY_SAMPLE_SECONDS + delay
        guard.observe(delay, now)
    return now


class OverloadTest(CaseTest):
    """Levels by the delay of the event loop."""

    def test_levels(self) -> None:
        for delay, level in (
            (0.0, Overload.NONE),
            (0.03, Overload.NONE),
            (0.1, Overload.BUSY),
            (0.5, Overload.SHEDDING),
        ):
            with self.subTest(delay):
                guard = OverloadGuard()
                observe(guard, delay, 3.0, 0.0)
                self.assertIs(guard.level, level)

    # A single long step, such as a large configuration, is no overload.
    def test_one_long_step_changes_nothing(self) -> None:
        guard = OverloadGuard()
        guard.observe(0.25, 1.0)
        self.assertIs(guard.level, Overload.NONE)

    def test_overload_is_noticed_within_a_second(self) -> None:
        guard = OverloadGuard()
        observe(guard, 0.3, 1.0, 0.0)
        self.assertGreater(guard.level, Overload.NONE)

    # Samples were smoothed by their number, of which a slow loop takes fewer: a router
    # took hundreds of requests more before it refused any.
    def test_slow_loop_is_noticed_no_later(self) -> None:
        for delay in (0.3, 0.5, 0.8):
            with self.subTest(delay):
                guard = OverloadGuard()
                observe(guard, delay, 2 * (delay + DELAY_SAMPLE_SECONDS), 0.0)
                self.assertIs(guard.level, Overload.SHEDDING)

    def test_shedding_ends_before_callers_return(self) -> None:
        guard = OverloadGuard()
        now = observe(guard, 0.6, 3.0, 0.0)
        self.assertIs(guard.level, Overload.SHEDDING)
        now = observe(guard, 0.0, 1.0, now)
        self.assertIs(guard.level, Overload.BUSY)
        observe(guard, 0.0, MIN_BUSY_SECONDS, now)
        self.assertIs(guard.level, Overload.NONE)

    def test_router_stays_busy_until_the_balancer_has_noticed(self) -> None:
        guard = OverloadGuard()
        now = observe(guard, 0.15, 1.0, 0.0)
        now = observe(guard, 0.0, MIN_BUSY_SECONDS / 2, now)
        self.assertIs(guard.level, Overload.BUSY)


class RefusedRequestTest(CaseTest):
    """Requests that no bid was made for are counted for their accounts."""

    # Nothing told whose requests an overloaded router refused or never read.
    def test_refused_and_unread_requests_were_counted_for_no_account(self) -> None:
        async def refuse() -> None:
            process = make_router(0, PeerClient())
            accounts = [ProxyAccount("a", ["key"])]
            process.fleet.table = RouteTable(evolve(CONFIGURATION, accounts=accounts))
            process.guard.level = Overload.SHEDDING
            for key in (b"Bearer key", b"Bearer none"):
                head = RequestHead(b"GET", b"/read/1", [(b"authorization", key)])
                exchange = EmulatedExchange(head, 0.0)
                await process.public_server.handler(exchange)  # type: ignore[arg-type]
                self.assertEqual(exchange.status, 503)
            process.public_server.report_unread()
            counts = process.fleet.instruments.count_by_name
            self.assertEqual(counts[SHED.name], {("a",): 1.0, ("",): 1.0})
            self.assertEqual(counts[UNREAD.name], {(): 1.0})
            self.assertEqual((process.shed_count, process.unread_count), (2, 1))

        run(refuse, backend_options={"loop_factory": EmulatedLoop})
