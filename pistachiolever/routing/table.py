"""Looks up routes and keys of the configuration in force."""

from attrs import define, field

from pistachiolever.routing.models import (
    ProxyAccount,
    ProxyConfiguration,
    ProxyRoute,
    ProxyService,
)


@define
class RouteTable:
    """A configuration, indexed for look-ups by request."""

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
        """Tell whether callers of routes that are not public must show a key."""
        return self.configuration.accounts is not None

    def match(self, host: str, path: str) -> ProxyRoute | None:
        """Return the route with the longest prefix that begins the path."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        # A prefix ends with a slash, so only the path's slashes can end one.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def host_name(value: bytes) -> str:
    """Return the name within a Host header, without its port, in lowercase."""
    text = value.decode("latin-1").strip().lower()
    name, colon, port = text.rpartition(":")
    return name if colon and port.isdigit() else text
