"""A stand-in booking desk that counts the executions of each input."""

from collections.abc import AsyncIterator
from typing import Final

from anyio import sleep, sleep_forever
from attrs import define, field
from orjson import loads
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from stand_ins.faults import (
    LEAVING_HEADERS,
    PAUSE_HEADERS,
    ConnectionCutError,
    FaultInjector,
    FaultKind,
)

# Additional duration of a slow booking.
SLOW_SECONDS: Final = 1.0


async def _truncated_answer() -> AsyncIterator[bytes]:
    """Send the start of an answer, then drop the connection."""
    yield b'{"booked":'
    raise ConnectionCutError


@define
class BookingDesk:
    """Books every input it receives, without a check for duplicates."""

    service_seconds: float = 0.01
    count_by_input: dict[str, int] = field(factory=dict)
    faults: FaultInjector = field(factory=FaultInjector)

    def app(self) -> Starlette:
        """Return the desk's HTTP application."""
        return Starlette(
            routes=[
                Route("/call", self.call, methods=["POST"]),
                Route("/executions", self.executions),
                Route("/fault", self.fault, methods=["POST"]),
            ]
        )

    async def call(self, request: Request) -> Response:
        """Book an input; most faults hide from the caller that it was booked."""
        document = loads(await request.body())
        fault = self.faults.next_call()
        if fault is FaultKind.OVERLOAD:
            return Response(status_code=429)
        if fault is FaultKind.PAUSE:
            return Response(status_code=429, headers=PAUSE_HEADERS)
        text = document["input"]
        count = self.count_by_input.get(text, 0) + 1
        self.count_by_input[text] = count
        await sleep(self.service_seconds)
        if fault is FaultKind.SLOW:
            await sleep(SLOW_SECONDS)
        if fault is FaultKind.STALL:
            await sleep_forever()
        if fault is FaultKind.CUT:
            return StreamingResponse(_truncated_answer(), media_type="application/json")
        if fault is FaultKind.ERROR:
            return Response(status_code=500)
        if fault is FaultKind.GARBAGE:
            return Response("{not json")
        return JSONResponse(
            {"booked": text, "number": len(self.count_by_input)},
            headers=LEAVING_HEADERS if fault is FaultKind.LEAVING else None,
        )

    async def executions(self, request: Request) -> Response:
        """Return the number of bookings of each input."""
        return JSONResponse(self.count_by_input)

    async def fault(self, request: Request) -> Response:
        """Configure the fault of the next calls."""
        document = loads(await request.body())
        kind = FaultKind(document["kind"])
        self.faults.set(kind, document.get("after", 0), document.get("calls", 1))
        return JSONResponse({"set": kind.value})
