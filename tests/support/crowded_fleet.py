"""A fleet in emulated time whose routers have little processor time.

An account's callers all come to one router, as a load balancer that hashes them may
send them. The routers are whole gateway processes without sockets.
"""

from collections.abc import Iterator
from math import inf
from random import Random

from anyio import (
    CancelScope,
    Event,
    create_task_group,
    current_time,
    move_on_after,
    move_on_at,
    run,
    sleep,
    sleep_until,
)
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from attrs import define, evolve, field

from pistachiolever.emulator.clock import EmulatedLoop
from pistachiolever.emulator.const import (
    HOST,
    MAX_RETRY_AFTER_FRACTION,
    MODEL,
    OUTPUT_HEADER,
)
from pistachiolever.emulator.engine import EngineTask
from pistachiolever.emulator.fleet import EmulatedFleet
from pistachiolever.emulator.links import HEADER_FORMAT, EmulatedEngine
from pistachiolever.emulator.models import Arrival
from pistachiolever.emulator.processor import CURRENT_PROCESSOR, EmulatedProcessor
from pistachiolever.forwarding.models import ForwardOutcome
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.process import GatewayProcess
from pistachiolever.http1.models import Header, RequestHead, first_value
from pistachiolever.registry.member_choice import MemberChoice
from pistachiolever.registry.watcher import RegistryWatcher
from pistachiolever.routing.models import ProxyAccount, ProxyConfiguration

# Steps of a whole router beyond those of an emulated one, as the calls of its event
# loop were counted: to accept a connection and read a head, to read a body and call an
# agent, to send a whole response, to exchange heads with an endpoint and the caller,
# and to forward an event.
HEAD_STEPS = 16
BODY_STEPS = 24
RESPONSE_STEPS = 6
START_STEPS = 20
EVENT_STEPS = 3
EVENT_END = b"\n\n"
# To look at a head before a connection is set up, to pass a connection on, and to pass
# on an event of its response.
SCREEN_STEPS = 4
FORWARD_STEPS = 12
FORWARDED_EVENT_STEPS = 1
# A load balancer checks each router at this interval and removes it after two misses.
CHECK_SECONDS = 1.0
MISSES = 2
# The length of the window in which the service of two accounts is compared.
WINDOW_SECONDS = 6
REQUESTS_OF_SLACK = 3


async def take_steps(count: int) -> None:
    """Use the processor of the current task."""
    for _ in range(count):
        await checkpoint()


@define(eq=False)
class EmulatedExchange:
    """A request on a connection of its own, and its response."""

    head: RequestHead
    latency_seconds: float
    arrived_at: float | None = None
    scope: CancelScope = field(factory=CancelScope)
    begun: Event = field(factory=Event)
    ended: Event = field(factory=Event)
    has_left: bool = False
    started: bool = False
    finished: bool = False
    status: int = 0
    retry_after: float = 0.0
    first_chunk_at: float | None = None

    async def read_body(self) -> bytes:
        """Return the body, which is empty."""
        await take_steps(BODY_STEPS)
        return b""

    async def start(self, status: int, headers: list[Header]) -> None:
        """Record the status."""
        self.started, self.status = True, status
        self.begun.set()
        await take_steps(START_STEPS)

    async def send(self, data: bytes) -> None:
        """Record when the first chunk reaches the caller."""
        if self.first_chunk_at is None:
            self.first_chunk_at = current_time() + self.latency_seconds
        await take_steps(EVENT_STEPS * data.count(EVENT_END))

    async def finish(self) -> None:
        """Record that the response is complete."""
        self.finished = True
        await take_steps(EVENT_STEPS)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Record a response that is not streamed."""
        self.started, self.status = True, status
        self.begun.set()
        self.retry_after = float(first_value(headers, b"retry-after") or 0.0)
        await take_steps(RESPONSE_STEPS)

    def refuse(self, response: bytes) -> None:
        """Record a response that was sent before the connection was set up."""
        _, _, rest = response.partition(b"retry-after: ")
        self.started, self.status = True, 503
        self.begun.set()
        self.retry_after = float(rest.partition(b"\r\n")[0])
        self.ended.set()


def raw_head(head: RequestHead) -> bytes:
    """Return the bytes of a head."""
    lines = [b"%s %s HTTP/1.1" % (head.method, head.target)]
    lines.extend(b"%s: %s" % header for header in head.headers)
    return b"\r\n".join(lines)


@define(eq=False)
class ForwardedExchange:
    """A request that a router has forwarded; it also passes on the response."""

    exchange: EmulatedExchange
    processor: EmulatedProcessor

    @property
    def head(self) -> RequestHead:
        """Return the head of the request."""
        return self.exchange.head

    @property
    def arrived_at(self) -> float | None:
        """Return when the request has arrived, None if that is not known."""
        return self.exchange.arrived_at

    @property
    def started(self) -> bool:
        """Return whether the response has begun."""
        return self.exchange.started

    async def read_body(self) -> bytes:
        """Return the body."""
        return await self.exchange.read_body()

    async def start(self, status: int, headers: list[Header]) -> None:
        """Pass on the head of the response."""
        await self.exchange.start(status, headers)
        await self._pass_on(1)

    async def send(self, data: bytes) -> None:
        """Pass on events."""
        await self.exchange.send(data)
        await self._pass_on(data.count(EVENT_END))

    async def finish(self) -> None:
        """Pass on the end of the response."""
        await self.exchange.finish()
        await self._pass_on(1)

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Pass on a response that is not streamed."""
        await self.exchange.respond(status, headers, body)
        await self._pass_on(1)

    async def _pass_on(self, events: int) -> None:
        """Use the processor of the router that has forwarded the request."""
        token = CURRENT_PROCESSOR.set(self.processor)
        await take_steps(FORWARDED_EVENT_STEPS * events)
        CURRENT_PROCESSOR.reset(token)


