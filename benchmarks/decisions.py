"""Cost of decisions, messages and memory, measured on the cores without processes.

Run: python -m benchmarks.decisions. Prints one JSON object; docs/CAPACITY.md says
how each figure is used.
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import Final

from pistachiolever.control.attachment import AttachmentTable
from pistachiolever.control.commands import OpenClaim
from pistachiolever.control.coordinator import FleetCoordinator
from pistachiolever.control.directory import Directory
from pistachiolever.control.state import ControlState
from pistachiolever.core.verdict import Verdict
from pistachiolever.declarations.codec import to_text
from pistachiolever.declarations.models import (
    Account,
    Declarations,
    Preset,
    Revision,
    Service,
    ServiceKind,
)
from pistachiolever.router import models as router_messages
from pistachiolever.router.core import RouterCore
from pistachiolever.settings.models import RouterSettings
from pistachiolever.sidecar.grants import GrantTable
from pistachiolever.wire.codec import decode, encode
from pistachiolever.wire.models import (
    AccountService,
    Bid,
    Chunk,
    Chunks,
    EndpointEntry,
    Grant,
    Outcome,
    RouterHeartbeat,
    RouterHeartbeatReply,
    Sender,
    SidecarHeartbeat,
)

SERVICE: Final = "planning"
ACCOUNTS: Final = 1400
SENDER: Final = Sender("router-123", "0" * 32)


def mean_seconds(action: Callable[[], object], times: int) -> float:
    """Return the mean duration of an action in seconds."""
    started = time.perf_counter()
    for _ in range(times):
        action()
    return (time.perf_counter() - started) / times


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of `make` occupies."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    allocated = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del allocated
    return after - before


def revision(accounts: int = ACCOUNTS) -> Revision:
    """Return a revision with the given number of accounts and one service."""
    return Revision.of(
        1,
        Declarations(
            [
                Account(f"account-{n}", [f"{n:064x}"], [SERVICE])
                for n in range(accounts)
            ],
            [Service(SERVICE, ServiceKind.MODEL, True)],
            presets=[
                Preset(
                    "ordinary-day",
                    queue_count_per_account=10**6,
                    queue_bytes_per_account=1 << 30,
                    queue_seconds=86_400,
                )
            ],
        ),
    )


def make_loaded_router(accounts: int, depth: int, endpoints: int = 94) -> RouterCore:
    """Return a router with sessions and `depth` queued requests of each account."""
    settings = RouterSettings(max_queue_bytes=1 << 40)
    core = RouterCore(settings, Random(1), revision(max(accounts, 1)))
    for number in range(endpoints):
        entry = EndpointEntry(f"engine-{number}", SERVICE, "10.0.0.1:7000", "fd-1")
        core.handle(router_messages.SidecarConnected(entry, "i"), 0.0)
    for number in range(accounts * depth):
        core.handle(router_messages.Submit(request(number, accounts)), 0.001)
    return core


def request(number: int, accounts: int) -> router_messages.CallerRequest:
    """Return a request with an input of 400 characters."""
    return router_messages.CallerRequest(
        f"{number:032x}", f"account-{number % accounts}", SERVICE, "x" * 400, 512, 400
    )


def decision_seconds(depth: int) -> float:
    """Return the seconds of all router decisions for a request, under a backlog.

    One cycle: a request is submitted, a grant dispatches the oldest request of the
    account with the least service, a chunk of its answer arrives, then the last one.
    """
    core = make_loaded_router(ACCOUNTS, depth)
    number = ACCOUNTS * depth
    cycles = 3000
    now = 1.0
    started = time.perf_counter()
    for cycle in range(cycles):
        now += 0.0001
        core.handle(router_messages.Submit(request(number + cycle, ACCOUNTS)), now)
        endpoint_id = f"engine-{cycle % 94}"
        grant = Grant(f"{cycle:032x}", "account-0")
        sent = core.handle(router_messages.FromSidecar(endpoint_id, grant), now)
        dispatched = next(
            action.request_id
            for action in sent
            if isinstance(action, router_messages.RecordDispatch)
        )
        for chunk in (
            Chunk(dispatched, 1, 1, 20.0, "x"),
            Chunk(dispatched, 2, 2, 300.0, "x", Outcome(Verdict.RAN, True)),
        ):
            core.handle(router_messages.FromSidecar(endpoint_id, Chunks([chunk])), now)
    return (time.perf_counter() - started) / cycles


def accounts_of(count: int, seed: int = 1) -> list[AccountService]:
    """Return random counters of the given number of accounts."""
    rng = Random(seed)
    return [
        AccountService(SERVICE, f"account-{n}", rng.random() * 1e9, True)
        for n in range(count)
    ]


def heartbeat(count: int) -> RouterHeartbeat:
    """Return a router's heartbeat with the given number of accounts."""
    return RouterHeartbeat(SENDER, "10.0.0.1:7000", "fd-1", 9, accounts_of(count), [])


