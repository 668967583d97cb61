"""A stand-in model engine with the streaming completions protocol."""

from collections import deque
from collections.abc import AsyncIterator

from anyio import Event, current_time, sleep, sleep_forever
from attrs import define, field, frozen
from orjson import dumps, loads
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from stand_ins.batch import Batch, EngineSettings, Sequence
from stand_ins.faults import (
    LEAVING_HEADERS,
    PAUSE_HEADERS,
    ConnectionCutError,
    FaultInjector,
    FaultKind,
)

# Steps by which the fault SLOW delays each token.
SLOW_FACTOR = 20


@frozen
class LoadSample:
    """The number of requests at a time in seconds."""

    at: float
    running: int
    waiting: int


@define
class Engine:
    """A batching engine and its HTTP API."""

    settings: EngineSettings
    batch: Batch = field(init=False)
    faults: FaultInjector = field(factory=FaultInjector)
    sequence_by_id: dict[str, Sequence] = field(factory=dict)
    load_history: deque[LoadSample] = field(factory=lambda: deque(maxlen=4096))
    fence: int = 0
    orders: list[str] = field(factory=list)
    runs_by_prompt: dict[str, int] = field(factory=dict)
    has_work: Event = field(factory=Event)

    def __attrs_post_init__(self) -> None:
        """Create the batch."""
        self.batch = Batch(self.settings)

    async def run(self) -> None:
        """Run steps while there are requests; wait while there are none."""
        while True:
            if not self.batch.running and not self.batch.waiting:
                self.has_work = Event()
                await self.has_work.wait()
            self.batch.step()
            self.load_history.append(
                LoadSample(
                    current_time(), len(self.batch.running), len(self.batch.waiting)
                )
            )
            await sleep(self.settings.step_seconds)

    def app(self) -> Starlette:
        """Return the engine's HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self.complete, methods=["POST"]),
                Route("/v1/streams/{request_id}", self.resume),
                Route("/v1/cancel/{request_id}", self.cancel, methods=["POST"]),
                Route("/v1/orders", self.order, methods=["POST"]),
                Route("/load", self.load),
                Route("/cache/events", self.cache_events),
                Route("/stats", self.stats),
                Route("/fault", self.fault, methods=["POST"]),
            ]
        )

    async def complete(self, request: Request) -> Response:
        """Stream a completion."""
        document = loads(await request.body())
        fault = self.faults.next_call()
        if fault is FaultKind.OVERLOAD:
            return Response(status_code=503)
        if fault is FaultKind.ERROR:
            return Response(status_code=500)
        if fault is FaultKind.PAUSE:
            return Response(status_code=503, headers=PAUSE_HEADERS)
        prompt = document["prompt"]
        self.runs_by_prompt[prompt] = self.runs_by_prompt.get(prompt, 0) + 1
        request_id = request.headers.get("x-request-id", "")
        sequence = self.batch.submit(request_id, prompt, document["max_tokens"])
        self.sequence_by_id[request_id] = sequence
        self.has_work.set()
        return StreamingResponse(
            self._events(sequence, 0, fault),
            headers=LEAVING_HEADERS if fault is FaultKind.LEAVING else None,
            media_type="text/event-stream",
        )

    async def _events(
        self, sequence: Sequence, after: int, fault: FaultKind
    ) -> AsyncIterator[bytes]:
        """Yield the tokens after a number, then the usage and the end marker.

        A request whose stream is closed early is cancelled.
        """
        sent = after
        try:
            while sent < len(sequence.tokens):
                while sent >= sequence.emitted:
                    sequence.has_token = Event()
                    await sequence.has_token.wait()
                if fault is not FaultKind.NONE and sent >= self.faults.after:
                    async for line in self._inject_fault(fault, sequence, sent):
                        yield line
                yield _token_line(sequence.tokens[sent])
                sent += 1
            yield _usage_line(sequence)
            yield b"data: [DONE]\n\n"
        finally:
            if not sequence.is_done():
                sequence.cancelled = True

    async def _inject_fault(
        self, fault: FaultKind, sequence: Sequence, sent: int
    ) -> AsyncIterator[bytes]:
        """Inject a fault in the middle of a stream."""
        if fault is FaultKind.STALL:
            await sleep_forever()
        if fault is FaultKind.CUT:
            raise ConnectionCutError
        if fault is FaultKind.SLOW:
            await sleep(self.settings.step_seconds * SLOW_FACTOR)
        if fault is FaultKind.GARBAGE:
            yield b"data: {not json\n\n"
        if fault is FaultKind.DUPLICATE:
            yield _token_line(sequence.tokens[sent])
        if fault is FaultKind.KEEP_ALIVE:
            yield b": keep-alive\n\n"

    async def resume(self, request: Request) -> Response:
        """Resume the stream of a request after a token number."""
        sequence = self.sequence_by_id.get(request.path_params["request_id"])
        after = request.query_params.get("after", "0")
        if sequence is None or not after.isdigit():
            return Response(status_code=404)
        sequence.cancelled = False
        return StreamingResponse(
            self._events(sequence, int(after), FaultKind.NONE),
            media_type="text/event-stream",
        )

    async def cancel(self, request: Request) -> Response:
        """Cancel a request."""
        sequence = self.sequence_by_id.get(request.path_params["request_id"])
        if sequence is None:
            return Response(status_code=404)
        sequence.cancelled = True
        return JSONResponse({"cancelled": True})

    async def order(self, request: Request) -> Response:
        """Accept an order.

        With `checks_fence`, refuse one whose fencing token is older than the latest.
        """
        document = loads(await request.body())
        fence = int(document["fence"])
        if self.settings.checks_fence and fence < self.fence:
            return JSONResponse({"refused": "old fence"}, 409)
        self.fence = max(self.fence, fence)
        self.orders.append(str(document["order"]))
        return JSONResponse({"done": True})

    async def load(self, request: Request) -> Response:
        """Report the load of `load_lag_seconds` ago."""
        limit = current_time() - self.settings.load_lag_seconds
        samples = [sample for sample in self.load_history if sample.at <= limit]
        if not samples:
            return JSONResponse({"running": 0, "waiting": 0})
        return JSONResponse(
            {"running": samples[-1].running, "waiting": samples[-1].waiting}
        )

    async def cache_events(self, request: Request) -> Response:
        """Report cache events without the two latest and without every third."""
        events = self.batch.cache_events[:-2]
        return JSONResponse(
            [event for number, event in enumerate(events) if number % 3 != 2]
        )

    async def stats(self, request: Request) -> Response:
        """Report the engine's counters, for tests and benchmarks."""
        return JSONResponse(
            {
                "busy_steps": self.batch.busy_steps,
                "generated": self.batch.generated,
                "running": len(self.batch.running),
                "waiting": len(self.batch.waiting),
                "runs_by_prompt": self.runs_by_prompt,
            }
        )

    async def fault(self, request: Request) -> Response:
        """Configure the fault of the next calls."""
        document = loads(await request.body())
        kind = FaultKind(document["kind"])
        self.faults.set(kind, document.get("after", 0), document.get("calls", 1))
        return JSONResponse({"set": kind.value})


def _token_line(text: str) -> bytes:
    """Return a token as a server-sent event."""
    return b"data: " + dumps({"choices": [{"index": 0, "text": text}]}) + b"\n\n"


def _usage_line(sequence: Sequence) -> bytes:
    """Return the token counts as a server-sent event."""
    usage = {
        "prompt_tokens": sequence.input_tokens,
        "completion_tokens": len(sequence.tokens),
    }
    return b"data: " + dumps({"choices": [], "usage": usage}) + b"\n\n"
