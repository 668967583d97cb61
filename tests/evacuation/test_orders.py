"""Orders of evacuation in the replicated state, at whole members and watchers."""

from random import Random

from anyio import fail_after, run, sleep
from attrs import evolve
from nose2.tools import params
from orjson import dumps, loads

from pistachiolever.control.commands import (
    Command,
    EndEvacuation,
    StartEvacuation,
    decode_command,
    encode_command,
)
from pistachiolever.control.state import ControlState
from pistachiolever.edge.errors import PeerError
from pistachiolever.edge.peers import PeerClient
from pistachiolever.evacuation.models import EvacuationOrders
from pistachiolever.http1.models import Header, RequestHead
from pistachiolever.http1.server import HttpServer
from pistachiolever.platform.control import ControlApi
from pistachiolever.registry.const import QUORUM_CONTACT_SECONDS
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.models import WatchReply, WatchRequest
from pistachiolever.registry.watcher import RegistryWatcher
from tests.registry.test_process import (
    Fleet,
    Listener,
    document,
    make_discarding_logger,
    run_with_fleet,
)
from tests.registry.test_watch_service import make_service, watch
from tests.support.addresses import free_address
from tests.support.cases import CaseTest

# An operator resends for 5 s, and each member answers within about 0.85 s.
RESENDS = 6
START, END = StartEvacuation("north"), EndEvacuation("north")


class StateTest(CaseTest):
    """Commands may come again, and a snapshot keeps the orders."""

    # A resent order must neither undo another one nor count as news to routers.
    @params(
        ("started", [START], 1, ["north"]),
        ("resent", [START, START], 1, ["north"]),
        ("revoked", [START, END], 2, []),
        ("revocation resent", [START, END, END], 2, []),
        ("ordered again", [START, END, START], 3, ["north"]),
        ("never started", [END], 0, []),
        ("two", [START, StartEvacuation("a/b")], 2, ["a/b", "north"]),
    )
    def test_commands(
        self, name: str, commands: list[Command], revision: int, domains: list[str]
    ) -> None:
        state, restored = ControlState(1.0), ControlState(1.0)
        for command in commands:
            state.apply(decode_command(encode_command(command)))
        restored.load(state.dump())
        for orders in (state.evacuations, restored.evacuations):
            self.assertEqual(orders, EvacuationOrders(revision, domains), name)

    def test_snapshot_of_an_earlier_version(self) -> None:
        fields = loads(ControlState(1.0).dump())
        del fields["evacuations"]
        state = ControlState(1.0)
        state.load(dumps(fields).decode())
        self.assertEqual(state.evacuations, EvacuationOrders())


class WatchReplyTest(CaseTest):
    """What a member tells watchers of evacuations."""

    # A member out of touch would tell a restarted router of orders long revoked.
    @params(
        ("restarted router", -1, 0.0, True),
        ("older orders", 0, 0.0, True),
        ("same orders", 1, 0.0, False),
        ("newer orders", 2, 0.0, False),
        ("earlier version", None, 0.0, False),
        ("member out of touch", -1, QUORUM_CONTACT_SECONDS + 0.1, False),
    )
    def test_reply(self, name: str, known: int | None, age: float, sent: bool) -> None:
        clock = [1.0]
        service = make_service(clock)
        service.state.apply(START)
        clock[0] += age
        reply = watch(service, WatchRequest("r", 4, evacuations=known))
        expected = EvacuationOrders(1, ["north"]) if sent else None
        self.assertEqual(reply.evacuations, expected, name)


class RepliesClient(PeerClient):
    """Answers watch calls with prepared replies."""

    replies: list[WatchReply]

    async def call(self, *_: object) -> WatchReply:  # type: ignore[override]
        """Return the next reply; raise PeerError after the last one."""
        if not self.replies:
            raise PeerError("no more replies", False)
        return self.replies.pop(0)


