"""HTTP API of the registry for operators and endpoints."""

from attrs import define
from orjson import dumps

from pistachiolever.discovery.fields import InvalidAnnouncementError
from pistachiolever.edge.peers import JSON_HEADER
from pistachiolever.events.const import EventCode
from pistachiolever.http1.connection import Exchange
from pistachiolever.metrics.instruments import (
    ANNOUNCEMENTS,
    CONFIGURATIONS,
    Instrument,
)
from pistachiolever.platform.endpoints import (
    decode_announcement,
    decode_start_time,
)
from pistachiolever.platform.names import (
    CONFIGURATION_PATH,
    EVACUATIONS_PATH,
    INSTANCES_PATH,
)
from pistachiolever.registry.errors import InvalidDomainError, UnavailableError
from pistachiolever.registry.evacuation_calls import decode_domain
from pistachiolever.registry.process import RegistryProcess
from pistachiolever.routing.errors import InvalidConfigurationError


@define
class ControlApi:
    """Handles requests from operators and endpoints."""

    registry: RegistryProcess
    peer_port: int

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
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
                await self.registry.endpoints.deregister(
                    endpoint_id, decode_start_time(body)
                )
                await self._answer(exchange, 200, b"{}")
            elif path.startswith(EVACUATIONS_PATH) and method in (b"POST", b"DELETE"):
                calls = self.registry.evacuations
                order = calls.start if method == b"POST" else calls.end
                await order(decode_domain(path[len(EVACUATIONS_PATH) :]))
                await self._answer(exchange, 200, b"{}")
            else:
                await self._answer(exchange, 404, _error("unknown method or path"))
        except InvalidConfigurationError as error:
            self.registry.events.record(
                EventCode.CONFIGURATION_REFUSED, error=str(error)
            )
            self._count(CONFIGURATIONS, "invalid")
            await self._answer(exchange, 400, _error(str(error)))
        except InvalidAnnouncementError as error:
            self.registry.events.record(
                EventCode.ANNOUNCEMENT_REFUSED, error=f"{path}: {error}"
            )
            self._count(ANNOUNCEMENTS, "invalid")
            await self._answer(exchange, 400, _error(str(error)))
        except InvalidDomainError as error:
            self.registry.events.record(EventCode.EVACUATION_REFUSED, error=str(error))
            await self._answer(exchange, 400, _error(str(error)))
        except UnavailableError as error:
            await self._answer(exchange, 503, _error(str(error)))

    async def _read(self, exchange: Exchange) -> None:
        """Send the newest configuration document."""
        newest = await self.registry.read()
        if newest.version < 0:
            await self._answer(exchange, 503, _error("no configuration is stored yet"))
            return
        await self._answer(exchange, 200, newest.document.encode())

    async def _announce(
        self, exchange: Exchange, endpoint_id: str, body: bytes
    ) -> None:
        """Handle a heartbeat of an endpoint."""
        announcement = decode_announcement(endpoint_id, body, self.peer_port)
        await self.registry.endpoints.announce(announcement)
        self._count(ANNOUNCEMENTS, "taken")
        await self._answer(exchange, 200, b"{}")

    async def _answer(self, exchange: Exchange, status: int, body: bytes) -> None:
        """Send a JSON response."""
        await exchange.respond(status, [JSON_HEADER], body)

    def _count(self, instrument: Instrument, outcome: str) -> None:
        """Count the outcome of a request."""
        self.registry.instruments.count(instrument, outcome)


def _error(message: str) -> bytes:
    """Return the JSON body of an error response."""
    return dumps({"error": message})
