"""Callers of the emulator: they ask, wait, come back when told, and give up."""

from random import Random

from anyio import CancelScope, current_time, sleep
from attrs import define, field

from pistachiolever.admission.models import PromptPart
from pistachiolever.emulator.const import (
    HONOURED_SHARE,
    HOST,
    MODEL,
    OUTPUT_HEADER,
    SILENCE_GAPS,
    SILENCE_SECONDS,
    SILENCE_TARGETS,
)
from pistachiolever.emulator.links import DIALECT
from pistachiolever.emulator.models import Arrival
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.http1.models import Header, RequestHead, first_value


@define
class EmulatedSink:
    """What a caller sees of its answer."""

    way_seconds: float
    scope: CancelScope
    deadline_at: float
    started: bool = False
    status: int = 0
    finished: bool = False
    retry_after: float = 0.0
    first_at: float | None = None
    last_at: float = 0.0
    longest_gap: float = 0.0

    async def start(self, status: int, headers: list[Header]) -> None:
        """Take the head of the answer; from now on only the deadline counts."""
        self.scope.deadline = self.deadline_at
        self.started = True
        self.status = status

    async def send(self, data: bytes) -> None:
        """Take some of the body."""
        now = current_time() + self.way_seconds
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now

    async def finish(self) -> None:
        """Take the end of the answer."""
        self.finished = True

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Take a whole answer."""
        self.started = True
        self.status = status
        self.retry_after = float(first_value(headers, b"retry-after") or 0.0)


@define
class CallerEnd:
    """How a request ended for its caller; times since the first attempt, in seconds."""

    status: str
    first_seconds: float | None = None
    longest_gap: float = 0.0
    attempts: int = 1


@define
class Caller:
    """One request of a caller with all its attempts."""

    arrival: Arrival
    fleets: list[FleetView]
    rng: Random
    way_seconds: float
    began: float = field(init=False)
    attempts: int = 0

    def __attrs_post_init__(self) -> None:
        """Note when the caller first asked."""
        self.began = current_time()

    async def run(self) -> CallerEnd:
        """Ask, and come back when told to, until the deadline."""
        kind = self.arrival.kind
        deadline_at = self.began + self.arrival.deadline_seconds
        while True:
            self.attempts += 1
            sink = await self._attempt(deadline_at)
            now = current_time()
            if sink.finished:
                first = (sink.first_at or now) - self.began
                return CallerEnd("answered", first, sink.longest_gap, self.attempts)
            if sink.status != 503:
                return CallerEnd("failed", attempts=self.attempts)
            may_return = sink.retry_after <= HONOURED_SHARE * (deadline_at - now)
            if self.attempts > kind.returns or not may_return:
                return CallerEnd("refused", attempts=self.attempts)
            await sleep(sink.retry_after)

    async def _attempt(self, deadline_at: float) -> EmulatedSink:
        """Ask once; give up at the deadline or after too long a silence."""
        kind = self.arrival.kind
        await sleep(self.way_seconds)
        fleet = self.rng.choice(self.fleets)
        now = current_time()
        silence = max(
            SILENCE_SECONDS,
            SILENCE_TARGETS * kind.target_seconds,
            SILENCE_GAPS * kind.gap_seconds,
        )
        scope = CancelScope(deadline=min(deadline_at, now + silence))
        sink = EmulatedSink(self.way_seconds, scope, deadline_at)
        with scope:
            request = self._request(fleet, deadline_at - now)
            await RequestProcessor(fleet, DIALECT, request, sink).run()
        await sleep(self.way_seconds)
        return sink

    def _request(self, fleet: FleetView, left: float) -> ProxyRequest:
        """Return the request as a router takes it."""
        arrival, kind = self.arrival, self.arrival.kind
        table = fleet.table
        if table is None:
            raise ValueError("an emulated router has no configuration")
        request_id = f"{arrival.request_id}-{self.attempts}"
        parts = [PromptPart(name, tokens) for name, tokens in arrival.parts]
        path = f"/{kind.kind_id}/"
        route = table.match(HOST, path)
        if route is None:
            raise ValueError(f"no route for {path}")
        service = table.service_by_id[route.services[0].service_id]
        event_tokens = service.engine.event_tokens if service.engine else 1
        text = ",".join(f"{part.part_id}:{part.tokens}" for part in parts)
        head = RequestHead(
            b"POST",
            path.encode(),
            [
                (DIALECT.request_id, request_id.encode()),
                (DIALECT.model, MODEL.encode()),
                (DIALECT.prompt_parts, text.encode()),
                (OUTPUT_HEADER, b"%d" % arrival.output_tokens),
            ],
        )
        facts = RequestMetadata(
            request_id,
            left,
            model=MODEL,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=kind.most_output_events * event_tokens,
            length_hint=arrival.hint_tokens,
            parts=parts,
        )
        now = current_time()
        return ProxyRequest(
            facts,
            head,
            b"",
            route,
            service,
            arrival.account_id,
            route.priority,
            now,
            now + route.target_seconds,
            now + left,
        )
