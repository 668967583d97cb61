"""From a request's id to its cause, also with logs that are not whole."""

from orjson import dumps

from pistachiolever.events.const import EventCode
from pistachiolever.events.explain import LogLine, LogReader, RequestTrace, explain
from pistachiolever.events.lines import LINES_PER_SECOND, EventLogger, LogBuffer
from tests.support.cases import CaseTest


class Logs:
    """Two processes that log as the real ones do."""

    def __init__(self) -> None:
        """Start with empty logs."""
        self.now = 1000
        self.text: list[str] = []
        self.router = EventLogger("router-1", lambda: self.now, self.text.append)
        self.agent = EventLogger("engine-3", lambda: self.now, self.text.append)

    def story(self, request_id: str = "r1") -> RequestTrace:
        """Return the story of a request."""
        reader = LogReader()
        return explain(request_id, reader.read(self.text), reader.malformed)


class ExplainTest(CaseTest):
    """One cause for each way in which a request ends."""

    def test_refused_under_the_flood_of_another_account(self) -> None:
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
        story = logs.story()
        self.assertEqual(len(story.lines), 3)
        self.assertIn("refused 503 as late: 3000 tokens unread", story.cause)
        self.assertEqual(story.missing, [])

    def test_broken_off_as_its_engine_crashed(self) -> None:
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
        story = logs.story()
        self.assertEqual(
            story.cause,
            "answered 502: connection reset at e3 on attempt 1 (MAY_HAVE_RUN)",
        )
        self.assertEqual(
            story.missing, ["no log of the process beside the endpoint is here"]
        )

    def test_answered_and_unknown(self) -> None:
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
        story = logs.story()
        self.assertIn("answered 200 by e1, first part after 0.5 s", story.cause)
        self.assertEqual(story.missing, ["1 lines are cut short and were not read"])
        self.assertIn("no line names this request", logs.story("other").missing)

    def test_lines_between_others(self) -> None:
        line = dumps({"ms": 1, "n": 1, "name": "X", "process": "p", "request": "r"})
        text = [f"12.5 router-1 {line.decode()}", "Traceback", "[]"]
        reader = LogReader()
        self.assertEqual(reader.read(text), [LogLine(1, 1, "X", "p", "r")])


class BoundedTest(CaseTest):
    """Logs stay bounded, keep whole requests, and never block."""

    def test_processes_keep_the_same_requests(self) -> None:
        kept = []
        for name in ("a", "b"):
            text: list[str] = []
            lines = EventLogger(name, lambda: 1000, text.append)
            for number in range(LINES_PER_SECOND * 6):
                lines.record(EventCode.REQUEST_GRANTED, f"request-{number % 1000}")
            reader = LogReader()
            kept.append({line.request for line in reader.read(text[-60:])})
            self.assertLess(len(text), LINES_PER_SECOND * 3)
        self.assertEqual(kept[0], kept[1])

    def test_what_was_left_out_is_told(self) -> None:
        text: list[str] = []
        now = [1000]
        lines = EventLogger("a", lambda: now[0], text.append)
        for number in range(LINES_PER_SECOND * 3):
            lines.record(EventCode.REQUEST_GRANTED, f"request-{number}")
        now[0] = 2000
        lines.record(EventCode.PROCESS_STARTED)
        told = [line for line in LogReader().read(text) if "lines" in line.inputs]
        self.assertEqual(len(told), 1)
        self.assertEqual(told[0].inputs["lines"] + len(text) - 2, LINES_PER_SECOND * 3)

    def test_lines_are_not_torn(self) -> None:
        pieces: list[bytes] = []

        def take(data: bytes) -> int:
            """Take everything."""
            pieces.append(data)
            return len(data)

        buffer = LogBuffer(take)
        lines = [f"{number}" * 300 + "\n" for number in range(90)]
        for line in lines:
            buffer.write(line)
        buffer.drain()
        self.assertEqual(b"".join(pieces).decode(), "".join(lines))
        self.assertTrue(all(p.endswith(b"\n") and len(p) <= 4096 for p in pieces))
        self.assertEqual(buffer.waiting_bytes, 0)

    def test_a_reader_that_stops_blocks_nothing(self) -> None:
        def refuse(data: bytes) -> int:
            """Take nothing."""
            raise BlockingIOError

        buffer = LogBuffer(refuse)
        for _ in range(3000):
            buffer.write("x" * 1000)
            buffer.drain()
        self.assertGreater(buffer.left_out, 0)
        self.assertLess(buffer.waiting_bytes, 1024 * 1024 + 1)
