"""The calls of operators and engines, handed to the registry."""

from attrs import define
from orjson import dumps

from pistachiolever.edge.peers import JSON_HEADER
from pistachiolever.events.const import EventCode
from pistachiolever.http1.server import Exchange
from pistachiolever.metrics.instruments import (
    ANNOUNCEMENTS,
    CONFIGURATIONS,
    Instrument,
)
from pistachiolever.platform.endpoints import (
    InvalidAnnouncementError,
    decode_announcement,
    decode_birth,
)
from pistachiolever.platform.names import CONFIGURATION_PATH, INSTANCES_PATH
from pistachiolever.registry.errors import UnavailableError
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.routing.errors import InvalidConfigurationError


@define
class ControlFace:
    """Answers operators and engines."""

    registry: RegistryProcess
    inner_port: int

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        body = await exchange.read_body()
        method, path = exchange.head.method, exchange.head.path
        try:
            if path == CONFIGURATION_PATH and method == b"PUT":
                await self.registry.store(body)
                self._count(CONFIGURATIONS, "acknowledged")
                await self._answer(exchange, 200, b"{}")
            elif path == CONFIGURATION_PATH and method == b"GET":
                await self._read(exchange)
            elif path.startswith(INSTANCES_PATH) and method == b"PUT":
                await self._announce(exchange, path[len(INSTANCES_PATH) :], body)
            elif path.startswith(INSTANCES_PATH) and method == b"DELETE":
                endpoint_id = path[len(INSTANCES_PATH) :]
                await self.registry.endpoints.leave(endpoint_id, decode_birth(body))
                await self._answer(exchange, 200, b"{}")
            else:
                await self._answer(exchange, 404, _error("no such call"))
        except InvalidConfigurationError as error:
            self._note(EventCode.CONFIGURATION_REFUSED, str(error))
            self._count(CONFIGURATIONS, "invalid")
            await self._answer(exchange, 400, _error(str(error)))
        except InvalidAnnouncementError as error:
            self._note(EventCode.ANNOUNCEMENT_REFUSED, f"{path}: {error}")
            self._count(ANNOUNCEMENTS, "invalid")
            await self._answer(exchange, 400, _error(str(error)))
        except UnavailableError as error:
            await self._answer(exchange, 503, _error(str(error)))

    async def _read(self, exchange: Exchange) -> None:
        """Return the newest configuration as it was sent."""
        newest = await self.registry.read()
        if newest.version < 0:
            await self._answer(exchange, 503, _error("no configuration yet"))
            return
        await self._answer(exchange, 200, newest.document.encode())

    async def _announce(
        self, exchange: Exchange, endpoint_id: str, body: bytes
    ) -> None:
        """Take in a heartbeat."""
        news = decode_announcement(endpoint_id, body, self.inner_port)
        await self.registry.endpoints.announce(news)
        self._count(ANNOUNCEMENTS, "taken")
        await self._answer(exchange, 200, b"{}")

    async def _answer(self, exchange: Exchange, status: int, body: bytes) -> None:
        """Send a JSON answer."""
        await exchange.respond(status, [JSON_HEADER], body)

    def _count(self, instrument: Instrument, outcome: str) -> None:
        """Count what became of a call."""
        self.registry.instruments.count(instrument, outcome)

    def _note(self, code: EventCode, error: str) -> None:
        """Record a refusal."""
        self.registry.events.record(code, error=error)


def _error(text: str) -> bytes:
    """Return the body of an error."""
    return dumps({"error": text})
