"""Baseline relay of hypercorn and httpx, which only adds a name to each event."""

from collections.abc import AsyncIterator
from functools import partial

from anyio import Event, run
from click import command, option
from httpx import AsyncClient, Limits
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from pistachiolever.edge.server import serve_app
from pistachiolever.settings.models import ProcessSettings


def make_app(http: AsyncClient, source: str) -> Starlette:
    """Return the relay's ASGI application."""

    async def events(body: bytes) -> AsyncIterator[bytes]:
        """Yield the source's events in the format that callers receive."""
        url = f"http://{source}/v1/completions"
        async with http.stream("POST", url, content=body) as response:
            async for data in response.aiter_raw():
                yield data.replace(b"data:", b"event: part\ndata:")

    async def relay(request: Request) -> StreamingResponse:
        """Relay one stream."""
        body = await request.body()
        return StreamingResponse(events(body), media_type="text/event-stream")

    async def health(request: Request) -> PlainTextResponse:
        """Answer health checks."""
        return PlainTextResponse("ok")

    return Starlette(
        routes=[
            Route("/v1/requests", relay, methods=["POST"]),
            Route("/health", health),
        ]
    )


@command()
@option("--address", required=True)
@option("--source", required=True)
def main(address: str, source: str) -> None:
    """Run the relay until it is killed."""
    settings = ProcessSettings("bare", address, "local", "", [])
    run(partial(_serve, settings, source), backend_options={"use_uvloop": True})


async def _serve(settings: ProcessSettings, source: str) -> None:
    """Serve the relay without end."""
    limits = Limits(max_connections=None)
    async with AsyncClient(trust_env=False, limits=limits, timeout=None) as http:
        await serve_app(make_app(http, source), settings, Event())


if __name__ == "__main__":
    main()
