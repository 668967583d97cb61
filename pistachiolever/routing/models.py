"""Configuration of the reverse proxy: routes, services, accounts and limits."""

from enum import Enum
from hashlib import blake2b

from attrs import field, frozen

from pistachiolever.http1.models import HttpLimits


class RequestKind(Enum):
    """The kind of a request, which decides whether it may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@frozen
class EngineCapacity:
    """The capacity of a model engine: concurrent requests and tokens of memory.

    `event_tokens` is the maximum number of tokens in one event of its streams.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    models: list[str] = field(factory=list)


@frozen
class ProxyService:
    """A service of endpoints; `engine` is None for a plain service.

    An engine is cold for `cold_start_seconds` after its start and then sustains
    `cold_requests_per_second`; 0 if that does not limit it.
    """

    service_id: str
    health_path: str = "/"
    max_connections: int = 64
    engine: EngineCapacity | None = None
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


@frozen
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service_id: str
    weight: float


@frozen
class ProxyRoute:
    """A route for requests with one host and path prefix.

    `target_seconds` is the target for the time to the response, or to the first chunk
    of a stream; `gap_seconds` is the target for the longest pause between chunks.
    Priority 0 is the highest.
    """

    route_id: str
    host: str
    prefix: str
    kind: RequestKind
    services: list[WeightedService]
    timeout_seconds: float
    target_seconds: float
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_seconds: float = 0.0

    @property
    def retryable(self) -> bool:
        """Return whether a request that may have run may be retried."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def service_for(self, request_id: str) -> str:
        """Return the service of a request; the same on every router and retry."""
        if len(self.services) == 1:
            return self.services[0].service_id
        total = sum(choice.weight for choice in self.services)
        digest = blake2b(f"{self.route_id}/{request_id}".encode(), digest_size=8)
        point = int.from_bytes(digest.digest(), "big") / 2**64 * total
        for choice in self.services:
            point -= choice.weight
            if point < 0:
                return choice.service_id
        return self.services[-1].service_id


@frozen
class ProxyAccount:
    """A client account and its API keys.

    Priority 0 is the highest and also what None means. It takes precedence over the
    priority of the route.
    """

    account_id: str
    keys: list[str] = field(factory=list)
    priority: int | None = None


@frozen
class ProxyConfiguration:
    """The whole configuration at one version.

    `accounts` is None if no API keys are required. `tokens_per_second` is the token
    rate that accounts share fairly; 0 means that none is limited to its fair share.
    """

    version: int
    routes: list[ProxyRoute]
    services: list[ProxyService]
    accounts: list[ProxyAccount] | None = None
    limits: HttpLimits = HttpLimits()
    tokens_per_second: float = 0.0
