"""Looks up routes, services and accounts in a configuration."""

from attrs import define, field

from pistachiolever.routing.models import (
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
)


@define
class RouteTable:
    """A configuration with indexes for the look-ups of each request."""

    configuration: ProxyConfiguration
    service_by_id: dict[str, ProxyService] = field(init=False)
    account_by_key: dict[str, ProxyAccount] = field(init=False)
    _route_by_prefix_by_host: dict[str, dict[str, ProxyRoute]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the indexes."""
        self.service_by_id = {
            service.service_id: service for service in self.configuration.services
        }
        self.account_by_key = {
            key: account
            for account in self.configuration.accounts or []
            for key in account.keys
        }
        self._route_by_prefix_by_host = {}
        for route in self.configuration.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    @property
    def needs_key(self) -> bool:
        """Return whether routes that are not public require an API key."""
        return self.configuration.accounts is not None

    def match(self, host: str, path: str) -> ProxyRoute | None:
        """Return the route with the longest prefix of the path."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        # Prefixes end with a slash, so only parts of the path that do can match.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(value: bytes) -> str:
    """Return the name in a Host header, without the port and in lower case."""
    text = value.decode("latin-1").strip().lower()
    name, colon, port = text.rpartition(":")
    return name if colon and port.isdigit() else text
