"""Consensus of three control processes when some are killed, frozen or lose data."""

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
from tests.system.fleet import Fleet, FleetShape, wait_until, with_preset
from tests.system.streams import send


class ControlTest(TestCase):
    """Accepted changes are in force on all processes and are never reverted."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.fleet = Fleet(FleetShape(controls=3, engines=1))
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls) -> None:
        """Stop the fleet."""
        cls.fleet.stop()

    def status(self) -> FleetStatus:
        """Return the fleet status from the leader."""
        return self.fleet.operator().get("/ops/status", FleetStatus)

    def leader(self) -> str:
        """Wait for a leader and return its name."""
        found: list[str] = []

        def is_elected() -> bool:
            """Return whether control answers with a leader."""
            try:
                found.append(self.status().leader)
            except CommandFailedError:
                return False
            return True

        wait_until(is_elected, "the election of a leader")
        return found[-1]

    def wait_in_force(self, revision: int) -> None:
        """Wait until all processes have put a revision in force."""

        def in_force() -> bool:
            """Return whether no process lags behind the revision."""
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
        revision = self.fleet.apply_declarations(
            with_preset(demo_declarations(), "peak"), "after-kill"
        )
        self.assertEqual(revision, before + 1)
        self.wait_in_force(revision)
        self.fleet.restart(leader)
        self.assertEqual(self.status().preset, "peak")

    def test_frozen_leader_returns_as_follower(self) -> None:
        """A leader that resumes after SIGSTOP can't revert the new leader's changes."""
        leader = self.leader()
        self.fleet.signal(leader, signal.SIGSTOP)
        try:
            revision = self.fleet.apply_declarations(
                with_preset(demo_declarations(), "maintenance"), "after-freeze"
            )
        finally:
            self.fleet.signal(leader, signal.SIGCONT)
        self.assertNotEqual(self.leader(), leader)
        self.wait_in_force(revision)
        self.assertGreaterEqual(self.fleet.operator().current().number, revision)

    def test_member_with_lost_disk_has_no_vote(self) -> None:
        """A member that lost its log and its votes could help to elect two leaders."""
        leader = self.leader()
        lost = next(
            f"control-{number}" for number in range(3) if f"control-{number}" != leader
        )
        self.fleet.kill(lost)
        shutil.rmtree(Path(self.fleet.folder.name) / lost)
        self.fleet.restart(lost)
        revision = self.fleet.apply_declarations(demo_declarations(), "after-loss")
        identity = Path(self.fleet.folder.name) / lost / "identity.json"
        wait_until(identity.exists, "the new identity file")
        self.assertIn('"may_vote":false', identity.read_text())
        log = Path(self.fleet.folder.name) / lost / "log"
        wait_until(
            lambda: log.exists() and "after-loss" in log.read_text(),
            "the member to catch up",
        )
        self.wait_in_force(revision)
        # Restore the vote for the other tests. That is safe here: both other disks have
        # every entry, and the process is stopped.
        self.fleet.kill(lost)
        identity.write_text(identity.read_text().replace("false", "true"))
        self.fleet.restart(lost)

    def test_racing_operators_have_one_winner(self) -> None:
        client = self.fleet.operator()
        base = client.current().number
        documents = [
            to_text(with_preset(demo_declarations(), name))
            for name in ("peak", "maintenance")
        ]

        def change(number: int) -> bool:
            """Send one of the competing changes; return whether it was accepted."""
            request = ChangeRequest(f"race-{number}", base, documents[number % 2])
            return self.fleet.operator().apply(request).accepted

        with ThreadPoolExecutor(8) as pool:
            accepted = list(pool.map(change, range(8)))
        self.assertEqual(sum(accepted), 1)
        self.assertEqual(client.current().number, base + 1)
        again = [change(number) for number in range(8)]
        self.assertEqual(again, accepted)

    def test_without_a_quorum_only_claims_are_refused(self) -> None:
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
