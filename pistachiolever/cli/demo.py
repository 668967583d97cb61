"""The demo: two streamed model requests, and a booking that is sent twice."""

from anyio import create_task_group
from attrs import define, field
from click import echo
from httpx import AsyncClient
from httpx_sse import aconnect_sse

from pistachiolever.cli.const import (
    BOOKING_SERVICE,
    DEMO_FLEET_SECRET,
    PLANNING_SERVICE,
)
from pistachiolever.events.models import Event
from pistachiolever.events.timeline import TimelineFilter, format_event, merge_events
from pistachiolever.wire.codec import decode


@define
class Demo:
    """Sends sample requests to a running fleet and prints the answers."""

    router_addresses: list[str]
    other_addresses: list[str]
    http: AsyncClient = field(factory=lambda: AsyncClient(trust_env=False, timeout=30))

    async def run(self) -> None:
        """Run all sample requests, then print the timeline of their events."""
        async with create_task_group() as group:
            group.start_soon(self._request_plan)
            group.start_soon(self._ask_question)
        first = await self._book_release("first request")
        second = await self._book_release("repeated with the same idempotency key")
        same = "the same answer" if first == second else "ANOTHER ANSWER"
        echo(f"release: the repeated request got {same}")
        await self._print_timeline()
        await self.http.aclose()

    async def _request_plan(self) -> None:
        """Request a long plan."""
        text = "tokens=120 Move empties from Kolkata dock to Haldia exporters."
        await self._stream("plan", 0, "demo-key-haldia", text)

    async def _ask_question(self) -> None:
        """Send a short question through the other router."""
        text = "tokens=8 How many empties stand at Dankuni?"
        await self._stream("question", 1, "demo-key-depot", text)

    async def _stream(self, label: str, router: int, key: str, text: str) -> None:
        """Send a streamed request and print some of its events as they arrive."""
        address = self.router_addresses[router % len(self.router_addresses)]
        part_count = 0
        async with aconnect_sse(
            self.http,
            "POST",
            f"http://{address}/v1/requests",
            json={"service": PLANNING_SERVICE, "input": text},
            headers={"authorization": f"Bearer {key}"},
        ) as source:
            async for event in source.aiter_sse():
                if event.event != "part":
                    echo(f"{label}: {event.event} {event.data}")
                    continue
                part_count += 1
                if part_count <= 3 or part_count % 40 == 0:
                    echo(f"{label}: part {event.id} {event.data}")

    async def _book_release(self, label: str) -> str:
        """Send a booking that must run at most once; return its result and verdict."""
        response = await self.http.post(
            f"http://{self.router_addresses[0]}/v1/requests",
            json={
                "service": BOOKING_SERVICE,
                "input": "release 40 empties to exporter 7",
                "stream": False,
            },
            headers={
                "authorization": "Bearer demo-key-haldia",
                "idempotency-key": "release-7-40",
            },
        )
        document = response.json()
        echo(f"release ({label}): {response.status_code} {document}")
        return f"{document.get('result')} {document.get('verdict')}"

    async def _print_timeline(self) -> None:
        """Print the request events of all processes in causal order."""
        events: list[Event] = []
        headers = {"authorization": f"Bearer {DEMO_FLEET_SECRET}"}
        for address in [*self.router_addresses, *self.other_addresses]:
            url = f"http://{address}/ops/events"
            response = await self.http.get(url, headers=headers)
            events.extend(decode(response.content, list[Event]))
        echo("timeline:")
        for event in merge_events(events, TimelineFilter()):
            if event.request_id:
                echo(f"  {format_event(event)}")
