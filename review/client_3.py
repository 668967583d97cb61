"""A client that asks for streams, and takes up again one that was broken off."""

import asyncio
import secrets
from collections.abc import Callable


class Try:
    """One client attempt: its status, its events as (id, text), and how it ended."""

    def __init__(self) -> None:
        """Begin without an answer."""
        self.request_id = secrets.token_hex(8)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.events: list[tuple[int, str]] = []
        self.is_whole = False
        self.how = ""


async def attempt(
    record: Callable[[str], None],
    host: str,
    port: int,
    more: dict[str, str],
    path: str = "/fala/1",
    deadline_ms: int = 10_000,
    key: str = "key-1",
    body: bytes = b"x" * 200,
    on_event: Callable[[Try], None] | None = None,
    site: str = "site.example",
    method: str = "POST",
) -> Try:
    """Send one request and read its answer."""
    one = Try()
    headers = {
        "Host": site,
        "Request-Id": one.request_id,
        "Model": "m",
        "Token-Counts": "800,200",
        "Prompt-Prefix": f"aa01:500,{one.request_id}:300",
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        "Content-Length": str(len(body)),
        **more,
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    record(f"client sends {one.request_id} to {host} {more or ''}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await writer.drain()
            await _read(reader, one, on_event)
    except TimeoutError:
        one.how = "deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        one.how = f"cut ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()
    texts = [text for _, text in one.events]
    record(
        f"client got {one.request_id}: status {one.status}, {len(texts)} events "
        f"{texts[:1]}..{texts[-1:]}, whole {one.is_whole} {one.how}"
    )
    return one


async def _read(
    reader: asyncio.StreamReader, one: Try, on_event: Callable[[Try], None] | None
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    one.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        if ":" in line:
            name, _, value = line.partition(":")
            one.headers[name.lower()] = value.strip()
    if one.headers.get("transfer-encoding") != "chunked":
        await reader.readexactly(int(one.headers.get("content-length", "0")))
        one.is_whole = True
        return
    buffer = ""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            one.is_whole = True
            return
        buffer += data[:-2].decode()
        while "\n\n" in buffer:
            event, _, buffer = buffer.partition("\n\n")
            fields = dict(
                line.split(": ", 1) for line in event.split("\n") if ": " in line
            )
            if "id" not in fields:
                continue
            one.events.append((int(fields["id"]), fields["data"]))
            if on_event is not None:
                on_event(one)