@define(eq=False)
class CrowdedRouter:
    """A gateway process with a processor of its own, as the load balancer sees it.

    It forwards to `siblings` by the decisions of the process, without sockets.
    """

    process: GatewayProcess
    processor: EmulatedProcessor
    siblings: "list[CrowdedRouter]"
    misses: int = 0
    group: TaskGroup = field(init=False)

    @property
    def is_in_rotation(self) -> bool:
        """Return whether the load balancer sends it new connections."""
        return self.misses < MISSES

    async def run(self) -> None:
        """Serve until cancelled."""
        async with create_task_group() as self.group:
            self.group.start_soon(self.process.fleet.run)
            self.group.start_soon(self._watch_delay)
            while True:
                await sleep(CHECK_SECONDS)
                self.misses = 0 if self.process.is_ready() else self.misses + 1

    async def _watch_delay(self) -> None:
        """Measure the delay of the event loop with the router's processor."""
        CURRENT_PROCESSOR.set(self.processor)
        await self.process._watch_delay()

    def accept(self, exchange: EmulatedExchange) -> None:
        """Take a connection with a request."""
        self.group.start_soon(self._serve, exchange)

    def close(self, exchange: EmulatedExchange) -> None:
        """Let the router notice that a caller has left."""
        exchange.has_left = True
        self.group.start_soon(self._cancel, exchange)

    async def _cancel(self, exchange: EmulatedExchange) -> None:
        """Cancel a request."""
        CURRENT_PROCESSOR.set(self.processor)
        await checkpoint()
        exchange.scope.cancel()

    async def _serve(self, exchange: EmulatedExchange) -> None:
        """Read the head and pass the request to the process."""
        CURRENT_PROCESSOR.set(self.processor)
        forwarding = self.process.forwarder.router
        screen = self.process.public_server.screen
        if screen is not None and screen.is_active():
            await take_steps(SCREEN_STEPS)
            if forwarding.may_forward() and await self._forward(exchange):
                return
            if response := screen.refusal(raw_head(exchange.head)):
                exchange.refuse(response)
                return
        await take_steps(HEAD_STEPS)
        if exchange.has_left:
            return
        with exchange.scope:
            await self.process.public_server.handler(exchange)  # type: ignore[arg-type]
        exchange.ended.set()

    async def _forward(self, exchange: EmulatedExchange) -> bool:
        """Let a sibling serve a request; return whether one has taken it."""
        table, rng = self.process.forwarder.table, self.process.fleet.rng
        by_name = {str(number): other for number, other in enumerate(self.siblings)}
        table.update(name for name, other in by_name.items() if other is not self)
        sibling = table.choose(set(), current_time(), rng)
        if sibling is None:
            return False
        other = by_name[sibling.address]
        self.process.intake.forwarded += 1
        table.begin(sibling, current_time())
        try:
            await take_steps(FORWARD_STEPS)
            if not other.process.forwarder.router.may_take(raw_head(exchange.head)):
                table.record(sibling, ForwardOutcome.REFUSED, current_time())
                return False
            CURRENT_PROCESSOR.set(other.processor)
            await take_steps(HEAD_STEPS)
            forwarded = ForwardedExchange(exchange, self.processor)
            with exchange.scope:
                if not exchange.has_left:
                    handler = other.process.public_server.handler
                    await handler(forwarded)  # type: ignore[arg-type]
            exchange.ended.set()
            return True
        finally:
            CURRENT_PROCESSOR.set(self.processor)
            self.process.intake.forwarded -= 1
            sibling.forwarded -= 1


