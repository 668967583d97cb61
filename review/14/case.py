"""Requests that a router forwards to a sibling which then stands still."""

import asyncio
import copy
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from signal import SIGCONT, SIGSTOP  # noqa: E402

from client_3 import attempt  # noqa: E402
from engine_3 import Engine  # noqa: E402
from rig_3 import CONFIGURATION, Record, Rig, call, run_case  # noqa: E402

TIMEOUT_SECONDS = 1.5
# The rule: eight or more without an answer so long after the timeout of the route, and
# over half of those that were unanswered at the timeout.
MARGIN_SECONDS = 0.5
FEWEST = 8
DEADLINE_MS = 3000
EPISODES = 5
EPISODE_SECONDS = 10.0
FREEZE_SECONDS = 4.0
REQUESTS_PER_SECOND = 90.0
# One router of ten stands still; it is in the zone of the one that the clients use.
FRONT_ZONES = ("recife", "recife", *4 * ("fortaleza", "natal"))
MORE_ROUTES = 1400
STORM_GAP_SECONDS = 0.08
STORM_SECONDS = 2.0


def document(version: int, more_routes: int) -> dict:
    """Return a configuration; the timeout of the route is shorter than deadlines."""
    changed = copy.deepcopy(CONFIGURATION)
    changed["version"] = version
    route = changed["routes"][0]
    route["timeoutMs"] = int(1000 * TIMEOUT_SECONDS)
    for number in range(more_routes):
        more = dict(route, name=f"idle-{number}", pathPrefix=f"/idle{number}/")
        changed["routes"].append(more)
    return changed


async def main(record: Record, trouble: bool) -> bool:  # noqa: C901
    """Play the case; return whether the rule was broken."""
    rig = Rig(record, controls=3, routers=10, sidecars=1, router_zones=FRONT_ZONES)
    engine = Engine(
        record,
        "i-v1",
        rig.sidecars[0].ip,
        rig.app_port,
        "modelo",
        "v1",
        rig.sidecars[0].zone,
        rig.control_addresses(),
        call,
        events=10,
    )
    front, sibling = rig.routers[:2]
    lasted: list[tuple[float, int]] = []
    acknowledged = [0]
    tasks: set[asyncio.Task[None]] = set()
    loop = asyncio.get_running_loop()
    try:
        rig.start()
        await rig.configure(document(3, 0))
        await engine.start()
        await rig.wait_ready()
        await asyncio.sleep(3.0)
        started_at = loop.time()
        version = 10

        async def request() -> None:
            sent_at = loop.time()
            one = await attempt(
                record, front.ip, rig.front_port, {}, deadline_ms=DEADLINE_MS
            )
            lasted.append((loop.time() - sent_at, one.status))

        async def flow() -> None:
            number = 0
            while loop.time() - started_at < EPISODES * EPISODE_SECONDS:
                tasks.add(asyncio.create_task(request()))
                number += 1
                due = started_at + number / REQUESTS_PER_SECOND
                await asyncio.sleep(max(0.0, due - loop.time()))

        async def change(number: int) -> None:
            body = json.dumps(document(number, MORE_ROUTES)).encode()
            for _ in range(5):
                host, port = random.choice(rig.control_addresses())
                status, _ = await call(host, port, "PUT", "/api/config", body)
                if status == 200:
                    acknowledged[0] += 1
                    return

        flowing = asyncio.create_task(flow())
        for episode in range(EPISODES):
            begins_at = started_at + episode * EPISODE_SECONDS + 1.0
            await asyncio.sleep(max(0.0, begins_at - loop.time()))
            if trouble:
                sibling.signal(SIGSTOP)
            frozen_at = loop.time()
            record("operator: changes in quick succession")
            while loop.time() - frozen_at < STORM_SECONDS:
                version += 1
                tasks.add(asyncio.create_task(change(version)))
                await asyncio.sleep(STORM_GAP_SECONDS)
            await asyncio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - loop.time()))
            if trouble:
                sibling.signal(SIGCONT)
        await flowing
        await asyncio.wait(tasks)
    finally:
        await engine.stop()
        rig.stop()
    late = [s for s, _ in lasted if s > TIMEOUT_SECONDS]
    unanswered = [s for s in late if s > TIMEOUT_SECONDS + MARGIN_SECONDS]
    text = (
        f"{len(lasted)} requests, {acknowledged[0]} changes acknowledged; {len(late)} "
        f"without an answer at the timeout, {len(unanswered)} half a second later, the "
        f"longest after {max(s for s, _ in lasted):.2f} s"
    )
    record(text)
    print(text)
    return len(unanswered) >= FEWEST and 2 * len(unanswered) > len(late)


if __name__ == "__main__":
    run_case(main)
