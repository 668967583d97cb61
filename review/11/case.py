"""Streams taken up again at another router after answers of one engine were lost."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from signal import SIGKILL  # noqa: E402

from client_3 import Try, attempt  # noqa: E402
from engine_3 import Engine  # noqa: E402
from rig_3 import CONFIGURATION, Record, Rig, call, run_case  # noqa: E402

# More than two streams with events of two versions break the rule.
ALLOWED = 2
EPISODES = 12
LOST_SHARE = 0.4
LOST_SECONDS = 3.0
KILL_AFTER_SECONDS = 1.6
EPISODE_SECONDS = 7.0
STREAMS_PER_SECOND = 36.0


class Crowd:
    """Clients at one router; they take up a broken stream at the other one."""

    def __init__(self, record: Record, rig: Rig) -> None:
        """Begin with all routers up."""
        self.record, self.rig = record, rig
        self.down: set[str] = set()
        self.streams = self.whole = self.taken_up = self.went_on = 0
        self.mixed: list[str] = []

    async def stream(self) -> None:
        """Ask for one stream, and once more if its connection breaks."""
        self.streams += 1
        routers = [r for r in self.rig.routers if r.name not in self.down]
        first = await attempt(self.record, routers[0].ip, self.rig.front_port, {})
        tries = [first]
        if first.how.startswith("cut") and first.events:
            self.taken_up += 1
            other = next(r for r in self.rig.routers if r is not routers[0])
            more = {
                "Resumes": first.request_id,
                "Last-Event-Id": str(first.events[-1][0]),
            }
            second = await attempt(self.record, other.ip, self.rig.front_port, more)
            self.went_on += bool(second.events)
            tries.append(second)
        self.whole += tries[-1].is_whole
        self._check(tries)

    def _check(self, tries: list[Try]) -> None:
        events = [event for one in tries for event in one.events]
        versions = {text.split(" ")[0] for _, text in events}
        if len(versions) > 1:
            self.mixed.append(tries[0].request_id)
            self.record(
                f"client: stream {tries[0].request_id} holds events of {versions}"
            )


async def main(record: Record, trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    rig = Rig(record, controls=3, routers=2, sidecars=2)
    engines = [
        Engine(
            record,
            f"i-{version}",
            process.ip,
            rig.app_port,
            "modelo",
            version,
            process.zone,
            rig.control_addresses(),
            call,
        )
        for version, process in zip(("v1", "v2"), rig.sidecars, strict=True)
    ]
    crowd = Crowd(record, rig)
    tasks: set[asyncio.Task[None]] = set()
    try:
        rig.start()
        await rig.configure(CONFIGURATION)
        for engine in engines:
            await engine.start()
        await rig.wait_ready()
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        async def flow() -> None:
            number = 0
            while loop.time() - started_at < EPISODES * EPISODE_SECONDS:
                tasks.add(asyncio.create_task(crowd.stream()))
                number += 1
                due = started_at + number / STREAMS_PER_SECOND
                await asyncio.sleep(max(0.0, due - loop.time()))

        async def episode(number: int) -> None:
            begins_at = started_at + number * EPISODE_SECONDS + 1.0
            await asyncio.sleep(max(0.0, begins_at - loop.time()))
            record("trouble: engine i-v1 loses answers")
            engines[0].loses_share = LOST_SHARE
            await asyncio.sleep(KILL_AFTER_SECONDS)
            router = rig.routers[0]
            router.signal(SIGKILL)
            crowd.down.add(router.name)
            await asyncio.sleep(0.5)
            router.start()
            await asyncio.sleep(LOST_SECONDS - KILL_AFTER_SECONDS - 0.5)
            engines[0].loses_share = 0.0
            while (await call(router.ip, rig.ready_port, "GET", "/api/ready"))[
                0
            ] != 200:
                await asyncio.sleep(0.1)
            crowd.down.discard(router.name)

        flowing = asyncio.create_task(flow())
        if trouble:
            for number in range(EPISODES):
                await episode(number)
        await flowing
        await asyncio.wait(tasks)
    finally:
        for engine in engines:
            await engine.stop()
        rig.stop()
    lost = sum(len(engine.lost) for engine in engines)
    text = (
        f"{crowd.streams} streams, {crowd.whole} whole, {lost} answers lost, "
        f"{crowd.taken_up} taken up again, {crowd.went_on} went on, "
        f"{len(crowd.mixed)} with events of two versions"
    )
    record(text)
    print(text)
    return len(crowd.mixed) > ALLOWED


if __name__ == "__main__":
    run_case(main)
