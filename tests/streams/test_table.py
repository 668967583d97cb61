"""Records of streams, from their start to the registry and to other routers."""

from random import Random

from attrs import evolve
from hypothesis import given, strategies as st
from nose2.tools import params

from pistachiolever.admission.const import MISSING_RUN_TIMEOUT_SECONDS
from pistachiolever.admission.core import AdmissionCore, Capacity
from pistachiolever.admission.models import EngineReport, EngineRun
from pistachiolever.streams.const import DEADLINE_MARGIN_SECONDS, EXPIRY_CHECK_SECONDS
from pistachiolever.streams.models import StreamOrigin, stream_key
from pistachiolever.streams.table import StreamLog, StreamTable
from pistachiolever.usage.aggregate import UsageAggregate
from pistachiolever.usage.reporter import UsageReporter
from tests.admission.test_core import bid
from tests.support.cases import CaseTest

OLD = StreamOrigin("s", "v1")
NEW = StreamOrigin("s", "v2")
DEADLINE_AT = 10.0


def began(core: AdmissionCore, number: int, now: float) -> None:
    """Let a stream begin at an endpoint of the old version."""
    submitted = bid(f"b{number}", prompt_tokens=10, stream_key=f"k{number}", origin=OLD)
    core.submit(submitted, now)
    core.handle_start(f"b{number}", now)


class StreamTableTest(CaseTest):
    """Tables merge in any order, and forget what nobody can resume."""

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from([OLD, NEW]))))
    def test_order_does_not_matter(
        self, starts: list[tuple[str, StreamOrigin]]
    ) -> None:
        tables = []
        for order in (starts, list(reversed(starts)), starts + starts):
            table = StreamTable()
            for key, origin in order:
                table.add(key, origin, DEADLINE_AT, 1.0)
            tables.append({key: set(table.origins(key, 1.0)) for key in "abc"})
        self.assertEqual(tables[0], tables[1])
        self.assertEqual(tables[0], tables[2])

    def test_forgotten_after_the_deadline(self) -> None:
        table = StreamTable()
        table.add("a", OLD, DEADLINE_AT, 1.0)
        self.assertEqual(table.origins("a", DEADLINE_AT - 0.1), [OLD])
        self.assertEqual(table.origins("a", DEADLINE_AT), [])
        table.add("b", OLD, 99.0, DEADLINE_AT + EXPIRY_CHECK_SECONDS)
        self.assertEqual(list(table.record_by_key), ["b"])

    # The ends of both would otherwise have been unknown.
    def test_id_that_is_used_again_later_is_another_stream(self) -> None:
        table = StreamTable()
        table.add("a", OLD, DEADLINE_AT, 1.0)
        self.assertTrue(table.add("a", NEW, DEADLINE_AT + 9, DEADLINE_AT + 1))
        self.assertEqual(table.origins("a", DEADLINE_AT + 1), [NEW])

    # Ids come from callers, so their number must not grow the memory without limit.
    def test_oldest_stream_is_forgotten_at_the_limit(self) -> None:
        table = StreamTable(max_streams=3)
        for key in "abcd":
            table.add(key, OLD, DEADLINE_AT, 1.0)
        self.assertEqual(list(table.record_by_key), ["b", "c", "d"])

    # Another account could otherwise learn of a stream, or have it refused.
    def test_key_belongs_to_one_account(self) -> None:
        keys = {
            stream_key(account, request)
            for account, request in (("a", "b"), ("b", "b"), ("", "ab"), ("ab", ""))
        }
        self.assertEqual(len(keys), 4)


