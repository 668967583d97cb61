"""A model engine as PROTOCOL.md tells it, as a task of the test's process."""

import asyncio
import json
import time
from collections.abc import Callable


class Run:
    """A request that the engine works on."""

    def __init__(self, request_id: str, last: int) -> None:
        """Begin after an event."""
        self.request_id, self.events, self.first = request_id, last, last


class Engine:
    """Serves streams, its report and its health; announces itself.

    A share of the answers is lost while `loses_share` is above 0: the engine runs these
    requests, and their connections stay silent.
    """

    def __init__(
        self,
        record: Callable[[str], None],
        name: str,
        host: str,
        port: int,
        service: str,
        version: str,
        zone: str,
        controls: list[tuple[str, int]],
        call: Callable,
        events: int = 24,
        gap: float = 0.05,
        first: float = 0.025,
    ) -> None:
        """Take over the address; the engine is not started yet."""
        self.record, self.name, self.host, self.port = record, name, host, port
        self.service, self.version, self.zone = service, version, zone
        self.controls, self.call = controls, call
        self.events, self.gap, self.first = events, gap, first
        self.runs: dict[int, Run] = {}
        self.loses_share = 0.0
        self.lost: set[str] = set()
        self.seen = 0
        self.clock_ahead = 0.0
        self.state = "ready"
        self.born = 0
        self.sequence = 0
        self.began: list[tuple[str, float]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start as a new incarnation, by the clock of its machine."""
        self.born = int((time.time() + self.clock_ahead) * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.tasks = [asyncio.create_task(self._announce())]
        self.record(f"engine {self.name} ({self.version}) starts, born {self.born}")

    async def stop(self) -> None:
        """Crash: reset all connections."""
        for task in self.tasks:
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def drain(self) -> float:
        """Report `draining`; return when that was acknowledged."""
        self.state = "draining"
        while not await self._beat():
            await asyncio.sleep(0.1)
        self.record(f"engine {self.name}: draining is acknowledged")
        return time.monotonic()

    async def _announce(self) -> None:
        while True:
            await self._beat()
            await asyncio.sleep(1.2)

    async def _beat(self) -> bool:
        """Send a heartbeat; return whether one of the processes acknowledged it."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": 64,
                "state": self.state,
                "coldLeftMs": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()
        for host, port in self.controls:
            status, _ = await self.call(
                host, port, "PUT", f"/api/instances/{self.name}", body
            )
            if 200 <= status < 300:
                return True
        return False

    def _report(self) -> bytes:
        runs = [[r.request_id, 800 + r.events, r.events, 0] for r in self.runs.values()]
        return json.dumps(
            {
                "born": self.born,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "waiting": 0,
                "running": len(runs),
                "kvUsed": 900 * len(runs),
                "kvTotal": 357467,
                "handles": 0,
                "state": self.state,
                "nextToken": 0,
                "pinned": 0,
                "held": 0,
                "runs": runs,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, _, value = line.partition(":")
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self._answer(method, path, headers, body, reader, writer):
                    return
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def _plain(self, status: str, body: bytes, more: str = "") -> bytes:
        return (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{more}"
            f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def _answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if path == "/api/report":
            writer.write(self._plain("200 OK", self._report()))
            return True
        if path == "/health":
            writer.write(self._plain("200 OK", b"{}", f"Instance-Id: {self.name}\r\n"))
            return True
        request_id = headers.get("request-id", "")
        own = f"Request-Id: {request_id}\r\n"
        if self.state == "draining":
            own += "Server-Leaving: 1\r\n"
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(self._plain("421 Other", b"", own + "Not-Run: 1\r\n"))
            return True
        if not request_id:
            writer.write(self._plain("400 No Id", b"", "Not-Run: 1\r\n"))
            return True
        return await self._stream(request_id, headers, reader, writer, own)

    async def _stream(
        self,
        request_id: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: str,
    ) -> bool:
        last = int(headers.get("last-event-id", "0"))
        run = Run(request_id, last)
        self.runs[id(run)] = run
        self.began.append((request_id, time.monotonic()))
        self.record(
            f"engine {self.name} ({self.version}) runs {request_id} from {last}"
        )
        self.seen += 1
        # Every second or third request, so that the share is exact.
        before = int((self.seen - 1) * self.loses_share)
        is_lost = int(self.seen * self.loses_share) > before
        if is_lost:
            self.lost.add(request_id)
            self.record(f"engine {self.name}: the answer to {request_id} is lost")
        left = asyncio.create_task(reader.read(1))
        try:
            await self._pause(self.first, left)
            if not is_lost:
                stamp = f"Server-Stamp: {self.name}.{self.version}.{request_id}\r\n"
                writer.write(
                    (
                        "HTTP/1.1 200 OK\r\n"
                        f"Content-Type: text/event-stream\r\n{own}{stamp}"
                        "Weights-Versions: 1\r\nKeep-Alive: timeout=10\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                    ).encode()
                )
            while run.events < self.events:
                run.events += 1
                event = f"id: {run.events}\ndata: {self.version} {run.events}\n\n"
                if not is_lost:
                    writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                    await writer.drain()
                await self._pause(self.gap, left)
            if is_lost:
                # Nothing comes on this connection any more.
                await left
                return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        except ConnectionError:
            return False
        finally:
            left.cancel()
            self.runs.pop(id(run), None)
            self.record(f"engine {self.name} ends {request_id} at event {run.events}")

    async def _pause(self, seconds: float, left: asyncio.Task) -> None:
        """Wait; raise ConnectionError if the connection is closed meanwhile."""
        done, _ = await asyncio.wait([left], timeout=seconds)
        if done:
            raise ConnectionError
