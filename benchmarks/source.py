"""Server of event streams at a constant rate, in the engines' streaming protocol."""

from collections.abc import AsyncIterator
from functools import partial

from anyio import Event, current_time, run, sleep_until
from click import command, option
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from pistachiolever.edge.server import serve_app
from pistachiolever.settings.models import ProcessSettings

LINE = b'data: {"choices":[{"index":0,"text":"token "}]}\n\n'


def make_app(step_seconds: float) -> Starlette:
    """Return the source's ASGI application."""

    async def events(tokens: int) -> AsyncIterator[bytes]:
        """Yield one event per step, then the end marker."""
        at = current_time()
        for _ in range(tokens):
            at += step_seconds
            await sleep_until(at)
            yield LINE
        yield b"data: [DONE]\n\n"

    async def complete(request: Request) -> StreamingResponse:
        """Stream N events for a prompt that begins with `tokens=N`."""
        document = await request.json()
        head = document.get("prompt") or document["input"]
        tokens = int(head.split(" ")[0].removeprefix("tokens="))
        return StreamingResponse(events(tokens), media_type="text/event-stream")

    async def health(request: Request) -> PlainTextResponse:
        """Answer health checks."""
        return PlainTextResponse("ok")

    return Starlette(
        routes=[
            Route("/v1/completions", complete, methods=["POST"]),
            Route("/health", health),
        ]
    )


@command()
@option("--address", required=True)
@option("--step-seconds", default=0.044)
def main(address: str, step_seconds: float) -> None:
    """Run the source until it is killed."""
    settings = ProcessSettings("source", address, "local", "", [])
    work = partial(_serve, make_app(step_seconds), settings)
    run(work, backend_options={"use_uvloop": True})


async def _serve(app: Starlette, settings: ProcessSettings) -> None:
    """Serve an application without end."""
    await serve_app(app, settings, Event())


if __name__ == "__main__":
    main()
