"""Commands whose process does not answer tell what is known, and how to go on."""

import re
from http.server import BaseHTTPRequestHandler, HTTPServer
from threading import Thread

from click.testing import CliRunner
from orjson import dumps, loads

from pistachiolever.cli.const import EXIT_FAILED
from pistachiolever.cli.main import cli
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

FOLDER = "examples/bengal"


class UncertainControl(BaseHTTPRequestHandler):
    """Answers changes with 504 and keeps their ids."""

    change_ids: list[str] = []

    def do_GET(self) -> None:
        """Return an empty revision in force."""
        body = dumps({"number": 3, "change_id": "c", "document": "{}", "at_ms": 0})
        self._respond(200, body)

    def do_POST(self) -> None:
        """Refuse to say whether a change was accepted."""
        length = int(self.headers["content-length"])
        self.change_ids.append(loads(self.rfile.read(length))["change_id"])
        self._respond(504, b"")

    def _respond(self, status: int, body: bytes) -> None:
        """Send a response."""
        self.send_response(status)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class ChangeIdTest(CaseTest):
    """A change that may have been accepted can be submitted again."""

    # The id of the change was not printed, so a change whose outcome was unknown
    # could not be submitted again as the same one.
    def test_generated_change_id_is_printed(self) -> None:
        server = HTTPServer(("127.0.0.1", 0), UncertainControl)
        Thread(target=server.serve_forever, daemon=True).start()
        address = f"127.0.0.1:{server.server_port}"
        arguments = ["apply", FOLDER, "--control", address, "--key", "k"]
        first = CliRunner().invoke(cli, arguments)
        self.assertEqual(first.exit_code, EXIT_FAILED, first.output)
        found = re.search(r"--change-id (\w+)", first.output)
        assert found is not None, first.output
        again = CliRunner().invoke(cli, [*arguments, "--change-id", found[1]])
        self.assertEqual(again.exit_code, EXIT_FAILED)
        server.shutdown()
        server.server_close()
        self.assertEqual(len(set(UncertainControl.change_ids)), 1)


class CancelTest(CaseTest):
    """A router that does not answer is an error message."""

    # Cancelling at an unreachable router ended with a traceback.
    def test_unreachable_router(self) -> None:
        arguments = ["cancel", "--router", free_address(), "--key", "k"]
        result = CliRunner().invoke(cli, [*arguments, "--request", "q"])
        self.assertEqual(result.exit_code, EXIT_FAILED)
        self.assertIn("not known whether the request was cancelled", result.output)
