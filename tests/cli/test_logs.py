"""Commands that read logs, and the one that plays loads."""

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


class FilesTest(CaseTest):
    """Each test has a folder of its own."""

    def setUp(self) -> None:
        """Make the folder."""
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def invoke(self, *arguments: str, code: int = 0) -> str:
        """Run a command; return what it printed."""
        result = CliRunner().invoke(cli, list(arguments))
        self.assertEqual(result.exit_code, code, result.output)
        return result.output


class ReportCommandTest(FilesTest):
    """What went wrong, from files that are not whole."""

    def log_file(self) -> str:
        """Write a log with one refused request and a line that is cut short."""
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
        output = self.invoke("report", self.log_file())
        self.assertIn("refused: beyond-share", output)
        self.assertIn("1 lines are cut short", output)
        self.assertIn("over time", output)

    def test_json(self) -> None:
        document = json.loads(self.invoke("report", "--json", self.log_file()))
        self.assertEqual(document["account"], {"hot": {"refused": 1}})
        self.assertEqual(document["lines_unread"], 1)

    def test_the_same_files_explain_the_request(self) -> None:
        self.assertIn("beyond-share", self.invoke("explain", "r1", self.log_file()))


class ExperimentCommandTest(FilesTest):
    """A short run, and faults that are named."""

    def shape_file(self, **changes: object) -> str:
        """Write a shape that takes a second to play."""
        document = json.loads((SHAPES / "nordeste-calm.json").read_text())
        path = self.folder / "short.json"
        path.write_text(json.dumps(document | {"seconds": 2.0} | changes))
        return str(path)

    def test_figures(self) -> None:
        arguments = ["experiment", self.shape_file(), "--seeds", "1", "--json"]
        document = json.loads(self.invoke(*arguments, "--set", "size_part=0.5"))
        self.assertGreater(document["short"]["whole"], 0.5)

    def test_faults(self) -> None:
        path = self.shape_file()
        self.invoke("experiment", path, "--set", "unknown=1", code=EXIT_INVALID)
        self.invoke("experiment", path, "--set", "size_part=x", code=EXIT_INVALID)
        bad = self.shape_file(kinds="none")
        self.invoke("experiment", bad, code=EXIT_INVALID)
