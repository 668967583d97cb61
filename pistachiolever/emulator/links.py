"""Emulated network: calls between processes and connections to engines."""

from collections.abc import Callable
from math import inf
from typing import Any, TypeVar

from anyio import Event, current_time, sleep
from attrs import define, field

from pistachiolever.admission.models import EngineReport
from pistachiolever.edge.peers import ConnectionPool, PeerApi, PeerClient
from pistachiolever.emulator.const import EVENT_BATCH_SECONDS, OUTPUT_HEADER
from pistachiolever.emulator.engine import EngineModel, EngineTask
from pistachiolever.emulator.models import Release
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.errors import PeerClosedError
from pistachiolever.http1.models import RequestHead, ResponseHead

T = TypeVar("T")

HEADER_FORMAT = HeaderFormat()


@define
class EmulatedPeerClient(PeerClient):
    """Calls the APIs of emulated processes with a network latency."""

    api_by_address: dict[str, PeerApi] = field(factory=dict)
    latency_seconds: Callable[[str], float] = lambda address: 0.0

    async def call(
        self,
        address: str,
        path: str,
        message: object,
        reply_type: type[T],
        seconds: float,
    ) -> T:
        """Deliver a message and return the reply, each after the latency."""
        route = self.api_by_address[address].route_by_path[path]
        await sleep(self.latency_seconds(address))
        reply: Any = await route.handle(message)
        await sleep(self.latency_seconds(address))
        return reply  # type: ignore[no-any-return]


@define(eq=False)
class EmulatedEngine:
    """Runs an engine model in emulated time and passes tokens to connections."""

    model: EngineModel
    connection_by_request: dict[str, "EmulatedConnection"] = field(factory=dict)
    has_work: Event = field(factory=Event)
    busy_seconds: float = 0.0
    drain_seconds: float = 0.0
    drain_ends_at: float | None = None
    gives_notice: bool = False
    gone: bool = False

    def leave(self, release: Release) -> None:
        """Begin to leave."""
        self.drain_seconds = release.drain_seconds
        self.drain_ends_at = current_time() + release.drain_seconds
        self.gives_notice = release.notices

    def end(self) -> None:
        """Close all connections and accept no more."""
        self.gone = True
        for request_id, connection in list(self.connection_by_request.items()):
            self.drop(request_id)
            connection.has_update.set()

    def count_late(self, router_drain_ends_at: float) -> None:
        """Count a request that comes after the drain time.

        For its router that time began with the first notice it received.
        """
        counters, now = self.model.counters, current_time()
        if self.drain_ends_at is not None and now > self.drain_ends_at:
            counters.late_requests += 1
        if now > router_drain_ends_at:
            counters.disregarding_requests += 1

    def submit(self, task: EngineTask, connection: "EmulatedConnection") -> None:
        """Queue a request whose response goes to a connection."""
        self.connection_by_request[task.request_id] = connection
        self.model.submit(task)
        self.has_work.set()

    def drop(self, request_id: str) -> None:
        """Cancel a request whose connection was closed."""
        if self.connection_by_request.pop(request_id, None) is not None:
            self.model.drop(request_id)

    async def report(self) -> EngineReport:
        """Return the load report that the admission agent polls."""
        return self.model.report()

    async def run(self) -> None:
        """Step the model until cancelled, whenever it has requests."""
        while True:
            if self.model.is_idle:
                self.has_work = Event()
                await self.has_work.wait()
            seconds, progressed = self.model.step(current_time())
            self.busy_seconds += seconds
            await sleep(seconds)
            now = current_time()
            for task in progressed:
                connection = self.connection_by_request.get(task.request_id)
                if connection is None:
                    continue
                is_done = task.generated_tokens >= task.output_tokens
                if is_done:
                    del self.connection_by_request[task.request_id]
                connection.update(task.generated_tokens, is_done, now)


