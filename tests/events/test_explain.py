"""Tests of `explain` with complete and incomplete logs, and of event logging."""

from nose2.tools import params
from orjson import dumps

from pistachiolever.events.const import EventCode
from pistachiolever.events.explain import LogLine, LogReader, RequestTrace, explain
from pistachiolever.events.logger import LINES_PER_SECOND, EventLogger, LogBuffer
from tests.support.cases import CaseTest


class Logs:
    """The logs of a router and of an admission agent."""

    def __init__(self) -> None:
        """Start with empty logs."""
        self.now = 1000
        self.text: list[str] = []
        self.router = EventLogger("router-1", lambda: self.now, self.text.append)
        self.agent = EventLogger("engine-3", lambda: self.now, self.text.append)

    def trace(self, request_id: str = "r1") -> RequestTrace:
        """Return the trace of a request."""
        reader = LogReader()
        return explain(request_id, reader.read(self.text), reader.malformed)


class ExplainTest(CaseTest):
    """`explain` states one cause for each way a request can end."""

    def test_refused_while_another_account_floods(self) -> None:
        logs = Logs()
        logs.agent.record(
            EventCode.GRANT_REFUSED,
            "r1",
            account="small",
            reason="late",
            unread=3000,
            queued=40000,
            speed=30000,
            service=0,
            elsewhere=10,
        )
        logs.now += 2
        logs.router.record(EventCode.BID_REFUSED, "r1", reason="late")
        logs.router.record(
            EventCode.REQUEST_REFUSED, "r1", status=503, reason="no-room"
        )
        trace = logs.trace()
        self.assertEqual(len(trace.lines), 3)
        self.assertIn("refused 503 as late: 3000 tokens pending prefill", trace.cause)
        self.assertEqual(trace.missing, [])

    def test_failed_when_engine_crashed(self) -> None:
        logs = Logs()
        logs.router.record(EventCode.REQUEST_GRANTED, "r1", endpoint="e3")
        logs.router.record(
            EventCode.ATTEMPT_FAILED,
            "r1",
            endpoint="e3",
            attempt=1,
            verdict="MAY_HAVE_RUN",
            reason="connection reset",
        )
        logs.router.record(EventCode.REQUEST_REFUSED, "r1", status=502, reason="x")
        trace = logs.trace()
        self.assertEqual(
            trace.cause,
            "answered 502: connection reset at e3 on attempt 1 (MAY_HAVE_RUN)",
        )
        self.assertEqual(
            trace.missing,
            ["the log of the agent that granted the request is not included"],
        )

    # A refused request whose endpoints were leaving was explained as "no-room" only.
    def test_refused_as_endpoints_leave(self) -> None:
        left, leaving, paused = (
            {"left": ["e1"]},
            {"leaving": ["e2"]},
            {"paused": ["e3"]},
        )
        refused_bid = (EventCode.BID_REFUSED, {"reason": "late"})
        failure = {"reason": "reset", "endpoint": "e2", "attempt": 1, "verdict": "RAN"}
        for events, status, reason, notices, expected in (
            ([], 503, "no-room", left, "refused 503: endpoints had left: e1"),
            ([], 503, "no-room", leaving, "refused 503: endpoints were leaving: e2"),
            (
                [],
                503,
                "no-room",
                left | leaving,
                "refused 503: endpoints had left: e1; endpoints were leaving: e2",
            ),
            (
                [refused_bid],
                503,
                "no-room",
                leaving | paused,
                "answered 503: no-room; endpoints asked for a pause: e3; endpoints were"
                " leaving: e2",
            ),
            (
                [(EventCode.ATTEMPT_FAILED, failure)],
                502,
                "reset",
                leaving,
                "answered 502: reset at e2 on attempt 1 (RAN); endpoints were leaving:"
                " e2",
            ),
            (
                [],
                503,
                "paused",
                left | paused,
                "refused 503: endpoints asked for a pause: e3; endpoints had left: e1",
            ),
            (
                [],
                503,
                "deadline",
                left,
                "answered 503: deadline; endpoints had left: e1",
            ),
            ([], 503, "no-room", {}, "answered 503: no-room"),
            ([], 503, "paused", {}, "refused 503: endpoints asked for a pause"),
        ):
            with self.subTest(expected):
                logs = Logs()
                for code, inputs in events:
                    logs.router.record(code, "r1", **inputs)
                logs.router.record(
                    EventCode.REQUEST_REFUSED,
                    "r1",
                    status=status,
                    reason=reason,
                    **notices,
                )
                self.assertEqual(logs.trace().cause, expected)

    # A request refused for a quarantined part was explained as "quarantined" only.
    def test_refused_for_a_quarantined_part(self) -> None:
        logs = Logs()
        other = EventLogger("router-2", lambda: logs.now, logs.text.append)
        for endpoint, parts, router in (
            ("e2", ["aa", "bad"], logs.router),
            ("e1", ["bad"], other),
            ("e7", ["aa"], other),
        ):
            router.record(
                EventCode.PARTS_SUSPECTED, "r0", endpoint=endpoint, born=1, parts=parts
            )
        self.record_refusal(logs, "r1")
        refused = (
            "refused 503: endpoints crashed under requests with a part of this prompt"
        )
        self.assertEqual(logs.trace().cause, refused)
        self.assertEqual(
            logs.trace().missing,
            ["the log of router-1 does not contain the quarantine"],
        )
        had = f"{refused}; router-1 had quarantined"
        for number, (code, part, crashes, expected) in enumerate(
            (
                (
                    EventCode.PART_QUARANTINED,
                    "bad",
                    3,
                    f"{had} bad (3 crashes: e1, e2)",
                ),
                (EventCode.PART_TESTED, "bad", 5, f"{had} bad (5 crashes: e1, e2)"),
                (
                    EventCode.PART_QUARANTINED,
                    "new",
                    4,
                    f"{had} one of bad (5 crashes: e1, e2), new (4 crashes)",
                ),
                (EventCode.PART_RELEASED, "bad", 5, f"{had} new (4 crashes)"),
            )
        ):
            with self.subTest(code=code, part=part):
                logs.now += 10
                other.record(EventCode.PART_QUARANTINED, part="elsewhere", crashes=3)
                logs.router.record(code, part=part, crashes=crashes, seconds=9.0)
                self.record_refusal(logs, f"r{number + 2}")
                trace = logs.trace(f"r{number + 2}")
                self.assertEqual(trace.cause, expected)
                self.assertEqual(trace.missing, [])
        # Later events and restarts do not change earlier causes.
        logs.router.record(EventCode.PROCESS_STARTED)
        self.record_refusal(logs, "r9")
        # The clock of another process may be ahead.
        logs.now += 10
        other.record(EventCode.GRANT_MADE, "r9")
        self.assertEqual(logs.trace("r9").cause, refused)
        self.assertIn("bad (3 crashes", logs.trace("r2").cause)

    def test_failed_and_not_sent_again_for_a_quarantined_part(self) -> None:
        logs = Logs()
        for part in ("bad", "new"):
            logs.router.record(EventCode.PART_QUARANTINED, part=part, crashes=3)
        logs.router.record(
            EventCode.ATTEMPT_FAILED,
            "r1",
            endpoint="e3",
            attempt=1,
            verdict="MAY_HAVE_RUN",
            reason="reset",
            parts=["aa", "new"],
        )
        self.record_refusal(logs, "r1", "broken off: quarantined", status=0)
        self.assertEqual(
            logs.trace().cause,
            "answered 0: reset at e3 on attempt 1 (MAY_HAVE_RUN); not sent again: "
            "endpoints crashed under requests with a part of this prompt; router-1 had "
            "quarantined new (3 crashes)",
        )

    # All quarantined parts were named, as no attempt had told of the request's own.
    def test_refused_for_its_quarantined_content(self) -> None:
        logs = Logs()
        for part in ("bad", "content:12"):
            logs.router.record(EventCode.PART_QUARANTINED, part=part, crashes=3)
        self.record_refusal(logs, "r1", part="content:12")
        self.assertEqual(
            logs.trace().cause,
            "refused 503: endpoints crashed under requests with the same content; "
            "router-1 had quarantined content:12 (3 crashes)",
        )

    def record_refusal(
        self,
        logs: Logs,
        request_id: str,
        reason: str = "quarantined",
        status: int = 503,
        **inputs: str,
    ) -> None:
        """Record the refusal of a request by the router."""
        logs.router.record(
            EventCode.REQUEST_REFUSED,
            request_id,
            status=status,
            reason=reason,
            **inputs,
        )

    def test_answered_and_unknown_request(self) -> None:
        logs = Logs()
        logs.router.record(
            EventCode.REQUEST_FINISHED,
            "r1",
            status=200,
            endpoint="e1",
            first=0.5,
            queued=0.4,
        )
        logs.text.append('{"ms":12, "cut sho')
        trace = logs.trace()
        self.assertIn("answered 200 by e1, first chunk after 0.5 s", trace.cause)
        self.assertEqual(trace.missing, ["1 lines are cut short and were not read"])
        self.assertIn(
            "no log line belongs to this request", logs.trace("other").missing
        )

    def test_event_lines_among_other_text(self) -> None:
        line = dumps({"ms": 1, "n": 1, "name": "X", "process": "p", "request": "r"})
        text = [f"12.5 router-1 {line.decode()}", "Traceback", "[]"]
        reader = LogReader()
        self.assertEqual(reader.read(text), [LogLine(1, 1, "X", "p", "r")])