class StreamReportTest(CaseTest):
    """What an agent granted gets to the member that it reports to."""

    def setUp(self) -> None:
        """Create an agent and a member."""
        self.core = AdmissionCore(Capacity(100), Random(1))
        self.reporter = UsageReporter(
            "a1", self.core.service, self.core.load, streams=self.core.streams
        )
        self.member = UsageAggregate("m1", "1")

    def report(self, member: UsageAggregate, now: float) -> int:
        """Report to a member; return how many streams the report has."""
        report = self.reporter.next_report(now)
        if report is None:
            return 0
        member.handle_report(report, now)
        self.reporter.handle_reply(report, member.life, now)
        return len(report.streams)

    def test_only_new_streams_are_reported(self) -> None:
        began(self.core, 1, 1.0)
        self.assertEqual(self.report(self.member, 1.0), 1)
        began(self.core, 2, 2.0)
        self.assertEqual(self.report(self.member, 2.0), 1)
        for key in ("k1", "k2"):
            self.assertEqual(self.member.streams.origins(key, 2.0), [OLD])

    # A member that has restarted, or another one, knows none of the streams.
    def test_next_member_gets_all_streams(self) -> None:
        for number in range(3):
            began(self.core, number, 1.0)
        self.report(self.member, 1.0)
        restarted = UsageAggregate("m1", "2")
        for now in (2.0, 3.0, 4.0):
            began(self.core, int(now) + 10, now)
            self.report(restarted, now)
        for key in ("k0", "k1", "k2"):
            self.assertEqual(restarted.streams.origins(key, 4.0), [OLD])

    def test_lost_report_is_sent_again(self) -> None:
        self.report(self.member, 1.0)
        began(self.core, 1, 2.0)
        lost = self.reporter.next_report(2.0)
        assert lost is not None
        self.reporter.handle_failure(lost)
        self.assertEqual(self.report(self.member, 3.0), 1)

    def list_events(self, *times: float) -> None:
        """Grant a stream, and let the engine list events of it at some times."""
        submitted = evolve(bid("b1"), stream_key="k1", origin=OLD)
        self.core.submit(submitted, 1.0)
        run = EngineRun(submitted.request_id, 100, 3)
        for now in times:
            self.core.handle_report(EngineReport(1, 0, 1, 100, 1000, [run]), now)

    # ORDER: events that only the engine lists may be lost on their way; then another
    # endpoint begins the stream. This record named the wrong one, and was the only one
    # if the router ended soon after. The engine goes on, drops the run, or restarts.
    @params("listed", "unlisted", "restarted")
    def test_stream_that_only_the_engine_lists_is_not_recorded(self, end: str) -> None:
        later = (1.7, 2.5, 9.0) if end == "listed" else ()
        self.list_events(1.2, *later)
        empty = EngineReport(1, 0, 0, 0, 1000, [])
        if end == "unlisted":
            self.core.handle_report(empty, 1.3)
            self.core.handle_report(empty, 1.4 + MISSING_RUN_TIMEOUT_SECONDS)
        elif end == "restarted":
            self.core.handle_restart(1.3)
        self.assertEqual(self.core.run_by_id == {}, end != "listed")
        self.assertEqual(self.core.streams.table.record_by_key, {})

    # ORDER: events of an engine whose response was lost never reached the caller. After
    # a loss of all processes and one disk, only this origin would have been known, and
    # not that of the endpoint that served the caller.
    @params((1.2,), (1.2, 1.3, 1.4))
    def test_stream_whose_router_tells_that_it_failed_is_not_recorded(
        self, *times: float
    ) -> None:
        self.list_events(*times)
        self.core.handle_end("b1", 0, 1.45)
        self.assertEqual(self.core.streams.table.record_by_key, {})

    def test_stream_that_its_router_forwards_is_recorded_at_once(self) -> None:
        self.list_events(1.2)
        self.core.handle_start("b1", 1.25)
        self.assertEqual(self.core.streams.table.origins("k1", 1.25), [OLD])

    def test_request_without_an_event_is_no_stream(self) -> None:
        self.core.submit(evolve(bid("b1"), stream_key="k1", origin=OLD), 1.0)
        self.core.handle_end("b1", 0, 2.0)
        self.assertEqual(self.core.streams.table.record_by_key, {})

    def test_record_outlives_the_deadline_of_its_caller(self) -> None:
        log = StreamLog()
        log.record_start("a", OLD, DEADLINE_AT, 1.0)
        until = DEADLINE_AT + DEADLINE_MARGIN_SECONDS
        self.assertEqual(log.table.origins("a", until - 0.1), [OLD])
