"""Streams that had just begun when all processes were killed are taken up again."""

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from signal import SIGKILL  # noqa: E402

from client_3 import Try, attempt  # noqa: E402
from engine_3 import Engine  # noqa: E402
from rig_3 import CONFIGURATION, Record, Rig, call, run_case  # noqa: E402

STREAMS = 24
# The rule counts 12 or more streams.
FEWEST = 12
BEGIN_SECONDS = 0.2
KILL_AFTER_SECONDS = 0.3
DOWN_SECONDS = 0.7
# Machines are in touch from twice `contactMs` after a final fault on.
IN_TOUCH_SECONDS = 6.0
TRIES = 3
TRY_PAUSE_SECONDS = 1.0
DEADLINE_MS = 15_000


async def main(record: Record, trouble: bool) -> bool:  # noqa: C901
    """Play the case; return whether the rule was broken."""
    rig = Rig(record, controls=3, routers=2, sidecars=3)
    engines = [
        Engine(
            record,
            f"i-{process.name}",
            process.ip,
            rig.app_port,
            "modelo",
            "v1",
            process.zone,
            rig.control_addresses(),
            call,
            events=60,
            gap=0.2,
        )
        for process in rig.sidecars
    ]
    document = copy.deepcopy(CONFIGURATION)
    document["routes"][0]["timeoutMs"] = DEADLINE_MS
    loop = asyncio.get_running_loop()
    taken_up: list[Try] = []
    begun: list[Try] = []

    async def stream(number: int) -> Try:
        await asyncio.sleep(BEGIN_SECONDS * number / STREAMS)
        router = rig.routers[number % 2]
        prompt = {"Prompt-Prefix": f"aa0{number % 8}:500,{number:08x}:300"}
        return await attempt(
            record, router.ip, rig.front_port, prompt, deadline_ms=DEADLINE_MS
        )

    async def take_up(number: int, first: Try, ends_at: float) -> None:
        more = {
            "Prompt-Prefix": f"aa0{number % 8}:500,{number:08x}:300",
            "Resumes": first.request_id,
            "Last-Event-Id": str(first.events[-1][0]),
        }
        for turn in range(TRIES):
            left_ms = int(1000 * (ends_at - loop.time()))
            if left_ms < 1000:
                break
            router = rig.routers[(number + turn) % 2]
            one = await attempt(
                record, router.ip, rig.front_port, more, deadline_ms=left_ms
            )
            if one.events or turn == TRIES - 1:
                break
            await asyncio.sleep(TRY_PAUSE_SECONDS)
        taken_up.append(one)

    async def begin(number: int) -> None:
        begun.append(await stream(number))

    try:
        rig.start()
        await rig.configure(document)
        for engine in engines:
            await engine.start()
        await rig.wait_ready()
        # The members have heard of the engines for long.
        await asyncio.sleep(8.0)
        started_at = loop.time()
        running = [asyncio.create_task(stream(number)) for number in range(STREAMS)]
        if trouble:
            await asyncio.sleep(KILL_AFTER_SECONDS)
            for process in rig.processes:
                process.signal(SIGKILL)
            await asyncio.sleep(DOWN_SECONDS)
            rig.start()
        firsts = await asyncio.gather(*running)
        if trouble:
            back_at = started_at + KILL_AFTER_SECONDS + DOWN_SECONDS
            await asyncio.sleep(max(0.0, back_at + IN_TOUCH_SECONDS - loop.time()))
        ends_at = started_at + DEADLINE_MS / 1000
        broken = [
            (number, one)
            for number, one in enumerate(firsts)
            if one.events and not one.is_whole
        ]
        await asyncio.gather(
            *(take_up(number, one, ends_at) for number, one in broken),
            *(begin(number) for number in range(STREAMS)),
        )
    finally:
        for engine in engines:
            await engine.stop()
        rig.stop()
    went_on = sum(bool(one.events) for one in taken_up)
    new = sum(bool(one.events) for one in begun)
    text = (
        f"{len(taken_up)} streams taken up again, {went_on} went on; "
        f"{len(begun)} new ones, {new} begun"
    )
    record(text)
    print(text)
    if len(taken_up) < FEWEST:
        return False
    return 2 * went_on * len(begun) < new * len(taken_up)


if __name__ == "__main__":
    run_case(main)
