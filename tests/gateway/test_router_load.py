"""A whole router with more requests than processor time; its clock is that time."""

from functools import cache
from unittest.mock import patch

from pistachiolever.admission.const import BID_PATH
from tests.support.cases import CaseTest
from tests.support.router_load import (
    AGENT_SECONDS,
    DEADLINE_SECONDS,
    ENDPOINTS,
    Answerer,
    Caller,
    LoadResult,
    RouterLoad,
    grant,
    header,
    ignore_connection,
    random_times,
    send_stream,
)

# One request takes so much time of the clock when there is no other one.
REQUEST_SECONDS = 0.03
LOAD_SECONDS = 3.0
# A refused request takes a tenth of the processor time of a served one.
REFUSAL_SHARE = 0.1
# A caller that is kept waiting for longer than this part of its time is lost.
MAX_HELD_SHARE = 0.75
# Longer than a router waits for a connection or for the reply to a message.
STOP_SECONDS = 2.0
FAST = 1e-3
# Time beyond what a caller has left that an endpoint may be given, in milliseconds.
MAX_EXTRA_MS = 500
# Two thirds of the time that a bid waits if there are other endpoints.
SLOW_AGENT_SECONDS = 0.1


@cache
def slowdown() -> float:
    """Return how slow the processor is to be for one request to take its time."""
    result = RouterLoad(1.0).play(random_times(4.0, 4.0))
    return REQUEST_SECONDS * len(result.callers) / result.used_seconds


@cache
def play_load(factor: int) -> LoadResult:
    """Play a multiple of the load that single requests leave time for."""
    times = random_times(factor / REQUEST_SECONDS, LOAD_SECONDS)
    return RouterLoad(slowdown()).play(times)


@cache
def limit() -> int:
    """Return the largest power of two as a load that is served wholly in time."""
    factor = 1
    while is_served(2 * factor):
        factor *= 2
    return factor


def is_served(factor: int) -> bool:
    """Return whether nearly all of a load is served in time."""
    result = play_load(factor)
    return result.in_time() >= 0.95 * len(result.callers)


class GoodputTest(CaseTest):
    """A router with more requests than it has time for still serves what it can."""

    def test_load_that_it_has_time_for(self) -> None:
        self.assertTrue(is_served(1))

    # SHORT: the more requests came to a router beyond its processor time, the fewer it
    # served in time, and its clients' zone fell short of its floor.
    def test_twice_its_limit(self) -> None:
        self.check_goodput(2)

    # SHORT: the same at a router with many times the requests of its siblings.
    def test_four_times_its_limit(self) -> None:
        self.check_goodput(4)

    # SHORT: the same; with so many it served none at all.
    def test_eight_times_its_limit(self) -> None:
        self.check_goodput(8)

    def check_goodput(self, multiple: int) -> None:
        """Compare what is served in time with what is at the limit.

        Only what the refusals cost may be missing.
        """
        known = play_load(limit()).in_time()
        least = known * (1.0 - REFUSAL_SHARE * (multiple - 1))
        served = play_load(multiple * limit()).in_time()
        self.assertGreaterEqual(served, least)

    # SHORT: requests waited at such a router until their callers gave up.
    def test_no_caller_waits_in_vain(self) -> None:
        result = play_load(8 * limit())
        longest = MAX_HELD_SHARE * DEADLINE_SECONDS
        self.assertLess(result.longest_unserved_wait(), longest)


class LateReadingTest(CaseTest):
    """What came in time is not late because this process reads it late."""

    # SHORT: callers were kept until their deadlines while bids that agents had not yet
    # decided were withdrawn and made anew without a bound.
    def test_undecided_bids_are_not_repeated_without_a_bound(self) -> None:
        def reply(answerer: Answerer, head: bytes) -> None:
            if BID_PATH.encode() not in head:
                grant(answerer, head)

        result = RouterLoad(FAST, reply=reply).play([0.0])
        self.assertLessEqual(result.bid_count, ENDPOINTS)
        ended_after = result.callers[0].ended_after or 0.0
        self.assertLess(ended_after, MAX_HELD_SHARE * DEADLINE_SECONDS)

    # SHORT: an overloaded router withdrew bids whose replies it read late, and made
    # them anew on new connections, which took the time for requests.
    def test_bid_is_not_repeated_by_an_overloaded_router(self) -> None:
        def reply(answerer: Answerer, head: bytes) -> None:
            peers = answerer.peers
            peers.at(peers.now + SLOW_AGENT_SECONDS, lambda: grant(answerer, head))

        def delay_loop() -> None:
            load.on_agent_connect = ignore_connection
            for number in range(50):
                load.stop_after(0.5 + 0.1 * number, 0.09)

        load = RouterLoad(FAST, reply=reply, on_agent_connect=delay_loop)
        self.assertEqual(load.play([0.0, 2.5]).bid_count, 2)

    # SHORT: bids were withdrawn and made anew, again and again, though the agents had
    # accepted the connections and would have granted them within milliseconds.
    def test_connection_to_agent_is_noticed_late(self) -> None:
        load = RouterLoad(FAST)
        load.on_agent_connect = lambda: load.stop_after(0.0, STOP_SECONDS)
        self.assertEqual(load.play([0.0]).bid_count, 1)

    # SHORT: agents that had replied counted as unresponsive.
    def test_confirmation_is_read_late(self) -> None:
        def reply(answerer: Answerer, head: bytes) -> None:
            grant(answerer, head)
            if BID_PATH.encode() not in head:
                load.stop_after(AGENT_SECONDS, STOP_SECONDS)

        load = RouterLoad(FAST, reply=reply)
        self.assertNotIn("AGENT_LOST", load.play([0.0, 1.0]).event_names)

    # GONE: an endpoint was given more time than the caller still waited, as the time in
    # which the request had not been read was not counted.
    def test_deadline_of_an_endpoint_counts_from_the_arrival(self) -> None:
        granted_ms: list[int] = []

        def answer(answerer: Answerer, head: bytes) -> None:
            granted_ms.append(int(header(head, b"x-deadline-ms")))
            send_stream(answerer, head)

        load = RouterLoad(FAST, answer=answer)
        start = Caller.start

        def start_and_stop(caller: Caller) -> None:
            start(caller)
            load.selector.skip(STOP_SECONDS)

        with patch.object(Caller, "start", start_and_stop):
            load.play([0.5])
        left_ms = 1000 * (DEADLINE_SECONDS - STOP_SECONDS)
        self.assertLessEqual(granted_ms[0], left_ms + MAX_EXTRA_MS)

    # SHORT: endpoints that had accepted the connection were ejected.
    def test_connection_to_endpoint_is_noticed_late(self) -> None:
        load = RouterLoad(FAST)
        load.on_connect = lambda: load.stop_after(0.0, STOP_SECONDS)
        self.assertNotIn("ENDPOINT_EJECTED", load.play([0.0]).event_names)
