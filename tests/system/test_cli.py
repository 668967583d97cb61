"""Command line of operators and callers against a running fleet."""

from pathlib import Path
from unittest import TestCase

from click.testing import CliRunner, Result
from nose2.tools import params
from orjson import loads

from pistachiolever.cli.const import (
    DEMO_FLEET_SECRET,
    DEMO_OPERATOR_KEY,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_NOT_RUN,
    EXIT_OK,
)
from pistachiolever.cli.main import cli
from pistachiolever.cli.standalone import demo_declarations
from pistachiolever.declarations.codec import to_pretty_text
from tests.system.fleet import HALDIA, Fleet, FleetShape, with_preset


class CommandTest(TestCase):
    """Output and exit codes of the commands."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start a small fleet."""
        cls.fleet = Fleet(FleetShape(routers=1, engines=1, booking_desks=0))
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet."""
        cls.fleet.stop()

    def operate(self, *arguments: str, key: str = DEMO_OPERATOR_KEY) -> Result:
        """Run an operator command."""
        address = self.fleet.address_by_name["control-0"]
        options = ["--control", address, "--key", key]
        return CliRunner().invoke(cli, [*arguments, *options])

    def write(self, preset_id: str) -> str:
        """Write declarations with a preset in force to a file; return its path."""
        path = Path(self.fleet.folder.name) / f"{preset_id}.json"
        declarations = with_preset(demo_declarations(), preset_id)
        path.write_text(to_pretty_text(declarations))
        return str(path)

    def test_plan_apply_conflict_rollback(self) -> None:
        file = self.write("peak")
        planned = self.operate("plan", file)
        self.assertIn('~ preset_in_force: "ordinary-day" -> "peak"', planned.output)
        base = loads(self.operate("plan", file, "--json").output)["revision"]
        applied = self.operate("apply", file, "--change-id", "one")
        self.assertEqual(applied.exit_code, EXIT_OK, applied.output)
        again = self.operate("apply", file, "--change-id", "one", "--base", str(base))
        self.assertEqual(again.output, applied.output)
        other = self.write("maintenance")
        lost = self.operate("apply", other, "--base", str(base))
        self.assertEqual(lost.exit_code, EXIT_CONFLICT)
        self.assertIn("the winner is change one", lost.output)
        back = self.operate("rollback", str(base))
        self.assertEqual(back.exit_code, EXIT_OK, back.output)
        self.assertIn('"ordinary-day"', self.operate("export").output)
        self.assertIn(f"{base + 1} one", self.operate("history").output)

    def test_preset(self) -> None:
        unknown = self.operate("preset", "party")
        self.assertEqual(unknown.exit_code, EXIT_INVALID)
        self.assertIn("declared: ordinary-day, peak", unknown.output)
        self.assertEqual(self.operate("preset", "peak").exit_code, EXIT_OK)
        self.assertEqual(self.operate("preset", "ordinary-day").exit_code, EXIT_OK)

    def test_status_and_claims(self) -> None:
        status = self.operate("status")
        self.assertIn("router-0", status.output)
        self.assertIn("engine-0", status.output)
        self.assertEqual(self.operate("claims").output.strip(), "none")
        wrong = self.operate("status", key="wrong")
        self.assertEqual(wrong.exit_code, EXIT_FAILED)
        self.assertIn("the operators' key is wrong", wrong.output)

    @params(
        ("planning", "tokens=5 send", EXIT_OK, "RAN"),
        ("unknown", "x", EXIT_NOT_RUN, "service-not-allowed"),
        ("booking", "x", EXIT_NOT_RUN, "Idempotency-Key"),
    )
    def test_send(self, service: str, text: str, code: int, output: str) -> None:
        router = self.fleet.address_by_name["router-0"]
        options = ["--router", router, "--key", HALDIA]
        request = ["--service", service, "--input", text]
        sent = CliRunner().invoke(cli, ["send", *options, *request])
        self.assertEqual(sent.exit_code, code, sent.output)
        self.assertIn(output, sent.output)

    def test_timeline(self) -> None:
        self.test_send("planning", "tokens=3 timeline", EXIT_OK, "RAN")
        arguments = ["timeline", "--secret", DEMO_FLEET_SECRET]
        for name in ("router-0", "sidecar-engine-0", "control-0"):
            arguments += ["--process", self.fleet.address_by_name[name]]
        shown = CliRunner().invoke(cli, [*arguments, "--account", "haldia-exporters"])
        self.assertEqual(shown.exit_code, EXIT_OK, shown.output)
        order = [
            shown.output.rindex(name)
            for name in ("REQUEST_DISPATCHED", "RUN_STARTED", "REQUEST_FINISHED")
        ]
        self.assertEqual(order, sorted(order))

    def test_validate_names_every_fault(self) -> None:
        path = Path(self.fleet.folder.name) / "bad.json"
        path.write_text('{"presets": 1, "colour": 2}')
        result = CliRunner().invoke(cli, ["validate", str(path)])
        self.assertEqual(result.exit_code, EXIT_INVALID)
        self.assertIn("colour: unknown key", result.output)
        self.assertIn("presets: 1 has the wrong type", result.output)
