"""Tests of the report on request outcomes, by cause and over time."""

from pistachiolever.events.const import EventCode
from pistachiolever.events.explain import LogReader
from pistachiolever.events.report import (
    ANSWERED,
    FAILED,
    LATE,
    LEFT,
    REFUSED,
    RequestOutcome,
    group_outcomes,
    plot,
    request_outcomes,
)
from tests.events.test_explain import Logs
from tests.support.cases import CaseTest


class ReportTest(CaseTest):
    """A log with one request for each outcome."""

    def setUp(self) -> None:
        """Log five requests with different outcomes."""
        logs = Logs()
        router, agent = logs.router, logs.agent
        fields = {"account": "small", "route": "plan", "endpoint": "e1"}
        router.record(EventCode.REQUEST_FINISHED, "ok", first=0.2, queued=0.1, **fields)
        router.record(
            EventCode.REQUEST_FINISHED, "late", first=2.0, queued=1.8, **fields
        )
        agent.record(
            EventCode.GRANT_REFUSED, "refused", reason="beyond-share", account="hot"
        )
        router.record(
            EventCode.REQUEST_REFUSED, "refused", status=503, reason="no-room"
        )
        logs.now += 5000
        router.record(EventCode.ATTEMPT_FAILED, "failed", reason="reset", endpoint="e2")
        router.record(EventCode.REQUEST_REFUSED, "failed", status=502, reason="reset")
        router.record(EventCode.REQUEST_CANCELLED, "left", sends=0)
        lines = LogReader().read(logs.text)
        self.outcomes = request_outcomes(lines, 1.0)

    def test_outcomes_and_causes(self) -> None:
        found = [(request.outcome, request.cause) for request in self.outcomes]
        self.assertCountEqual(
            found,
            [
                (ANSWERED, "-"),
                (LATE, "queued"),
                (REFUSED, "beyond-share"),
                (FAILED, "reset"),
                (LEFT, "queued"),
            ],
        )

    def test_account_is_read_from_agent_log(self) -> None:
        (refused,) = [
            request for request in self.outcomes if request.outcome == REFUSED
        ]
        self.assertEqual((refused.account, refused.endpoint), ("hot", "-"))

    def test_rows_are_sorted_by_unsuccessful_requests(self) -> None:
        rows = group_outcomes(self.outcomes, lambda request: request.account)
        self.assertEqual([row.group for row in rows], ["-", "hot", "small"])
        self.assertEqual((rows[2].total, rows[2].unsuccessful), (2, 1))

    def test_plot_includes_intervals_without_requests(self) -> None:
        lines = plot(self.outcomes, 2.0, 10)
        self.assertEqual(len(lines), 3)
        self.assertIn("rrrrr", lines[0])
        self.assertTrue(lines[1].endswith(" 0"))
        self.assertIn("F", lines[2])
        self.assertEqual(plot([], 2.0, 10), [])

    def test_plot_width_is_bounded(self) -> None:
        many = [RequestOutcome(n, REFUSED, "late", "a", "r", "e") for n in range(1000)]
        self.assertLessEqual(len(plot(many, 10.0, 50)[0]), 80)
