"""Emulated callers, which retry after Retry-After and give up at their deadline."""

from random import Random

from anyio import CancelScope, current_time, sleep
from attrs import define, field

from pistachiolever.admission.models import PromptPart
from pistachiolever.emulator.const import (
    HOST,
    MAX_RETRY_AFTER_FRACTION,
    MIN_START_TIMEOUT_SECONDS,
    MODEL,
    OUTPUT_HEADER,
    START_TIMEOUT_GAPS,
    START_TIMEOUT_TARGETS,
)
from pistachiolever.emulator.links import HEADER_FORMAT
from pistachiolever.emulator.models import Arrival
from pistachiolever.gateway.fleet import FleetView
from pistachiolever.gateway.models import ProxyRequest, RequestMetadata
from pistachiolever.gateway.request_processor import RequestProcessor
from pistachiolever.http1.models import Header, RequestHead, first_value


@define
class EmulatedSink:
    """Receives a response for a caller and records its status and timing."""

    latency_seconds: float
    scope: CancelScope
    deadline_at: float
    started: bool = False
    status: int = 0
    finished: bool = False
    retry_after: float = 0.0
    first_chunk_at: float | None = None
    last_chunk_at: float = 0.0
    longest_gap: float = 0.0

    async def start(self, status: int, headers: list[Header]) -> None:
        """Record the status; replace the start timeout by the caller's deadline."""
        self.scope.deadline = self.deadline_at
        self.started = True
        self.status = status

    async def send(self, data: bytes) -> None:
        """Record when a chunk of the body reaches the caller."""
        now = current_time() + self.latency_seconds
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_chunk_at)
        self.last_chunk_at = now

    async def finish(self) -> None:
        """Record that the response is complete."""
        self.finished = True

    async def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Record the status and Retry-After of a response that is not streamed."""
        self.started = True
        self.status = status
        self.retry_after = float(first_value(headers, b"retry-after") or 0.0)


@define
class CallerResult:
    """How a request ended for its caller; times in seconds since the first attempt."""

    status: str
    first_chunk_seconds: float | None = None
    longest_gap: float = 0.0
    attempts: int = 1


@define
class Caller:
    """Sends one request of an account, with its retries."""

    arrival: Arrival
    fleets: list[FleetView]
    rng: Random
    latency_seconds: float
    started_at: float = field(init=False)
    attempts: int = 0

    def __attrs_post_init__(self) -> None:
        """Record the time of the first attempt."""
        self.started_at = current_time()

    async def run(self) -> CallerResult:
        """Send the request, and retry after a 503 if Retry-After allows it."""
        kind = self.arrival.kind
        deadline_at = self.started_at + self.arrival.deadline_seconds
        while True:
            self.attempts += 1
            sink = await self._attempt(deadline_at)
            now = current_time()
            if sink.finished:
                first_chunk_seconds = (sink.first_chunk_at or now) - self.started_at
                return CallerResult(
                    "answered", first_chunk_seconds, sink.longest_gap, self.attempts
                )
            if sink.status != 503:
                return CallerResult("failed", attempts=self.attempts)
            may_retry = sink.retry_after <= MAX_RETRY_AFTER_FRACTION * (
                deadline_at - now
            )
            if self.attempts > kind.returns or not may_retry:
                return CallerResult("refused", attempts=self.attempts)
            await sleep(sink.retry_after)

    async def _attempt(self, deadline_at: float) -> EmulatedSink:
        """Make one attempt; cancel it at the deadline or the start timeout."""
        kind = self.arrival.kind
        await sleep(self.latency_seconds)
        fleet = self.rng.choice(self.fleets)
        now = current_time()
        start_timeout = max(
            MIN_START_TIMEOUT_SECONDS,
            START_TIMEOUT_TARGETS * kind.target_seconds,
            START_TIMEOUT_GAPS * kind.gap_seconds,
        )
        scope = CancelScope(deadline=min(deadline_at, now + start_timeout))
        sink = EmulatedSink(self.latency_seconds, scope, deadline_at)
        with scope:
            request = self._request(fleet, deadline_at - now)
            await RequestProcessor(fleet, HEADER_FORMAT, request, sink).run()
        await sleep(self.latency_seconds)
        return sink

    def _request(self, fleet: FleetView, remaining_seconds: float) -> ProxyRequest:
        """Return the request in the form that a router receives."""
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
                (HEADER_FORMAT.request_id, request_id.encode()),
                (HEADER_FORMAT.model, MODEL.encode()),
                (HEADER_FORMAT.prompt_parts, text.encode()),
                (OUTPUT_HEADER, b"%d" % arrival.output_tokens),
            ],
        )
        metadata = RequestMetadata(
            request_id,
            remaining_seconds,
            model=MODEL,
            prompt_tokens=arrival.prompt_tokens,
            max_output_tokens=kind.most_output_events * event_tokens,
            length_hint=arrival.hint_tokens,
            parts=parts,
        )
        now = current_time()
        return ProxyRequest(
            metadata,
            head,
            b"",
            route,
            service,
            arrival.account_id,
            route.priority,
            now,
            now + route.target_seconds,
            now + remaining_seconds,
        )
