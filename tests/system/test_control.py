"""Three control processes: killed, frozen, wiped; racing operators."""

import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import TestCase

from pistachiolever.cli.output import CommandFailedError
from pistachiolever.cli.standalone import demo_declarations
from pistachiolever.control.operators import ChangeRequest, FleetStatus
from pistachiolever.declarations.codec import to_text
from tests.system.answers import send
from tests.system.fleet import Fleet, FleetShape, wait_until, with_preset


class ControlTest(TestCase):
    """What was accepted stays, is in force everywhere and never reverts."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.fleet = Fleet(FleetShape(controls=3, engines=1))
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """End the fleet."""
        cls.fleet.stop()

    def status(self) -> FleetStatus:
        """Return what the leader knows."""
        return self.fleet.operator().get("/ops/status", FleetStatus)

    def leader(self) -> str:
        """Return the name of the leading process, when there is one."""
        found: list[str] = []

        def has_leader() -> bool:
            """Ask once."""
            try:
                found.append(self.status().leader)
            except CommandFailedError:
                return False
            return True

        wait_until(has_leader, "a leader")
        return found[-1]

    def wait_in_force(self, revision: int) -> None:
        """Wait until no process lags behind a revision."""

        def in_force() -> bool:
            """Ask once."""
            try:
                status = self.status()
            except CommandFailedError:
                return False
            processes = len(status.processes)
            return (
                status.revision >= revision and processes == 4 and not status.laggards
            )

        wait_until(in_force, f"revision {revision} to be in force everywhere")

    def test_leader_killed_then_next_change(self) -> None:
        leader = self.leader()
        before = self.fleet.operator().current().number
        self.fleet.kill(leader)
        revision = self.fleet.declare(
            with_preset(demo_declarations(), "peak"), "after-kill"
        )
        self.assertEqual(revision, before + 1)
        self.wait_in_force(revision)
        self.fleet.restart(leader)
        self.assertEqual(self.status().preset, "peak")

    def test_frozen_leader_comes_back_without_a_say(self) -> None:
        leader = self.leader()
        self.fleet.signal(leader, signal.SIGSTOP)
        try:
            revision = self.fleet.declare(
                with_preset(demo_declarations(), "maintenance"), "after-freeze"
            )
        finally:
            self.fleet.signal(leader, signal.SIGCONT)
        self.assertNotEqual(self.leader(), leader)
        self.wait_in_force(revision)
        self.assertGreaterEqual(self.fleet.operator().current().number, revision)

    def test_lost_disk_follows_without_a_vote(self) -> None:
        leader = self.leader()
        lost = next(
            f"control-{number}" for number in range(3) if f"control-{number}" != leader
        )
        self.fleet.kill(lost)
        shutil.rmtree(Path(self.fleet.folder.name) / lost)
        self.fleet.restart(lost)
        revision = self.fleet.declare(demo_declarations(), "after-loss")
        identity = Path(self.fleet.folder.name) / lost / "identity.json"
        wait_until(identity.exists, "the new folder")
        self.assertIn('"may_vote":false', identity.read_text())
        log = Path(self.fleet.folder.name) / lost / "log"
        wait_until(
            lambda: log.exists() and "after-loss" in log.read_text(),
            "the lost disk to catch up",
        )
        self.wait_in_force(revision)
        # Give it its vote back for the other tests: here no promise was forgotten,
        # since every entry is on the two other disks and the process is stopped.
        self.fleet.kill(lost)
        identity.write_text(identity.read_text().replace("false", "true"))
        self.fleet.restart(lost)

    def test_racing_operators_have_one_winner(self) -> None:
        client = self.fleet.operator()
        base = client.current().number
        texts = [
            to_text(with_preset(demo_declarations(), name))
            for name in ("peak", "maintenance")
        ]

        def change(number: int) -> bool:
            """Send one of the racing changes."""
            request = ChangeRequest(f"race-{number}", base, texts[number % 2])
            return self.fleet.operator().apply(request).accepted

        with ThreadPoolExecutor(8) as pool:
            accepted = list(pool.map(change, range(8)))
        self.assertEqual(sum(accepted), 1)
        self.assertEqual(client.current().number, base + 1)
        again = [change(number) for number in range(8)]
        self.assertEqual(again, accepted)

    def test_requests_go_on_without_a_quorum(self) -> None:
        leader = self.leader()
        others = [f"control-{n}" for n in range(3) if f"control-{n}" != leader]
        for name in others:
            self.fleet.kill(name)
        time.sleep(1.5)
        answer = send(self.fleet, "router-0", "tokens=5 without a quorum")
        self.assertEqual(answer.final["verdict"], "RAN")
        refused = self.fleet.submit(
            "router-0", "booking", "no quorum", idempotency_key="no-quorum"
        )
        self.assertEqual(refused.json()["verdict"], "NOT_RUN")
        self.assertNotIn("no quorum", self.fleet.executions())
        for name in others:
            self.fleet.restart(name)
        self.leader()
