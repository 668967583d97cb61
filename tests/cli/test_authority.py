"""Commands of operators to control processes that serve with TLS."""

from http.server import HTTPServer
from pathlib import Path
from ssl import PROTOCOL_TLS_SERVER, SSLContext
from threading import Thread

from certifi import where
from click.testing import CliRunner, Result
from orjson import loads

from pistachiolever.cli.const import EXIT_FAILED, EXIT_INVALID
from pistachiolever.cli.main import cli
from tests.cli.test_unreachable import UncertainControl
from tests.support.cases import CaseTest

SUPPORT = Path(__file__).parents[1] / "support"
# A self-signed certificate of 127.0.0.1 and its key, for tests only.
CERTIFICATE = SUPPORT / "localhost.pem"


class AuthorityTest(CaseTest):
    """The authority file names who signs the certificates of control."""

    def setUp(self) -> None:
        """Start a control process that serves with TLS."""
        context = SSLContext(PROTOCOL_TLS_SERVER)
        context.load_cert_chain(CERTIFICATE)
        self.server = HTTPServer(("127.0.0.1", 0), UncertainControl)
        self.server.socket = context.wrap_socket(self.server.socket, server_side=True)
        Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)

    def export(self, *arguments: str, **environment: str) -> Result:
        """Run a command that reads the revision in force."""
        address = f"127.0.0.1:{self.server.server_port}"
        command = ["export", "--control", address, "--key", "k", *arguments]
        return CliRunner().invoke(cli, command, env=environment)

    # No command set the authority file, and the client did not check certificates by
    # it, so no command reached control processes that serve with TLS.
    def test_command_reaches_control(self) -> None:
        path = str(CERTIFICATE)
        for result in (
            self.export("--authority", path),
            self.export(PISTACHIOLEVER_AUTHORITY_FILE=path),
        ):
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertIsInstance(loads(result.output), dict)

    def test_without_the_authority_nothing_is_sent(self) -> None:
        result = self.export()
        self.assertEqual(result.exit_code, EXIT_FAILED, result.output)

    def test_certificate_of_another_authority(self) -> None:
        result = self.export("--authority", where())
        self.assertEqual(result.exit_code, EXIT_FAILED, result.output)
        self.assertIn("CERTIFICATE_VERIFY_FAILED", result.output)

    def test_file_that_is_no_certificate(self) -> None:
        result = self.export("--authority", __file__)
        self.assertEqual(result.exit_code, EXIT_INVALID, result.output)
        self.assertIn("no certificates", result.output)
