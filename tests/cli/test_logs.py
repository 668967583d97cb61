"""Tests of the commands report, explain and experiment."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from click.testing import CliRunner

from pistachiolever.cli.const import EXIT_INVALID
from pistachiolever.cli.main import cli
from pistachiolever.events.const import EventCode
from tests.events.test_explain import Logs
from tests.support.cases import CaseTest

SHAPES = Path(__file__).parents[2] / "benchmarks" / "shapes"


class CommandTest(CaseTest):
    """Runs commands on files in a temporary folder."""

    def setUp(self) -> None:
        """Create the folder."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def invoke(self, *arguments: str, code: int = 0) -> str:
        """Run a command, check its exit code and return its output."""
        result = CliRunner().invoke(cli, list(arguments))
        self.assertEqual(result.exit_code, code, result.output)
        return result.output


class ReportCommandTest(CommandTest):
    """Reports and explanations from a log with a truncated line."""

    def write_log(self) -> str:
        """Write a log with one refused request and a truncated line."""
        logs = Logs()
        logs.agent.record(
            EventCode.GRANT_REFUSED, "r1", reason="beyond-share", account="hot"
        )
        logs.router.record(
            EventCode.REQUEST_REFUSED, "r1", status=503, reason="no-room"
        )
        path = self.folder / "all.log"
        path.write_text("\n".join([*logs.text, '{"ms":1,"n']))
        return str(path)

    def test_tables_and_plot(self) -> None:
        output = self.invoke("report", self.write_log())
        self.assertIn("refused: beyond-share", output)
        self.assertIn("1 lines are cut short", output)
        self.assertIn("over time", output)

    def test_json(self) -> None:
        document = json.loads(self.invoke("report", "--json", self.write_log()))
        self.assertEqual(document["account"], {"hot": {"refused": 1}})
        self.assertEqual(document["lines_unread"], 1)

    def test_explain_reads_the_same_log(self) -> None:
        self.assertIn("beyond-share", self.invoke("explain", "r1", self.write_log()))


class ExperimentCommandTest(CommandTest):
    """A short run, and the exit code for invalid input."""

    def write_shape(self, **changes: object) -> str:
        """Write a load shape of two emulated seconds, with the given changes."""
        document = json.loads((SHAPES / "nordeste-calm.json").read_text())
        path = self.folder / "short.json"
        path.write_text(json.dumps(document | {"seconds": 2.0} | changes))
        return str(path)

    def test_scores(self) -> None:
        arguments = ["experiment", self.write_shape(), "--seeds", "1", "--json"]
        document = json.loads(self.invoke(*arguments, "--set", "size_part=0.5"))
        self.assertGreater(document["short"]["whole"], 0.5)

    def test_invalid_input(self) -> None:
        path = self.write_shape()
        self.invoke("experiment", path, "--set", "unknown=1", code=EXIT_INVALID)
        self.invoke("experiment", path, "--set", "size_part=x", code=EXIT_INVALID)
        bad = self.write_shape(kinds="none")
        self.invoke("experiment", bad, code=EXIT_INVALID)
