"""Typed calls to other processes of the fleet, as JSON over HTTP or HTTPS."""

from ssl import SSLContext, create_default_context
from typing import TypeVar

from attrs import define, field
from httpx import AsyncClient, ConnectError, ConnectTimeout, HTTPError, Limits, Timeout

from pistachiolever.core.errors import ProtocolError
from pistachiolever.edge.const import CALL_SECONDS, CONNECT_SECONDS, MAX_CONNECTIONS
from pistachiolever.edge.errors import PeerError
from pistachiolever.settings.models import ProcessSettings
from pistachiolever.wire.codec import decode, encode

T = TypeVar("T")


@define
class FleetClient:
    """Calls processes of the fleet by address, over HTTPS if TLS is configured."""

    settings: ProcessSettings
    http: AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the HTTP client with its connection pool."""
        self.http = AsyncClient(
            headers={"authorization": f"Bearer {self.settings.fleet_secret}"},
            verify=_tls_verification(self.settings),
            timeout=Timeout(CALL_SECONDS, connect=CONNECT_SECONDS),
            limits=Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
        )

    def url(self, address: str, path: str) -> str:
        """Return the URL of a path of a process."""
        scheme = "https" if self.settings.tls.authority_file else "http"
        return f"{scheme}://{address}{path}"

    async def call(
        self,
        address: str,
        path: str,
        message: object,
        reply_type: type[T],
        seconds: float = CALL_SECONDS,
    ) -> T:
        """Send a message; return the typed reply or raise PeerError."""
        try:
            response = await self.http.post(
                self.url(address, path),
                content=encode(message),
                timeout=Timeout(seconds, connect=CONNECT_SECONDS),
            )
        except (ConnectError, ConnectTimeout) as error:
            raise PeerError(f"cannot connect to {address}: {error}", False) from error
        except HTTPError as error:
            detail = f"{address} did not answer: {type(error).__name__}"
            raise PeerError(detail, True) from error
        if response.status_code != 200:
            refused = response.status_code in (401, 409, 426)
            detail = f"{address}{path} answered {response.status_code}"
            raise PeerError(detail, not refused, response.status_code)
        try:
            return decode(response.content, reply_type)
        except ProtocolError as error:
            raise PeerError(str(error), True) from error

    async def close(self) -> None:
        """Close the connection pool."""
        await self.http.aclose()


def _tls_verification(settings: ProcessSettings) -> SSLContext | bool:
    """Return the TLS context that verifies other processes, or False without TLS."""
    if not settings.tls.authority_file:
        return False
    return create_default_context(cafile=settings.tls.authority_file)
