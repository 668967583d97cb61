"""Members of the registry over loopback: changes, lost disks, learners, watchers."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from anyio import CancelScope, create_task_group, fail_after, run, sleep
from anyio.abc import TaskGroup
from attrs import define, field
from orjson import loads

from pistachiolever.control.storage import FolderDisk, LogStorage
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.events.logger import EventLogger
from pistachiolever.http1.models import HttpLimits
from pistachiolever.http1.server import HttpServer
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.registry.settings import RegistrySettings
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.errors import InvalidConfigurationError
from pistachiolever.usage.models import UsageUpdate
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

LIMITS = HttpLimits(max_body_bytes=1024 * 1024)
TIMEOUT_SECONDS = 30.0


def version_of(document: bytes) -> int:
    """Return the version of a test document."""
    fields = loads(document)
    if "version" not in fields:
        raise InvalidConfigurationError("version", "is missing")
    return int(fields["version"])


def make_discarding_logger(name: str) -> EventLogger:
    """Return a logger that discards its lines."""
    return EventLogger(name, lambda: 0, lambda _: None)


def document(version: int, text: str = "") -> bytes:
    """Return a test document."""
    return b'{"version":%d,"text":"%s"}' % (version, text.encode())


@define
class CutClient(PeerClient):
    """A client whose calls to the addresses in `cut` fail.

    Replies to calls of the paths in `delay_by_path` take so many seconds more.
    """

    cut: set[str] = field(factory=set)
    delay_by_path: dict[str, float] = field(factory=dict)

    async def call(self, *args: Any) -> Any:
        """Call a process, unless it is cut off until its reply arrives."""
        if args[0] in self.cut:
            raise PeerError("cut off", False)
        reply = await super().call(*args)
        await sleep(self.delay_by_path.get(args[1], 0.0))
        if args[0] in self.cut:
            raise PeerError("cut off", True)
        return reply


@define(eq=False)
class Member:
    """One running member."""

    process: RegistryProcess
    disk: FolderDisk
    scope: CancelScope = field(factory=CancelScope)

    async def run(self) -> None:
        """Run until stopped."""
        server = HttpServer(
            self.process.settings.address, self.process.api().handle, lambda: LIMITS
        )
        with self.scope:
            async with create_task_group() as group:
                group.start_soon(self.process.run)
                group.start_soon(server.serve)
        self.disk.close()


@define(eq=False)
class Fleet:
    """Members by name; each has its own data folder.

    A member's calls fail for the addresses in its set of `cut_by_name`.
    """

    root: Path
    group: TaskGroup
    address_by_name: dict[str, str] = field(factory=dict)
    member_by_name: dict[str, Member] = field(factory=dict)
    seeds: list[str] = field(factory=list)
    cut_by_name: dict[str, set[str]] = field(factory=dict)

    async def start_founders(self, names: str = "abc") -> None:
        """Start the initial members."""
        for name in names:
            self.address_by_name[name] = free_address()
        self.seeds = list(self.address_by_name.values())
        for name in names:
            self.start(name, founder=True)

    def start(self, name: str, founder: bool = False, folder: str = "") -> None:
        """Start a member on its data folder."""
        settings = RegistrySettings(
            name,
            self.address_by_name[name],
            self.seeds,
            str(self.root / (folder or name)),
            founder,
        )
        disk = FolderDisk(Path(settings.data_folder))
        process = RegistryProcess(
            settings,
            LogStorage(disk),
            version_of,
            make_discarding_logger(name),
            Random(name),
            CutClient(cut=self.cut_by_name.setdefault(name, set())),
        )
        self.member_by_name[name] = Member(process, disk)
        self.group.start_soon(self.member_by_name[name].run)

    async def stop(self, name: str) -> None:
        """Stop a member without a shutdown sequence."""
        self.member_by_name.pop(name).scope.cancel()
        await sleep(0.05)

    def first(self) -> RegistryProcess:
        """Return the process of the first running member."""
        return next(iter(self.member_by_name.values())).process

    def leader(self) -> str:
        """Return the name of the leader; empty if there is none."""
        for name, member in self.member_by_name.items():
            if member.process.core.is_leader:
                return name
        return ""

    async def store(self, body: bytes) -> int:
        """Store a configuration; try all members until one acknowledges it."""
        while True:
            for member in list(self.member_by_name.values()):
                try:
                    return await member.process.store(body)
                except UnavailableError:
                    await sleep(0.05)

    async def read(self) -> bytes:
        """Read the configuration; try all members until one confirms it."""
        while True:
            for member in list(self.member_by_name.values()):
                try:
                    return (await member.process.read()).document.encode()
                except UnavailableError:
                    await sleep(0.05)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            await sleep(0.05)

    def is_voter(self, name: str) -> bool:
        """Return whether a running member is a voter according to its own log."""
        core = self.member_by_name[name].process.core
        return core.member_id in core.members


def run_with_fleet(test: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run a test with an empty fleet in a temporary folder."""

    async def run_test() -> None:
        """Cancel the members at the end of the test."""
        with TemporaryDirectory() as root, fail_after(TIMEOUT_SECONDS):
            async with create_task_group() as group:
                await test(Fleet(Path(root), group))
                group.cancel_scope.cancel()

    run(run_test)