@define(eq=False)
class EmulatedConnection(ClientConnection):
    """A connection to an emulated engine."""

    engine: EmulatedEngine = field(kw_only=True)
    latency_seconds: float = field(kw_only=True)
    drain_ends_at_by_address: dict[str, float] = field(kw_only=True)
    request_id: str = ""
    event_tokens: int = 1
    first_event_seconds: float = 0.0
    delivered_events: int = 0
    events: int = 0
    done: bool = False
    notified_at: float = float("-inf")
    has_update: Event = field(factory=Event)

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Send a request; return the response head at the first event."""
        metadata = HEADER_FORMAT.parse_request(head)
        output = int(head.value(OUTPUT_HEADER) or b"1")
        self.request_id = metadata.request_id
        self.event_tokens = self.engine.model.spec.event_tokens
        await sleep(self.latency_seconds)
        self._check_connected()
        drain_ends_at = self.drain_ends_at_by_address.get(self.address, inf)
        self.engine.count_late(drain_ends_at)
        task = EngineTask(metadata.request_id, metadata.model, metadata.parts, output)
        self.engine.submit(task, self)
        await self.has_update.wait()
        await sleep(self.latency_seconds + self.first_event_seconds)
        self._check_connected()
        headers = [
            (HEADER_FORMAT.request_id, metadata.request_id.encode()),
            (HEADER_FORMAT.signature, b"emulated"),
        ]
        if self.engine.gives_notice:
            headers.append((HEADER_FORMAT.leaving, b"1"))
            ends_at = current_time() + self.engine.drain_seconds
            self.drain_ends_at_by_address.setdefault(self.address, ends_at)
        return ResponseHead(200, headers)

    def _check_connected(self) -> None:
        """Raise PeerClosedError if the engine is gone before the response is done."""
        if self.engine.gone and not self.done:
            raise PeerClosedError("connection reset")

    def update(self, generated_tokens: int, is_done: bool, now: float) -> None:
        """Update the number of events; notify the reader once per batch."""
        self.events = (generated_tokens + self.event_tokens - 1) // self.event_tokens
        self.done = is_done
        is_first = self.notified_at < 0
        if is_first or is_done or now - self.notified_at >= EVENT_BATCH_SECONDS:
            self.notified_at = now
            self.has_update.set()

    async def read_chunk(self) -> bytes | None:
        """Return the events since the last call, or None at the end."""
        if self.delivered_events >= self.events:
            if self.done:
                return None
            self.has_update = Event()
            await self.has_update.wait()
            self._check_connected()
        self.has_update = Event()
        if self.delivered_events >= self.events:
            return None
        begin, self.delivered_events = self.delivered_events, self.events
        numbers = range(begin + 1, self.events + 1)
        return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)

    async def close(self) -> None:
        """Cancel the request if it has not ended."""
        self.engine.drop(self.request_id)


@define
class EmulatedPool(ConnectionPool):
    """A router's pool of connections to emulated engines.

    `drain_ends_at_by_address` is when the drain time ends of the engines that told this
    router that they are leaving.
    """

    engine_by_address: dict[str, EmulatedEngine] = field(factory=dict)
    drain_ends_at_by_address: dict[str, float] = field(factory=dict)
    latency_seconds: Callable[[str], float] = lambda address: 0.0

    async def acquire(self, address: str, connect_seconds: float) -> ClientConnection:
        """Return an idle connection, or open one in a round trip."""
        idle = self.idle_by_address.setdefault(address, [])
        if not idle or self.engine_by_address[address].gone:
            return await self.open(address, connect_seconds)
        idle.pop()
        return self._connect(address)

    async def open(self, address: str, connect_seconds: float) -> ClientConnection:
        """Open a connection in a round trip."""
        if self.engine_by_address[address].gone:
            raise PeerClosedError(f"cannot connect to {address}", False)
        await sleep(2 * self.latency_seconds(address))
        return self._connect(address)

    def _connect(self, address: str) -> EmulatedConnection:
        """Return a connection: there is no socket, the engine is called directly."""
        engine = self.engine_by_address[address]
        no_stream: Any = None
        return EmulatedConnection(
            address,
            no_stream,
            engine=engine,
            latency_seconds=self.latency_seconds(address),
            drain_ends_at_by_address=self.drain_ends_at_by_address,
            first_event_seconds=engine.model.spec.first_ms / 1000,
        )

    async def release(
        self, connection: ClientConnection, keep_alive_seconds: float = 0.0
    ) -> None:
        """Return a connection to the pool."""
        self.idle_by_address.setdefault(connection.address, []).append(connection)

    async def close(self, address: str) -> None:
        """Drop the idle connections to an address."""
        self.idle_by_address.pop(address, None)
