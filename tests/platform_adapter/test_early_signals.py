"""A signal during the start of a process does not end it by default action."""

from os import environ
from pathlib import Path
from subprocess import run
from sys import executable
from tempfile import TemporaryDirectory

from nose2.tools import params

from tests.support.addresses import free_address
from tests.support.cases import CaseTest

# Runs the entry point, which gets the signals while it imports the event loop.
SCRIPT = """
import os, runpy, sys
from importlib.abc import MetaPathFinder

class SignalOnImport(MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        if name == "anyio":
            sys.meta_path.remove(self)
            for number in sys.argv[2:]:
                os.kill(os.getpid(), int(number))
            del sys.argv[2:]
        return None

sys.meta_path.insert(0, SignalOnImport())
runpy.run_module("pistachiolever.platform.main", run_name="__main__")
"""
SIGHUP, SIGTERM = "1", "15"
# A start takes under a second; the limit only keeps the test from hanging.
TIMEOUT_SECONDS = 60


def write_settings(path: Path) -> None:
    """Write settings that suit each role."""
    host, _, port = free_address().rpartition(":")
    path.write_text(f'''
node = "vm-1"
ip = "{host}"
zone = "north"
portRange = [{port}, {port}]
seeds = ["{free_address()}"]
bootstrap = true
dataDir = "{path.parent / "data"}"
app = "{free_address()}"
[listen]
front = "{free_address()}"
ready = "{free_address()}"
control = "{free_address()}"
[bounds]
graceS = 3
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 50
''')


class EarlySignalTest(CaseTest):
    """Each role survives SIGHUP while it starts, and stops in order at SIGTERM."""

    @params(
        *[
            (role, signals)
            for role in ("router", "sidecar", "control")
            for signals in ([SIGHUP, SIGTERM], [SIGTERM])
        ]
    )
    def test_process_stops_in_order(self, role: str, signals: list[str]) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            (path.parent / "data").mkdir()
            write_settings(path)
            ended = run(
                [executable, "-c", SCRIPT, role, *signals],
                env={**environ, "PISTACHIOLEVER_BOOT": str(path)},
                capture_output=True,
                timeout=TIMEOUT_SECONDS,
            )
        self.assertEqual(ended.returncode, 0, ended.stderr[-2000:])
        self.assertIn(b"PROCESS_STOPPED", ended.stdout)