class ConfigurationTest(CaseTest):
    """An acknowledged configuration is never lost."""

    def test_highest_version_wins_and_first_of_equal_versions(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            self.assertEqual(await fleet.store(document(3, "first")), 3)
            self.assertEqual(await fleet.store(document(3, "second")), 3)
            self.assertEqual(await fleet.store(document(2)), 3)
            self.assertEqual(await fleet.read(), document(3, "first"))
            with self.assertRaises(InvalidConfigurationError):
                await fleet.first().store(b"{}")

        run_with_fleet(test)

    def test_leader_failure_then_power_loss_of_all_members(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            lost = fleet.leader()
            await fleet.stop(lost)
            await fleet.store(document(2))
            fleet.start(lost)
            self.assertEqual(await fleet.read(), document(2))
            for name in "abc":
                await fleet.stop(name)
            for name in "abc":
                fleet.start(name)
            self.assertEqual(await fleet.read(), document(2))

        run_with_fleet(test)

    def test_lost_disk_of_the_leader_with_power_loss_of_all_members(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(5))
            lost = fleet.leader()
            for name in "abc":
                await fleet.stop(name)
            for name in "abc":
                fleet.start(name, folder="new" if name == lost else "")
            self.assertEqual(await fleet.read(), document(5))
            await fleet.until(lambda: fleet.is_voter(lost))
            members = fleet.first().core.members
            self.assertEqual(len(members), 3)

        run_with_fleet(test)

    def test_minority_refuses_reads_and_writes(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(5))
            for name in "ab":
                await fleet.stop(name)
            last = fleet.member_by_name["c"].process
            with self.assertRaises(UnavailableError):
                await last.read()
            with self.assertRaises(UnavailableError):
                await last.store(document(6))

        run_with_fleet(test)

    def test_members_move_to_other_addresses(self) -> None:
        """Each founder is replaced by a new member, one after the other."""

        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            for version, (old, new) in enumerate(zip("abc", "def", strict=True), 2):
                fleet.address_by_name[new] = free_address()
                fleet.start(new)
                await fleet.until(lambda new=new: fleet.is_voter(new))  # type: ignore[misc]
                await fleet.stop(old)
                await fleet.store(document(version))
                await fleet.until(
                    lambda: (
                        bool(fleet.leader()) and len(fleet.first().core.members) == 3
                    )
                )
            self.assertEqual(await fleet.read(), document(4))

        run_with_fleet(test)


@define
class Listener:
    """Stores the updates that a watcher receives."""

    versions: list[int] = field(factory=list)
    state_by_id: dict[str, EndpointState] = field(factory=dict)
    born_by_id: dict[str, int] = field(factory=dict)
    router_count: int = 0
    usage_number: int = -1
    orders: EvacuationOrders = EvacuationOrders(-1)

    def apply_configuration(self, version: int, document: str) -> None:
        """Store a version."""
        self.versions.append(version)

    def apply_evacuations(self, orders: EvacuationOrders) -> None:
        """Store the orders of evacuation."""
        self.orders = orders

    def apply_announcements(self, announcements: list[Announcement]) -> None:
        """Store the states of endpoints."""
        for announcement in announcements:
            self.state_by_id[announcement.endpoint_id] = announcement.state
            self.born_by_id[announcement.endpoint_id] = announcement.born_ms

    def apply_expired(self, announcements: list[Announcement]) -> None:
        """Forget endpoints."""
        for announcement in announcements:
            self.state_by_id.pop(announcement.endpoint_id, None)

    def apply_usage(self, update: UsageUpdate) -> None:
        """Store the number of the newest state of the sums."""
        self.usage_number = update.number

    def update_router_count(self, count: int) -> None:
        """Store the number of routers."""
        self.router_count = count


async def deregister(member: Member, endpoint_id: str) -> bool:
    """Deregister an endpoint without a start time; return whether it was accepted."""
    try:
        await member.process.endpoints.deregister(endpoint_id, None)
    except UnavailableError:
        return False
    return True


class WatchTest(CaseTest):
    """Watchers receive every update, whichever member received it first."""

    def test_configurations_and_endpoints(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            listener = Listener()
            watcher = RegistryWatcher(
                MemberChoice("router", "north", lambda: fleet.seeds[:1]),
                PeerClient(),
                listener,
                make_discarding_logger("router"),
            )
            fleet.group.start_soon(watcher.run)
            await fleet.store(document(4))
            await fleet.until(lambda: listener.versions == [4])
            announcement = Announcement(
                "e1", 9, 1, EndpointState.READY, "s", "10.0.0.1:80", "north"
            )
            await fleet.member_by_name["b"].process.endpoints.announce(announcement)
            await fleet.until(
                lambda: listener.state_by_id == {"e1": EndpointState.READY}
            )
            # Member c may not know the endpoint yet; then it refuses.
            with fail_after(5):
                while not await deregister(fleet.member_by_name["c"], "e1"):
                    await sleep(0.01)
            await fleet.until(
                lambda: listener.state_by_id == {"e1": EndpointState.GONE}
            )
            self.assertEqual(listener.born_by_id, {"e1": 9})
            await fleet.until(lambda: listener.router_count == 1)
            await fleet.stop(fleet.leader())
            await fleet.store(document(6))
            await fleet.until(lambda: listener.versions == [4, 6])

        run_with_fleet(test)
