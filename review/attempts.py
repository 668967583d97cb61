"""What clients do between two attempts."""

import asyncio

from fleet import Response


async def retry_pause(response: Response, left: float) -> None:
    """Wait as a refusal asks, up to a third of the time that is left."""
    seconds = response.headers.get("retry-after")
    if seconds is not None:
        await asyncio.sleep(min(float(seconds), left / 3))
    else:
        await asyncio.sleep(0.02)


def retry_note(response: Response) -> str:
    """Return what a refusal says of the time of the next attempt."""
    seconds = response.headers.get("retry-after")
    return f", to come back after {seconds} s" if seconds is not None else ""