@define
class Usage:
    """What an account asked for and got in each second, in weighted tokens.

    `waited` are the seconds in which one of its requests was refused, or waited for
    longer than its target.
    """

    asked: dict[int, float] = field(factory=dict)
    got: dict[int, float] = field(factory=dict)
    waited: set[int] = field(factory=set)
    largest: list[float] = field(factory=list)

    def record_arrival(self, arrival: Arrival) -> None:
        """Count the first attempt of a request."""
        second, tokens = int(arrival.at), arrival.weighted_tokens
        self.asked[second] = self.asked.get(second, 0.0) + tokens
        self.largest = sorted([*self.largest, tokens])[-REQUESTS_OF_SLACK:]

    def record_wait(self, begin: float, end: float) -> None:
        """Count the seconds of a wait."""
        self.waited.update(range(int(begin), int(end) + 1))


@define(eq=False)
class RecordingEngine(EmulatedEngine):
    """Counts requests for their accounts when they begin."""

    owner: "CrowdedFleet" = field(kw_only=True)

    def submit(self, task: EngineTask, connection: object) -> None:
        """Queue a request."""
        self.owner.record_begin(task.request_id)
        super().submit(task, connection)  # type: ignore[arg-type]


@define
class CrowdedFleet(EmulatedFleet):
    """Routers with little processor time; callers of `crowded_id` come to a few.

    All others are spread. A refused caller comes back through another router if
    `returns_elsewhere`, else as a load balancer that hashes callers sends it: to the
    same one, unless that has left the rotation. A caller without a first chunk gives up
    after `patience_seconds` and comes back in the same way.
    """

    crowded_id: str = field(kw_only=True)
    crowd_routers: int = field(default=1, kw_only=True)
    patience_seconds: float = field(default=inf, kw_only=True)
    returns_elsewhere: bool = field(default=True, kw_only=True)
    step_seconds: float = field(kw_only=True)
    crowded_routers: list[CrowdedRouter] = field(factory=list)
    usage_by_account: dict[str, Usage] = field(factory=dict)
    arrival_by_request: dict[str, Arrival] = field(factory=dict)

    def play(self) -> None:
        """Run the load to its end."""
        run(self._run_load, backend_options={"loop_factory": EmulatedLoop})

    def usage(self, account_id: str) -> Usage:
        """Return the usage of an account."""
        return self.usage_by_account.setdefault(account_id, Usage())

    def record_begin(self, request_id: str) -> None:
        """Count a run where it begins."""
        arrival = self.arrival_by_request[request_id]
        got, second = self.usage(arrival.account_id).got, int(current_time())
        got[second] = got.get(second, 0.0) + arrival.weighted_tokens

    def windows(self) -> Iterator[range]:
        """Return the windows in which the crowded account waits in each second."""
        waited = self.usage(self.crowded_id).waited
        for begin in range(int(self.shape.seconds) - WINDOW_SECONDS + 1):
            window = range(begin, begin + WINDOW_SECONDS)
            if waited.issuperset(window):
                yield window

    def owed(self, window: range) -> float:
        """Return what the crowded account has to get at least in a window."""
        crowded = self.usage(self.crowded_id)
        best = max(
            (usage.got for usage in self.usage_by_account.values()),
            key=lambda got: sum(got.get(second, 0.0) for second in window),
        )
        half = sum(
            min(crowded.asked.get(second, 0.0), best.get(second, 0.0)) / 2
            for second in window
        )
        return half - sum(crowded.largest)

    def _add_engine(self, domain_id: str) -> int:
        """Create an engine that counts what begins."""
        number = super()._add_engine(domain_id)
        address = f"engine{number}:80"
        engine = RecordingEngine(self.engine_by_address[address].model, owner=self)
        self.engine_by_address[address] = engine
        self.agent_by_address[f"agent{number}:80"].probe = engine
        return number

    def _configuration(self) -> ProxyConfiguration:
        """Return the configuration, in which accounts have keys."""
        names = [f"account{number}" for number in range(self.shape.accounts)]
        accounts = [ProxyAccount(name, [name]) for name in names]
        return evolve(super()._configuration(), accounts=accounts)

    async def _run_router(self, router: FleetView) -> None:
        """Run a gateway process."""
        choice = MemberChoice(router.settings.node_id, "", list)
        watcher = RegistryWatcher(choice, router.client, router, router.events)
        process = GatewayProcess(router.settings, HEADER_FORMAT, router, watcher)
        processor = EmulatedProcessor(self.step_seconds)
        crowded = CrowdedRouter(process, processor, self.crowded_routers)
        self.crowded_routers.append(crowded)
        await crowded.run()

    async def _settle(self) -> None:
        """Wait until all steps are done."""
        for router in self.crowded_routers:
            while router.processor.free_at > current_time():
                await sleep_until(router.processor.free_at)

    async def _run_caller(self, arrival: Arrival, rng: Random) -> None:
        """Send a request; come back once through another router if it is refused."""
        usage = self.usage(arrival.account_id)
        usage.record_arrival(arrival)
        begin = current_time()
        deadline_at = begin + arrival.deadline_seconds
        router = self._route(arrival, rng)
        for attempt in range(1 + arrival.kind.returns):
            exchange = await self._attempt(router, arrival, attempt, deadline_at)
            answered_at = exchange.first_chunk_at or current_time()
            if answered_at > begin + arrival.kind.target_seconds:
                usage.record_wait(begin + arrival.kind.target_seconds, answered_at)
            has_given_up = exchange.has_left and current_time() < deadline_at
            if exchange.status != 503 and not has_given_up:
                return
            usage.record_wait(current_time(), current_time())
            left = deadline_at - current_time()
            if exchange.retry_after > MAX_RETRY_AFTER_FRACTION * left:
                return
            await sleep(exchange.retry_after)
            router = self._route_again(arrival, router, rng)

    def _rotation(self) -> list[CrowdedRouter]:
        """Return the routers that get new connections: all if most are not ready."""
        ready = [router for router in self.crowded_routers if router.is_in_rotation]
        enough = 2 * len(ready) >= len(self.crowded_routers)
        return ready if enough else self.crowded_routers

    def _route(self, arrival: Arrival, rng: Random) -> CrowdedRouter:
        """Return the router to which the load balancer sends a client."""
        rotation = self._rotation()
        if arrival.account_id == self.crowded_id:
            return rng.choice(rotation[: self.crowd_routers])
        return rng.choice(rotation[self.crowd_routers :])

    def _route_again(
        self, arrival: Arrival, router: CrowdedRouter, rng: Random
    ) -> CrowdedRouter:
        """Return the router to which a refused client comes next."""
        if self.returns_elsewhere:
            others = [other for other in self._rotation() if other is not router]
            return rng.choice(others)
        return router if router.is_in_rotation else self._route(arrival, rng)

    async def _attempt(
        self, router: CrowdedRouter, arrival: Arrival, attempt: int, deadline_at: float
    ) -> EmulatedExchange:
        """Send one attempt; leave at the deadline."""
        latency = self.shape.caller_seconds
        await sleep(latency)
        request_id = f"{arrival.request_id}-{attempt}"
        self.arrival_by_request[request_id] = arrival
        head = self._head(arrival, request_id, deadline_at - current_time())
        exchange = EmulatedExchange(head, latency)
        router.accept(exchange)
        with move_on_at(deadline_at):
            if await self._has_begun(exchange):
                await exchange.ended.wait()
                await sleep(latency)
                return exchange
        router.close(exchange)
        return exchange

    async def _has_begun(self, exchange: EmulatedExchange) -> bool:
        """Return whether the response has begun before its caller gives up."""
        if self.patience_seconds == inf:
            return True
        with move_on_after(self.patience_seconds):
            await exchange.begun.wait()
        return exchange.begun.is_set()

    def _head(self, arrival: Arrival, request_id: str, seconds: float) -> RequestHead:
        """Return the head of a request."""
        names, event_tokens = HEADER_FORMAT, self.shape.engine.event_tokens
        parts = ",".join(f"{name}:{tokens}" for name, tokens in arrival.parts)
        most_output = arrival.kind.most_output_events * event_tokens
        headers = [
            (b"host", HOST.encode()),
            (b"authorization", b"Bearer " + arrival.account_id.encode()),
            (names.request_id, request_id.encode()),
            (names.deadline_ms, b"%d" % max(1, int(seconds * 1000))),
            (names.model, MODEL.encode()),
            (names.token_counts, b"%d,%d" % (arrival.prompt_tokens, most_output)),
            (names.length_hint, b"%d" % arrival.hint_tokens),
            (names.prompt_parts, parts.encode()),
            (OUTPUT_HEADER, b"%d" % arrival.output_tokens),
        ]
        return RequestHead(b"POST", f"/{arrival.kind.kind_id}/".encode(), headers)