class WatcherTest(CaseTest):
    """A restarted router takes a configuration only with the orders."""

    def test_configuration_without_orders_is_not_applied(self) -> None:
        bare = WatchReply("life", 0, [], 1, 4, "{}")
        whole = evolve(bare, evacuations=EvacuationOrders(3, ["north"]))
        for replies, versions in (([bare], []), ([bare, whole], [4])):
            with self.subTest(len(replies)):
                listener, client = Listener(), RepliesClient()
                client.replies = list(replies)
                watcher = RegistryWatcher(
                    MemberChoice("r", "", lambda: ["m:1"]),
                    client,
                    listener,
                    make_discarding_logger("r"),
                )

                async def watch_for_a_moment(watcher: RegistryWatcher) -> None:
                    with fail_after(0.5):
                        await watcher.run()

                with self.assertRaises(TimeoutError):
                    run(watch_for_a_moment, watcher)
                self.assertEqual(listener.versions, versions)


async def resend_order(addresses: list[str], method: bytes, zone: bytes) -> int:
    """Send an order as operators do, again after a 503; return the last status."""
    for attempt in range(RESENDS):
        status = await order(addresses[attempt % len(addresses)], method, zone)
        if status != 503:
            break
    return status


async def order(address: str, method: bytes, zone: bytes) -> int:
    """Send an operator's order; return the status."""
    headers: list[Header] = [(b"host", b"x")]
    request = RequestHead(method, b"/api/evacuate/" + zone, headers)
    head, _ = await PeerClient().exchange(address, request, b"", 5.0)
    return head.status


async def serve_operators(fleet: Fleet) -> list[str]:
    """Serve operators at each running member; return the addresses."""
    addresses: list[str] = []
    for member in fleet.member_by_name.values():
        addresses.append(free_address())
        api = ControlApi(member.process, 7400)
        fleet.group.start_soon(HttpServer(addresses[-1], api.handle).serve)
    await sleep(0.05)
    return addresses


class MemberTest(CaseTest):
    """Orders through any member, over loopback."""

    def test_acknowledged_order_survives_power_loss_and_a_lost_disk(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            addresses = await serve_operators(fleet)
            for zone in (b"north", b"south", b"gone"):
                self.assertEqual(await resend_order(addresses, b"POST", zone), 200)
            self.assertEqual(await resend_order(addresses, b"DELETE", b"gone"), 200)
            for name in "abc":
                await fleet.stop(name)
            fleet.start("a", folder="empty")
            fleet.start("b")
            fleet.start("c")
            listener = Listener()
            watcher = RegistryWatcher(
                MemberChoice("r", "", lambda: fleet.seeds),
                PeerClient(),
                listener,
                make_discarding_logger("r"),
            )
            fleet.group.start_soon(watcher.run)
            await fleet.until(lambda: listener.versions == [1])
            self.assertEqual(listener.orders, EvacuationOrders(4, ["north", "south"]))

        run_with_fleet(test)

    def test_calls_of_operators(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            addresses = await serve_operators(fleet)
            for method, zone, status in (
                (b"POST", b"north", 200),
                (b"POST", b"north", 200),
                (b"POST", b"caf%C3%A9%2F1", 200),
                (b"POST", b"gone", 200),
                (b"DELETE", b"gone", 200),
                (b"DELETE", b"never", 200),
                (b"POST", b"x" * 200, 200),
                (b"DELETE", b"x" * 200, 200),
                (b"POST", b"x" * 201, 400),
                (b"POST", b"", 400),
                (b"DELETE", b"", 400),
                (b"POST", b"%FF", 400),
                (b"PUT", b"north", 404),
            ):
                Random(zone).shuffle(addresses)
                with self.subTest(method=method, zone=zone):
                    found = await resend_order(addresses, method, zone)
                    self.assertEqual(found, status)
            states = [m.process.state for m in fleet.member_by_name.values()]
            expected = ["café/1", "north"]
            await fleet.until(
                lambda: all(state.evacuations.domains == expected for state in states)
            )

        run_with_fleet(test)

    def test_order_without_a_quorum_is_not_acknowledged(self) -> None:
        async def test(fleet: Fleet) -> None:
            await fleet.start_founders()
            await fleet.store(document(1))
            await fleet.stop("b")
            await fleet.stop("c")
            address = (await serve_operators(fleet))[0]
            self.assertEqual(await order(address, b"POST", b"north"), 503)

        run_with_fleet(test)
