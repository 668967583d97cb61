"""One router under load, with its callers, endpoints and agents."""

from collections.abc import Callable
from functools import partial
from random import Random
from socket import socket

from anyio import connect_tcp, create_task_group, current_time, sleep
from attrs import define, field, frozen

from pistachiolever.admission.const import BID_PATH
from pistachiolever.admission.models import BidReply, Load, ProgressReply
from pistachiolever.discovery.models import Announcement, EndpointState
from pistachiolever.edge.peers import PeerClient
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.header_format import HeaderFormat
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.gateway.settings import GatewaySettings
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import (
    EngineCapacity,
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
    RequestKind,
    WeightedService,
)
from pistachiolever.routing.table import RouteTable
from pistachiolever.wire.codec import encode
from tests.support.addresses import free_address
from tests.support.processor_time import (
    Peers,
    ProcessorTimeSelector,
    listen,
    receive,
    run_on_processor_time,
)

TARGET_SECONDS = 0.6
DEADLINE_SECONDS = 6.0
ENDPOINTS = 10
EVENTS = 32
EVENT_GAP_SECONDS = 0.008
FIRST_EVENT_SECONDS = 0.015
AGENT_SECONDS = 0.003
# A caller that has its response closes its connection so much later.
CLOSE_SECONDS = 0.1
CALM_LOAD = Load(slots=64, free_memory_tokens=100_000, speed=48_000)
CONFIGURATION = ProxyConfiguration(
    1,
    [
        ProxyRoute(
            "ask",
            "x",
            "/ask/",
            RequestKind.STREAM,
            [WeightedService("s", 1.0)],
            DEADLINE_SECONDS,
            TARGET_SECONDS,
            attempts=2,
            resumable=True,
        )
    ],
    [ProxyService("s", engine=EngineCapacity(64, 300_000, 7))],
    [ProxyAccount("one", ["key"])],
)
REQUEST = (
    b"POST /ask/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: id%d\r\nX-Model: m\r\n"
    b"X-Token-Counts: 628,220\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key\r\n"
    b"Content-Length: 830\r\n\r\n" + 830 * b"x"
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
REPLY_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


@define(eq=False, repr=False)
class Answerer:
    """One connection of the router to an endpoint or an agent."""

    peers: Peers
    connection: socket
    handle: Callable[["Answerer", bytes], None]
    data: bytes = b""
    ended: bool = False

    def read(self) -> None:
        """Handle the requests that have arrived as a whole."""
        received = receive(self.connection)
        if received is None:
            self.ended = True
            self.peers.close(self.connection)
            return
        self.data += received
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        size = int(header(head, b"content-length") or b"0")
        if len(rest) >= size:
            self.data = rest[size:]
            self.handle(self, head)

    def send_after(self, seconds: float, data: bytes) -> None:
        """Send something unless the connection has ended by then."""
        self.peers.at(self.peers.now + seconds, lambda: self._send(data))

    def _send(self, data: bytes) -> None:
        """Send something unless the connection has ended."""
        if self.ended:
            return
        try:
            self.connection.send(data)
        except OSError:
            return


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header; empty if it is missing."""
    for line in head.split(b"\r\n")[1:]:
        key, _, text = line.partition(b":")
        if key.lower() == name:
            return text.strip()
    return b""


def ignore_connection() -> None:
    """Ignore a new connection."""


def listen_for_requests(
    peers: Peers,
    handle: Callable[[Answerer, bytes], None],
    on_connect: Callable[[], None] = ignore_connection,
) -> str:
    """Return the address of a server that handles each request by its head."""

    def serve(connection: socket) -> None:
        on_connect()
        answerer = Answerer(peers, connection, handle)
        peers.watch(connection, answerer.read)

    return listen(peers, serve)


def send_stream(answerer: Answerer, head: bytes) -> None:
    """Stream the events of an endpoint."""
    for number in range(EVENTS):
        event = b"id: %d\ndata: %s\n\n" % (number + 1, 60 * b"x")
        data = b"%x\r\n%s\r\n" % (len(event), event)
        if number == 0:
            data = STREAM_HEAD % header(head, b"x-request-id") + data
        if number == EVENTS - 1:
            data += LAST_CHUNK
        answerer.send_after(FIRST_EVENT_SECONDS + number * EVENT_GAP_SECONDS, data)


def grant(answerer: Answerer, head: bytes) -> None:
    """Grant a bid, or confirm a progress message."""
    is_bid = head.split(b" ")[1] == BID_PATH.encode()
    reply = BidReply(True, CALM_LOAD) if is_bid else ProgressReply(CALM_LOAD)
    body = encode(reply)
    answerer.send_after(AGENT_SECONDS, REPLY_HEAD % len(body) + body)


@define(eq=False, repr=False)
class Caller:
    """Sends one request on a connection of its own and waits until its deadline."""

    peers: Peers
    address: str
    number: int
    started_at: float = 0.0
    first_seconds: float = float("inf")
    ended_after: float | None = None
    data: bytes = b""
    connection: socket = field(factory=socket)

    def start(self) -> None:
        """Connect and send the request."""
        host, _, port = self.address.rpartition(":")
        self.started_at = self.peers.now
        self.peers.at(self.started_at + DEADLINE_SECONDS, self.end)
        self.connection.setblocking(False)
        self.connection.connect_ex((host, int(port)))
        self.peers.watch(self.connection, self.read)
        self.connection.send(REQUEST % (self.number, int(1000 * DEADLINE_SECONDS)))

    def read(self) -> None:
        """Read a part of the response."""
        received = receive(self.connection)
        if received is None or self.ended_after is not None:
            self.peers.forget(self.connection)
            self.end()
            return
        if not self.data:
            self.first_seconds = self.peers.now - self.started_at
        self.data += received
        if self.status != 200 or self.data.endswith(LAST_CHUNK):
            self.end()

    def end(self) -> None:
        """Close the connection."""
        if self.ended_after is not None:
            return
        now = self.peers.now
        self.ended_after = now - self.started_at
        self.peers.at(now + CLOSE_SECONDS, lambda: self.peers.close(self.connection))

    @property
    def status(self) -> int:
        """Return the status of the response, 0 without one."""
        return int(self.data[9:12] or b"0")

    @property
    def is_served(self) -> bool:
        """Return whether the response is complete."""
        return self.status == 200 and self.data.endswith(LAST_CHUNK)

    @property
    def is_in_time(self) -> bool:
        """Return whether the first event came within the target of a whole response."""
        return self.is_served and self.first_seconds <= TARGET_SECONDS


@frozen
class LoadResult:
    """What became of the requests of one load.

    `used_seconds` is the processor time of the router while they came, `bid_count` and
    `event_names` are its bids and the events that it logged.
    """

    callers: list[Caller]
    used_seconds: float
    bid_count: int
    event_names: list[str]

    def in_time(self) -> int:
        """Return the number of requests served within their target."""
        return sum(caller.is_in_time for caller in self.callers)

    def longest_unserved_wait(self) -> float:
        """Return how long a caller that was not served waited at most."""
        return max(
            caller.ended_after or 0.0 for caller in self.callers if not caller.is_served
        )


@define(eq=False, repr=False)
class RouterLoad:
    """A router to which callers send requests at some times.

    A second of its processor lasts `slowdown` seconds. `answer` plays the endpoints,
    `reply` their agents; `on_connect` and `on_agent_connect` are called for each
    connection to these.
    """

    slowdown: float
    answer: Callable[[Answerer, bytes], None] = send_stream
    reply: Callable[[Answerer, bytes], None] = grant
    on_connect: Callable[[], None] = ignore_connection
    on_agent_connect: Callable[[], None] = ignore_connection
    peers: Peers = field(factory=Peers)
    event_names: list[str] = field(factory=list)
    selector: ProcessorTimeSelector = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the clock."""
        self.selector = ProcessorTimeSelector(self.peers)

    def play(self, times: list[float]) -> LoadResult:
        """Send requests at times, in seconds from the start."""
        return run_on_processor_time(self.selector, self._play, times)

    async def _play(self, times: list[float]) -> LoadResult:
        """Run the router until all callers have ended."""
        process = self.make_router()
        address = process.settings.front_address
        callers = [Caller(self.peers, address, number) for number in range(len(times))]
        async with create_task_group() as group:
            group.start_soon(process.run)
            await wait_until_listening(address)
            self.selector.start(self.slowdown)
            for caller, at in zip(callers, times, strict=True):
                self.peers.at(current_time() + at, caller.start)
            used_seconds = self.selector.used_seconds
            await sleep(times[-1])
            while any(caller.ended_after is None for caller in callers):
                await sleep(0.1)
            used_seconds = self.selector.used_seconds - used_seconds
            group.cancel_scope.cancel()
        return LoadResult(
            callers, used_seconds, process.fleet.bid_count, self.event_names
        )

    def make_router(self) -> GatewayProcess:
        """Return a router that knows the endpoints and their agents."""
        settings = GatewaySettings(
            "r", "north", free_address(), free_address(), "/ready", 2, 1, 10, 99
        )
        events = EventLogger(
            "r", lambda: 0, lambda line: self.event_names.append(name_of(line))
        )
        fleet = FleetView(
            settings,
            lambda _: CONFIGURATION,
            PeerClient(),
            events,
            Random(1),
            current_time,
        )
        fleet.table = RouteTable(CONFIGURATION)
        fleet.apply_announcements(
            [
                Announcement(
                    f"e{number}",
                    1,
                    1,
                    EndpointState.READY,
                    "s",
                    listen_for_requests(self.peers, self.answer, self.on_connect),
                    "north",
                    64,
                    agent=listen_for_requests(
                        self.peers, self.reply, self.on_agent_connect
                    ),
                )
                for number in range(ENDPOINTS)
            ]
        )
        watcher = RegistryWatcher(
            MemberChoice("r", "north", list), PeerClient(), fleet, events
        )
        return GatewayProcess(settings, HeaderFormat(), fleet, watcher)

    def stop_after(self, seconds: float, stop_seconds: float) -> None:
        """Let the router run no code for a while, from some seconds on."""
        stop = partial(self.selector.skip, stop_seconds)
        self.peers.at(self.peers.now + seconds, stop)


def random_times(requests_per_second: float, seconds: float) -> list[float]:
    """Return random times of requests that come independently."""
    rng, at, times = Random(1), 0.0, list[float]()
    while (at := at + rng.expovariate(requests_per_second)) < seconds:
        times.append(at)
    return times


def name_of(line: str) -> str:
    """Return the name of a logged event."""
    return line.partition('"name":"')[2].partition('"')[0]


async def wait_until_listening(address: str) -> None:
    """Wait until a server accepts connections."""
    host, _, port = address.rpartition(":")
    while True:
        try:
            stream = await connect_tcp(host, int(port))
        except OSError:
            await sleep(0.01)
            continue
        await stream.aclose()
        return
