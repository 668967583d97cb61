"""All processes are killed while streams run, and clients take the streams up again."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

ENGINES, STREAMS, EVENTS, PAUSE = 3, 24, 64, 0.21
DEADLINE, KILLED_AFTER, DOWN_SECONDS, CONTACT_SECONDS = 15.0, 1.5, 0.7, 3.0
# Pauses before the further tries of a client; `Retry-After` makes them longer.
PAUSES = (0.5, 2.0, 6.0)


class ModelEngine(r.Engine):
    """Writes streams, and goes on after `Last-Event-Id`."""

    async def answer(self, writer, method, path, headers, body):
        """Run a request as a stream."""
        first = int(headers.get("last-event-id", "0")) + 1
        self.rig.note(f"run {headers['request-id']} at {self.id} from {first}")
        await self.stream(writer, headers, first, EVENTS, PAUSE, self.version)


class Streams:
    """The tries of clients, and the last event of each stream that has begun."""

    def __init__(self):
        """Start with none."""
        self.tries, self.last = [], {}


async def client(rig, streams):
    """Send a request; take its stream up again until the deadline."""
    begun, last = "", 0
    until = rig.now() + DEADLINE
    parts = [("5c1e07a2", 400), (f"{random.getrandbits(32):08x}", 200)]
    for pause in (0.0, *PAUSES):
        await asyncio.sleep(pause)
        left = until - rig.now()
        if left < 0.5:
            return
        headers = r.prompt_headers(parts, int(left * 1000))
        if last:
            headers |= {"Last-Event-Id": str(last), "Resumes": begun}
        sent_at, after, buffer = rig.now(), last, b""

        def take(data, sent_id=headers["Request-Id"]):
            nonlocal buffer, last, begun
            buffer += data
            while b"\n\n" in buffer:
                event, _, buffer = buffer.partition(b"\n\n")
                last = int(event.split(b"\n")[0][4:])
                begun = begun or sent_id
                streams.last[begun] = last

        front = random.randrange(1, 3)
        answer = await r.ask(
            rig.front(front), "POST", "/m/1", headers, b"x", left, take
        )
        rig.note(
            f"{headers['Request-Id']} to front-{front} after event {after} sent at "
            f"{sent_at:.3f}: {answer.status} {answer.end}, last event {last}"
        )
        streams.tries.append((sent_at, after, begun))
        if answer.end == "whole" and answer.status == 200:
            return
        asked = float(answer.headers.get("retry-after", 0.0))
        if pause < asked <= (until - rig.now()) / 3:
            await asyncio.sleep(asked - pause)


async def case(rig, trouble):
    """Kill all processes while streams run; send new ones, too."""
    sides = [f"side-{n}" for n in range(1, ENGINES + 1)]
    own = ["core-1", "core-2", "core-3", "front-1", "front-2", *sides]
    for name in own:
        kind, _, number = name.partition("-")
        await rig.start(kind, int(number))
    await rig.put(r.configuration(1, [r.route("m", "pool")], ["pool"]))
    engines = [ModelEngine(rig, n, "pool") for n in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    await rig.wait_ready(1, 2)
    # By now the members know the engines for longer than any stream may last.
    await asyncio.sleep(32)
    streams = Streams()
    clients = [asyncio.create_task(client(rig, streams)) for _ in range(STREAMS)]
    await asyncio.sleep(KILLED_AFTER)
    in_touch_from = 0.0
    if trouble:
        await rig.kill(*own)
        await asyncio.sleep(DOWN_SECONDS)
        for name in own:
            kind, _, number = name.partition("-")
            await rig.start(kind, int(number), bootstrap=False)
        # Twice the span: the final fault took the core, too.
        in_touch_from = rig.now() + 2 * CONTACT_SECONDS
        await asyncio.sleep(2 * CONTACT_SECONDS + 1)
    new = Streams()
    others = [asyncio.create_task(client(rig, new)) for _ in range(STREAMS)]
    await asyncio.gather(*clients)
    await asyncio.sleep(3)
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return judge(rig, streams, new, in_touch_from)


def judge(rig, streams, new, in_touch_from):
    """Compare the streams that go on with the new ones that begin."""
    taken_up, went_on = set(), set()
    for sent_at, after, begun in streams.tries:
        if after and sent_at > in_touch_from:
            taken_up.add(begun)
            if streams.last[begun] > after:
                went_on.add(begun)
    began = len(new.last)
    rig.note(
        f"{len(taken_up)} streams were taken up again at machines in touch, "
        f"{len(went_on)} went on; {began} of {STREAMS} new ones began"
    )
    if len(taken_up) < 12:
        rig.note("fewer than 12 streams were taken up again")
        return False
    return len(went_on) / len(taken_up) < began / STREAMS / 2


r.run_case(case, Path(__file__).resolve().parent)
