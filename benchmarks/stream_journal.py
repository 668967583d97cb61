"""Cost of the journal of streams at one member, at the size of docs/CAPACITY.md.

Run: python -m benchmarks.stream_journal. Prints one JSON object. The disk is the
temporary folder of this machine.
"""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from time import perf_counter, process_time
from typing import Final

from pistachiolever.control.storage import FolderDisk
from pistachiolever.streams.const import JOURNAL_FILES, JOURNAL_SECONDS
from pistachiolever.streams.journal import StreamJournal
from pistachiolever.streams.models import StreamOrigin, StreamReport, stream_key
from pistachiolever.streams.table import StreamTable

STREAMS_PER_SECOND: Final = 412
SERVICES: Final = 27
LEFT_MS: Final = 22_000
PLAYED_SECONDS: Final = 60


def main() -> None:
    """Write the streams of a minute, then restore them."""
    reports = {
        stream_key("account", str(number)): StreamReport(
            [StreamOrigin(f"service-{number % SERVICES}", "v1.2.3")], LEFT_MS
        )
        for number in range(STREAMS_PER_SECOND * PLAYED_SECONDS)
    }
    keys = list(reports)
    per_write = round(STREAMS_PER_SECOND * JOURNAL_SECONDS)
    journal = StreamJournal(StreamTable())
    written = writes = 0
    cpu = disk_seconds = largest = 0.0
    with TemporaryDirectory() as folder:
        disk = FolderDisk(Path(folder))
        for start in range(0, len(keys), per_write):
            now = writes * JOURNAL_SECONDS
            batch = {key: reports[key] for key in keys[start : start + per_write]}
            news = journal.table.merge(batch, now)
            before = process_time()
            journal.add(news)
            write = journal.next_write(now)
            assert write is not None
            cpu += process_time() - before
            save = disk.replace if write.is_first else disk.append
            before = perf_counter()
            save(write.file, write.data)
            disk_seconds += perf_counter() - before
            journal.handle_written(write)
            written, writes = written + len(write.data), writes + 1
            largest = max(largest, journal.current.size + journal.other.size)
        files = {name: disk.read(name) or b"" for name in JOURNAL_FILES}
        disk.close()
    restored = StreamJournal(StreamTable())
    before = process_time()
    for name, data in files.items():
        restored.restore(name, data, 0.0)
    restore_seconds = process_time() - before
    figures = {
        "streams": len(keys),
        "bytes_per_stream": round(written / len(keys), 1),
        "bytes_per_second": round(written / PLAYED_SECONDS),
        "cpu_us_per_stream": round(1e6 * cpu / len(keys), 2),
        "cpu_share": round(cpu / PLAYED_SECONDS, 5),
        "disk_ms_per_write": round(1e3 * disk_seconds / writes, 3),
        "largest_files_bytes": round(largest),
        "restored_streams": len(restored.table.record_by_key),
        "restore_seconds": round(restore_seconds, 3),
    }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
