"""The network of the emulator: calls between processes, connections to engines."""

from collections.abc import Callable
from typing import Any, TypeVar

from anyio import Event, current_time, sleep
from attrs import define, field

from pistachiolever.admission.models import EngineReport
from pistachiolever.edge.peers import ConnectionPool, InnerFace, PeerCaller
from pistachiolever.emulator.const import EVENT_LOT_SECONDS, OUTPUT_HEADER
from pistachiolever.emulator.engine import EngineModel, EngineTask
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.http1.client import ClientConnection
from pistachiolever.http1.models import RequestHead, ResponseHead

T = TypeVar("T")

DIALECT = HeaderFormat()


@define
class EmulatedCaller(PeerCaller):
    """Calls the faces of emulated processes after the time on the way."""

    face_by_address: dict[str, InnerFace] = field(factory=dict)
    way_seconds: Callable[[str], float] = lambda address: 0.0

    async def call(
        self,
        address: str,
        path: str,
        message: object,
        reply_type: type[T],
        seconds: float,
    ) -> T:
        """Hand over a message; return the reply."""
        service = self.face_by_address[address].service_by_path[path]
        await sleep(self.way_seconds(address))
        reply: Any = await service.handle(message)
        await sleep(self.way_seconds(address))
        return reply  # type: ignore[no-any-return]


@define(eq=False)
class EmulatedEngine:
    """An engine that works while it has something to do."""

    model: EngineModel
    connection_by_request: dict[str, "EmulatedConnection"] = field(factory=dict)
    has_work: Event = field(factory=Event)
    busy_seconds: float = 0.0

    def submit(self, task: EngineTask, connection: "EmulatedConnection") -> None:
        """Take a request and remember where its answer goes."""
        self.connection_by_request[task.request_id] = connection
        self.model.submit(task)
        self.has_work.set()

    def drop(self, request_id: str) -> None:
        """End a request whose connection was closed."""
        if self.connection_by_request.pop(request_id, None) is not None:
            self.model.drop(request_id)

    async def report(self) -> EngineReport:
        """Return the report that the process beside the engine reads."""
        return self.model.report()

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            if self.model.is_idle:
                self.has_work = Event()
                await self.has_work.wait()
            seconds, made = self.model.step(current_time())
            self.busy_seconds += seconds
            await sleep(seconds)
            now = current_time()
            for task in made:
                connection = self.connection_by_request.get(task.request_id)
                if connection is None:
                    continue
                is_done = task.made >= task.output_tokens
                if is_done:
                    del self.connection_by_request[task.request_id]
                connection.note(task.made, is_done, now)


@define(eq=False)
class EmulatedConnection(ClientConnection):
    """A connection to an emulated engine."""

    engine: EmulatedEngine = field(kw_only=True)
    way_seconds: float = field(kw_only=True)
    request_id: str = ""
    event_tokens: int = 1
    first_seconds: float = 0.0
    passed_events: int = 0
    events: int = 0
    done: bool = False
    told_at: float = float("-inf")
    news: Event = field(factory=Event)

    async def exchange(self, head: RequestHead, body: bytes) -> ResponseHead:
        """Send a request; return the head that comes with the first event."""
        facts = DIALECT.parse_request(head)
        output = int(head.value(OUTPUT_HEADER) or b"1")
        self.request_id = facts.request_id
        self.event_tokens = self.engine.model.spec.event_tokens
        await sleep(self.way_seconds)
        task = EngineTask(facts.request_id, facts.model, facts.parts, output)
        self.engine.submit(task, self)
        await self.news.wait()
        await sleep(self.way_seconds + self.first_seconds)
        names = (DIALECT.request_id, DIALECT.signature)
        values = (facts.request_id.encode(), b"emulated")
        return ResponseHead(200, list(zip(names, values, strict=True)))

    def note(self, made_tokens: int, is_done: bool, now: float) -> None:
        """Take in how far the answer is; wake the reader now and then."""
        self.events = (made_tokens + self.event_tokens - 1) // self.event_tokens
        self.done = is_done
        is_first = self.told_at < 0
        if is_first or is_done or now - self.told_at >= EVENT_LOT_SECONDS:
            self.told_at = now
            self.news.set()

    async def read_body(self) -> bytes | None:
        """Return the events that came since the last time; None at the end."""
        if self.passed_events >= self.events:
            if self.done:
                return None
            self.news = Event()
            await self.news.wait()
        self.news = Event()
        if self.passed_events >= self.events:
            return None
        begin, self.passed_events = self.passed_events, self.events
        numbers = range(begin + 1, self.events + 1)
        return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)

    async def close(self) -> None:
        """End the work if it is not done."""
        self.engine.drop(self.request_id)


@define
class EmulatedPool(ConnectionPool):
    """Connects to emulated engines."""

    engine_by_address: dict[str, EmulatedEngine] = field(factory=dict)
    way_seconds: Callable[[str], float] = lambda address: 0.0

    async def take(self, address: str, connect_seconds: float) -> ClientConnection:
        """Return a connection, kept ones first."""
        engine = self.engine_by_address[address]
        idle = self.idle_by_address.setdefault(address, [])
        if idle:
            idle.pop()
        else:
            await sleep(2 * self.way_seconds(address))
        # There is no socket: the engine is called directly.
        no_stream: Any = None
        return EmulatedConnection(
            address,
            no_stream,
            engine=engine,
            way_seconds=self.way_seconds(address),
            first_seconds=engine.model.spec.first_ms / 1000,
        )

    async def give_back(
        self, connection: ClientConnection, keep_seconds: float = 0.0
    ) -> None:
        """Keep a connection."""
        self.idle_by_address.setdefault(connection.address, []).append(connection)

    async def close(self, address: str) -> None:
        """Forget the connections to an address."""
        self.idle_by_address.pop(address, None)
