"""An acknowledged leaving is forgotten when all processes are killed (DRAIN)."""

import asyncio
import json
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet import (  # noqa: E402
    BOUNDS,
    CONTROL_PORT,
    FRONT_PORT,
    Engine,
    Fleet,
    call,
    configuration,
    main,
    new_request_id,
    plain_service,
    request_headers,
    route,
)

FRONTS = 3
CLIENTS = 4
DOWN_SECONDS = 0.5
# The last heartbeat before the leaving arrives so late.
LATE_SECONDS = 3.0
# The engine serves on for so long after its leaving was acknowledged.
SERVES_ON_SECONDS = 11.0
# A machine counts as in touch so long after its start, with half a second to spare:
# twice `contactMs`, as most of the core was taken.
TOUCH_SECONDS = 2 * BOUNDS["contactMs"] / 1000 + 0.5
DRAIN_SECONDS = BOUNDS["drainMs"] / 1000


class LeavingEngine(Engine):
    """An engine that leaves without a word of draining, by DELETE."""

    async def leave(self) -> float:
        """Send the last heartbeat, which is late, and leave; return when acknowledged.

        After it the engine sends no more heartbeats.
        """
        assert self._beats is not None
        self._beats.cancel()
        body = json.dumps(self.announcement()).encode()
        task = asyncio.create_task(self._deliver(body, LATE_SECONDS))
        self._late.add(task)
        node = random.randrange(1, 4)
        while True:
            response = await call(
                f"{self.fleet.core_ip(node)}:{CONTROL_PORT}",
                "DELETE",
                f"/api/instances/{self.endpoint_id}",
                {"Host": "control"},
                b"",
                1.0,
            )
            self.record.write(f"{self.name} leaves at core-{node}: {response.status}")
            if response.is_whole and 200 <= response.status < 300:
                return self.record.now()
            node = node % 3 + 1


async def client(fleet: Fleet, until: float) -> None:
    """Send requests until a time."""
    while fleet.record.now() < until:
        front = random.randrange(1, FRONTS + 1)
        request_id = new_request_id()
        sent_at = fleet.record.now()
        response = await call(
            f"{fleet.front_ip(front)}:{FRONT_PORT}",
            "GET",
            "/look/stock",
            request_headers(request_id),
            b"",
            5.0,
        )
        fleet.record.write(
            f"client sent {request_id} at {sent_at:.3f} to front-{front}: "
            f"{response.status} {response.end}"
        )
        await asyncio.sleep(0.05)


async def kill_all(fleet: Fleet) -> float:
    """Kill all processes at the same moment, start them again; return when."""
    names = list(fleet.process_by_name)
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    for name in names:
        await fleet.process_by_name[name].wait()
    await asyncio.sleep(DOWN_SECONDS)
    for name in names:
        await fleet.restart(name)
    return fleet.record.now()


async def case(fleet: Fleet, has_trouble: bool) -> str:
    """Return why the rule was broken; empty if it held."""
    await fleet.start_core()
    await fleet.start_fronts(FRONTS)
    look = route("look", "idempotent", "desk", maxAttempts=2)
    await fleet.put_configuration(configuration(3, [look], [plain_service("desk")]))
    leaving = LeavingEngine(fleet, 1, "desk", slots=6)
    engines = [leaving, Engine(fleet, 2, "desk", slots=6), Engine(fleet, 3, "desk")]
    for engine in engines:
        await engine.start()
    for number in range(1, FRONTS + 1):
        await fleet.wait_ready(number)
    await asyncio.sleep(2.0)
    ends_at = fleet.record.now() + 20.0
    tasks = [asyncio.create_task(client(fleet, ends_at)) for _ in range(CLIENTS)]
    await asyncio.sleep(4.0)
    left_at = await leaving.leave()
    judged_from = left_at + DRAIN_SECONDS
    if has_trouble:
        started_at = await kill_all(fleet)
        judged_from = max(judged_from, started_at + TOUCH_SECONDS)
    await asyncio.sleep(left_at + SERVES_ON_SECONDS - fleet.record.now())
    await leaving.crash()
    await asyncio.gather(*tasks)
    late = [at for at, _ in leaving.runs if at > judged_from]
    fleet.record.write(
        f"leaving acknowledged at {left_at:.3f}, judged from {judged_from:.3f}: "
        f"{len(late)} requests reached the engine"
    )
    if not late:
        return ""
    return (
        f"{len(late)} requests reached an engine later than {DRAIN_SECONDS:g} s after "
        f"its leaving was acknowledged, up to {late[-1] - left_at:.1f} s after it"
    )


main(case, FOLDER)