class EventLoggerTest(CaseTest):
    """Logging is bounded, samples by request, and never blocks."""

    def test_processes_sample_the_same_requests(self) -> None:
        kept = []
        for name in ("a", "b"):
            text: list[str] = []
            events = EventLogger(name, lambda: 1000, text.append)
            for number in range(LINES_PER_SECOND * 6):
                events.record(EventCode.REQUEST_GRANTED, f"request-{number % 1000}")
            reader = LogReader()
            kept.append({line.request for line in reader.read(text[-60:])})
            self.assertLess(len(text), LINES_PER_SECOND * 3)
        self.assertEqual(kept[0], kept[1])

    def test_dropped_lines_are_reported(self) -> None:
        text: list[str] = []
        now = [1000]
        events = EventLogger("a", lambda: now[0], text.append)
        for number in range(LINES_PER_SECOND * 3):
            events.record(EventCode.REQUEST_GRANTED, f"request-{number}")
        now[0] = 2000
        events.record(EventCode.PROCESS_STARTED)
        reports = [line for line in LogReader().read(text) if "lines" in line.inputs]
        self.assertEqual(len(reports), 1)
        self.assertEqual(
            reports[0].inputs["lines"] + len(text) - 2, LINES_PER_SECOND * 3
        )

    # The count began again when the level rose, so that a second with too many lines
    # passed for one with few, and the level fell and rose in turns.
    def test_level_stays_after_a_second_with_many_lines(self) -> None:
        text: list[str] = []
        now = [1000]
        events = EventLogger("a", lambda: now[0], text.append)
        for number in range(LINES_PER_SECOND + 5):
            events.record(EventCode.REQUEST_GRANTED, f"request-{number}")
        self.assertEqual(events.sampling_level, 1)
        now[0] = 2000
        events.record(EventCode.REQUEST_GRANTED, "next")
        self.assertEqual(events.sampling_level, 1)

    # Lines that were left out counted too, so that a process with three times the lines
    # that it may write wrote almost none.
    @params(2, 3, 8)
    def test_many_lines_do_not_silence_a_process(self, times: int) -> None:
        text: list[str] = []
        now = [0]
        events = EventLogger("a", lambda: now[0], text.append)
        counts = []
        for second in range(20):
            written = len(text)
            for number in range(times * LINES_PER_SECOND):
                now[0] = second * 1000 + number * 1000 // (times * LINES_PER_SECOND)
                events.record(EventCode.REQUEST_GRANTED, f"request-{number}")
            counts.append(len(text) - written)
        for count in counts[5:]:
            self.assertGreaterEqual(count, LINES_PER_SECOND // 8, counts)
            self.assertLessEqual(count, LINES_PER_SECOND + 1, counts)

    def test_writes_contain_whole_lines(self) -> None:
        blocks: list[bytes] = []

        def write_all(data: bytes) -> int:
            """Accept all bytes."""
            blocks.append(data)
            return len(data)

        buffer = LogBuffer(write_all)
        lines = [f"{number}" * 300 + "\n" for number in range(90)]
        for line in lines:
            buffer.write(line)
        buffer.drain()
        self.assertEqual(b"".join(blocks).decode(), "".join(lines))
        self.assertTrue(all(p.endswith(b"\n") and len(p) <= 4096 for p in blocks))
        self.assertEqual(buffer.buffered_bytes, 0)

    def test_stalled_reader_does_not_block(self) -> None:
        def refuse(data: bytes) -> int:
            """Accept no bytes."""
            raise BlockingIOError

        buffer = LogBuffer(refuse)
        for _ in range(3000):
            buffer.write("x" * 1000)
            buffer.drain()
        self.assertGreater(buffer.dropped, 0)
        self.assertLess(buffer.buffered_bytes, 1024 * 1024 + 1)
