"""A client of resumable streams, as the pages describe it."""

from attempts import retry_note, retry_pause
from fleet import FRONT_PORT, Fleet, call, new_request_id, request_headers

DEADLINE_SECONDS = 12.0
RETRIES = 5


class StreamClient:
    """Asks for streams one after the other and takes up those that break off.

    `joined` are the streams that hold events of two software versions.
    """

    def __init__(self, fleet: Fleet, number: int, fronts: int) -> None:
        """Create a client that starts at one of the fronts."""
        self.fleet, self.record = fleet, fleet.record
        self.number, self.fronts = number, fronts
        self.joined: list[str] = []
        self.whole = 0
        self.asked = 0

    async def run(self, until: float) -> None:
        """Ask for streams until a time."""
        while self.record.now() < until:
            await self._ask()

    async def _ask(self) -> None:
        """Ask for one stream, over several tries if it breaks off."""
        asked_at = self.record.now()
        events: list[tuple[int, str]] = []
        first_id, begun_as = "", ""
        self.asked += 1
        for number in range(RETRIES + 1):
            left = DEADLINE_SECONDS - (self.record.now() - asked_at)
            if left < 0.2:
                break
            request_id = new_request_id()
            first_id = first_id or request_id
            front = (self.number + number) % self.fronts + 1
            headers = self._headers(request_id, left)
            if events:
                headers["Last-Event-Id"] = str(events[-1][0])
                headers["Resumes"] = begun_as
            known = len(events)
            self.record.write(
                f"client {self.number} sends {request_id} to front-{front}"
                + (f", takes up {begun_as} after {events[-1][0]}" if known else "")
            )
            response = await call(
                f"{self.fleet.front_ip(front)}:{FRONT_PORT}",
                "POST",
                "/plan/x",
                headers,
                b"tool history",
                left,
                lambda event: events.append(parse_event(event)),
            )
            if len(events) > known and not begun_as:
                begun_as = request_id
            self.record.write(
                f"client {self.number} gets {request_id}: {response.status} "
                f"{response.end}, events {_range_of(events[known:])}"
                f"{retry_note(response)}"
            )
            if response.status == 200 and response.is_whole:
                self.whole += 1
                break
            await retry_pause(response, left)
        if len({version for _, version in events}) > 1:
            self.joined.append(first_id)
            self.record.write(f"TWO VERSIONS in stream {first_id}: {_range_of(events)}")

    def _headers(self, request_id: str, left: float) -> dict[str, str]:
        """Return the headers of a request."""
        own = f"{int(request_id[:8], 16):x}"
        prompt = {
            "Model": "m",
            "Token-Counts": "1460,80",
            "Prompt-Prefix": f"5c1e07a2:800,91bd3f06:410,{own}:250",
        }
        return request_headers(request_id, int(left * 1000), **prompt)


def parse_event(event: bytes) -> tuple[int, str]:
    """Return the number of an event and the version that wrote it."""
    lines = event.split(b"\n")
    return int(lines[0][3:]), lines[1].split()[1].decode()


def _range_of(events: list[tuple[int, str]]) -> str:
    """Return the numbers of events by version."""
    numbers: dict[str, list[int]] = {}
    for number, version in events:
        numbers.setdefault(version, []).append(number)
    parts = [f"{key} {value[0]}-{value[-1]}" for key, value in numbers.items()]
    return ", ".join(parts) or "none"
