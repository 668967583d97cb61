"""The consensus node completes its proposals."""

from random import Random
from typing import Any

from anyio import create_task_group, run, sleep

from pistachiolever.control.commands import StoreConfiguration
from pistachiolever.control.consensus import ConsensusNode, OutcomeUnknownError
from pistachiolever.raft.core import RaftCore
from pistachiolever.raft.models import (
    ProposalAppended,
    Restore,
    RoleChanged,
    Snapshot,
    StoredLog,
)
from tests.support.cases import CaseTest


class NullListener:
    """Ignores all events."""

    def applied(self) -> None:
        """Ignore an applied command."""

    def role_changed(self, action: RoleChanged) -> None:
        """Ignore a change of role."""

    def members_changed(self, members: list[str]) -> None:
        """Ignore a change of members."""

    def disk_failed(self, error: OSError) -> None:
        """Ignore a failed write."""


def make_node() -> ConsensusNode:
    """Return a node whose storage and state are not used."""
    unused: Any = None
    core = RaftCore("a", ["b", "c"], Random(1), StoredLog())
    core.is_leader = True
    return ConsensusNode(
        core, unused, unused, NullListener(), lambda envelope: None, lambda: 1.0
    )


class RestoreTest(CaseTest):
    """A snapshot of another member may cover proposals of this one."""

    # A proposal at an index that a snapshot skipped was kept for ever, and its caller
    # waited until the timeout.
    def test_proposals_that_a_snapshot_covers_end_as_unknown(self) -> None:
        async def propose() -> tuple[float, ConsensusNode]:
            node = make_node()
            outcomes: list[str] = []

            async def one() -> None:
                try:
                    await node.propose(StoreConfiguration(1, ""), 5.0)
                except OutcomeUnknownError:
                    outcomes.append("unknown")

            async with create_task_group() as group:
                for _ in range(3):
                    group.start_soon(one)
                await sleep(0.01)
                for token in range(1, 4):
                    node._perform(ProposalAppended(token, 4 + token, 1))
                node._perform(Restore(Snapshot(6, 2)))
                await sleep(0.01)
                ended = len(outcomes)
                group.cancel_scope.cancel()
            return ended, node

        ended, node = run(propose)
        self.assertEqual(ended, 2)
        self.assertEqual(list(node.proposals_by_index), [7])
