"""Cost of a record that a stream waits for, with three members on this machine.

Run: python -m benchmarks.stream_records. Prints one JSON object. The streams come one
by one; the members and the router share one process and its processor time. The disks
are folders in the temporary folder of this machine.
"""

import json
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import process_time
from typing import Final

from anyio import create_task_group, current_time, run, sleep

from pistachiolever.control.storage import FolderDisk, LogStorage
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.logger import EventLogger
from pistachiolever.http1.server import HttpServer
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.registry.settings import RegistrySettings
from pistachiolever.registry.stream_recorder import MemberRecorder
from pistachiolever.streams.models import StreamOrigin, StreamReport, stream_key
from tests.support.addresses import free_address, wait_until_listening

MEMBERS: Final = 3
# Records a second and member at the size of docs/CAPACITY.md.
STREAMS_PER_SECOND: Final = 61
PLAYED_SECONDS: Final = 15.0
# Until the members have elected a leader.
START_SECONDS: Final = 3.0
LEFT_MS: Final = 22_000


def make_member(seeds: list[str], number: int, folder: Path) -> RegistryProcess:
    """Return a member on a folder of its own."""
    name = f"m{number}"
    settings = RegistrySettings(name, seeds[number], seeds, str(folder / name), True)
    return RegistryProcess(
        settings,
        LogStorage(FolderDisk(folder / name)),
        lambda _document: 1,
        EventLogger(name, lambda: 0, lambda _line: None),
        Random(number),
    )


async def measure(folder: Path) -> dict[str, float]:
    """Return the figures of a run."""
    seeds = [free_address() for _ in range(MEMBERS)]
    recorder = MemberRecorder(
        PeerClient(), MemberChoice("r", "", lambda: seeds), current_time
    )
    delays: list[float] = []
    outcomes: list[bool] = []

    async def record(number: int) -> None:
        """Record one stream."""
        report = StreamReport([StreamOrigin("service", "v2")], LEFT_MS)
        started_at = current_time()
        key = stream_key("account", str(number))
        outcomes.append(await recorder.record(key, report))
        delays.append(current_time() - started_at)

    async with create_task_group() as group:
        for number, address in enumerate(seeds):
            member = make_member(seeds, number, folder)
            group.start_soon(member.run)
            group.start_soon(HttpServer(address, member.api().handle).serve)
            await wait_until_listening(address)
        group.start_soon(recorder.run)
        await sleep(START_SECONDS)
        idle_before = process_time()
        await sleep(PLAYED_SECONDS)
        idle, busy_before = process_time() - idle_before, process_time()
        count = round(STREAMS_PER_SECOND * PLAYED_SECONDS)
        for number in range(count):
            group.start_soon(record, number)
            await sleep(1 / STREAMS_PER_SECOND)
        while len(outcomes) < count:
            await sleep(0.01)
        busy = process_time() - busy_before
        group.cancel_scope.cancel()
    delays.sort()
    written = sum(
        path.stat().st_size for path in folder.glob("*/streams.*") if path.is_file()
    )
    return {
        "streams": count,
        "recorded": sum(outcomes),
        "ms_p50": round(1e3 * delays[count // 2], 2),
        "ms_p95": round(1e3 * delays[count * 95 // 100], 2),
        "ms_longest": round(1e3 * delays[-1], 2),
        "cpu_us_per_stream": round(1e6 * (busy - idle) / count),
        "bytes_per_stream_and_member": round(written / count / MEMBERS, 1),
    }


def main() -> None:
    """Print the figures of a run."""
    with TemporaryDirectory() as folder:
        options = {"use_uvloop": True}
        figures = run(measure, Path(folder), backend_options=options)
        print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