def heartbeat_figures() -> dict[str, float]:
    """Return the size and time of heartbeats, fixed and per account."""
    figures: dict[str, float] = {}
    sizes = {}
    for count in (0, 100):
        coordinator = FleetCoordinator(Directory(4.0, AttachmentTable(3)), -100.0)
        message = heartbeat(count)
        text = encode(message)

        def answer(
            coordinator: FleetCoordinator = coordinator, text: bytes = text
        ) -> RouterHeartbeatReply:
            """Decode a heartbeat, merge it and return the reply."""
            return coordinator.router_heartbeat(
                decode(text, RouterHeartbeat), SENDER, 9, 1.0
            )

        reply = encode(answer())
        sizes[count] = len(text) + len(reply)
        figures[f"hub_heartbeat_{count}_us"] = 1e6 * mean_seconds(
            lambda: encode(answer()), 300
        )
    figures["heartbeat_base_bytes"] = sizes[0]
    figures["heartbeat_bytes_per_account"] = (sizes[100] - sizes[0]) / 100
    return figures


def grant_seconds(routers: int) -> float:
    """Return the seconds that a sidecar takes to select one of the routers' bids."""
    table = GrantTable(2.0)
    rng = Random(2)
    for router in range(routers):
        bids = [Bid(f"a{n}", rng.random() * 1e6, 1.0, 1000) for n in range(8)]
        table.replace_bids(f"router-{router}", bids, 0.0)

    def grant() -> None:
        """Issue and close a grant."""
        table.issue("g", 0.0)
        table.close("g")

    return mean_seconds(grant, 2000)


def make_directory(endpoints: int, routers: int) -> Directory:
    """Return a directory with leases of endpoints and routers."""
    directory = Directory(1e9, AttachmentTable(3))
    for number in range(endpoints):
        entry = EndpointEntry(f"engine-{number}", SERVICE, "10.0.0.1:7000", "fd-1")
        directory.renew_endpoint(SidecarHeartbeat(SENDER, entry, 1, 8, 8, True), 0.0)
    for number in range(routers):
        sender = Sender(f"router-{number}", "i")
        message = RouterHeartbeat(sender, "10.0.0.1:7000", "fd-1", 1, [], [])
        directory.renew_router(message, 0.0)
    return directory


def directory_figures() -> dict[str, float]:
    """Return the costs of a directory with 11,000 endpoints and 350 routers."""
    started = time.perf_counter()
    directory = make_directory(11_000, 350)
    announce = (time.perf_counter() - started) / 11_350
    endpoint_set = directory.endpoint_set_for("router-7", 0.0)
    table = directory.table
    leave = mean_seconds(lambda: table.drop_router("router-7"), 1)
    join = mean_seconds(lambda: table.add_router("router-7"), 1)
    return {
        "first_announce_us": 1e6 * announce,
        "router_leave_11000x350_ms": 1e3 * leave,
        "router_join_11000x350_ms": 1e3 * join,
        "set_for_us": 1e6
        * mean_seconds(lambda: directory.endpoint_set_for("router-7", 0.0), 50),
        "endpoint_set_entries": len(endpoint_set.endpoints),
        "endpoint_set_bytes": len(encode(endpoint_set)),
        "directory_bytes_per_endpoint": allocated_bytes(lambda: make_directory(2000, 1))
        / 2000,
    }


def claim_figures() -> dict[str, float]:
    """Return the time and memory of a claim."""
    state = ControlState(86_400.0)
    count = 20_000

    def claim_all() -> ControlState:
        """Open all claims."""
        for n in range(count):
            state.apply(OpenClaim("acc", SERVICE, f"{n:032x}", "d" * 64, f"{n:x}", 1))
        return state

    claim_bytes = allocated_bytes(claim_all)
    other = ControlState(86_400.0)
    numbers = iter(range(count))

    def claim() -> None:
        """Open one claim."""
        n = next(numbers)
        other.apply(OpenClaim("acc", SERVICE, f"{n:032x}", "d" * 64, f"{n:x}", 1))

    return {
        "claim_bytes": claim_bytes / count,
        "claim_apply_us": 1e6 * mean_seconds(claim, 10_000),
    }


def main() -> None:
    """Print all figures as JSON."""
    figures: dict[str, float] = {}
    for depth in (1, 10, 100):
        key = f"router_decision_us_backlog_{ACCOUNTS * depth}"
        figures[key] = 1e6 * decision_seconds(depth)
    queued_bytes = allocated_bytes(
        lambda: make_loaded_router(1, 2000)
    ) - allocated_bytes(lambda: make_loaded_router(1, 1))
    figures["queued_request_bytes"] = queued_bytes / 1999
    account_bytes = allocated_bytes(
        lambda: make_loaded_router(1000, 1)
    ) - allocated_bytes(lambda: make_loaded_router(100, 1))
    figures["router_account_bytes"] = (
        account_bytes / 900 - figures["queued_request_bytes"]
    )
    figures.update(heartbeat_figures())
    for routers in (1, 3, 10):
        figures[f"grant_us_{routers}_routers"] = 1e6 * grant_seconds(routers)
    figures.update(directory_figures())
    figures.update(claim_figures())
    text = to_text(revision().declarations)
    figures["declarations_bytes_per_account"] = len(text) / ACCOUNTS
    print(json.dumps({name: round(value, 2) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
