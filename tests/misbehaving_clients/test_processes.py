"""Processes of each role survive groups of misbehaving clients at each address.

Nothing here depends on the speed of the machine: a process lives, stays under the
memory and the descriptors of its settings, and answers an ordinary request.
"""

from asyncio import get_running_loop, run, sleep, wait_for
from contextlib import suppress
from socket import socket
from time import monotonic
from typing import Final

from nose2.tools import params

from tests.misbehaving_clients.groups import GROUPS, Attack, head
from tests.misbehaving_clients.processes import (
    MAX_DESCRIPTORS,
    MEMORY_BYTES,
    Entry,
    RoleProcess,
    Surroundings,
    started,
)
from tests.support.cases import CaseTest

ENTRIES: Final = {
    "router": ("routed", "unrouted", "ready", "metrics"),
    "sidecar": ("peer", "metrics"),
    "control": ("operators", "peer", "metrics"),
}
TABLE: Final = [
    (role, entry, group)
    for role, entries in ENTRIES.items()
    for entry in entries
    for group in GROUPS
]
# Only keep a test from hanging.
ATTEMPT_SECONDS: Final = 3.0
ANSWER_SECONDS: Final = 10.0


async def status_of(entry: Entry) -> int:
    """Return the status of an ordinary request; 0 if there is no response."""
    host, _, port = entry.address.rpartition(":")
    request = head(entry, b"Connection: close\r\n\r\n")
    with socket() as raw, suppress(OSError, TimeoutError, ValueError, IndexError):
        raw.setblocking(False)
        loop = get_running_loop()
        await wait_for(loop.sock_connect(raw, (host, int(port))), ATTEMPT_SECONDS)
        await loop.sock_sendall(raw, request.replace(b"POST", b"GET"))
        data = await wait_for(loop.sock_recv(raw, 4096), ATTEMPT_SECONDS)
        return int(data.split()[1])
    return 0


async def is_answered(entry: Entry) -> bool:
    """Return whether an ordinary request is answered as it should be.

    A process that refuses one for lack of room is asked again.
    """
    ends_at = monotonic() + ANSWER_SECONDS
    while monotonic() < ends_at:
        if await status_of(entry) == entry.status:
            return True
        await sleep(0.1)
    return False


class MisbehavingClientTest(CaseTest):
    """Guards against clients that end, fill or occupy a process."""

    surroundings: Surroundings

    @classmethod
    def setUpClass(cls) -> None:
        cls.surroundings = Surroundings()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.surroundings.stop()

    @params(*TABLE)
    def test_process_survives(self, role: str, entry: str, group: str) -> None:
        with started(role, self.surroundings) as process:
            run(self.attack(process, process.entry_by_name[entry], group))

    async def attack(self, process: RoleProcess, entry: Entry, group: str) -> None:
        """Let a group loose on a process; check the process while it goes on."""
        attack = Attack(GROUPS[group], entry)
        try:
            await attack.run()
            self.check(process)
            self.assertTrue(await is_answered(entry), "no ordinary request is answered")
            self.check(process)
        finally:
            await attack.stop()

    def check(self, process: RoleProcess) -> None:
        """Fail if the process has ended, or has more than its settings allow."""
        self.assertTrue(process.is_alive(), "the process has ended")
        self.assertLess(process.peak_bytes(), MEMORY_BYTES)
        self.assertLess(process.descriptor_count(), MAX_DESCRIPTORS)
